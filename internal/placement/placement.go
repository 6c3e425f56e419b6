// Package placement decides which layers of a model each backend server should
// hold. It always starts from what the servers hold now and asks for the fewest
// moves: gaps are filled from idle servers, or from servers whose layers others
// hold as well; nothing is moved for looks.
//
// In each failure domain servers are given consecutive ranges, the fastest first,
// until the whole model is covered once (a cover), then a second time, and so on
// while servers are left. The last, partial cover is the reserve: it lets requests
// pass a dead server of the same range at once, and it is idle enough to be moved.
//
// A plan is a wish. What the servers report is the truth, and the next plan is
// made from it.
package placement

import (
	"sort"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
)

// Holder is a backend server that takes work.
type Server struct {
	Instance    backend.Instance
	Domain      string
	Accelerator engine.Accelerator
	// Held is what the server holds, or what it was ordered to hold when that
	// order is under way (Moving).
	Held         backend.Layers
	OrderPending bool
	// Suspect servers are not relied on to cover layers and get no order.
	Suspect bool
}

// Order asks a server to hold exactly the given layers.
type Order struct {
	Instance backend.Instance
	Layers   backend.Layers
}

// Config holds the settings of a plan.
type Config struct {
	// RoomShare of the engine's planned tokens is kept free on each server beside
	// the weights: what a cover has in flight at the peak, and half as much more for a
	// failure domain that lost a large server. Default 1.7.
	KVReserve float64
	// TightShare takes the place of RoomShare where that keeps a failure domain
	// whole: a gap there sends all its requests through the pipe between domains.
	// Default 1, the operators' own figure.
	MinKVReserve float64
	// Weak is the part of the mean room below which layers are given more servers,
	// also from other failure domains: every path passes them. Default 0.6.
	LowCapacityShare float64
	// Gain is how much more room the layers that a server leaves must keep than
	// those that it is moved to have, as a factor. Default 1.3.
	MinMoveGain float64
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{KVReserve: 1.7, MinKVReserve: 1, LowCapacityShare: 0.6, MinMoveGain: 1.3}
}

type plan struct {
	cfg     Config
	spec    *engine.Spec
	holders []Server
	orders  []Order
}

// Plan returns the orders that bring the holders to the wanted state.
func Plan(cfg Config, spec *engine.Spec, holders []Server) []Order {
	p := &plan{cfg: cfg, spec: spec, holders: append([]Server(nil), holders...)}
	sort.Slice(p.holders, func(a, b int) bool { return p.before(&p.holders[a], &p.holders[b]) })
	domains := p.domains()
	for _, d := range domains {
		p.fill(d, 1, true)
		p.extend(d)
	}
	p.fill("", 1, true) // a domain without spare servers may lean on another's
	p.strengthen()
	for level := 2; p.idle() && level <= len(p.holders); level++ {
		for _, d := range domains {
			p.fill(d, level, false)
		}
	}
	return p.orders
}

// before sorts the fastest first, then by id, so that two plans agree.
func (p *plan) before(a, b *Server) bool {
	if a.Accelerator.StepFactor != b.Accelerator.StepFactor {
		return a.Accelerator.StepFactor < b.Accelerator.StepFactor
	}
	return a.Instance.ID < b.Instance.ID
}

func (p *plan) domains() []string {
	seen := map[string]bool{}
	var out []string
	for i := range p.holders {
		if d := p.holders[i].Domain; !seen[d] {
			seen[d] = true
			out = append(out, d)
		}
	}
	sort.Strings(out)
	return out
}

func (p *plan) idle() bool {
	for i := range p.holders {
		if p.free(&p.holders[i]) {
			return true
		}
	}
	return false
}

func (p *plan) free(h *Server) bool {
	return h.Held.Len() == 0 && !h.OrderPending && !h.Suspect && p.fitting(h) > 0
}

func (p *plan) fitting(h *Server) int { return p.fittingWith(h, p.cfg.KVReserve) }

