package placement_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/placement"
	"github.com/catkinstair/catkinstair/platform"
)

func spec(t testing.TB) *engine.Spec {
	t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	cfg, err := platform.DecodeConfig(text)
	require.NoError(t, err)
	return cfg.Services["huvo11a"].Engine
}

// site is a fleet of three failure domains: fast, middle and slow cards in each.
func site(s *engine.Spec, fast, middle, slow int) []placement.Server {
	var out []placement.Server
	for _, d := range []string{"a", "b", "c"} {
		for i, n := range map[string]int{"a100": fast, "v100": middle, "l4": slow} {
			for j := range n {
				out = append(out, placement.Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprintf("%s-%s-%d", d, i, j))},
					Domain: d, Accelerator: s.Accelerators[i]})
			}
		}
	}
	return out
}

// carryOut lets every order be done.
func carryOut(holders []placement.Server, orders []placement.Order) []placement.Server {
	out := append([]placement.Server(nil), holders...)
	for _, o := range orders {
		for i := range out {
			if out[i].Instance == o.Instance {
				out[i].Held = o.Layers
			}
		}
	}
	return out
}

func settle(t require.TestingT, s *engine.Spec, holders []placement.Server) ([]placement.Server, int) {
	moves := 0
	for range 50 {
		orders := placement.Plan(placement.DefaultConfig(), s, holders)
		if len(orders) == 0 {
			return holders, moves
		}
		moves += len(orders)
		holders = carryOut(holders, orders)
	}
	require.Fail(t, "the plan does not come to rest")
	return nil, 0
}

func covered(s *engine.Spec, holders []placement.Server, domain string) bool {
	n := make([]int, s.Layers)
	for _, h := range holders {
		if domain == "" || h.Domain == domain {
			for l := h.Held.From; l < h.Held.To; l++ {
				n[l]++
			}
		}
	}
	for _, c := range n {
		if c == 0 {
			return false
		}
	}
	return true
}

func TestEmptyFleetGetsACoverInEachFailureDomain(t *testing.T) {
	s := spec(t)
	holders, _ := settle(t, s, site(s, 1, 8, 6))
	for _, d := range []string{"a", "b", "c"} {
		require.True(t, covered(s, holders, d), d)
	}
}

func TestDeadServerIsReplacedWithFewMoves(t *testing.T) {
	s := spec(t)
	holders, _ := settle(t, s, site(s, 1, 8, 6))
	for i := range holders {
		rest := append(append([]placement.Server(nil), holders[:i]...), holders[i+1:]...)
		after, moves := settle(t, s, rest)
		require.True(t, covered(s, after, ""))
		require.LessOrEqual(t, moves, 12, holders[i].Instance.ID)
	}
}

func TestFailureDomainWithoutServersIsNoObstacle(t *testing.T) {
	s := spec(t)
	holders, _ := settle(t, s, site(s, 1, 8, 6))
	var rest []placement.Server
	for _, h := range holders {
		if h.Domain != "b" {
			rest = append(rest, h)
		}
	}
	after, _ := settle(t, s, rest)
	require.True(t, covered(s, after, "a"))
	require.True(t, covered(s, after, "c"))
}

// Refusals on the heaviest days came from four layers with one holder in all failure
// domains, while their neighbours had five.
func TestLayersWithLeastRoomGetSpareServers(t *testing.T) {
	s := spec(t)
	var holders []placement.Server
	add := func(id, domain, card string, from, to int) {
		holders = append(holders, placement.Server{Instance: backend.Instance{ID: backend.ID(id)}, Domain: domain,
			Accelerator: s.Accelerators[card], Held: backend.Layers{From: from, To: to}})
	}
	for _, d := range []string{"a", "b", "c"} {
		for i := range 10 {
			if d == "a" || i != 4 {
				add(fmt.Sprintf("%s%d", d, i), d, "l4", i*8, i*8+8)
			}
		}
	}
	for i := range 3 {
		add(fmt.Sprintf("spare%d", i), "a", "l4", 0, 8)
	}
	orders := placement.Plan(placement.DefaultConfig(), s, holders)
	require.NotEmpty(t, orders)
	for _, o := range orders {
		require.Contains(t, []backend.ID{"spare0", "spare1", "spare2", "a0"}, o.Instance.ID)
		require.True(t, backend.Layers{From: 32, To: 40}.Contains(o.Layers), o.Layers)
	}
	require.Equal(t, 32, orders[0].Layers.From)
}

// Whatever is held, suspected and under way: no order exceeds a card's memory, none
// goes to a suspect or moving server or twice to one, no layer loses its last holder
// for an order, and repeated plans come to rest.
func TestPlansAreSafe(t *testing.T) {
	s := spec(t)
	rapid.Check(t, func(t *rapid.T) {
		holders := site(s, rapid.IntRange(0, 2).Draw(t, "fast"), rapid.IntRange(0, 9).Draw(t, "middle"), rapid.IntRange(1, 7).Draw(t, "slow"))
		for i := range holders {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			most := int(holders[i].Accelerator.MemoryMB / s.LayerMB)
			holders[i].Held = backend.Layers{From: from, To: min(80, from+rapid.IntRange(0, most).Draw(t, "len"))}
			holders[i].Suspect = rapid.IntRange(0, 9).Draw(t, "suspect") == 0
			holders[i].OrderPending = rapid.IntRange(0, 9).Draw(t, "moving") == 0
		}
		before := covered(s, trusted(holders), "")
		orders := placement.Plan(placement.DefaultConfig(), s, holders)
		seen := map[backend.Instance]bool{}
		for _, o := range orders {
			require.False(t, seen[o.Instance], "two orders for one server")
			seen[o.Instance] = true
			for _, h := range holders {
				if h.Instance == o.Instance {
					require.False(t, h.Suspect || h.OrderPending)
					require.LessOrEqual(t, float64(o.Layers.Len())*s.LayerMB, h.Accelerator.MemoryMB)
					require.Positive(t, o.Layers.Len())
				}
			}
		}
		if before {
			require.True(t, covered(s, trusted(carryOut(holders, orders)), ""), "an order took the last holder of a layer")
		}
		for i := range holders {
			holders[i].OrderPending = false
		}
		settle(t, s, holders)
	})
}

func trusted(holders []placement.Server) []placement.Server {
	var out []placement.Server
	for _, h := range holders {
		if !h.Suspect {
			out = append(out, h)
		}
	}
	return out
}

func BenchmarkPlan600(b *testing.B) {
	s := spec(b)
	holders := site(s, 20, 100, 80)
	orders := placement.Plan(placement.DefaultConfig(), s, holders)
	holders = carryOut(holders, orders)
	b.ReportAllocs()
	for b.Loop() {
		placement.Plan(placement.DefaultConfig(), s, holders[1:])
	}
}
