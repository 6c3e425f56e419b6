package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// service is the backend servers of one service.
type service struct {
	servers  []*server  // all, sorted by id
	replicas []*replica // the subset in sight, sorted by name
	next     int        // of round robin
}

// replica is a set of servers that covers the model by itself.
type replica struct {
	name   string
	domain ident.FailureDomain
	stages []*server
}

// replaceServers takes the VM list. What is known of a server stays.
func (r *Router) replaceServers(now time.Duration, list []Server) []Action {
	old := r.servers
	first := len(old) == 0
	r.servers = map[ident.BackendServer]*server{}
	services := map[ident.Service]*service{}
	r.othersSum, r.ownSum = 0, 0
	for _, listed := range list {
		if r.servers[listed.ID] != nil {
			continue // named twice
		}
		s := old[listed.ID]
		if s == nil || s.Service != listed.Service || s.LayerFrom != listed.LayerFrom || s.LayerTo != listed.LayerTo {
			s = &server{capacity: r.cfg.DefaultCapacity, since: now, slowStart: !first}
		}
		s.take(now, listed)
		r.servers[listed.ID] = s
		r.othersSum += s.others
		r.ownSum += s.ownThen
		if services[listed.Service] == nil {
			services[listed.Service] = &service{}
		}
		services[listed.Service].servers = append(services[listed.Service].servers, s)
	}
	for name, svc := range services {
		sort.Slice(svc.servers, func(i, j int) bool { return svc.servers[i].ID < svc.servers[j].ID })
		svc.replicas = r.subset(assemble(svc.servers))
		if known := r.services[name]; known != nil {
			svc.next = known.next
		}
	}
	r.services = services
	return []Action{r.watch()}
}

// assemble groups servers to replicas whose stages cover the model.
func assemble(servers []*server) []*replica {
	byName := map[string]*replica{}
	for _, s := range servers {
		rep := byName[s.Replica]
		if rep == nil {
			rep = &replica{name: s.Replica}
			byName[s.Replica] = rep
		}
		rep.stages = append(rep.stages, s)
	}
	var whole []*replica
	for _, rep := range byName {
		sort.Slice(rep.stages, func(i, j int) bool { return rep.stages[i].LayerFrom < rep.stages[j].LayerFrom })
		if covers(rep.stages) {
			rep.domain = rep.stages[0].Place.FailureDomain
			whole = append(whole, rep)
		}
	}
	sort.Slice(whole, func(i, j int) bool { return whole[i].name < whole[j].name })
	return whole
}

// covers reports whether the stages run every layer exactly once, in order. An
// application is one server without layers.
func covers(stages []*server) bool {
	total := stages[0].LayersTotal
	if total == 0 {
		return len(stages) == 1
	}
	at := 0
	for _, s := range stages {
		if s.LayersTotal != total || s.LayerFrom != at || s.LayerTo <= at {
			return false
		}
		at = s.LayerTo
	}
	return at == total
}

// subset keeps the replicas with the highest rendezvous hashes per failure
// domain.
func (r *Router) subset(all []*replica) []*replica {
	if r.cfg.SubsetPerDomain == 0 {
		return all
	}
	rank := map[*replica]uint64{}
	for _, rep := range all {
		rank[rep] = xxhash.Sum64String(string(r.cfg.Self) + "\x00" + rep.name)
	}
	byRank := slices.Clone(all)
	sort.SliceStable(byRank, func(i, j int) bool { return rank[byRank[i]] > rank[byRank[j]] })
	taken := map[ident.FailureDomain]int{}
	var kept []*replica
	for _, rep := range byRank {
		if taken[rep.domain] < r.cfg.SubsetPerDomain {
			taken[rep.domain]++
			kept = append(kept, rep)
		}
	}
	slices.SortFunc(kept, func(a, b *replica) int { return strings.Compare(a.name, b.name) })
	return kept
}

// watch names the servers of the subsets, sorted.
func (r *Router) watch() Watch {
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
