package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/placement"
)

// A large server leaves and a small one takes over some of its layers. A new large server
// must get the complete range of the old one. In an incident it got only the rest of the
// first gap.
func TestLargeServerFillsWholeGapOfItsPredecessor(t *testing.T) {
	s := spec(t)
	servers, _ := settle(t, s, emptyServers(s, 1, 8, 6))
	var remaining []placement.Server
	for _, srv := range servers {
		if srv.Domain != "a" || srv.Held.From >= 23 {
			remaining = append(remaining, srv)
		}
	}
	slow := placement.Server{Instance: backend.Instance{ID: "slow"}, Domain: "a", Accelerator: s.Accelerators["l4"], Held: backend.Layers{From: 11, To: 18}}
	large := placement.Server{Instance: backend.Instance{ID: "large"}, Domain: "a", Accelerator: s.Accelerators["a100"]}
	orders := placement.Plan(placement.DefaultConfig(), s, append(remaining, slow, large))
	require.Equal(t, backend.Instance{ID: "large"}, orders[0].Instance)
	require.Equal(t, backend.Layers{From: 0, To: 23}, orders[0].Layers)
}

// In a failure domain without spare servers, the servers beside a small gap take its
// layers, even if that leaves only the KV cache of MinKVReserve.
func TestNeighboursCloseGapWithoutSpareServer(t *testing.T) {
	s := spec(t)
	var servers []placement.Server
	add := func(id, domain, accelerator string, from, to int) {
		servers = append(servers, placement.Server{Instance: backend.Instance{ID: backend.ID(id)}, Domain: domain,
			Accelerator: s.Accelerators[accelerator], Held: backend.Layers{From: from, To: to}})
	}
	add("fast", "a", "a100", 0, 23)
	for i, from := 0, 25; from < 80; i, from = i+1, from+7 {
		add(string(rune('p'+i)), "a", "l4", from, min(80, from+7))
	}
	add("other", "b", "a100", 0, 23)
	orders := placement.Plan(placement.DefaultConfig(), s, servers)
	require.Len(t, orders, 1)
	require.Equal(t, backend.Layers{From: 0, To: 25}, orders[0].Layers)
	after := applyOrders(servers, orders)
	require.True(t, covered(s, after, "a"))
	require.Empty(t, placement.Plan(placement.DefaultConfig(), s, after))
}
