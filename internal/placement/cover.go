package placement

import (
	"math"
	"slices"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// minLossGain is the relative gain in requests served after a loss from which another
// placement is preferred. Smaller differences are below the accuracy of the estimate.
const minLossGain = 1.02

// jointLosses returns the sets of servers, as indexes into p.servers, whose joint loss a
// placement is judged by: servers that serve the same streams fail together. These are the
// servers that process most layers of requests, and the fastest first stages. Requests of a
// domain are spread over the holders of a layer in proportion to their KV caches, and every
// domain has the same demand.
func (p *plan) jointLosses() [][]int {
	capacity := map[string][]float64{}
	for i := range p.servers {
		s := &p.servers[i]
		if s.Suspect || s.Held.Len() == 0 {
			continue
		}
		layers := capacity[s.Domain]
		if layers == nil {
			layers = make([]float64, p.spec.Layers)
			capacity[s.Domain] = layers
		}
		kv := p.serverKVCapacity(s)
		for l := s.Held.From; l < s.Held.To; l++ {
			layers[l] += kv
		}
	}
	use := make([]float64, len(p.servers))
	var used, first []int // sorted; first is in the order of p.servers, fastest first
	for i := range p.servers {
		s := &p.servers[i]
		if s.Suspect || s.Held.Len() == 0 {
			continue
		}
		layers, kv := capacity[s.Domain], p.serverKVCapacity(s)
		for l := s.Held.From; l < s.Held.To && kv > 0; l++ {
			use[i] += kv / layers[l]
		}
		at := len(used)
		for at > 0 && use[i] > use[used[at-1]]+roundingError {
			at--
		}
		if used = slices.Insert(used, at, i); len(used) > MaxJointLosses {
			used = used[:MaxJointLosses]
		}
		if s.Held.From == 0 && len(first) < MaxJointLosses {
			first = append(first, i)
		}
	}
	return [][]int{used, first}
}

// setSuspect sets the servers' Suspect and returns a function that sets it back.
func (p *plan) setSuspect(servers []int) func() {
	before := make([]bool, len(servers))
	for n, i := range servers {
		before[n], p.servers[i].Suspect = p.servers[i].Suspect, true
	}
	return func() {
		for n, i := range servers {
			p.servers[i].Suspect = before[n]
		}
	}
}

// coverScore judges a placement: what served returns without a loss and as the mean over the
// joint losses, and the requests per second served at any demand without a loss.
type coverScore struct{ served, capacity, afterLosses float64 }

func (p *plan) coverScore() coverScore {
	score := coverScore{served: p.served(), capacity: p.capacity()}
	losses := p.jointLosses()
	for _, lost := range losses {
		undo := p.setSuspect(lost)
		score.afterLosses += p.served() / float64(len(losses))
		undo()
	}
	return score
}

// capacity returns the requests per second that the planned servers serve at most, if each
// failure domain has the same demand.
func (p *plan) capacity() float64 {
	demand := Demand{}
	for _, d := range p.domains() {
		demand[d] = math.MaxFloat32
	}
	return newFleet(p.spec, p.servers).serve(demand).Served()
}

// coverSearch looks for a placement that serves more after a joint loss.
type coverSearch struct {
	best  *plan
	score coverScore
	// leastServed and leastCapacity bound what all trials together give up without a loss.
	leastServed, leastCapacity float64
}

func newCoverSearch(p *plan) *coverSearch {
	score := p.coverScore()
	kept := 1 - p.cfg.MaxCoverCost
	return &coverSearch{best: p, score: score, leastServed: score.served * kept, leastCapacity: score.capacity * kept}
}

func (c *coverSearch) try(p *plan) {
	score := p.coverScore()
	if score.afterLosses > c.score.afterLosses*minLossGain && score.served >= c.leastServed && score.capacity >= c.leastCapacity {
		c.best, c.score = p, score
	}
}

// lossesMatter reports whether a joint loss takes a noticeable part of what is served.
func (c *coverSearch) lossesMatter() bool { return c.score.afterLosses*minLossGain < c.score.served }

// covers reports whether plans consider joint losses.
func (p *plan) covers() bool { return p.cfg.MaxCoverCost > 0 }

// withCover returns the plan for p's servers by which most is served after a joint loss. The
// cost without a loss shows only in a whole plan, because the later orders of a plan depend on
// the earlier ones.
func (p *plan) withCover() *plan {
	domains := p.domains()
	bases := []*plan{p.clone()}
	bases[0].giveFirstCopies(domains)
	plain := bases[0].withCopies(domains, nil)
	if len(plain.orders) == 0 || !p.covers() {
		return plain
	}
	search := newCoverSearch(plain)
	if !search.lossesMatter() {
		return plain
	}
	if p.hasEmptyDomain(domains) {
		staggered := p.clone()
		staggered.staggered = true
		staggered.giveFirstCopies(domains)
		bases = append(bases, staggered)
		search.try(staggered.withCopies(domains, nil))
	}
	for _, base := range bases {
		if !base.hasIdle() {
			continue
		}
		for _, lost := range base.jointLosses() {
			search.try(base.withCopies(domains, lost))
		}
	}
	return search.best
}

// hasEmptyDomain reports whether a failure domain has no copy of any layer.
func (p *plan) hasEmptyDomain(domains []string) bool {
	return slices.ContainsFunc(domains, func(d string) bool { return countBelow(p.copies(d), 1) == p.spec.Layers })
}

// stagger places the first model copy of an empty domain so that its largest range is
// another than in the domains planned before. The fastest servers have the largest ranges,
// and the domains would lose the same layers with them. empty is the plan without orders for
// the domain; p has a complete copy there.
func (p *plan) stagger(domain string, empty *plan) {
	s := empty.fastestIdle(domain)
	if s == nil {
		return
	}
	n, search := empty.maxLayers(s), newCoverSearch(p.clone())
	search.leastServed, search.leastCapacity = 0, 0 // withCover compares the whole plan
	for from := n; from+n <= p.spec.Layers; from += n {
		trial := empty.clone()
		trial.addOrder(trial.fastestIdle(domain), backend.Layers{From: from, To: from + n})
		trial.fill(domain, 1)
		if countBelow(trial.copies(domain), 1) == 0 {
			search.try(trial)
		}
	}
	*p = *search.best
}

// withCopies returns a copy of p in which the idle servers get further copies of the layers, in
// each domain those with the fewest copies first. Before that, the layers that the fleet would
// miss without the lost servers get one.
func (p *plan) withCopies(domains []string, lost []int) *plan {
	out := p.clone()
	if len(lost) > 0 {
		undo := out.setSuspect(lost)
		out.fill("", 1)
		undo()
	}
	out.addCopies(domains)
	return out
}

// addCopies gives the idle servers of each domain the layers with the fewest copies.
func (p *plan) addCopies(domains []string) {
	for minCopies := 2; p.hasIdle() && minCopies <= len(p.servers); minCopies++ {
		for _, d := range domains {
			p.fill(d, minCopies)
		}
	}
}
