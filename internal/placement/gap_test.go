package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/placement"
)

// From an incident: a large server left, small ones took some of its layers, and the
// large one that came for it was given what was left of the first gap only.
func TestLargeServerTakesTheWholeGapOfItsPredecessor(t *testing.T) {
	s := spec(t)
	holders, _ := settle(t, s, site(s, 1, 8, 6))
	var rest []placement.Server
	for _, h := range holders {
		if h.Domain != "a" || h.Held.From >= 23 {
			rest = append(rest, h)
		}
	}
	slow := placement.Server{Instance: backend.Instance{ID: "slow"}, Domain: "a", Accelerator: s.Accelerators["l4"], Held: backend.Layers{From: 11, To: 18}}
	large := placement.Server{Instance: backend.Instance{ID: "large"}, Domain: "a", Accelerator: s.Accelerators["a100"]}
	orders := placement.Plan(placement.DefaultConfig(), s, append(rest, slow, large))
	require.Equal(t, backend.Instance{ID: "large"}, orders[0].Instance)
	require.Equal(t, backend.Layers{From: 0, To: 23}, orders[0].Layers)
}

// A failure domain without a server to spare stays whole: the servers beside a small
// gap take its layers, with as little room as the operators plan for.
func TestNeighboursCloseAGapThatNoServerIsLeftFor(t *testing.T) {
	s := spec(t)
	var holders []placement.Server
	add := func(id, domain, card string, from, to int) {
		holders = append(holders, placement.Server{Instance: backend.Instance{ID: backend.ID(id)}, Domain: domain,
			Accelerator: s.Accelerators[card], Held: backend.Layers{From: from, To: to}})
	}
	add("fast", "a", "a100", 0, 23)
	for i, from := 0, 25; from < 80; i, from = i+1, from+7 {
		add(string(rune('p'+i)), "a", "l4", from, min(80, from+7))
	}
	add("other", "b", "a100", 0, 23)
	orders := placement.Plan(placement.DefaultConfig(), s, holders)
	require.Len(t, orders, 1)
	require.Equal(t, backend.Layers{From: 0, To: 25}, orders[0].Layers)
	after := carryOut(holders, orders)
	require.True(t, covered(s, after, "a"))
	require.Empty(t, placement.Plan(placement.DefaultConfig(), s, after))
}
