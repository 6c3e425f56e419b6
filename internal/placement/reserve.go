package placement

import (
	"maps"
	"slices"
	"time"
)

// reserveStep is the distance between the KV reserves that are tried for a failure domain.
const reserveStep = 0.1

// minServedGain is the relative gain in served requests from which a lower KV reserve is
// preferred. Smaller differences are below the accuracy of the estimate.
const minServedGain = 1.02

// completeDomain gives the layers that have no copy in a domain to its servers. It uses
// the highest KV reserve with which the domain gets a complete model copy: a gap sends all
// requests of the domain over the cross-domain link, or to other domains. If the domain is
// too small for any copy, or the copy would serve less than the layers with more KV cache,
// it uses the reserve that serves most.
func (p *plan) completeDomain(domain string) {
	missing := countBelow(p.copies(domain), 1)
	if missing == 0 {
		return
	}
	var best, empty *plan
	bestServed := 0.0
	for reserve := p.cfg.KVReserve; reserve > p.cfg.MinKVReserve-reserveStep/2; reserve -= reserveStep {
		trial := p.withReserve(domain, reserve)
		start := trial.clone()
		complete := trial.fillGaps(domain)
		if served := trial.served(); best == nil || served > bestServed*minServedGain {
			best, bestServed = trial, served
			if complete && p.staggered && missing == p.spec.Layers {
				empty = start
			}
		}
		if complete {
			break
		}
	}
	*p = *best
	if empty != nil {
		p.stagger(domain, empty)
	}
}

// fillGaps gives the missing layers of a domain to idle servers, then to the neighbours of
// the gaps, then to spare servers. It reports whether the domain has a complete model copy.
// If it has none either way, no spare server is moved: its load would bring nothing. Nor is
// one if less would be served: after a loss in every domain, the paths that cross need the
// spare servers where they are.
func (p *plan) fillGaps(domain string) bool {
	p.fill(domain, 1)
	p.extendNeighbours(domain)
	moved := p.clone()
	moved.moveSpares(domain)
	if countBelow(moved.copies(domain), 1) > 0 {
		return false
	}
	if p.covers() && len(moved.orders) > len(p.orders) && moved.served() < p.served() {
		return false
	}
	*p = *moved
	return true
}

// clone returns a copy of p that can be changed independently.
func (p *plan) clone() *plan {
	c := *p
	c.servers = slices.Clone(p.servers)
	c.orders = slices.Clone(p.orders)
	return &c
}

// withReserve returns a copy of p in which the servers of a domain keep the given KV
// reserve.
func (p *plan) withReserve(domain string, reserve float64) *plan {
	c := p.clone()
	c.reserves = maps.Clone(p.reserves)
	if c.reserves == nil {
		c.reserves = map[string]float64{}
	}
	c.reserves[domain] = reserve
	return c
}

// demandLevels are the loads for which plans are compared, as multiples of copyRate in each
// domain. The demand is unknown when the first plan is made, and a plan should serve a
// quiet hour as well as a peak.
var demandLevels = []float64{0.25, 0.5, 1, 2, 4}

// served returns the share of the demand that the planned servers serve, summed over
// demandLevels. Each failure domain has the same demand.
func (p *plan) served() float64 {
	f := newFleet(p.spec, p.servers)
	domains, copyRate := p.domains(), p.copyRate()
	sum := 0.0
	for _, level := range demandLevels {
		demand := Demand{}
		for _, d := range domains {
			demand[d] = level * copyRate
		}
		e := f.serve(demand)
		sum += (e.Local + remoteValue*e.Remote + crossingValue*e.Crossing) / demand.Total()
	}
	return sum
}

const (
	// remoteValue and crossingValue weigh requests that are served by another failure
	// domain and over several of them. Both are later and use the priced link.
	remoteValue   = 0.9
	crossingValue = 0.8
)

// copyRate returns the requests per second of the usual size that fill the KV cache that
// the operators plan for one model copy, on accelerators of the servers' mean speed.
func (p *plan) copyRate() float64 {
	factor := 0.0
	for i := range p.servers {
		factor += p.servers[i].Accelerator.StepFactor / float64(len(p.servers))
	}
	requests := float64(p.spec.KVCapacityTokens) / max(1, p.spec.PromptTokens+p.spec.AnswerTokens)
	residence := p.spec.AnswerTokens * factor * p.spec.Step.Seconds()
	return max(1, requests/max(residence, minResidence.Seconds()))
}

// minResidence bounds the predicted time of a request from below, for specs without step
// times.
const minResidence = 100 * time.Millisecond
