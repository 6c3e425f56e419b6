package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// deferLoads drops orders that would slow down the loads of layers that their failure domain
// does not serve, because at most MaxConcurrentLoads run at full speed. All loads of missing
// layers come first: a second, smaller range of the same layers may be ready sooner than the
// first. The next plan gives the orders that are left out. Nothing is left out at the first
// start, when every load is of missing layers.
func (p *plan) deferLoads() {
	free := p.spec.MaxConcurrentLoads
	if !p.covers() || free <= 0 || len(p.orders) == 0 || p.pendingLoads() <= free {
		return
	}
	ordered := make(map[backend.Instance]bool, len(p.orders))
	for _, o := range p.orders {
		ordered[o.Instance] = true
	}
	serving := map[string][]int{}
	missing := map[backend.Instance]bool{}
	for i := range p.servers {
		s := &p.servers[i]
		if !s.OrderPending || s.Suspect {
			continue
		}
		if serving[s.Domain] == nil {
			serving[s.Domain] = p.servingCopies(s.Domain)
		}
		if countBelow(serving[s.Domain][s.Held.From:s.Held.To], 1) > 0 {
			missing[s.Instance] = true
		}
		if missing[s.Instance] || !ordered[s.Instance] {
			free--
		}
	}
	if len(missing) == 0 {
		return
	}
	var first, rest []Order
	for _, o := range p.orders {
		if missing[o.Instance] {
			first = append(first, o)
		} else {
			rest = append(rest, o)
		}
	}
	p.orders = append(first, rest[:min(len(rest), max(0, free))]...)
}
