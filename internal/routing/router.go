package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Stats holds the counters of a Router.
type Stats struct {
	// InFlight is the number of picked requests that have not ended.
	InFlight int `json:"in_flight"`
	// Picked counts requests that got backend servers, NoServer those that got none.
	Picked   uint64 `json:"picked"`
	NoServer uint64 `json:"no_server"`
	// Composed counts pipelines made of stages of several replicas.
	Composed uint64 `json:"composed"`
	// Ejections counts ejections of backend servers.
	Ejections uint64 `json:"ejections"`
	// HintGaps counts gaps in the cache events.
	HintGaps uint64 `json:"hint_gaps"`
	// HintTrust is the moving average of the share of correct hints, 0 to 1.
	HintTrust float64 `json:"hint_trust"`
}

// Router chooses backend servers for one entry. It is not safe for concurrent
// use.
type Router struct {
	cfg           Config
	rng           *rand.Rand
	servers       map[ident.BackendServer]*server
	services      map[ident.Service]*service
	links         map[ident.FailureDomain]time.Duration
	inFlight      map[uint64]*pickedRequest
	nextID        uint64
	hintTrust     float64
	byAccelerator map[acceleratorKey]computeTimes
	// othersSum and ownSum are the sums of otherRequests and ownAtReport over all
	// servers.
	othersSum float64
	ownSum    float64
	stats     Stats
}

// pickedRequest is a picked request that has not ended.
type pickedRequest struct {
	req             Request
	servers         []*server
	firstStage      *server // receives the prefill observation
	hintedTokens    int
	expectedToQueue bool // for a place in the batch of the first stage
}

// New returns a Router without backend servers.
func New(cfg Config) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Router{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, 0x726f757465)),
		servers:       map[ident.BackendServer]*server{},
		services:      map[ident.Service]*service{},
		links:         map[ident.FailureDomain]time.Duration{},
		inFlight:      map[uint64]*pickedRequest{},
		hintTrust:     initialHintTrust,
		byAccelerator: map[acceleratorKey]computeTimes{},
	}, nil
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.stats.InFlight = len(r.inFlight)
	r.stats.HintTrust = r.hintTrust
	return r.stats
}

// Step applies one event at process time now.
func (r *Router) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Servers:
		return r.replaceServers(now, ev.List)
	case Leaving:
		r.markLeaving(now, ev.Server)
	case Load:
		r.recordLoad(now, ev)
	case Link:
		r.links[ev.To] = ev.OneWay
	case CacheEvent:
		r.cacheEvent(ev)
	case Moved:
		r.moveRequest(now, ev)
	case Done:
		r.finishRequest(now, ev)
	case Failed:
		return r.recordFailure(now, ev.Server)
	case Worked:
		r.recordSuccess(now, ev.Server)
	}
	return nil
}

// Pick chooses backend servers for a request and counts it in flight until Done. It
// returns false if no usable set of servers exists.
func (r *Router) Pick(now time.Duration, req Request) (Pipeline, bool) {
	svc, ok := r.services[req.Service]
	if !ok {
		r.stats.NoServer++
		return Pipeline{}, false
	}
	stages := r.chooseReplica(now, svc, req)
	if stages == nil {
		stages = r.composePipeline(now, svc, req)
	}
	if stages == nil {
		r.stats.NoServer++
		return Pipeline{}, false
	}
	return r.startRequest(now, req, stages), true
}

// startRequest counts a request in flight at its servers.
func (r *Router) startRequest(now time.Duration, req Request, stages []*server) Pipeline {
	r.nextID++
	picked := &pickedRequest{req: req, servers: slices.Clone(stages), firstStage: stages[0]}
	picked.expectedToQueue = r.estimateLoad(now, picked.firstStage)+1 > float64(picked.firstStage.capacity)
	picked.hintedTokens = picked.firstStage.hints.longestMatch(req.Prefixes)
	r.inFlight[r.nextID] = picked
	r.stats.Picked++
	p := Pipeline{ID: r.nextID, Layers: stages[0].LayersTotal, HintedTokens: picked.hintedTokens}
	for _, s := range stages {
		s.addOwn(now, 1)
		p.Stages = append(p.Stages, Stage{From: s.LayerFrom, To: s.LayerTo, Server: s.ID})
	}
	return p
}

// PickReplacement chooses another backend server for the layers [from, to) of a service.
// It falls back to ejected servers, since otherwise the stream could only wait. The
// caller sends Moved once the request uses the replacement.
func (r *Router) PickReplacement(now time.Duration, name ident.Service, from, to int, exclude []ident.BackendServer) (ident.BackendServer, bool) {
	svc, ok := r.services[name]
	if !ok {
		return "", false
	}
	var healthy, ejected []*server
	for _, s := range svc.servers {
		if s.LayerFrom != from || s.LayerTo != to || r.isLeaving(now, s) || slices.Contains(exclude, s.ID) {
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
	return r.cheapestServer(now, healthy).ID, true
}

func (r *Router) moveRequest(now time.Duration, ev Moved) {
	picked, ok := r.inFlight[ev.ID]
	to, known := r.servers[ev.To]
	if !ok || !known {
		return
	}
	for i, s := range picked.servers {
		if s.ID == ev.From {
			s.addOwn(now, -1)
			to.addOwn(now, 1)
			picked.servers[i] = to
			return
		}
	}
}

func (r *Router) finishRequest(now time.Duration, ev Done) {
	picked, ok := r.inFlight[ev.ID]
	if !ok {
		return
	}
	delete(r.inFlight, ev.ID)
	r.recordTimes(now, picked, ev)
	for _, s := range picked.servers {
		s.addOwn(now, -1)
	}
}
