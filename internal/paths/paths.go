// Package paths chooses the backend servers that a streamed request passes through: a
// list of stages that covers every layer of the model once and in order.
//
// The choice is a shortest path over the boundaries of the held layer ranges. The
// weight of a stage is the predicted time that the request spends there in total: the
// prefill of its prompt, then a step for each token of the answer. Requests already in
// progress slow the steps (internal/engine). Crossing to another failure domain adds the
// link delay for each token and a cost for the shared link.
package paths

import (
	"math"
	"sort"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
)

// MaxStages is the longest path that a backend server accepts.
const MaxStages = 32

// Stage is one backend server and the layers that a request runs there.
type Stage struct {
	Instance backend.Instance
	Addr     string
	Layers   backend.Layers
}

// Candidate is a backend server that may become a stage, with its estimated load.
type Candidate struct {
	Instance    backend.Instance
	Addr        string
	Domain      string
	Accelerator engine.Accelerator
	Held        backend.Layers
	// Streams and TokenLayers (KV cache in use, in tokens x layers) are the estimated
	// work in progress of all VMs.
	Streams     float64
	TokenLayers float64
	// FirstStageStreams counts the streams of all VMs with this server as first stage.
	// The server runs Slots of them at once; 0 means no limit.
	FirstStageStreams, Slots float64
	// NotFirst excludes the server as first stage.
	NotFirst bool
	// Slowdown multiplies the accelerator's times; 1 is not slowed down.
	Slowdown float64
	// Penalty is added once per stage; it marks a server of last resort.
	Penalty time.Duration
	// LayerPenalty is added for each layer that the server would run.
	LayerPenalty time.Duration
}

// Request describes the request to find a path for.
type Request struct {
	PromptTokens, AnswerTokens float64
	// Layers is the range to cover; the zero value means the whole model.
	Layers backend.Layers
	// Domain is the failure domain the request comes from: that of the VM if Layers
	// starts at the first layer, else that of the stage before Layers. NextDomain is the
	// failure domain of the stage after Layers, "" for none.
	Domain, NextDomain string
	// LinkUtilization is the used fraction of the cross-domain link's usable share. At 1
	// or above, no path may cross failure domains.
	LinkUtilization float64
	// MaxUtilization is the share, 0 to 1, of a candidate's KV cache and slots that may be
	// used.
	MaxUtilization float64
	// AllowedFirst lists the only servers allowed as first stage; empty allows all.
	AllowedFirst map[backend.ID]bool
	// HeldPrompt lists the tokens from the start of the prompt that servers still hold. The
	// cost counts the prefill of the others only. It is here and not in Candidate so that it
	// costs nothing while it is nil.
	HeldPrompt map[backend.ID][]prefixcache.Held
	// SpreadFirst applies Config.FirstStageShare.
	SpreadFirst bool

	firstBound firstStageBound
}

// firstStageBound is the bound on the streams that start at one server, as a cost. The zero
// value has no bound.
type firstStageBound struct {
	streams float64 // of all servers, with the request to find a path for
	share   float64
	// localCost is the lowest cost of a server in the request's failure domain. It is added
	// in other domains, so that the bound is no reason to start there.
	localCost float64
}

// Config holds the settings of the search.
type Config struct {
	// StageCost is added for each stage: the mean wait for the current pass to end and
	// the overhead of one more stage. Default 4 ms.
	StageCost time.Duration
	// CrossingCost is added for each change of the failure domain, because the link is
	// shared and its use has a price. Default 1 s.
	CrossingCost time.Duration
	// RemoteFirstStageCost is added if the first stage is in another failure domain than
	// the VM. It is below CrossingCost because only the answer's events cross the link:
	// a few kilobytes, against tens of megabytes of activations. Default 700 ms.
	RemoteFirstStageCost time.Duration
	// FirstStageShare is the share of the service's streams, of all VMs, from which a server
	// costs more as first stage; it is never below one over the number of servers that could
	// be first stage. A crash of a first stage ends the run of each of its streams. 0 disables
	// the bound. Default 0.12.
	FirstStageShare float64
	// FirstStageCost is the cost of a server as first stage at twice that share. It rises
	// linearly from 0 at the share itself. At 2 s, more moved streams were late in simulated
	// crashes under 1.3 times the usual rate. Default 1 s.
	FirstStageCost time.Duration
}

