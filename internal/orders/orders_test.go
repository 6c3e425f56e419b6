package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

// TestOrdersTakeEffectInOrder checks that orders of one lease holder, or of several, never
// take effect out of order, on engines that check fencing tokens and on engines that
// don't, under message loss, pauses and lease transfers.
func TestOrdersTakeEffectInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 6, 4999*time.Millisecond, 0)
		s.shellDelay = 3 * time.Second
		s.answerLoss = 0.1
		s.transferLease(0, true)
		s.setDemand(1, 2, 3)
		steps := rapid.IntRange(3, 30).Draw(rt, "steps")
		for range steps {
			s.run(time.Duration(rapid.IntRange(0, 8_000).Draw(rt, "after_ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(rt, "giver")
			switch rapid.SampledFrom([]string{"cut", "graceful", "pause", "thaw", "demand", "demand"}).Draw(rt, "kind") {
			case "cut":
				s.transferLease(i, false)
			case "graceful":
				s.transferLease(i, true)
			case "pause":
				s.net.Pause(s.processes[i].host)
				s.transferLease((i+1)%3, false)
			case "thaw":
				s.net.Resume(s.processes[i].host)
			case "demand":
				s.setDemand(rapid.Float64Range(0, 9).Draw(rt, "a"), rapid.Float64Range(0, 9).Draw(rt, "b"), 1)
			}
			s.checkEffectOrder()
		}
		for _, p := range s.processes {
			s.net.Resume(p.host)
		}
		s.run(20 * time.Second)
		s.checkEffectOrder()
	})
}

// TestTakeoverDelaysOnlyEnginesThatIgnoreFencing checks that, immediately after a lease
// transfer, orders may be sent only to engines that check fencing tokens. It logs the time
// from the transfer to the first load.
func TestTakeoverDelaysOnlyEnginesThatIgnoreFencing(t *testing.T) {
	s := newSim(t, 1, 2, 5*time.Millisecond, 10*time.Second)
	s.transferLease(0, true)
	s.setDemand(1)
	s.run(30 * time.Second)
	start := s.net.Now()
	s.transferLease(1, true)
	s.setDemand(0, 1)
	s.run(30 * time.Second)
	s.checkEffectOrder()
	for _, e := range s.engines {
		last := e.loads[len(e.loads)-1] - start
		t.Logf("%s checks=%v: first load %v after the lease transfer", e.Server, e.ChecksOrders, last)
	}
	// StabilizationWindow delays the loads of both engines, so the takeover delay is
	// checked with maySend.
	p := s.processes[1]
	order := Order{FencingToken: p.epoch}
	s.transferLease(2, true)
	s.run(simTick * 2)
	p = s.processes[2]
	order.FencingToken = p.epoch
	now := p.localTime(s.net.Now())
	require.True(t, p.core.maySend(now, Engine{ChecksOrders: true}, order))
	require.False(t, p.core.maySend(now, Engine{}, order))
	require.Equal(t, 4635*time.Millisecond, DefaultConfig().TakeoverDelay())
}

// TestLoadsFollowDemandWithinWeightRate checks that the replicas follow a change of
// demand, and that loads stay within the weight store's rate.
func TestLoadsFollowDemandWithinWeightRate(t *testing.T) {
	s := newSim(t, 2, 12, 5*time.Millisecond, 10*time.Second)
	for _, p := range s.processes {
		p.core.cfg.WeightRate = 250e6 // half a load per second
	}
	s.transferLease(0, true)
	s.setDemand(2, 1)
	s.run(90 * time.Second)
	require.Equal(t, map[string]int{"model-0": 8, "model-1": 4}, s.replicas())
	s.setDemand(1, 2)
	s.run(120 * time.Second)
	require.Equal(t, map[string]int{"model-0": 4, "model-1": 8}, s.replicas())
	var loads []time.Duration
	for _, e := range s.engines {
		loads = append(loads, e.loads...)
	}
	require.Len(t, loads, 16, "want 12 initial loads and 4 after the change of demand")
	for _, from := range loads {
		inWindow := 0
		for _, at := range loads {
			if at >= from && at < from+10*time.Second {
				inWindow++
			}
		}
		require.LessOrEqual(t, inWindow, 6, "the rate allows 5 loads in 10 s, and 1 may overdraw")
	}
}

func (s *sim) replicas() map[string]int {
	out := map[string]int{}
	for _, e := range s.engines {
		out[string(e.loaded.Service)]++
	}
	return out
}

// TestPausedHolderSendsNothing checks that a process that was paused until its lease
// expired sends nothing when it resumes.
func TestPausedHolderSendsNothing(t *testing.T) {
	s := newSim(t, 3, 4, 5*time.Millisecond, 10*time.Second)
	s.transferLease(0, true)
	s.setDemand(1)
	s.run(time.Second)
	s.net.Pause(s.processes[0].host)
	s.processes[0].renewing = false
	s.run(10 * time.Second)
	s.sendTimes = nil
	s.net.Resume(s.processes[0].host)
	s.run(5 * time.Second)
	require.Empty(t, s.sendTimes)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{MinRemainingLease: time.Second}.Validate()
	for _, field := range []string{"longest_order", "stop_early", "read_every", "answer_within", "weight_rate"} {
		require.ErrorContains(t, err, field)
	}
	require.NoError(t, DefaultConfig().Validate())
}

// TestSendRequiresRemainingLease checks that nothing is sent to an engine that ignores
// fencing tokens near the end of the lease, and nothing to any engine after it.
func TestSendRequiresRemainingLease(t *testing.T) {
	p := &process{epoch: 3, leaseEnd: time.Minute}
	core, err := New(DefaultConfig(), p)
	require.NoError(t, err)
	core.Step(0, Engines{Engines: []Engine{{Server: "checks", ChecksOrders: true}, {Server: "ignores"}}})
	core.Step(0, Tick{})
	order := Order{ID: "o3.1", FencingToken: 3}
	for _, e := range core.engines {
		e.order = &order
	}
	require.False(t, core.maySend(time.Second, core.engines["ignores"].Engine, order), "within the takeover delay")
	require.True(t, core.maySend(59*time.Second, core.engines["ignores"].Engine, order))
	require.False(t, core.maySend(59600*time.Millisecond, core.engines["ignores"].Engine, order), "remaining lease too short")
	require.True(t, core.maySend(59600*time.Millisecond, core.engines["checks"].Engine, order))
	require.False(t, core.BeginSend(time.Minute, "checks", order), "lease expired")
	require.Nil(t, core.engines["checks"].order)
}

// TestFencedHolderStops checks that a process stops sending once an engine has reported a
// higher fencing token.
func TestFencedHolderStops(t *testing.T) {
	p := &process{epoch: 3, leaseEnd: time.Minute}
	core, err := New(DefaultConfig(), p)
	require.NoError(t, err)
	engine := Engine{Server: "checks", ChecksOrders: true}
	core.Step(0, Engines{Engines: []Engine{engine}})
	core.Step(0, Tick{})
	require.True(t, core.maySend(time.Second, engine, Order{FencingToken: 3}))
	core.Step(time.Second, OrderAnswered{Server: "checks", OrderID: "o3.1", Outcome: Fenced, FencingToken: 4})
	require.False(t, core.maySend(time.Second, engine, Order{FencingToken: 3}))
}
