package placement

import (
	"sort"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
)

// Server is a backend server that may get layers.
type Server struct {
	Instance    backend.Instance
	Domain      string
	Accelerator engine.Accelerator
	// Held is the range of layers that the server holds or, if OrderPending is set, the
	// range it was ordered to hold.
	Held         backend.Layers
	OrderPending bool
	// Suspect servers do not count as holding their layers and get no orders.
	Suspect bool
	// Limited servers have named a limit on the requests they take, so they do not count as
	// first stages.
	Limited bool
}

// Order asks a server to hold exactly the given layers.
type Order struct {
	Instance backend.Instance
	Layers   backend.Layers
}

// Config holds the settings of a plan.
type Config struct {
	// KVReserve is the memory kept for the KV cache on each server beside the weights, as a
	// multiple of the engine's KVCapacityTokens: what a model copy has in flight at peak
	// load, and half as much again for the requests of a failure domain that lost a large
	// server. A failure domain that is too small for a model copy with it keeps less.
	// Default 1.7.
	KVReserve float64
	// MinKVReserve is the least reserve. With less, a model copy has room for so few
	// requests that those of its domain are served better elsewhere. Default 0.3.
	MinKVReserve float64
	// LowCapacityShare is the share of the mean KV cache capacity per layer below which
	// layers get more servers, also from other failure domains, because every path has to
	// pass through them. Default 0.6.
	LowCapacityShare float64
	// MinMoveGain is the minimum ratio of the KV cache capacity that remains at the layers
	// a server leaves to the capacity of the layers it moves to, before the move. Default
	// 1.3.
	MinMoveGain float64
	// MaxCoverCost is the share of the requests served, and of the most that can be served,
	// that a plan may give up to serve more after a joint loss of MaxJointLosses servers. 0,
	// the default, plans as if servers failed one by one, and leaves out the order of loads
	// after a loss (docs/design/cover.md).
	MaxCoverCost float64
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{KVReserve: 1.7, MinKVReserve: 0.3, LowCapacityShare: 0.6, MinMoveGain: 1.3}
}

// plan is the state of one call of Plan. The servers include the effect of the orders.
type plan struct {
	cfg     Config
	spec    *engine.Spec
	servers []Server // fastest first
	orders  []Order
	// reserves holds the KV reserves of the failure domains that keep less than KVReserve.
	reserves map[string]float64
	// staggered plans choose where the first copy of an empty domain begins.
	staggered bool
}

// Plan returns the orders that bring the servers closer to the target placement, at most
// one per server. Servers that report layers outside the model are not used.
func Plan(cfg Config, spec *engine.Spec, servers []Server) []Order {
	p := &plan{cfg: cfg, spec: spec}
	for _, s := range servers {
		if ValidLayers(spec, s.Held) {
			p.servers = append(p.servers, s)
		}
	}
	sort.Slice(p.servers, func(a, b int) bool { return p.faster(&p.servers[a], &p.servers[b]) })
	best := p.withCover()
	best.deferLoads()
	return best.orders
}

// giveFirstCopies gives a server to each layer that has none, in its domain or in the fleet, and
// relieves the layers with the least KV cache.
func (p *plan) giveFirstCopies(domains []string) {
	for _, d := range domains {
		p.completeDomain(d)
	}
	// Layers without a copy in any domain may get a server of any domain.
	p.fill("", 1)
	p.moveSpares("")
	p.relieveBottlenecks()
}

// faster sorts servers by speed, then by ID, which makes plans deterministic.
func (p *plan) faster(a, b *Server) bool {
	if a.Accelerator.StepFactor != b.Accelerator.StepFactor {
		return a.Accelerator.StepFactor < b.Accelerator.StepFactor
	}
	return a.Instance.ID < b.Instance.ID
}

func (p *plan) domains() []string {
	seen := map[string]bool{}
	var out []string
	for i := range p.servers {
		if d := p.servers[i].Domain; !seen[d] {
			seen[d] = true
			out = append(out, d)
		}
	}
	sort.Strings(out)
	return out
}

func (p *plan) hasIdle() bool {
	for i := range p.servers {
		if p.isIdle(&p.servers[i]) {
			return true
		}
	}
	return false
}

// isIdle reports whether s holds no layers and can be ordered to load some.
func (p *plan) isIdle(s *Server) bool {
	return s.Held.Len() == 0 && !s.OrderPending && !s.Suspect && p.maxLayers(s) > 0
}

// maxLayers returns how many layers a server can hold beside its KV reserve.
func (p *plan) maxLayers(s *Server) int {
	reserve, ok := p.reserves[s.Domain]
	if !ok {
		reserve = p.cfg.KVReserve
	}
	return p.spec.MaxLayers(s.Accelerator, reserve*float64(p.spec.KVCapacityTokens))
}

// copies counts for each layer the servers of domain, or of all domains for "", that hold
// it or were ordered to. Of the first layer it counts only those that are not limited.
func (p *plan) copies(domain string) []int { return p.countHolders(domain, true) }

// servingCopies counts for each layer the servers of domain, or of all domains for "",
// that hold it now.
func (p *plan) servingCopies(domain string) []int { return p.countHolders(domain, false) }

