package placement

import (
	"cmp"
	"slices"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
)

// MaxJointLosses is the largest number of servers that Losses assumes to fail together.
const MaxJointLosses = 3

// Loss is a smallest set of servers whose joint failure leaves a failure domain, or all of
// them, without a copy of some layers.
type Loss struct {
	// Domain is the failure domain that is left without a copy, or "" for the fleet.
	Domain string
	// Servers are sorted by ID. Without any one of them, the others leave a copy.
	Servers []backend.Instance
	// Layers are the layers that only these servers hold.
	Layers []int
}

// Losses lists the joint losses of one to MaxJointLosses servers that leave a layer without
// a copy in a failure domain or in the fleet, by domain (the fleet first), number of servers
// and first layer.
//
// A set of servers leaves a layer without a copy exactly if it includes all holders of that
// layer. So the list has the holders of each layer with at most MaxJointLosses copies, less
// the sets that include another one of the list, and is exact without a search over sets of
// servers. Suspect servers and those that still load hold nothing. Layers that have no copy
// before the loss belong to no Loss.
func Losses(spec *engine.Spec, servers []Server) []Loss {
	byDomain := map[string]holderSets{}
	var domains []string
	fleet := newHolderSets(spec.Layers)
	for i := range servers {
		s := &servers[i]
		if s.Suspect || s.OrderPending || s.Held.Len() == 0 || !ValidLayers(spec, s.Held) {
			continue
		}
		d := byDomain[s.Domain]
		if d == nil {
			d = newHolderSets(spec.Layers)
			byDomain[s.Domain] = d
			domains = append(domains, s.Domain)
		}
		d.add(i, s.Held)
		fleet.add(i, s.Held)
	}
	slices.Sort(domains)
	out := fleet.losses("", servers)
	for _, d := range domains {
		out = append(out, byDomain[d].losses(d, servers)...)
	}
	return out
}

// holders is the set of servers that hold a layer: their number and the indexes of the
// first MaxJointLosses of them, ascending.
type holders struct {
	n       int
	indexes [MaxJointLosses]int
}

func (h holders) set() []int { return h.indexes[:h.n] }

// includes reports whether h has all servers of o. Both have at most MaxJointLosses.
func (h holders) includes(o holders) bool {
	for _, i := range o.set() {
		if !slices.Contains(h.set(), i) {
			return false
		}
	}
	return true
}

// holderSets has the holders of each layer.
type holderSets []holders

func newHolderSets(layers int) holderSets { return make(holderSets, layers) }

func (hs holderSets) add(server int, held backend.Layers) {
	for l := held.From; l < held.To; l++ {
		h := &hs[l]
		if h.n < MaxJointLosses {
			h.indexes[h.n] = server
		}
		h.n++
	}
}

func (hs holderSets) losses(domain string, servers []Server) []Loss {
	layers := map[holders][]int{}
	var sets []holders
	for l, h := range hs {
		if h.n == 0 || h.n > MaxJointLosses {
			continue
		}
		if layers[h] == nil {
			sets = append(sets, h)
		}
		layers[h] = append(layers[h], l)
	}
	slices.SortStableFunc(sets, func(a, b holders) int { return cmp.Compare(a.n, b.n) })
	var out []Loss
	var smallest []holders
	for _, h := range sets {
		if slices.ContainsFunc(smallest, h.includes) {
			continue
		}
		smallest = append(smallest, h)
		loss := Loss{Domain: domain, Layers: layers[h]}
		for _, i := range h.set() {
			loss.Servers = append(loss.Servers, servers[i].Instance)
		}
		slices.SortFunc(loss.Servers, func(a, b backend.Instance) int { return cmp.Compare(a.ID, b.ID) })
		out = append(out, loss)
	}
	return out
}
