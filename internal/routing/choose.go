package routing

import (
	"math"
	"slices"
	"time"
)

// chooseReplica returns the stages of a complete replica chosen by the policy, or nil
// if none is usable.
func (r *Router) chooseReplica(now time.Duration, svc *service, req Request) []*server {
	usable := r.usableReplicas(now, svc, req)
	if len(usable) == 0 {
		return nil
	}
	switch r.cfg.Policy {
	case PolicyRandom:
		return usable[r.rng.IntN(len(usable))].stages
	case PolicyRoundRobin:
		svc.roundRobin++
		return usable[svc.roundRobin%len(usable)].stages
	case PolicyLeastReported:
		return leastReportedLoad(usable).stages
	default:
		return r.leastExpectedTime(now, usable, req).stages
	}
}

// usableReplicas returns the replicas of the subset whose stages are all ready. If
// there are none, it ignores ramp limits, which must not cause refusals.
func (r *Router) usableReplicas(now time.Duration, svc *service, req Request) []*replica {
	var ready, healthy []*replica
	for _, rep := range svc.replicas {
		if !r.allHealthy(now, rep.stages, req) {
			continue
		}
		healthy = append(healthy, rep)
		if r.allReady(now, rep.stages) {
			ready = append(ready, rep)
		}
	}
	if len(ready) == 0 {
		return healthy
	}
	return ready
}

func (r *Router) allHealthy(now time.Duration, stages []*server, req Request) bool {
	for _, s := range stages {
		if !r.healthy(now, s) || slices.Contains(req.Exclude, s.ID) {
			return false
		}
	}
	return true
}

func (r *Router) allReady(now time.Duration, stages []*server) bool {
	for _, s := range stages {
		if !r.ready(now, s) {
			return false
		}
	}
	return true
}

// leastExpectedTime returns the replica with the least expected time among a random
// sample and a sample of the replicas that probably have a prefix of the prompt cached.
func (r *Router) leastExpectedTime(now time.Duration, candidates []*replica, req Request) *replica {
	hinted := hintedReplicas(candidates, req)
	best := cheapestOfSample(r, candidates, func(rep *replica) time.Duration {
		return r.replicaCost(now, rep.stages, req)
	})
	bestCost := r.replicaCost(now, best.stages, req)
	for _, rep := range r.sampleHinted(hinted) {
		cost := r.replicaCost(now, rep.stages, req)
		if cost < bestCost {
			best = rep
			bestCost = cost
		}
	}
	return best
}

// sampleHinted returns a random sample of the hinted replicas; the lower the trust in
// hints, the smaller it is. It reorders its argument.
func (r *Router) sampleHinted(hinted []*replica) []*replica {
	n := len(hinted)
	if r.cfg.Choices > 0 {
		n = min(n, int(math.Round(r.hintConfidence()*float64(r.cfg.Choices))))
	}
	for i := range n {
		j := i + r.rng.IntN(len(hinted)-i)
		hinted[i], hinted[j] = hinted[j], hinted[i]
	}
	return hinted[:n]
}

// hintedReplicas returns the candidates whose first stage probably has a prefix of the
// prompt cached.
func hintedReplicas(candidates []*replica, req Request) []*replica {
	if len(req.Prefixes) == 0 {
		return nil
	}
	var hinted []*replica
	for _, rep := range candidates {
		if rep.stages[0].hints.longestMatch(req.Prefixes) > 0 {
			hinted = append(hinted, rep)
		}
	}
	return hinted
}

// cheapestServer returns the server with the least expected time in a random sample.
func (r *Router) cheapestServer(now time.Duration, candidates []*server) *server {
	return cheapestOfSample(r, candidates, func(s *server) time.Duration {
		return r.stageCost(now, s, Request{})
	})
}

// cheapestOfSample compares Config.Choices random candidates and returns the cheapest.
// It reorders the candidates.
func cheapestOfSample[T any](r *Router, candidates []T, cost func(T) time.Duration) T {
	n := len(candidates)
	if r.cfg.Choices > 0 {
		n = min(n, r.cfg.Choices)
	}
	best := 0
	var bestCost time.Duration
	for i := range n {
		j := i + r.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		c := cost(candidates[i])
		if i == 0 || c < bestCost {
			best = i
			bestCost = c
		}
	}
	return candidates[best]
}

// leastReportedLoad returns the replica whose most loaded stage has the least reported
// load.
func leastReportedLoad(candidates []*replica) *replica {
	reportedLoad := func(rep *replica) int {
		highest := 0
		for _, s := range rep.stages {
			highest = max(highest, s.report.Running+s.report.Waiting)
		}
		return highest
	}
	best := candidates[0]
	for _, rep := range candidates[1:] {
		if reportedLoad(rep) < reportedLoad(best) {
			best = rep
		}
	}
	return best
}

// path is the cheapest sequence of stages found so far up to a layer boundary.
type path struct {
	cost   time.Duration
	stages []*server
}

// composePipeline combines stages of several replicas if no complete replica is usable. It
// returns the cheapest path through the layer boundaries, or nil.
func (r *Router) composePipeline(now time.Duration, svc *service, req Request) []*server {
	paths := map[int]path{0: {}}
	byLayerFrom := slices.Clone(svc.servers)
	slices.SortStableFunc(byLayerFrom, func(a, b *server) int { return a.LayerFrom - b.LayerFrom })
	for _, s := range byLayerFrom {
		before, reached := paths[s.LayerFrom]
		if !reached || s.LayerTo <= s.LayerFrom || !r.allHealthy(now, []*server{s}, req) {
			continue
		}
		cost := before.cost + r.stageCost(now, s, req)
		current, found := paths[s.LayerTo]
		if !found || cost < current.cost {
			paths[s.LayerTo] = path{cost: cost, stages: append(slices.Clone(before.stages), s)}
		}
	}
	complete := paths[svc.servers[0].LayersTotal].stages
	if complete != nil {
		r.stats.Composed++
	}
	return complete
}
