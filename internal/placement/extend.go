package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// extendNeighbours closes the gaps of a domain without spare servers: the servers on
// both sides of a gap take its layers too, first with KVReserve, then with MinKVReserve.
// A gap that they cannot close completely is left as it is, because requests would have
// to cross to another domain anyway.
func (p *plan) extendNeighbours(domain string) {
	for _, gap := range gaps(p.copies(domain)) {
		for _, reserve := range []float64{p.cfg.KVReserve, p.cfg.MinKVReserve} {
			if p.closeGap(domain, gap, reserve) {
				break
			}
		}
	}
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
// together they can hold all of it, and reports whether they can.
func (p *plan) closeGap(domain string, gap backend.Layers, reserve float64) bool {
	var left, right *Server
	spareLeft, spareRight := 0, 0
	for i := range p.servers {
		s := &p.servers[i]
		if s.Domain != domain || s.OrderPending || s.Suspect || s.Held.Len() == 0 {
			continue
		}
		more := p.maxLayersWithReserve(s, reserve) - s.Held.Len()
		if s.Held.To == gap.From && more > spareLeft {
			left, spareLeft = s, more
		}
		if s.Held.From == gap.To && more > spareRight {
			right, spareRight = s, more
		}
	}
	if spareLeft+spareRight < gap.Len() {
		return false
	}
	// One load is better than two, so the side with more capacity takes all it can.
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
	return true
}
