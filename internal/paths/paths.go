// Package paths chooses the backend servers that a streamed request passes: a
// list of parts that covers every layer of the model once and in order.
//
// The choice is a shortest path over the boundaries of the held ranges. The
// weight of a part is the predicted time that the whole request spends there:
// reading its prompt, then a step for each token of the answer, both slowed by the
// requests that are already there (internal/engine). Crossing to another failure
// domain adds the links' delay for each token and a price for the shared pipe.
package paths

import (
	"math"
	"sort"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
)

// MaxParts is the longest path that a backend server accepts.
const MaxStages = 32

// Part is one backend server and the layers that a request runs there.
type Stage struct {
	Instance backend.Instance
	Addr     string
	Layers   backend.Layers
}

// Holder is a backend server that may be used, with the work of all VMs there.
type Candidate struct {
	Instance    backend.Instance
	Addr        string
	Domain      string
	Accelerator engine.Accelerator
	Held        backend.Layers
	// Streams and TokenLayers are the estimated work in progress of all VMs.
	Streams     float64
	TokenLayers float64
	// Firsts are the streams of all VMs that were sent to this server, of which it
	// runs Slots at once; 0 slots for no bound.
	FirstStageStreams, Slots float64
	// SlowX multiplies the card's times.
	Slowdown float64
	// Penalty is added once, for a holder that is used only for want of others.
	Penalty time.Duration
}

// Request is what a path is looked for.
type Request struct {
	PromptTokens, AnswerTokens float64
	// Layers is the range to cover; the zero value means the whole model.
	Layers backend.Layers
	// Domain is where the request comes from: the VM for a whole path, the part
	// before Layers otherwise. NextDomain is where it goes on; "" for nowhere.
	Domain, NextDomain string
	// PipeUse is the part of the pipe between failure domains that is in use. From 1
	// on no path may cross.
	LinkUtilization float64
	// FullShare is the part of a holder's KV cache that may be planned for.
	MaxUtilization float64
	// First, where not empty, holds the only servers that may come first.
	AllowedFirst map[backend.ID]bool
}

// Config holds the settings of the search.
type Config struct {
	// PartCost is added for each part: the mean wait for a pass to end and the
	// work that a further part makes. Default 4 ms.
	StageCost time.Duration
	// CrossingCost is added for each change of the failure domain, for the shared
	// pipe and its price. Default 1 s.
	CrossingCost time.Duration
	// AwayCost is added when the first part stands in another failure domain than
	// the VM: every event of the answer crosses, a few kilobytes against tens of
	// megabytes of activations. Default 700 ms.
	RemoteFirstStageCost time.Duration
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{StageCost: 4 * time.Millisecond, CrossingCost: time.Second, RemoteFirstStageCost: 700 * time.Millisecond}
}

// Path is the result of a search.
type Path struct {
	Stages []Stage
	// Cost is the predicted time of the whole request, with what was added.
	Cost time.Duration
	// First is the predicted time to the first token.
	FirstToken time.Duration
}

type state struct {
	cost   float64
	first  float64
	from   int // index of the state before, -1 at the start
	holder int
	at     int // boundary
}

// Find returns the path of least predicted time, or ok false where the holders
// with room cover no whole model.
func Find(cfg Config, spec *engine.Spec, holders []Candidate, r Request) (Path, bool) {
	if r.Layers.Len() == 0 {
		r.Layers = backend.Layers{To: spec.Layers}
	}
	holders = withRoom(spec, holders, r)
	bounds := boundaries(r.Layers, holders)
	domains := domainsOf(holders)
	extra := 0.0
	// A path with too many parts is looked for again with dearer parts.
	for range 4 {
		p, ok := search(cfg, spec, holders, bounds, domains, r, extra)
		if !ok {
			return Path{}, false
		}
		if len(p.Stages) <= MaxStages {
			return p, true
		}
		extra = extra*4 + float64(20*time.Millisecond)
	}
	return Path{}, false
}

