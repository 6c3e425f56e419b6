package placement

import (
	"math"
	"sort"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
)

// Demand holds the requests per second that arrive in each failure domain.
type Demand map[string]float64

// Total returns the requests per second of all failure domains.
func (d Demand) Total() float64 {
	sum := 0.0
	for _, rate := range d {
		sum += rate
	}
	return sum
}

// Estimate predicts what a placement serves of a demand, in requests per second. A
// request counts once, under the cheapest way that has capacity for it.
type Estimate struct {
	// Local requests use a model copy in the failure domain they arrive in.
	Local float64
	// Remote requests use a model copy in another failure domain. Only their events cross
	// the link.
	Remote float64
	// Crossing requests use paths over several failure domains. The activations of each
	// of their tokens cross the link.
	Crossing float64
}

// Served returns the requests per second that are served at all.
func (e Estimate) Served() float64 { return e.Local + e.Remote + e.Crossing }

const (
	// usableKVShare is the share of a KV cache that requests can fill. The dispatch leaves
	// the rest free because the loads it knows are some hundred milliseconds old.
	usableKVShare = 0.9
	// usableLinkShare is the share of the cross-domain link that crossing paths can use.
	usableLinkShare = 0.85
	// stageOverhead is the time per token and stage beside the step: the wait for the
	// current pass to end, and the transfer.
	stageOverhead = 300 * time.Microsecond
)

// Evaluate predicts what the servers serve of a demand with the layers they hold, for
// requests of the usual size. Suspect servers count as holding nothing.
//
// The limits are the KV cache and the time for which a request occupies it, the slots of
// first stages, and the cross-domain link. Each failure domain serves its own requests
// first, then those of others; what is left of all domains serves crossing paths.
func Evaluate(spec *engine.Spec, servers []Server, demand Demand) Estimate {
	return newFleet(spec, servers).serve(demand)
}

// layerCapacity sums the servers that hold one layer. Requests are spread over the servers
// in proportion to their KV caches.
type layerCapacity struct {
	requests float64 // that fit in the KV caches at once
	factor   float64 // sum of requests x step factor
	factor2  float64 // sum of requests^2 x step factor
	prefill  float64 // sum of requests x prefill factor
	stages   float64 // sum of requests / layers held: the stages that pass this layer
}

func (c *layerCapacity) add(o layerCapacity) {
	c.requests += o.requests
	c.factor += o.factor
	c.factor2 += o.factor2
	c.prefill += o.prefill
	c.stages += o.stages
}

// domainCapacity is what the servers of one failure domain hold together.
type domainCapacity struct {
	layers []layerCapacity
	slots  float64 // of its first stages
	used   float64 // concurrent requests that use every layer
}

// fleet holds the capacity of every failure domain for requests of the usual size.
type fleet struct {
	spec    *engine.Spec
	names   []string // sorted
	domains map[string]*domainCapacity
}

func newFleet(spec *engine.Spec, servers []Server) *fleet {
	f := &fleet{spec: spec, domains: map[string]*domainCapacity{}}
	for i := range servers {
		f.addServer(&servers[i])
	}
	sort.Strings(f.names)
	return f
}

func (f *fleet) addServer(s *Server) {
	if s.Suspect || s.Held.Len() == 0 || !ValidLayers(f.spec, s.Held) {
		return
	}
	d := f.domains[s.Domain]
	if d == nil {
		d = &domainCapacity{layers: make([]layerCapacity, f.spec.Layers)}
		f.domains[s.Domain] = d
		f.names = append(f.names, s.Domain)
	}
	n := float64(s.Held.Len())
	requests := f.spec.KVCapacity(s.Accelerator, s.Held.Len()) / n / f.requestTokens() * usableKVShare
	c := layerCapacity{requests: requests, factor: requests * s.Accelerator.StepFactor, factor2: requests * requests * s.Accelerator.StepFactor,
		prefill: requests * s.Accelerator.PrefillFactor, stages: requests / n}
	for l := s.Held.From; l < s.Held.To; l++ {
		d.layers[l].add(c)
	}
	if s.Held.From == 0 {
		d.slots += float64(f.spec.Slots)
	}
}

