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
// hold too. A gap that they cannot close completely stays as it is. A few large ranges need
// fewer servers; more and smaller ones load sooner, as long as no more loads run than do so at
// full speed. They are chosen if as many layers have a copy and as much is served in the end.
func (p *plan) moveSpares(domain string) {
	missing := countBelow(p.copies(domain), 1)
	if missing == 0 {
		return
	}
	best := p.clone()
	best.moveSparesUpTo(domain, p.spec.Layers)
	if !p.covers() {
		*p = *best
		return
	}
	left, served, longest := countBelow(best.copies(domain), 1), best.served(), best.longestOrder(len(p.orders))
	for parts := len(best.orders) - len(p.orders) + 1; longest > 0 && parts <= p.spec.MaxConcurrentLoads-p.pendingLoads(); parts++ {
		limit := (missing - left + parts - 1) / parts
		if limit >= longest {
			continue
		}
		trial := p.clone()
		trial.moveSparesUpTo(domain, limit)
		if countBelow(trial.copies(domain), 1) <= left && trial.served() >= served {
			best, longest = trial, limit
		}
	}
	*p = *best
}

// moveSparesUpTo moves spare servers to the gaps of a domain that they can close, each to at
// most limit layers.
func (p *plan) moveSparesUpTo(domain string, limit int) {
	for _, gap := range gaps(p.copies(domain)) {
		if trial := p.clone(); trial.moveSparesTo(domain, gap, limit) {
			*p = *trial
		}
	}
}

// longestOrder returns the number of layers of the largest range among the orders from the
// given one on.
func (p *plan) longestOrder(from int) int {
	most := 0
	for _, o := range p.orders[from:] {
		most = max(most, o.Layers.Len())
	}
	return most
}

// pendingLoads returns the number of servers that load.
func (p *plan) pendingLoads() int {
	n := 0
	for i := range p.servers {
		if p.servers[i].OrderPending && !p.servers[i].Suspect {
			n++
		}
	}
	return n
}

// moveSparesTo moves spare servers to a gap until it is closed, each to at most limit layers,
// and reports whether it is closed.
func (p *plan) moveSparesTo(domain string, gap backend.Layers, limit int) bool {
	for {
		left := firstGap(p.copies(domain), gap)
		if left.Len() == 0 {
			return true
		}
		s := p.slowestSpare(domain)
		if s == nil {
			return false
		}
		p.addOrder(s, p.rangeAround(left, min(limit, p.maxLayers(s))))
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
