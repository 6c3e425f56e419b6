package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

// Whatever fails, on engines that check and on engines that don't, orders of
// two holders never take effect out of order.
func TestOrdersNeverOutOfOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 6, 4999*time.Millisecond, 0)
		s.shellDelay = 3 * time.Second
		s.lose = 0.1
		s.handOver(0, true)
		s.demand(1, 2, 3)
		steps := rapid.IntRange(3, 30).Draw(rt, "steps")
		for range steps {
			s.run(time.Duration(rapid.IntRange(0, 8_000).Draw(rt, "after_ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(rt, "giver")
			switch rapid.SampledFrom([]string{"cut", "graceful", "pause", "thaw", "demand", "demand"}).Draw(rt, "kind") {
			case "cut":
				s.handOver(i, false)
			case "graceful":
				s.handOver(i, true)
			case "pause":
				s.net.Pause(s.givers[i].host)
				s.handOver((i+1)%3, false)
			case "thaw":
				s.net.Resume(s.givers[i].host)
			case "demand":
				s.demand(rapid.Float64Range(0, 9).Draw(rt, "a"), rapid.Float64Range(0, 9).Draw(rt, "b"), 1)
			}
			s.checkOrder()
		}
		for _, g := range s.givers {
			s.net.Resume(g.host)
		}
		s.run(20 * time.Second)
		s.checkOrder()
	})
}

// What a change of holder costs: the time from the take-over to the first
// order, on engines that check and on engines that don't.
func TestCostOfTheWaitingRule(t *testing.T) {
	s := newSim(t, 1, 2, 5*time.Millisecond, 10*time.Second)
	s.handOver(0, true)
	s.demand(1)
	s.run(30 * time.Second)
	start := s.net.Now()
	s.handOver(1, true)
	s.demand(0, 1)
	s.run(30 * time.Second)
	s.checkOrder()
	for _, e := range s.engines {
		last := e.loads[len(e.loads)-1] - start
		t.Logf("%s checks=%v: first load %v after the take-over", e.Server, e.ChecksOrders, last)
	}
	// StableFor holds back both; the rule itself is what maySend says.
	g := s.givers[1]
	order := Order{Fence: g.epoch}
	s.handOver(2, true)
	s.run(simTick * 2)
	g = s.givers[2]
	order.Fence = g.epoch
	now := g.local(s.net.Now())
	require.True(t, g.core.maySend(now, Engine{ChecksOrders: true}, order))
	require.False(t, g.core.maySend(now, Engine{}, order))
	require.Equal(t, 4635*time.Millisecond, DefaultConfig().SuccessorWait())
}

// Loads stay within the weight store's rate, and demand that shifts is followed.
func TestLoadsFollowDemandWithinTheWeightRate(t *testing.T) {
	s := newSim(t, 2, 12, 5*time.Millisecond, 10*time.Second)
	for _, g := range s.givers {
		g.core.cfg.WeightRate = 250e6 // half a load a second
	}
	s.handOver(0, true)
	s.demand(2, 1)
	s.run(90 * time.Second)
	require.Equal(t, map[string]int{"model-0": 8, "model-1": 4}, s.replicas())
	s.demand(1, 2)
	s.run(120 * time.Second)
	require.Equal(t, map[string]int{"model-0": 4, "model-1": 8}, s.replicas())
	var loads []time.Duration
	for _, e := range s.engines {
		loads = append(loads, e.loads...)
	}
	require.Len(t, loads, 16, "12 first loads and 4 moves")
	for _, from := range loads {
		inWindow := 0
		for _, at := range loads {
			if at >= from && at < from+10*time.Second {
				inWindow++
			}
		}
		require.LessOrEqual(t, inWindow, 6, "10 s give 5 loads, and 1 may overdraw")
	}
}

func (s *sim) replicas() map[string]int {
	out := map[string]int{}
	for _, e := range s.engines {
		out[string(e.loaded.Service)]++
	}
	return out
}

// A holder that was paused sends nothing when it wakes up.
func TestPausedHolderSendsNothing(t *testing.T) {
	s := newSim(t, 3, 4, 5*time.Millisecond, 10*time.Second)
	s.handOver(0, true)
	s.demand(1)
	s.run(time.Second)
	s.net.Pause(s.givers[0].host)
	s.givers[0].renews = false
	s.run(10 * time.Second)
	s.sent = nil
	s.net.Resume(s.givers[0].host)
	s.run(5 * time.Second)
	require.Empty(t, s.sent)
}

func TestValidateNamesEveryFault(t *testing.T) {
	err := Config{StopEarly: time.Second}.Validate()
	for _, field := range []string{"longest_order", "stop_early", "read_every", "answer_within", "weight_rate"} {
		require.ErrorContains(t, err, field)
	}
	require.NoError(t, DefaultConfig().Validate())
}

// To an engine that ignores fencing numbers nothing is sent near the end of the
// lease, and to no engine anything after it.
func TestCheckBeforeTheSend(t *testing.T) {
	g := &giver{epoch: 3, until: time.Minute}
	core, err := New(DefaultConfig(), g)
	require.NoError(t, err)
	core.Step(0, Engines{Engines: []Engine{{Server: "checks", ChecksOrders: true}, {Server: "ignores"}}})
	core.Step(0, Tick{})
	order := Order{ID: "o3.1", Fence: 3}
	for _, e := range core.engines {
		e.order = &order
	}
	require.False(t, core.maySend(time.Second, core.engines["ignores"].Engine, order), "successor's wait")
	require.True(t, core.maySend(59*time.Second, core.engines["ignores"].Engine, order))
	require.False(t, core.maySend(59600*time.Millisecond, core.engines["ignores"].Engine, order), "stop early")
	require.True(t, core.maySend(59600*time.Millisecond, core.engines["checks"].Engine, order))
	require.False(t, core.BeginSend(time.Minute, "checks", order), "the lease lapsed")
	require.Nil(t, core.engines["checks"].order)
}

// An engine that saw a higher number silences the holder.
func TestFencedHolderStops(t *testing.T) {
	g := &giver{epoch: 3, until: time.Minute}
	core, err := New(DefaultConfig(), g)
	require.NoError(t, err)
	engine := Engine{Server: "checks", ChecksOrders: true}
	core.Step(0, Engines{Engines: []Engine{engine}})
	core.Step(0, Tick{})
	require.True(t, core.maySend(time.Second, engine, Order{Fence: 3}))
	core.Step(time.Second, OrderAnswered{Server: "checks", OrderID: "o3.1", Outcome: Fenced, Fence: 4})
	require.False(t, core.maySend(time.Second, engine, Order{Fence: 3}))
}
