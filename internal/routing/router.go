package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Stats counts what a Router did.
type Stats struct {
	// InFlight is the number of picked requests that are not done.
	InFlight int `json:"in_flight"`
	// Picked and NoServer count requests that got backend servers or none.
	Picked   uint64 `json:"picked"`
	NoServer uint64 `json:"no_server"`
	// Composed counts pipelines put together from several replicas.
	Composed uint64 `json:"composed"`
	// Ejections counts backend servers that were ejected.
	Ejections uint64 `json:"ejections"`
	// HintGaps counts gaps in the cache events.
	HintGaps uint64 `json:"hint_gaps"`
	// HintTrust is how much of the hoped-for prefill is really saved, 0 to 1.
	HintTrust float64 `json:"hint_trust"`
}

// Router chooses backend servers for one entry. It is not safe for concurrent
// use.
type Router struct {
	cfg      Config
	rng      *rand.Rand
	servers  map[ident.BackendServer]*server
	services map[ident.Service]*service
	links    map[ident.FailureDomain]time.Duration
	flights  map[uint64]*flight
	nextID   uint64
	trust    float64
	kinds    map[kind]times
	// othersSum and ownSum are the sums of the servers' others and ownThen.
	othersSum float64
	ownSum    float64
	stats     Stats
}

// flight is a picked request that is not done.
type flight struct {
	req     Request
	servers []*server
	lead    *server // first stage: bears the prefill observations
	hinted  int
	queued  bool // it was expected to wait for a place in the batch
}

// New returns a Router that knows no backend server yet.
func New(cfg Config) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Router{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0x726f757465)),
		servers:  map[ident.BackendServer]*server{},
		services: map[ident.Service]*service{},
		links:    map[ident.FailureDomain]time.Duration{},
		flights:  map[uint64]*flight{},
		trust:    initialTrust,
		kinds:    map[kind]times{},
	}, nil
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.stats.InFlight = len(r.flights)
	r.stats.HintTrust = r.trust
	return r.stats
}

// Step takes one event at process time now.
func (r *Router) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Servers:
		return r.replaceServers(now, ev.List)
	case Leaving:
		r.hear(now, ev.Server)
	case Load:
		r.load(now, ev)
	case Link:
		r.links[ev.To] = ev.OneWay
	case CacheEvent:
		r.cacheEvent(ev)
	case Moved:
		r.moved(now, ev)
	case Done:
		r.done(now, ev)
	case Failed:
		return r.failed(now, ev.Server)
	case Worked:
		r.worked(now, ev.Server)
	}
	return nil
}

// Pick chooses backend servers for a request and counts it in flight until
// Done. It reports false if no usable set of servers is known.
func (r *Router) Pick(now time.Duration, req Request) (Pipeline, bool) {
	svc, ok := r.services[req.Service]
	if !ok {
		r.stats.NoServer++
		return Pipeline{}, false
	}
	stages := r.choose(now, svc, req)
	if stages == nil {
		stages = r.compose(now, svc, req)
	}
	if stages == nil {
		r.stats.NoServer++
		return Pipeline{}, false
	}
	return r.start(now, req, stages), true
}

// start counts a request in flight at its servers.
func (r *Router) start(now time.Duration, req Request, stages []*server) Pipeline {
	r.nextID++
	f := &flight{req: req, servers: slices.Clone(stages), lead: stages[0]}
	f.queued = r.estimate(now, f.lead)+1 > float64(f.lead.capacity)
	f.hinted = f.lead.hints.longest(req.Prefixes)
	r.flights[r.nextID] = f
	r.stats.Picked++
	p := Pipeline{ID: r.nextID, Layers: stages[0].LayersTotal, HintedTokens: f.hinted}
	for _, s := range stages {
		s.addOwn(now, 1)
		p.Stages = append(p.Stages, Stage{From: s.LayerFrom, To: s.LayerTo, Server: s.ID})
	}
	return p
}

// PickReplacement chooses another backend server for the layers [from, to) of a
// service. Ejected ones are tried if no other is left: a stream that waits has
// nothing to lose by it. The shell says Moved once the request uses it.
func (r *Router) PickReplacement(now time.Duration, name ident.Service, from, to int, exclude []ident.BackendServer) (ident.BackendServer, bool) {
	svc, ok := r.services[name]
	if !ok {
		return "", false
	}
	var healthy, ejected []*server
	for _, s := range svc.servers {
		if s.LayerFrom != from || s.LayerTo != to || r.leaves(now, s) || slices.Contains(exclude, s.ID) {
			continue
		}
		if r.healthy(now, s) {
			healthy = append(healthy, s)
		} else {
			ejected = append(ejected, s)
		}
	}
	if len(healthy) == 0 {
		healthy = ejected
	}
	if len(healthy) == 0 {
		return "", false
	}
	return r.leastStage(now, healthy).ID, true
}

func (r *Router) moved(now time.Duration, ev Moved) {
	f, ok := r.flights[ev.ID]
	to, known := r.servers[ev.To]
	if !ok || !known {
		return
	}
	for i, s := range f.servers {
		if s.ID == ev.From {
			s.addOwn(now, -1)
			to.addOwn(now, 1)
			f.servers[i] = to
			return
		}
	}
}

func (r *Router) done(now time.Duration, ev Done) {
	f, ok := r.flights[ev.ID]
	if !ok {
		return
	}
	delete(r.flights, ev.ID)
	r.observe(now, f, ev)
	for _, s := range f.servers {
		s.addOwn(now, -1)
	}
}
