package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/placement"
)

// heldBy returns for each layer whether a server of the domain ("" for all), other than the
// lost ones, holds it.
func heldBy(s *engine.Spec, servers []placement.Server, domain string, lost []backend.Instance) []bool {
	out := make([]bool, s.Layers)
	for _, srv := range servers {
		if srv.Suspect || srv.OrderPending || (domain != "" && srv.Domain != domain) || slices.Contains(lost, srv.Instance) {
			continue
		}
		for l := srv.Held.From; l < srv.Held.To; l++ {
			out[l] = true
		}
	}
	return out
}

// leavesGap reports whether the loss of the given servers takes the last copy of a layer.
func leavesGap(s *engine.Spec, servers []placement.Server, domain string, lost []backend.Instance) bool {
	before, after := heldBy(s, servers, domain, nil), heldBy(s, servers, domain, lost)
	for l := range before {
		if before[l] && !after[l] {
			return true
		}
	}
	return false
}

// subsets calls visit with all sets of one to three of the servers.
func subsets(servers []placement.Server, visit func([]backend.Instance)) {
	for i := range servers {
		visit([]backend.Instance{servers[i].Instance})
		for j := range i {
			visit([]backend.Instance{servers[j].Instance, servers[i].Instance})
			for k := range j {
				visit([]backend.Instance{servers[k].Instance, servers[j].Instance, servers[i].Instance})
			}
		}
	}
}

func includesAll(set, part []backend.Instance) bool {
	for _, i := range part {
		if !slices.Contains(set, i) {
			return false
		}
	}
	return true
}

// Guards against losses that are missed, listed without leaving a gap, or listed with a
// server too many: on small fleets every set of one to three servers is tried.
func TestLossesMatchBruteForce(t *testing.T) {
	s := *spec(t)
	s.Layers = 12
	rapid.Check(t, func(t *rapid.T) {
		var servers []placement.Server
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			from := rapid.IntRange(0, s.Layers).Draw(t, "from")
			servers = append(servers, placement.Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprintf("s%02d", i))},
				Domain:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				Held:    backend.Layers{From: from, To: min(s.Layers, from+rapid.IntRange(0, 9).Draw(t, "len"))},
				Suspect: rapid.IntRange(0, 9).Draw(t, "suspect") == 0, OrderPending: rapid.IntRange(0, 9).Draw(t, "pending") == 0})
		}
		losses := placement.Losses(&s, servers)
		for _, domain := range []string{"", "a", "b", "c"} {
			subsets(servers, func(set []backend.Instance) {
				listed := slices.ContainsFunc(losses, func(l placement.Loss) bool { return l.Domain == domain && includesAll(set, l.Servers) })
				require.Equal(t, leavesGap(&s, servers, domain, set), listed, "domain %q, servers %v", domain, set)
			})
		}
		for _, l := range losses {
			for i := range l.Servers {
				require.False(t, leavesGap(&s, servers, l.Domain, slices.Delete(slices.Clone(l.Servers), i, i+1)), "%v is not smallest", l)
			}
			held := heldBy(&s, servers, l.Domain, l.Servers)
			for _, layer := range l.Layers {
				require.False(t, held[layer])
			}
		}
	})
}

// Guards against servers that report layers outside the model.
func TestLossesIgnoreInvalidLayers(t *testing.T) {
	s := spec(t)
	servers := emptyServers(s, 1, 0, 0)
	for i, held := range []backend.Layers{{From: 78, To: 85}, {From: -3, To: 4}, {From: 9, To: 2}} {
		servers[i].Held = held
	}
	require.Empty(t, placement.Losses(s, servers))
}

func BenchmarkLosses600(b *testing.B) {
	s := spec(b)
	servers, _ := settle(b, s, emptyServers(s, 20, 100, 80))
	b.ReportAllocs()
	for b.Loop() {
		placement.Losses(s, servers)
	}
}
