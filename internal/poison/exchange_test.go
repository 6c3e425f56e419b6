package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that block and unblock a part in turn without end, and send a message each
// time: a part made progress just before it was blocked, and messages take differently long, so
// the progress in a slower message seemed later than the block in a faster one. Seen in a soak
// of four VMs: 20,000 such changes a second.
func TestExchangeOfProgressBeforeABlockSettles(t *testing.T) {
	const part, vms, limit = Part("p"), 3, 1000
	type message struct {
		to int
		at time.Duration
		u  *Update
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := 10 * time.Second
		guards := make([]*Guard, vms)
		for i := range guards {
			guards[i] = New(DefaultConfig())
			var p Progress
			guards[i].recordProgress(now, part, now-time.Millisecond, &p)
			guards[i].shareProgress(now, part)
			require.True(t, guards[i].Restore(now, Block{Part: part, Since: now, Seen: now, Crashes: 2}))
		}
		var queue []message
		send := func(from int) {
			for to := range guards {
				if to != from {
					delay := time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
					queue = append(queue, message{to, now + delay, guards[from].Update(now)})
				}
			}
		}
		send(0)
		n := 0
		for ; len(queue) > 0 && n < limit; n++ {
			first := 0
			for i := range queue {
				if queue[i].at < queue[first].at {
					first = i
				}
			}
			m := queue[first]
			queue = append(queue[:first], queue[first+1:]...)
			now = m.at
			if r := guards[m.to].Receive(now, m.u); r.New || len(r.Blocked)+len(r.Unblocked) > 0 {
				send(m.to)
			}
		}
		require.Less(t, n, limit, "seed %d: still changing", seed)
		for i, g := range guards {
			require.Len(t, g.Blocked(now), 1, "seed %d: VM %d", seed, i)
		}
	}
}

// Guards against a VM that convicts a sound request while it receives nothing, as when it stops:
// it does not learn that the request makes progress elsewhere. Seen in a soak, where a VM that
// was being replaced blocked a plain route of all callers.
func TestUnreachedVMConvictsNothing(t *testing.T) {
	g := New(DefaultConfig())
	g.SetReached(false)
	require.Empty(t, recordCrashes(g, cutRequest(1, 0, 100, "a"), cutRequest(2, 200, 300, "a")))
	require.Empty(t, recordAll(g, cut(3, 400, 450, "f", "deadly", "x"), cut(4, 500, 550, "f", "deadly", "y")))
	require.Empty(t, g.Blocked(second))
	require.Len(t, g.Update(second).Runs, 4, "it passes its evidence on")
	g.SetReached(true)
	require.Equal(t, []Part{"request:a"}, recordCrashes(g, cutRequest(5, 600, 650, "a")), "the evidence is kept")
}

func TestUpdateWithoutBlocks(t *testing.T) {
	u := &Update{Runs: []SharedRun{{Server: 1}}, Progress: map[Part]time.Duration{"a": 1, "b": 2}, Blocked: []SharedBlock{{Part: "a"}}}
	require.Equal(t, &Update{Runs: u.Runs, Progress: map[Part]time.Duration{"b": 2}}, u.WithoutBlocks())
	require.Nil(t, (*Update)(nil).WithoutBlocks())
}