// minSpreadStreams is the number of streams of a service from which Config.FirstStageShare
// applies. Shares of fewer streams are a matter of chance.
const minSpreadStreams = 20

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{StageCost: 4 * time.Millisecond, CrossingCost: time.Second, RemoteFirstStageCost: 700 * time.Millisecond, FirstStageShare: 0.12, FirstStageCost: time.Second}
}

// Path is the result of a search.
type Path struct {
	Stages []Stage
	// Cost is the predicted time of the request in all stages plus the costs of Config.
	Cost time.Duration
	// FirstToken is the predicted time to the first token. It counts the whole prompt, because
	// timeouts depend on it and what a server still holds is only an estimate.
	FirstToken time.Duration
	// HeldTokens is the number of prompt tokens that the servers need not read, as a mean
	// over the layers.
	HeldTokens float64
	// Pause is the predicted time between two events of the answer.
	Pause time.Duration
	// AboveFirstShare is set if a server that could be first stage is above
	// Config.FirstStageShare, so that the search without SpreadFirst may find another path.
	AboveFirstShare bool
}

// partialPath is the cheapest path found from the first layer to a boundary, for one
// failure domain of its last stage. Times are in nanoseconds.
type partialPath struct {
	cost       float64
	firstToken float64
	prevDomain int // index of the previous stage's failure domain, -1 at the start
	candidate  int // index of the last stage
	start      int // boundary at which the last stage starts
}

// Find returns the path with the lowest cost. It returns false if there is none: the
// candidates with enough free KV cache, and a free slot for the first stage, do not cover
// the layers, or every path would cross a saturated link or exceed MaxStages.
func Find(cfg Config, spec *engine.Spec, candidates []Candidate, r Request) (Path, bool) {
	if r.Layers.Len() == 0 {
		r.Layers = backend.Layers{To: spec.Layers}
	}
	all := candidates
	candidates = withFreeKV(spec, candidates, r)
	above := false
	if r.SpreadFirst && cfg.FirstStageShare > 0 && startsAtFirstLayer(&r) {
		above = r.boundFirstStages(cfg, all, candidates)
	}
	bounds := boundaries(r.Layers, candidates)
	domains := domainIndex(candidates)
	extraStageCost := 0.0
	if len(r.HeldPrompt) > 0 {
		if p, ok := shortestPath(cfg, spec, candidates, bounds, domains, &r, extraStageCost); ok && len(p.Stages) <= MaxStages {
			p.AboveFirstShare = above
			return p, true
		}
		// What servers hold must not be the reason for a path that is too long.
		r.HeldPrompt = nil
	}
	// If the path has too many stages, search again with a higher cost per stage.
	for range 4 {
		p, ok := shortestPath(cfg, spec, candidates, bounds, domains, &r, extraStageCost)
		if !ok {
			return Path{}, false
		}
		if len(p.Stages) <= MaxStages {
			p.AboveFirstShare = above
			return p, true
		}
		extraStageCost = extraStageCost*4 + float64(20*time.Millisecond)
	}
	return Path{}, false
}

// MissingLayers returns the first range of the model's layers for which no candidate has
// enough free KV cache, for the text of a refusal. It is empty if every layer has one
// and only the limits on the first stage, the cross-domain link or MaxStages prevent a
// path.
func MissingLayers(spec *engine.Spec, candidates []Candidate, r Request) backend.Layers {
	held := make([]bool, spec.Layers+1)
	for _, c := range withFreeKV(spec, candidates, r) {
		for l := max(0, c.Held.From); l < min(c.Held.To, spec.Layers); l++ {
			held[l] = true
		}
	}
	from := 0
	for from < spec.Layers && held[from] {
		from++
	}
	to := from
	for to < spec.Layers && !held[to] {
		to++
	}
	return backend.Layers{From: from, To: to}
}

