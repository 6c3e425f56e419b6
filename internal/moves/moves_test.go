package moves_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/moves"
)

var lost = backend.Layers{From: 8, To: 16}

// Guards against shares that favor the fastest server: a server with half the room gets half
// as many streams.
func TestSharesAreProportionalToRoom(t *testing.T) {
	got := moves.Shares(lost, 30, []moves.Server{{Layers: lost, Room: 40}, {Layers: lost, Room: 20}, {Layers: lost}})
	require.InDeltaSlice(t, []float64{2. / 3, 1. / 3, 0}, got, 1e-9)
}

// Guards against moves across failure domains while servers of the lost one's have room.
func TestOtherDomainsTakeOnlyWhatDoesNotFit(t *testing.T) {
	servers := []moves.Server{{Layers: lost, Room: 30}, {Layers: lost, Room: 100, Remote: true}}
	require.InDeltaSlice(t, []float64{1, 0}, moves.Shares(lost, 30, servers), 1e-9)
	require.InDeltaSlice(t, []float64{0.75, 0.25}, moves.Shares(lost, 40, servers), 1e-9)
	servers[0].Room = 0
	require.InDeltaSlice(t, []float64{0, 1}, moves.Shares(lost, 40, servers), 1e-9)
}

// Guards against the same servers getting all streams if demand exceeds all room, and against
// a share of a server that has none.
func TestSharesOfEachLayerAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []moves.Server
		for range rapid.IntRange(1, 12).Draw(t, "servers") {
			servers = append(servers, moves.Server{Layers: lost, Room: float64(rapid.IntRange(0, 50).Draw(t, "room")), Remote: rapid.Bool().Draw(t, "remote")})
		}
		sum, room := 0.0, 0.0
		for i, share := range moves.Shares(lost, rapid.Float64Range(0, 500).Draw(t, "demand"), servers) {
			require.GreaterOrEqual(t, share, 0.0)
			if servers[i].Room == 0 {
				require.Zero(t, share)
			}
			sum, room = sum+share, room+servers[i].Room
		}
		if room > 0 {
			require.InDelta(t, 1, sum, 1e-9)
		}
	})
}

// Guards against two halves of the layers that are counted as two whole copies.
func TestPartsOfTheLayersHaveSharesOfTheirOwn(t *testing.T) {
	a, b := backend.Layers{From: 8, To: 12}, backend.Layers{From: 12, To: 16}
	got := moves.Shares(lost, 30, []moves.Server{{Layers: a, Room: 10}, {Layers: a, Room: 30}, {Layers: b, Room: 30}})
	require.InDeltaSlice(t, []float64{0.25, 0.75, 1}, got, 1e-9)
}

// Guards against a draw that does not follow the shares, and against keys that change when
// another server drops out.
func TestDrawFollowsTheShares(t *testing.T) {
	ids, shares := []string{"a", "b", "c", "d"}, []float64{0.5, 0.3, 0.2, 0}
	const n = 20000
	first, mean := make([]int, len(ids)), 0.0
	for i := range n {
		keys := moves.Keys(fmt.Sprint("r", i), ids, shares)
		smallest := slices.Min(keys)
		first[slices.Index(keys, smallest)]++
		mean += smallest / n
		require.Equal(t, keys[1:], moves.Keys(fmt.Sprint("r", i), ids[1:], shares[1:]))
	}
	for i, share := range shares {
		require.InDelta(t, share, float64(first[i])/n, 0.01)
	}
	require.InDelta(t, 1, mean, 0.03)
}

func TestRoomIsTheScarcerOfMemoryAndTime(t *testing.T) {
	require.InDelta(t, 5, moves.Room(50, 10, 100*time.Millisecond, 10*time.Millisecond), 1e-9)
	require.InDelta(t, 3, moves.Room(50, 10, 30*time.Millisecond, 10*time.Millisecond), 1e-9)
	require.Zero(t, moves.Room(-1, 10, time.Second, time.Millisecond))
	require.Zero(t, moves.Room(50, 10, -time.Second, time.Millisecond))
}
