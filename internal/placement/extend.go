package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// extend closes the gaps of a domain that has no server to spare: the holders on
// both sides of a gap take its layers too, first within the usual room, then within
// the tight one. A gap that they can't close whole is left as it is; half of it
// would send requests across all the same.
func (p *plan) extend(domain string) {
	for _, gap := range gaps(p.covers(domain)) {
		for _, share := range []float64{p.cfg.KVReserve, p.cfg.MinKVReserve} {
			if p.extendOver(domain, gap, share) {
				break
			}
		}
	}
}

// gaps returns the runs of layers that nobody holds.
func gaps(covers []int) []backend.Layers {
	var out []backend.Layers
	for l := 0; l < len(covers); l++ {
		if covers[l] > 0 {
			continue
		}
		run := backend.Layers{From: l, To: l + 1}
		for run.To < len(covers) && covers[run.To] == 0 {
			run.To++
		}
		out = append(out, run)
		l = run.To
	}
	return out
}

// extendOver lets the servers with most to give on each side of gap take it, and
// reports whether that closes it.
func (p *plan) extendOver(domain string, gap backend.Layers, share float64) bool {
	var left, right *Server
	spareLeft, spareRight := 0, 0
	for i := range p.holders {
		h := &p.holders[i]
		if h.Domain != domain || h.OrderPending || h.Suspect || h.Held.Len() == 0 {
			continue
		}
		more := p.fittingWith(h, share) - h.Held.Len()
		if h.Held.To == gap.From && more > spareLeft {
			left, spareLeft = h, more
		}
		if h.Held.From == gap.To && more > spareRight {
			right, spareRight = h, more
		}
	}
	if spareLeft+spareRight < gap.Len() {
		return false
	}
	// One load is better than two: the larger side takes all it can.
	fromLeft := min(spareLeft, gap.Len())
	if spareRight > spareLeft {
		fromLeft = gap.Len() - min(spareRight, gap.Len())
	}
	if fromLeft > 0 {
		p.order(left, backend.Layers{From: left.Held.From, To: left.Held.To + fromLeft})
	}
	if fromLeft < gap.Len() {
		p.order(right, backend.Layers{From: right.Held.From - (gap.Len() - fromLeft), To: right.Held.To})
	}
	return true
}
