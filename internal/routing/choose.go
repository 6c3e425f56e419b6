package routing

import (
	"math"
	"slices"
	"time"
)

// choose takes a whole replica by the policy, or nil.
func (r *Router) choose(now time.Duration, svc *service, req Request) []*server {
	candidates := r.candidates(now, svc, req)
	if len(candidates) == 0 {
		return nil
	}
	switch r.cfg.Policy {
	case PolicyRandom:
		return candidates[r.rng.IntN(len(candidates))].stages
	case PolicyRoundRobin:
		svc.next++
		return candidates[svc.next%len(candidates)].stages
	case PolicyLeastReported:
		return leastReported(candidates).stages
	default:
		return r.leastTime(now, candidates, req).stages
	}
}

// candidates returns the replicas in sight whose stages are all ready. If there
// are none, ramps don't count: a slow start must not refuse work.
func (r *Router) candidates(now time.Duration, svc *service, req Request) []*replica {
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

// leastTime returns the replica with the least expected time out of a few
// random ones and those that are hoped to have the prompt's prefix cached.
func (r *Router) leastTime(now time.Duration, candidates []*replica, req Request) *replica {
	hinted := hintedOf(candidates, req)
	best := least(r, candidates, func(rep *replica) time.Duration {
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

// sampleHinted returns a few random ones, fewer the less hints proved true. It
// reorders the replicas.
func (r *Router) sampleHinted(from []*replica) []*replica {
	n := len(from)
	if r.cfg.Choices > 0 {
		n = min(n, int(math.Round(r.believed()*float64(r.cfg.Choices))))
	}
	for i := range n {
		j := i + r.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// hintedOf returns the replicas whose first stage is hoped to have a prefix.
func hintedOf(candidates []*replica, req Request) []*replica {
	if len(req.Prefixes) == 0 {
		return nil
	}
	var hinted []*replica
	for _, rep := range candidates {
		if rep.stages[0].hints.longest(req.Prefixes) > 0 {
			hinted = append(hinted, rep)
		}
	}
	return hinted
}

// leastStage returns the server with the least expected time out of a few
// random ones.
func (r *Router) leastStage(now time.Duration, candidates []*server) *server {
	return least(r, candidates, func(s *server) time.Duration {
		return r.stageCost(now, s, Request{})
	})
}

// least compares Config.Choices random candidates and returns the cheapest. It
// reorders the candidates.
func least[T any](r *Router, candidates []T, cost func(T) time.Duration) T {
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

// leastReported returns the replica with the least reported load.
func leastReported(candidates []*replica) *replica {
	reported := func(rep *replica) int {
		worst := 0
		for _, s := range rep.stages {
			worst = max(worst, s.report.Running+s.report.Waiting)
		}
		return worst
	}
	best := candidates[0]
	for _, rep := range candidates[1:] {
		if reported(rep) < reported(best) {
			best = rep
		}
	}
	return best
}

// path is the cheapest known way to a layer boundary.
type path struct {
	cost   time.Duration
	stages []*server
}

// compose puts a pipeline together from the stages of several replicas, when no
// whole replica is usable: the cheapest way through the layer boundaries.
func (r *Router) compose(now time.Duration, svc *service, req Request) []*server {
	paths := map[int]path{0: {}}
	byFrom := slices.Clone(svc.servers)
	slices.SortStableFunc(byFrom, func(a, b *server) int { return a.LayerFrom - b.LayerFrom })
	for _, s := range byFrom {
		before, reached := paths[s.LayerFrom]
		if !reached || s.LayerTo <= s.LayerFrom || !r.allHealthy(now, []*server{s}, req) {
			continue
		}
		cost := before.cost + r.stageCost(now, s, req)
		known, seen := paths[s.LayerTo]
		if !seen || cost < known.cost {
			paths[s.LayerTo] = path{cost: cost, stages: append(slices.Clone(before.stages), s)}
		}
	}
	whole := paths[svc.servers[0].LayersTotal].stages
	if whole != nil {
		r.stats.Composed++
	}
	return whole
}
