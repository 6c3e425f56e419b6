package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// service holds the backend servers of one service.
type service struct {
	servers    []*server  // all, sorted by id
	replicas   []*replica // the subset that this entry uses, sorted by name
	roundRobin int        // pick counter of the round-robin policy
}

// replica is a set of servers that covers every layer of the model.
type replica struct {
	name   string
	domain ident.FailureDomain
	stages []*server
}

// replaceServers applies a new VM list. It keeps the state of servers that stay on it.
func (r *Router) replaceServers(now time.Duration, list []Server) []Action {
	oldServers := r.servers
	initialList := len(oldServers) == 0
	r.servers = map[ident.BackendServer]*server{}
	services := map[ident.Service]*service{}
	r.othersSum, r.ownSum = 0, 0
	for _, listed := range list {
		if r.servers[listed.ID] != nil {
			continue // duplicate
		}
		s := oldServers[listed.ID]
		if s == nil || s.Service != listed.Service || s.LayerFrom != listed.LayerFrom || s.LayerTo != listed.LayerTo {
			s = &server{capacity: r.cfg.DefaultCapacity, rampStart: now, slowStart: !initialList}
		}
		s.applyListing(now, listed)
		r.servers[listed.ID] = s
		r.othersSum += s.otherRequests
		r.ownSum += s.ownAtReport
		if services[listed.Service] == nil {
			services[listed.Service] = &service{}
		}
		services[listed.Service].servers = append(services[listed.Service].servers, s)
	}
	for name, svc := range services {
		sort.Slice(svc.servers, func(i, j int) bool { return svc.servers[i].ID < svc.servers[j].ID })
		svc.replicas = r.selectSubset(assembleReplicas(svc.servers))
		if oldService := r.services[name]; oldService != nil {
			svc.roundRobin = oldService.roundRobin
		}
	}
	r.services = services
	return []Action{r.watchList()}
}

// assembleReplicas groups servers into replicas and drops those that don't cover the
// model.
func assembleReplicas(servers []*server) []*replica {
	byName := map[string]*replica{}
	for _, s := range servers {
		rep := byName[s.Replica]
		if rep == nil {
			rep = &replica{name: s.Replica}
			byName[s.Replica] = rep
		}
		rep.stages = append(rep.stages, s)
	}
	var complete []*replica
	for _, rep := range byName {
		sort.Slice(rep.stages, func(i, j int) bool { return rep.stages[i].LayerFrom < rep.stages[j].LayerFrom })
		if coversAllLayers(rep.stages) {
			rep.domain = rep.stages[0].Place.FailureDomain
			complete = append(complete, rep)
		}
	}
	sort.Slice(complete, func(i, j int) bool { return complete[i].name < complete[j].name })
	return complete
}

// coversAllLayers reports whether the stages run every layer exactly once, in order.
// An application is one server without layers.
func coversAllLayers(stages []*server) bool {
	total := stages[0].LayersTotal
	if total == 0 {
		return len(stages) == 1
	}
	nextLayer := 0
	for _, s := range stages {
		if s.LayersTotal != total || s.LayerFrom != nextLayer || s.LayerTo <= nextLayer {
			return false
		}
		nextLayer = s.LayerTo
	}
	return nextLayer == total
}

// selectSubset returns the replicas with the highest rendezvous hashes in each failure
// domain.
func (r *Router) selectSubset(all []*replica) []*replica {
	if r.cfg.SubsetPerDomain == 0 {
		return all
	}
	rank := map[*replica]uint64{}
	for _, rep := range all {
		rank[rep] = xxhash.Sum64String(string(r.cfg.Self) + "\x00" + rep.name)
	}
	byRank := slices.Clone(all)
	sort.SliceStable(byRank, func(i, j int) bool { return rank[byRank[i]] > rank[byRank[j]] })
	perDomain := map[ident.FailureDomain]int{}
	var subset []*replica
	for _, rep := range byRank {
		if perDomain[rep.domain] < r.cfg.SubsetPerDomain {
			perDomain[rep.domain]++
			subset = append(subset, rep)
		}
	}
	slices.SortFunc(subset, func(a, b *replica) int { return strings.Compare(a.name, b.name) })
	return subset
}

// watchList returns the servers of all subsets, sorted.
func (r *Router) watchList() Watch {
	var ids []ident.BackendServer
	for _, svc := range r.services {
		for _, rep := range svc.replicas {
			for _, s := range rep.stages {
				ids = append(ids, s.ID)
			}
		}
	}
	slices.Sort(ids)
	return Watch{Servers: ids}
}