func (p *plan) fittingWith(h *Server, share float64) int {
	return p.spec.MaxLayers(h.Accelerator, share*float64(p.spec.KVCapacityTokens))
}

// covers counts for each layer the servers that hold it in domain, or in all
// domains for "".
func (p *plan) covers(domain string) []int {
	n := make([]int, p.spec.Layers)
	for i := range p.holders {
		h := &p.holders[i]
		if h.Suspect || (domain != "" && h.Domain != domain) {
			continue
		}
		for l := max(0, h.Held.From); l < min(h.Held.To, p.spec.Layers); l++ {
			n[l]++
		}
	}
	return n
}

// fill closes the gaps of a domain at a level, from idle servers and, where move
// is set, from servers whose layers are held by others too.
func (p *plan) fill(domain string, level int, move bool) {
	for {
		covers := p.covers(domain)
		if lacking(covers, level) == 0 {
			return
		}
		h := p.candidate(domain, covers, move)
		if h == nil {
			return
		}
		p.order(h, p.window(domain, covers, level, p.fitting(h)))
	}
}

// lacking counts the layers that are held fewer than level times.
func lacking(covers []int, level int) int {
	n := 0
	for _, c := range covers {
		if c < level {
			n++
		}
	}
	return n
}

// window returns the n layers that close most of the gaps of a level; among equals
// those whose present holders are slowest and fewest. A large server that comes
// when small ones have filled a part of the gap so takes all that it can, and sets
// the small ones free for other layers.
func (p *plan) window(domain string, covers []int, level, n int) backend.Layers {
	lack := p.lack(domain)
	gaps, sum := 0, 0.0
	best := backend.Layers{To: n}
	mostGaps, most := -1, 0.0
	for l := range covers {
		if covers[l] < level {
			gaps++
		}
		sum += lack[l]
		if l >= n {
			sum -= lack[l-n]
			if covers[l-n] < level {
				gaps--
			}
		}
		if l >= n-1 && (gaps > mostGaps || (gaps == mostGaps && sum > most+rounding)) {
			best, mostGaps, most = backend.Layers{From: l + 1 - n, To: l + 1}, gaps, sum
		}
	}
	return best
}

// rounding is what sums of lack may differ by for their order of adding.
const rounding = 1e-9

// lack is, for each layer, the time of a step there if all its holders share the
// requests, as a multiple of the reference card's; 0 where nobody holds it.
func (p *plan) lack(domain string) []float64 {
	speed := make([]float64, p.spec.Layers)
	for i := range p.holders {
		h := &p.holders[i]
		if h.Suspect || (domain != "" && h.Domain != domain) || h.Accelerator.StepFactor <= 0 {
			continue
		}
		for l := max(0, h.Held.From); l < min(h.Held.To, p.spec.Layers); l++ {
			speed[l] += 1 / h.Accelerator.StepFactor
		}
	}
	for l, s := range speed {
		if s > 0 {
			speed[l] = 1 / s
		}
	}
	return speed
}

// candidate is the fastest idle server, or the slowest whose layers are all held
// twice.
func (p *plan) candidate(domain string, covers []int, move bool) *Server {
	for i := range p.holders {
		h := &p.holders[i]
		if (domain == "" || h.Domain == domain) && p.free(h) {
			return h
		}
	}
	if !move {
		return nil
	}
	for i := len(p.holders) - 1; i >= 0; i-- {
		h := &p.holders[i]
		if (domain == "" || h.Domain == domain) && p.spare(h, covers) {
			return h
		}
	}
	return nil
}

func (p *plan) spare(h *Server, covers []int) bool {
	if h.OrderPending || h.Suspect || h.Held.Len() == 0 || p.fitting(h) == 0 {
		return false
	}
	for l := h.Held.From; l < h.Held.To; l++ {
		if covers[l] < 2 {
			return false
		}
	}
	return true
}

func (p *plan) order(h *Server, layers backend.Layers) {
	h.Held = layers
	h.OrderPending = true
	p.orders = append(p.orders, Order{Instance: h.Instance, Layers: h.Held})
}
