package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// extendNeighbours closes the gaps that are left in a domain without spare servers: the
// servers on both sides of a gap load its layers too. A gap that they cannot close
// completely stays as it is, because requests would have to cross to another domain anyway.
func (p *plan) extendNeighbours(domain string) {
	for _, gap := range gaps(p.copies(domain)) {
		p.closeGap(domain, gap)
	}
}

// moveSpares closes gaps of a domain, "" for all, by moving servers whose layers others
// hold too. A gap that they cannot close completely stays as it is.
func (p *plan) moveSpares(domain string) {
	for _, gap := range gaps(p.copies(domain)) {
		if trial := p.clone(); trial.moveSparesTo(domain, gap) {
			*p = *trial
		}
	}
}

// moveSparesTo moves spare servers to a gap until it is closed, and reports whether it is.
func (p *plan) moveSparesTo(domain string, gap backend.Layers) bool {
	for {
		left := firstGap(p.copies(domain), gap)
		if left.Len() == 0 {
			return true
		}
		s := p.slowestSpare(domain)
		if s == nil {
			return false
		}
		p.addOrder(s, p.rangeAround(left, p.maxLayers(s)))
	}
}

// firstGap returns the first range of layers without a copy within a range, empty for none.
func firstGap(copies []int, within backend.Layers) backend.Layers {
	for _, gap := range gaps(copies) {
		from, to := max(gap.From, within.From), min(gap.To, within.To)
		if from < to {
			return backend.Layers{From: from, To: to}
		}
	}
	return backend.Layers{}
}

// gaps returns the ranges of layers without a copy.
func gaps(copies []int) []backend.Layers {
	var out []backend.Layers
	for l := 0; l < len(copies); l++ {
		if copies[l] > 0 {
			continue
		}
		gap := backend.Layers{From: l, To: l + 1}
		for gap.To < len(copies) && copies[gap.To] == 0 {
			gap.To++
		}
		out = append(out, gap)
		l = gap.To
	}
	return out
}

// closeGap extends the adjacent servers with the most spare capacity over gap, if
// together they can hold all of it.
func (p *plan) closeGap(domain string, gap backend.Layers) {
	var left, right *Server
	spareLeft, spareRight := 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		if s.Domain != domain || s.OrderPending || s.Suspect || s.Held.Len() == 0 {
			continue
		}
		extra := p.maxLayers(s) - s.Held.Len()
		if s.Held.To == gap.From && extra > spareLeft {
			left, spareLeft = s, extra
		}
		if s.Held.From == gap.To && extra > spareRight {
			right, spareRight = s, extra
		}
	}
	if spareLeft+spareRight < gap.Len() {
		return
	}
	// Loading on one server is better than on two, so the side with more capacity takes as
	// many layers as it can hold.
	fromLeft := min(spareLeft, gap.Len())
	if spareRight > spareLeft {
		fromLeft = gap.Len() - min(spareRight, gap.Len())
	}
	if fromLeft > 0 {
		p.addOrder(left, backend.Layers{From: left.Held.From, To: left.Held.To + fromLeft})
	}
	if fromLeft < gap.Len() {
		p.addOrder(right, backend.Layers{From: right.Held.From - (gap.Len() - fromLeft), To: right.Held.To})
	}
}