// Covered reports whether the candidates together hold every layer of the model,
// regardless of their free KV cache.
func Covered(spec *engine.Spec, candidates []Candidate) bool {
	next := 0
	for moved := true; moved && next < spec.Layers; {
		moved = false
		for _, c := range candidates {
			if c.Held.From <= next && c.Held.To > next {
				next, moved = c.Held.To, true
			}
		}
	}
	return next >= spec.Layers
}

// withFreeKV returns the candidates whose KV cache can take the request in all their
// layers.
func withFreeKV(spec *engine.Spec, candidates []Candidate, r Request) []Candidate {
	out := candidates[:0:0]
	for _, c := range candidates {
		capacity := spec.KVCapacity(c.Accelerator, c.Held.Len()) * r.MaxUtilization
		// Conservative: the request may use only a part of the held layers.
		if c.Held.Len() > 0 && c.TokenLayers+(r.PromptTokens+r.AnswerTokens)*float64(c.Held.Len()) <= capacity {
			out = append(out, c)
		}
	}
	return out
}

// boundaries returns the ends of all and of the held ranges within all, sorted.
func boundaries(all backend.Layers, candidates []Candidate) []int {
	seen := map[int]bool{all.From: true, all.To: true}
	for _, c := range candidates {
		seen[c.Held.From], seen[c.Held.To] = true, true
	}
	out := make([]int, 0, len(seen))
	for b := range seen {
		if b >= all.From && b <= all.To {
			out = append(out, b)
		}
	}
	sort.Ints(out)
	return out
}

// domainIndex numbers the failure domains of the candidates from 0.
func domainIndex(candidates []Candidate) map[string]int {
	out := map[string]int{}
	for _, c := range candidates {
		if _, ok := out[c.Domain]; !ok {
			out[c.Domain] = len(out)
		}
	}
	return out
}

// shortestPath is Dijkstra's algorithm on a line: it visits the boundaries in ascending
// order and keeps for each of them the cheapest partial path per failure domain of the last
// stage.
func shortestPath(cfg Config, spec *engine.Spec, candidates []Candidate, bounds []int, domains map[string]int, r *Request, extraStageCost float64) (Path, bool) {
	boundIndex := make(map[int]int, len(bounds))
	for i, b := range bounds {
		boundIndex[b] = i
	}
	numDomains := len(domains)
	best := make([]partialPath, len(bounds)*numDomains)
	for i := range best {
		best[i].cost = math.Inf(1)
	}
	for i, start := range bounds[:len(bounds)-1] {
		for ci := range candidates {
			c := &candidates[ci]
			if c.Held.From > start || c.Held.To <= start {
				continue
			}
			prefix, ok := cheapestPrefix(cfg, spec, best[i*numDomains:(i+1)*numDomains], start, c, candidates, r)
			if !ok {
				continue
			}
			domain := domains[c.Domain]
			held := r.HeldPrompt[c.Instance.ID]
			for j := i + 1; j < len(bounds) && bounds[j] <= c.Held.To; j++ {
				total, firstToken := stageCost(cfg, spec, c, bounds[j]-start, r)
				if len(held) > 0 {
					total -= savedPrefill(spec, c, held, backend.Layers{From: start, To: bounds[j]}, r)
				}
				next := partialPath{cost: prefix.cost + total + extraStageCost, firstToken: prefix.firstToken + firstToken, prevDomain: prefix.prevDomain, candidate: ci, start: start}
				if next.cost < best[j*numDomains+domain].cost {
					best[j*numDomains+domain] = next
				}
			}
		}
	}
	return buildPath(cfg, spec, best, bounds, candidates, numDomains, boundIndex, r)
}