// ValidLayers reports whether a range that a server reports lies within the model.
func ValidLayers(spec *engine.Spec, l backend.Layers) bool {
	return l.From >= 0 && l.From <= l.To && l.To <= spec.Layers
}

func (f *fleet) requestTokens() float64 { return max(1, f.spec.PromptTokens+f.spec.AnswerTokens) }

// serve assigns the demand to model copies of the same domain, to those of other domains
// and to crossing paths, in this order.
func (f *fleet) serve(demand Demand) Estimate {
	var e Estimate
	spare := 0.0
	for _, name := range f.names {
		d := f.domains[name]
		most := f.localRate(d)
		local := min(demand[name], most)
		e.Local += local
		spare += most - local
	}
	unserved := demand.Total() - e.Local
	e.Remote = min(unserved, spare)
	if unserved -= e.Remote; unserved > 0 {
		// All model copies are in use, so only what they leave over is free.
		for _, d := range f.domains {
			d.used = f.concurrent(d.layers, d.slots)
		}
		e.Crossing = min(unserved, f.crossingRate())
	}
	return e
}

// localRate returns the requests per second that the model copies of a domain serve.
func (f *fleet) localRate(d *domainCapacity) float64 {
	concurrent := f.concurrent(d.layers, d.slots)
	if concurrent <= 0 {
		return 0
	}
	return concurrent / f.residence(d.layers, concurrent).Seconds()
}

// concurrent returns the number of requests that fit in every layer at once.
func (f *fleet) concurrent(layers []layerCapacity, slots float64) float64 {
	least := math.Inf(1)
	if f.spec.Slots > 0 {
		least = slots
	}
	for i := range layers {
		least = min(least, layers[i].requests)
	}
	return least
}

// residence predicts how long a request occupies the KV caches of its path while the given
// number of requests runs: the prefill, then a step of every layer for each token.
func (f *fleet) residence(layers []layerCapacity, concurrent float64) time.Duration {
	spec := f.spec
	perStream := float64(spec.PerStream) + (spec.PromptTokens+spec.AnswerTokens/2)/1000*float64(spec.PerContext)
	prompt := spec.PromptTokens / spec.PrefillTokensPerSecond * float64(time.Second)
	var prefill, token float64
	for i := range layers {
		c := &layers[i]
		if c.requests <= 0 {
			continue
		}
		prefill += prompt * c.prefill / c.requests / float64(spec.Layers)
		token += (float64(spec.Step)*c.factor/c.requests + perStream*concurrent*c.factor2/(c.requests*c.requests)) / float64(spec.Layers)
		token += float64(stageOverhead) * c.stages / c.requests
	}
	return max(time.Millisecond, time.Duration(prefill+token*spec.AnswerTokens))
}

// crossingRate returns the requests per second that fit in what the model copies of all
// domains leave over, on paths that change the failure domain as rarely as possible.
func (f *fleet) crossingRate() float64 {
	free := make([]layerCapacity, f.spec.Layers)
	slots := 0.0
	for _, name := range f.names {
		d := f.domains[name]
		slots += max(0, d.slots-max(0, d.used))
		for l := range d.layers {
			c := d.layers[l]
			if left := c.requests - max(0, d.used); left > 0 {
				share := left / c.requests
				free[l].add(layerCapacity{requests: left, factor: c.factor * share, factor2: c.factor2 * share * share, prefill: c.prefill * share, stages: c.stages * share})
			}
		}
	}
	concurrent := f.concurrent(free, slots)
	if concurrent <= 0 {
		return 0
	}
	rate := concurrent / f.residence(free, concurrent).Seconds()
	if link := f.spec.CrossDomainTokensPerSecond() * usableLinkShare; link > 0 {
		rate = min(rate, link/f.requestTokens()/float64(f.fewestCrossings()))
	}
	return rate
}

// fewestCrossings returns how often a path over the free capacity changes the failure
// domain at least, 1 or more.
func (f *fleet) fewestCrossings() int {
	crossings := -1
	for next := 0; next < f.spec.Layers; crossings++ {
		furthest := next
		for _, d := range f.domains {
			l := next
			for l < f.spec.Layers && d.layers[l].requests > max(0, d.used) {
				l++
			}
			furthest = max(furthest, l)
		}
		if furthest == next {
			break
		}
		next = furthest
	}
	return max(1, crossings)
}