func (p *plan) countHolders(domain string, withPending bool) []int {
	n := make([]int, p.spec.Layers)
	for i := range p.servers {
		s := &p.servers[i]
		if s.Suspect || (s.OrderPending && !withPending) || (domain != "" && s.Domain != domain) {
			continue
		}
		addHolder(n, s)
	}
	return n
}

// addHolder adds a server to the number of holders of each layer. A limited server does not
// count for the first layer.
func addHolder(n []int, s *Server) {
	from := max(0, s.Held.From)
	if s.Limited && from == 0 {
		from = 1
	}
	for l := from; l < min(s.Held.To, len(n)); l++ {
		n[l]++
	}
}

// fill adds orders for idle servers until all layers have minCopies copies in the domain
// ("" for all domains) or no idle server is left.
func (p *plan) fill(domain string, minCopies int) {
	copies := p.copies(domain)
	if countBelow(copies, minCopies) == 0 {
		return
	}
	speeds := p.speeds(domain)
	for countBelow(copies, minCopies) > 0 {
		s := p.fastestIdle(domain)
		if s == nil {
			return
		}
		p.addOrder(s, p.bestRangeAt(speeds, copies, minCopies, p.maxLayers(s)))
		addSpeed(speeds, s)
		addHolder(copies, s)
	}
}

// countBelow counts the layers with fewer than minCopies copies.
func countBelow(copies []int, minCopies int) int {
	count := 0
	for _, n := range copies {
		if n < minCopies {
			count++
		}
	}
	return count
}

// bestRange returns the n consecutive layers of which most have fewer than minCopies
// copies; ties go to the range whose current servers are slowest and fewest. Thus a large
// server that joins after small ones filled part of a gap takes as much of the gap as it
// can hold, and the small ones become spare.
func (p *plan) bestRange(domain string, copies []int, minCopies, n int) backend.Layers {
	return p.bestRangeAt(p.speeds(domain), copies, minCopies, n)
}

// bestRangeAt is bestRange with the speeds of the domain's layers.
func (p *plan) bestRangeAt(speeds []float64, copies []int, minCopies, n int) backend.Layers {
	stepTimes := stepTimes(speeds)
	gaps, total := 0, 0.0
	best := backend.Layers{To: n}
	maxGaps, maxTotal := -1, 0.0
	for l := range copies {
		if copies[l] < minCopies {
			gaps++
		}
		total += stepTimes[l]
		if l >= n {
			total -= stepTimes[l-n]
			if copies[l-n] < minCopies {
				gaps--
			}
		}
		if l >= n-1 && (gaps > maxGaps || (gaps == maxGaps && total > maxTotal+roundingError)) {
			best, maxGaps, maxTotal = backend.Layers{From: l + 1 - n, To: l + 1}, gaps, total
		}
	}
	return best
}

// roundingError is the tolerance for comparing sums of step times. Their last digits
// depend on the order of summation.
const roundingError = 1e-9

// speeds returns for each layer the sum of its servers' speeds, as multiples of the
// reference accelerator's.
func (p *plan) speeds(domain string) []float64 {
	out := make([]float64, p.spec.Layers)
	for i := range p.servers {
		s := &p.servers[i]
		if !s.Suspect && (domain == "" || s.Domain == domain) {
			addSpeed(out, s)
		}
	}
	return out
}

// addSpeed adds a server's speed to those of its layers.
func addSpeed(speeds []float64, s *Server) {
	if s.Accelerator.StepFactor <= 0 {
		return
	}
	for l := max(0, s.Held.From); l < min(s.Held.To, len(speeds)); l++ {
		speeds[l] += 1 / s.Accelerator.StepFactor
	}
}

// stepTimes returns for each layer the step time if all its servers share the requests,
// as a multiple of the reference accelerator's; 0 for layers without a server.
func stepTimes(speeds []float64) []float64 {
	out := make([]float64, len(speeds))
	for l, v := range speeds {
		if v > 0 {
			out[l] = 1 / v
		}
	}
	return out
}

// fastestIdle returns the fastest idle server of a domain, "" for all, or nil.
func (p *plan) fastestIdle(domain string) *Server {
	for i := range p.servers {
		s := &p.servers[i]
		if (domain == "" || s.Domain == domain) && p.isIdle(s) {
			return s
		}
	}
	return nil
}

// slowestSpare returns the slowest server of a domain, "" for all, that can be moved, or
// nil.
func (p *plan) slowestSpare(domain string) *Server {
	serving := p.servingCopies(domain)
	for i := len(p.servers) - 1; i >= 0; i-- {
		s := &p.servers[i]
		if (domain == "" || s.Domain == domain) && p.isSpare(s, serving) {
			return s
		}
	}
	return nil
}

// isSpare reports whether s can be moved: other servers hold all of its layers now. A range
// that is still loading does not count, since the requests need one that serves meanwhile.
func (p *plan) isSpare(s *Server, serving []int) bool {
	if s.OrderPending || s.Suspect || s.Held.Len() == 0 || p.maxLayers(s) == 0 {
		return false
	}
	for l := s.Held.From; l < s.Held.To; l++ {
		if serving[l] < 2 {
			return false
		}
	}
	return true
}

func (p *plan) addOrder(s *Server, layers backend.Layers) {
	s.Held = layers
	s.OrderPending = true
	p.orders = append(p.orders, Order{Instance: s.Instance, Layers: s.Held})
}