// cheapestPrefix returns the cheapest partial path to boundary start that c can continue.
func cheapestPrefix(cfg Config, spec *engine.Spec, prefixes []partialPath, start int, c *Candidate, candidates []Candidate, r *Request) (partialPath, bool) {
	if start == r.Layers.From {
		return startPath(cfg, spec, c, r)
	}
	best := partialPath{cost: math.Inf(1)}
	for domain := range prefixes {
		p := &prefixes[domain]
		if math.IsInf(p.cost, 1) {
			continue
		}
		cost, firstToken := p.cost, p.firstToken
		if prevDomain := candidates[p.candidate].Domain; prevDomain != c.Domain {
			delay := float64(spec.Delay(prevDomain, c.Domain))
			cost += crossingCost(cfg, r) + delay*r.AnswerTokens
			firstToken += delay
		}
		if cost < best.cost {
			best = partialPath{cost: cost, firstToken: firstToken, prevDomain: domain}
		}
	}
	return best, !math.IsInf(best.cost, 1)
}

// boundFirstStages computes the bound on first stages from all candidates, and the costs of
// those with free KV cache. It reports whether one of these is above the bound.
func (r *Request) boundFirstStages(cfg Config, all, free []Candidate) bool {
	streams, servers := 1.0, 0
	for i := range all {
		streams += all[i].FirstStageStreams
		if mayStart(&all[i]) {
			servers++
		}
	}
	if streams < minSpreadStreams || servers == 0 {
		return false
	}
	r.firstBound = firstStageBound{streams: streams, share: max(cfg.FirstStageShare, 1/float64(servers))}
	above, localCost := false, math.Inf(1)
	for i := range free {
		if !mayStart(&free[i]) {
			continue
		}
		cost := r.firstBound.cost(cfg, &free[i])
		above = above || cost > 0
		if free[i].Domain == r.Domain {
			localCost = min(localCost, cost)
		}
	}
	if !math.IsInf(localCost, 1) {
		r.firstBound.localCost = localCost
	}
	return above
}

// mayStart reports whether c holds the first layer and takes requests.
func mayStart(c *Candidate) bool { return c.Held.From == 0 && c.Held.To > 0 && !c.NotFirst }

// cost returns the cost of c as first stage because of its share of the streams, in
// nanoseconds.
func (b *firstStageBound) cost(cfg Config, c *Candidate) float64 {
	return max(0, (c.FirstStageStreams+1)/b.streams/b.share-1) * float64(cfg.FirstStageCost)
}

// startPath returns the empty partial path before c as first stage, or false if c may not
// be the first stage. A complete path starts at the VM; a path that replaces a lost stage
// starts at the stage before it.
func startPath(cfg Config, spec *engine.Spec, c *Candidate, r *Request) (partialPath, bool) {
	p := partialPath{prevDomain: -1}
	switch {
	case startsAtFirstLayer(r) && len(r.AllowedFirst) > 0 && !r.AllowedFirst[c.Instance.ID]:
		return partialPath{}, false
	case startsAtFirstLayer(r) && c.NotFirst:
		return partialPath{}, false
	case startsAtFirstLayer(r) && c.Slots > 0 && c.FirstStageStreams+1 > c.Slots*r.MaxUtilization:
		return partialPath{}, false
	case r.Domain == "" || c.Domain == r.Domain:
	case startsAtFirstLayer(r):
		p.cost = float64(cfg.RemoteFirstStageCost)
	default:
		p.cost = crossingCost(cfg, r) + float64(spec.Delay(r.Domain, c.Domain))*r.AnswerTokens
	}
	if r.firstBound.share > 0 {
		p.cost += r.firstBound.cost(cfg, c)
		if c.Domain != r.Domain {
			p.cost += r.firstBound.localCost
		}
	}
	return p, true
}

// crossingCost returns the cost of a change of the failure domain, in nanoseconds. Like
// the wait in a queue, it grows as 1/(1-utilization); it is infinite on a saturated link.
func crossingCost(cfg Config, r *Request) float64 {
	if r.LinkUtilization >= 1 {
		return math.Inf(1)
	}
	return float64(cfg.CrossingCost) / (1 - r.LinkUtilization)
}

func startsAtFirstLayer(r *Request) bool { return r.Layers.From == 0 }

