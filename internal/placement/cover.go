package placement

import (
	"slices"

	"github.com/catkinstair/catkinstair/internal/backend"
)

const (
	// minLossGain is the relative gain in requests served after a loss from which another
	// placement is preferred. Smaller differences are below the accuracy of the estimate.
	minLossGain = 1.02
	// maxCoverCost is the share of the served requests without a loss that a placement may
	// give up for those after one.
	maxCoverCost = 0.01
)

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

// coverScore is what served returns for a placement, without a loss and as the mean over the
// joint losses.
type coverScore struct{ served, afterLosses float64 }

func (p *plan) coverScore() coverScore {
	score := coverScore{served: p.served()}
	losses := p.jointLosses()
	for _, lost := range losses {
		undo := p.setSuspect(lost)
		score.afterLosses += p.served() / float64(len(losses))
		undo()
	}
	return score
}

// isBetterThan reports whether more is served after a joint loss and, without a loss, at
// most the share maxCoverCost less.
func (s coverScore) isBetterThan(o coverScore) bool {
	return s.served >= o.served*(1-maxCoverCost) && s.afterLosses > o.afterLosses*minLossGain
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
	n, best := empty.maxLayers(s), p.coverScore()
	for from := n; from+n <= p.spec.Layers; from += n {
		trial := empty.clone()
		trial.addOrder(trial.fastestIdle(domain), backend.Layers{From: from, To: from + n})
		trial.fill(domain, 1)
		if countBelow(trial.copies(domain), 1) > 0 {
			continue
		}
		if score := trial.coverScore(); score.isBetterThan(best) {
			*p, best = *trial, score
		}
	}
}

// fillIdle gives the idle servers further copies of the layers, in each domain those with
// the fewest copies first. If a joint loss would take a noticeable part of what is served, it
// also tries to copy first the layers that the fleet would then miss.
func (p *plan) fillIdle(domains []string) {
	if !p.hasIdle() {
		return
	}
	start := p.clone()
	p.addCopies(domains)
	best := p.coverScore()
	if best.afterLosses*minLossGain > best.served {
		return
	}
	for _, lost := range start.jointLosses() {
		trial := start.clone()
		undo := trial.setSuspect(lost)
		trial.fill("", 1)
		undo()
		trial.addCopies(domains)
		if score := trial.coverScore(); score.isBetterThan(best) {
			*p, best = *trial, score
		}
	}
}

// addCopies gives the idle servers of each domain the layers with the fewest copies.
func (p *plan) addCopies(domains []string) {
	for minCopies := 2; p.hasIdle() && minCopies <= len(p.servers); minCopies++ {
		for _, d := range domains {
			p.fill(d, minCopies)
		}
	}
}