// Lacking returns the first range of layers of which no holder has room for the
// request: what a refusal is for. It is empty where only the pipe between failure
// domains is in the way.
func MissingLayers(spec *engine.Spec, holders []Candidate, r Request) backend.Layers {
	held := make([]bool, spec.Layers+1)
	for _, h := range withRoom(spec, holders, r) {
		for l := max(0, h.Held.From); l < min(h.Held.To, spec.Layers); l++ {
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

// Covered reports whether the holders hold every layer of the model, with room or
// without.
func Covered(spec *engine.Spec, holders []Candidate) bool {
	next := 0
	for moved := true; moved && next < spec.Layers; {
		moved = false
		for _, h := range holders {
			if h.Held.From <= next && h.Held.To > next {
				next, moved = h.Held.To, true
			}
		}
	}
	return next >= spec.Layers
}

// withRoom leaves out the holders whose KV cache has no room for the request in
// all their layers.
func withRoom(spec *engine.Spec, holders []Candidate, r Request) []Candidate {
	out := holders[:0:0]
	for _, h := range holders {
		room := spec.KVCapacity(h.Accelerator, h.Held.Len()) * r.MaxUtilization
		// A sub-range needs less; the whole range is the safe reading.
		if h.Held.Len() > 0 && h.TokenLayers+(r.PromptTokens+r.AnswerTokens)*float64(h.Held.Len()) <= room {
			out = append(out, h)
		}
	}
	return out
}

func boundaries(all backend.Layers, holders []Candidate) []int {
	seen := map[int]bool{all.From: true, all.To: true}
	for _, h := range holders {
		seen[h.Held.From], seen[h.Held.To] = true, true
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

func domainsOf(holders []Candidate) map[string]int {
	out := map[string]int{}
	for _, h := range holders {
		if _, ok := out[h.Domain]; !ok {
			out[h.Domain] = len(out)
		}
	}
	return out
}

// search is Dijkstra on a line: boundaries are taken in rising order, and each
// keeps the best way that ends in each failure domain.
func search(cfg Config, spec *engine.Spec, holders []Candidate, bounds []int, domains map[string]int, r Request, extra float64) (Path, bool) {
	index := make(map[int]int, len(bounds))
	for i, b := range bounds {
		index[b] = i
	}
	nd := len(domains)
	best := make([]state, len(bounds)*nd)
	for i := range best {
		best[i].cost = math.Inf(1)
	}
	for i, at := range bounds[:len(bounds)-1] {
		for hi := range holders {
			h := &holders[hi]
			if h.Held.From > at || h.Held.To <= at {
				continue
			}
			before, ok := cheapest(cfg, spec, best[i*nd:(i+1)*nd], at, h, holders, r)
			if !ok {
				continue
			}
			slot := domains[h.Domain]
			for j := i + 1; j < len(bounds) && bounds[j] <= h.Held.To; j++ {
				total, first := partCost(cfg, spec, h, bounds[j]-at, r)
				next := state{cost: before.cost + total + extra, first: before.first + first, from: before.from, holder: hi, at: at}
				if next.cost < best[j*nd+slot].cost {
					best[j*nd+slot] = next
				}
			}
		}
	}
	return collect(cfg, best, bounds, holders, nd, index, r)
}

// cheapest returns the best way to reach boundary at and go on with h.
func cheapest(cfg Config, spec *engine.Spec, states []state, at int, h *Candidate, holders []Candidate, r Request) (state, bool) {
	if at == r.Layers.From {
		return entry(cfg, spec, h, r)
	}
	out := state{cost: math.Inf(1)}
	for slot := range states {
		s := &states[slot]
		if math.IsInf(s.cost, 1) {
			continue
		}
		cost, first := s.cost, s.first
		if from := holders[s.holder].Domain; from != h.Domain {
			delay := float64(spec.Delay(from, h.Domain))
			cost += crossing(cfg, r) + delay*r.AnswerTokens
			first += delay
		}
		if cost < out.cost {
			out = state{cost: cost, first: first, from: slot}
		}
	}
	return out, !math.IsInf(out.cost, 1)
}

// entry is the state before the first part: a whole path comes from the VM, a
// piece of one from the part before it.
func entry(cfg Config, spec *engine.Spec, h *Candidate, r Request) (state, bool) {
	s := state{from: -1}
	switch {
	case at0(r) && len(r.AllowedFirst) > 0 && !r.AllowedFirst[h.Instance.ID]:
		return state{}, false
	case at0(r) && h.Slots > 0 && h.FirstStageStreams+1 > h.Slots*r.MaxUtilization:
		return state{}, false
	case r.Domain == "" || h.Domain == r.Domain:
	case at0(r):
		s.cost = float64(cfg.RemoteFirstStageCost)
	default:
		s.cost = crossing(cfg, r) + float64(spec.Delay(r.Domain, h.Domain))*r.AnswerTokens
	}
	return s, true
}

// crossing is the cost of a change of the failure domain: it rises as the pipe
// fills, as the wait in a queue does.
func crossing(cfg Config, r Request) float64 {
	if r.LinkUtilization >= 1 {
		return math.Inf(1)
	}
	return float64(cfg.CrossingCost) / (1 - r.LinkUtilization)
}

func at0(r Request) bool { return r.Layers.From == 0 }

// partCost predicts the time of a request in n layers of h, and the part of it
// before the first token, in nanoseconds.
func partCost(cfg Config, spec *engine.Spec, h *Candidate, n int, r Request) (total, first float64) {
	context := r.PromptTokens + r.AnswerTokens/2
	step := h.Slowdown * float64(spec.StepTime(h.Accelerator, n, h.Streams+1, context))
	first = h.Slowdown*float64(spec.PrefillTime(h.Accelerator, n, r.PromptTokens)) + step*float64(spec.Stride)/2
	return first + step*r.AnswerTokens + float64(cfg.StageCost) + float64(h.Penalty), first
}

func collect(cfg Config, best []state, bounds []int, holders []Candidate, nd int, index map[int]int, r Request) (Path, bool) {
	last := len(bounds) - 1
	end, slot := math.Inf(1), -1
	for s := range nd {
		c := best[last*nd+s].cost
		if !math.IsInf(c, 1) && r.NextDomain != "" && holders[best[last*nd+s].holder].Domain != r.NextDomain {
			c += crossing(cfg, r)
		}
		if c < end {
			end, slot = c, s
		}
	}
	if slot < 0 {
		return Path{}, false
	}
	p := Path{Cost: time.Duration(end), FirstToken: time.Duration(best[last*nd+slot].first)}
	for i := last; i > 0; {
		s := best[i*nd+slot]
		h := holders[s.holder]
		p.Stages = append(p.Stages, Stage{Instance: h.Instance, Addr: h.Addr, Layers: backend.Layers{From: s.at, To: bounds[i]}})
		i, slot = index[s.at], s.from
	}
	for a, b := 0, len(p.Stages)-1; a < b; a, b = a+1, b-1 {
		p.Stages[a], p.Stages[b] = p.Stages[b], p.Stages[a]
	}
	p.Stages = joinRepeated(p.Stages)
	return p, true
}

// joinRepeated makes one part of a server that comes twice: it holds one range
// without gaps, so it can run all that lies between.
func joinRepeated(parts []Stage) []Stage {
	out := parts[:0:0]
	for _, p := range parts {
		for i := range out {
			if out[i].Instance == p.Instance {
				out[i].Layers.To = p.Layers.To
				out = out[:i+1]
				p.Addr = ""
				break
			}
		}
		if p.Addr != "" {
			out = append(out, p)
		}
	}
	return out
}