// stageCost predicts the time of a request in n layers of c and the time spent there
// before the first token, in nanoseconds.
func stageCost(cfg Config, spec *engine.Spec, c *Candidate, n int, r *Request) (total, firstToken float64) {
	contextTokens := r.PromptTokens + r.AnswerTokens/2
	stepTime := c.Slowdown * float64(spec.StepTime(c.Accelerator, n, c.Streams+1, contextTokens))
	firstToken = c.Slowdown*float64(spec.PrefillTime(c.Accelerator, n, r.PromptTokens)) + stepTime*float64(spec.Stride)/2
	return firstToken + stepTime*r.AnswerTokens + float64(cfg.StageCost) + float64(c.Penalty) + float64(n)*float64(c.LayerPenalty), firstToken
}

// savedPrefill predicts how much sooner c has read the prompt in the given layers because of
// what it still holds, in nanoseconds.
func savedPrefill(spec *engine.Spec, c *Candidate, held []prefixcache.Held, layers backend.Layers, r *Request) float64 {
	return c.Slowdown * float64(spec.PrefillTime(c.Accelerator, 1, heldTokenLayers(held, layers, r.PromptTokens)))
}

// heldTokenLayers returns what a server holds of a prompt in the given layers, in tokens x
// layers.
func heldTokenLayers(held []prefixcache.Held, layers backend.Layers, promptTokens float64) float64 {
	sum, unread := 0.0, promptTokens
	for _, h := range held {
		tokens := min(h.Tokens, unread)
		unread -= tokens
		overlap := backend.Layers{From: max(h.Layers.From, layers.From), To: min(h.Layers.To, layers.To)}
		sum += tokens * float64(overlap.Len())
	}
	return sum
}

// buildPath selects the cheapest partial path that ends at the last boundary and
// follows it back to the first stage.
func buildPath(cfg Config, spec *engine.Spec, best []partialPath, bounds []int, candidates []Candidate, numDomains int, boundIndex map[int]int, r *Request) (Path, bool) {
	last := len(bounds) - 1
	lowest, domain := math.Inf(1), -1
	for d := range numDomains {
		total := best[last*numDomains+d].cost
		if !math.IsInf(total, 1) && r.NextDomain != "" && candidates[best[last*numDomains+d].candidate].Domain != r.NextDomain {
			total += crossingCost(cfg, r)
		}
		if total < lowest {
			lowest, domain = total, d
		}
	}
	if domain < 0 {
		return Path{}, false
	}
	p := Path{Cost: time.Duration(lowest), FirstToken: time.Duration(best[last*numDomains+domain].firstToken)}
	var perToken time.Duration
	nextDomain := ""
	for i := last; i > 0; {
		partial := best[i*numDomains+domain]
		c := candidates[partial.candidate]
		layers := backend.Layers{From: partial.start, To: bounds[i]}
		p.Stages = append(p.Stages, Stage{Instance: c.Instance, Addr: c.Addr, Layers: layers})
		p.HeldTokens += heldTokenLayers(r.HeldPrompt[c.Instance.ID], layers, r.PromptTokens) / float64(r.Layers.Len())
		stepTime := spec.StepTime(c.Accelerator, layers.Len(), c.Streams+1, r.PromptTokens+r.AnswerTokens/2)
		perToken += time.Duration(c.Slowdown * float64(stepTime))
		if nextDomain != "" {
			perToken += spec.Delay(c.Domain, nextDomain)
		}
		nextDomain = c.Domain
		i, domain = boundIndex[partial.start], partial.prevDomain
	}
	p.Pause = perToken * time.Duration(max(1, spec.Stride))
	for a, b := 0, len(p.Stages)-1; a < b; a, b = a+1, b-1 {
		p.Stages[a], p.Stages[b] = p.Stages[b], p.Stages[a]
	}
	p.Stages = mergeRepeated(p.Stages)
	return p, true
}

// mergeRepeated merges the stages of a server that occurs twice with those between them.
// The server holds one contiguous range, so it can run all their layers.
func mergeRepeated(stages []Stage) []Stage {
	out := stages[:0:0]
	for _, st := range stages {
		for i := range out {
			if out[i].Instance == st.Instance {
				out[i].Layers.To = st.Layers.To
				out = out[:i+1]
				st.Addr = ""
				break
			}
		}
		if st.Addr != "" {
			out = append(out, st)
		}
	}
	return out
}
