package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
)

func testServers(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprint("s", i)), StartedMs: 1}, Service: "m", Domain: "d", Addr: fmt.Sprint("a", i)})
	}
	return out
}

func testCore(n int) (*Core, []Server) {
	c, servers := New(DefaultConfig(), "v", 1), testServers(n)
	c.SetServers(0, servers)
	return c, servers
}

func refuses(server Server) func(Try) Outcome {
	return func(try Try) Outcome {
		if try.Server.Instance == server.Instance {
			return Refused
		}
		return Opened
	}
}

// Idle connections are closed all the time, so only a refused connection is evidence enough.
func TestClosedWatchConnectionAloneMovesNothing(t *testing.T) {
	c, servers := testCore(5)
	c.Observe(time.Second, Evidence{Server: servers[0], Kind: WatchClosed})
	verdict := play(t, c, time.Second, func(Try) Outcome { return Opened })
	require.Equal(t, Alive, verdict.Result)
	require.Empty(t, verdict.Witness)
}

// A listener that is full may refuse one connection. A watch connection that closed at the same
// moment rules that out.
func TestOneRefusedTryNeedsAClosedWatchConnection(t *testing.T) {
	for kind, want := range map[Kind]Result{Reset: Alive, WatchClosed: Lost} {
		c, servers := testCore(5)
		c.Observe(time.Second, Evidence{Server: servers[0], Kind: kind})
		tries := 0
		verdict := play(t, c, time.Second, func(try Try) Outcome {
			if try.Witness {
				return Opened
			}
			if tries++; tries == 1 {
				return Refused
			}
			return Opened
		})
		require.Equal(t, want, verdict.Result, kind)
	}
}

func TestLossIsToldOnceForEachIncarnation(t *testing.T) {
	c, servers := testCore(5)
	now := time.Second
	c.Observe(now, Evidence{Server: servers[0], Kind: Reset})
	verdict := play(t, c, now, refuses(servers[0]))
	require.Equal(t, Lost, verdict.Result)
	require.NotEmpty(t, verdict.Witness)
	now += 100 * ms
	c.Observe(now, Evidence{Server: servers[0], Kind: Reset})
	require.Empty(t, c.Advance(now, noStreams{}).Tries, "the verdict holds")
	again := servers[0]
	again.StartedMs++
	c.Observe(now, Evidence{Server: again, Kind: Reset})
	require.NotEmpty(t, c.Advance(now, noStreams{}).Tries, "another incarnation")
}

// A finding that each VM passes on would be sent by all to all.
func TestNeighborsFindingIsNotToldAgain(t *testing.T) {
	c, servers := testCore(5)
	c.Observe(time.Second, Evidence{Server: servers[0], Kind: Neighbor})
	verdict := play(t, c, time.Second, refuses(servers[0]))
	require.Equal(t, Lost, verdict.Result)
	require.Empty(t, c.unannounced)
	require.Empty(t, c.Advance(2*time.Second, noStreams{}).Announce)
}

func TestFindingsOfOneMomentShareAMessage(t *testing.T) {
	c, servers := testCore(20)
	now := time.Second
	var told [][]Server
	for i := range 4 {
		c.Reported(now, servers[i])
	}
	told = append(told, c.Advance(now, noStreams{}).Announce)
	c.Reported(now+ms, servers[4])
	a := c.Advance(now+ms, noStreams{})
	require.Empty(t, a.Announce)
	require.Equal(t, now+c.cfg.MessageInterval, a.Wake)
	told = append(told, c.Advance(a.Wake, noStreams{}).Announce)
	require.Len(t, told[0], 4)
	require.Len(t, told[1], 1)
	for i := 5; i < 20; i++ {
		now += 10 * ms
		c.Reported(now, servers[i])
		c.Advance(now, noStreams{})
	}
	require.Equal(t, 13, c.stats.DroppedFindings, "beyond the burst")
}

// A VM whose process did not run finds the timers of its tries expired, answered or not.
func TestLateTimeoutsAreNotCounted(t *testing.T) {
	c, servers := testCore(5)
	now := time.Second
	c.Observe(now, Evidence{Server: servers[0], Kind: Silence})
	for range 20 {
		a := c.Advance(now, noStreams{})
		if len(a.Verdicts) > 0 {
			require.Equal(t, Undecided, a.Verdicts[0].Result)
			return
		}
		now += 300 * ms
		for _, try := range a.Tries {
			outcome := Unanswered
			if try.Witness {
				outcome = Opened
			}
			c.Tried(now, try.ID, outcome)
		}
	}
	require.Fail(t, "no verdict")
}

// A witness whose timer expired while this VM did not run may be asked again at once.
func TestLateWitnessIsNotHeldAgainstIt(t *testing.T) {
	for late, want := range map[time.Duration]Result{0: Unwitnessed, 200 * ms: Lost} {
		c, servers := testCore(2)
		now := time.Second
		c.Observe(now, Evidence{Server: servers[0], Kind: WatchClosed})
		c.Tried(now, c.Advance(now, noStreams{}).Tries[0].ID, Refused)
		witness := c.Advance(now, noStreams{}).Tries[0]
		require.True(t, witness.Witness)
		now += c.cfg.AnswerTimeout + late
		c.Tried(now, witness.ID, Unanswered)
		require.Equal(t, Unwitnessed, c.Advance(now, noStreams{}).Verdicts[0].Result, "no third server")
		now += 10 * ms
		c.Observe(now, Evidence{Server: servers[0], Kind: WatchClosed})
		require.Equal(t, want, play(t, c, now, refuses(servers[0])).Result, late)
	}
}

// passing has a stream through every server, with an event a moment ago.
type passing struct{ now *time.Duration }

func (passing) Silent(backend.Instance) bool { return false }

func (p passing) Progress(backend.Instance) (time.Duration, bool) { return *p.now - ms, true }

// A server through which events still arrive is not dark, whatever its new connections say.
func TestServerWithProgressIsNotDark(t *testing.T) {
	c, servers := testCore(5)
	now := time.Second
	c.Observe(now, Evidence{Server: servers[0], Kind: Neighbor})
	for range 100 {
		a := c.Advance(now, passing{&now})
		if len(a.Verdicts) > 0 {
			require.Equal(t, Alive, a.Verdicts[0].Result)
			return
		}
		for _, try := range a.Tries {
			if try.Witness {
				c.Tried(now, try.ID, Opened)
			}
		}
		now += ms
		for id, chk := range c.tries {
			if began, ok := chk.tryTimes[id]; ok && now-began >= c.cfg.AnswerTimeout {
				c.Tried(now, id, Unanswered)
			}
		}
	}
	require.Fail(t, "no verdict")
}

// silentStreams has a silent stream through every server.
type silentStreams struct{ noStreams }

func (silentStreams) Silent(backend.Instance) bool { return true }

// A process that hangs still accepts connections. Another VM has it from a report.
func TestSilentStreamsLeaveAServerThatANeighborFoundLost(t *testing.T) {
	for kind, want := range map[Kind]Result{Neighbor: Stalled, Silence: Alive, WatchClosed: Alive} {
		c, servers := testCore(5)
		c.Observe(time.Second, Evidence{Server: servers[0], Kind: kind})
		c.Tried(time.Second, c.Advance(time.Second, silentStreams{}).Tries[0].ID, Opened)
		a := c.Advance(time.Second, silentStreams{})
		if want.Gone() {
			a = c.Advance(a.Wake, silentStreams{})
		}
		require.Equal(t, want, a.Verdicts[0].Result, kind)
		require.Empty(t, a.Announce)
	}
}

// Streams that left the first of several lost servers at once moved to the next one.
func TestServersThatFailTogetherAreLeftTogether(t *testing.T) {
	c, servers := testCore(6)
	now := time.Second
	c.Observe(now, Evidence{Server: servers[0], Kind: WatchClosed})
	outcome := func(try Try) Outcome {
		if try.Server.ID == servers[0].ID || try.Server.ID == servers[1].ID {
			return Refused
		}
		return Opened
	}
	answer := func(a Actions) {
		for _, try := range a.Tries {
			c.Tried(now, try.ID, outcome(try))
		}
	}
	var avoid []Server
	var lost []Verdict
	for ; len(lost) == 0; now += ms / 2 {
		if now == time.Second+2*ms {
			c.Observe(now, Evidence{Server: servers[1], Kind: Reset})
		}
		a := c.Advance(now, noStreams{})
		avoid, lost = append(avoid, a.Avoid...), a.Verdicts
		answer(a)
		require.Less(t, now, time.Second+50*ms)
	}
	require.Len(t, lost, 2)
	require.Contains(t, avoid, servers[1])
	require.LessOrEqual(t, now, time.Second+11*ms)
}

// A finding that the budget leaves no check for is handed back, so that the VM can act on it.
func TestNeighborsFindingWithoutBudgetIsHandedBack(t *testing.T) {
	c, servers := testCore(5)
	now := time.Second
	c.budget = bucket{tokens: -100, at: now}
	c.Observe(now, Evidence{Server: servers[0], Kind: Neighbor})
	a := c.Advance(now, noStreams{})
	require.Equal(t, now+c.cfg.NeighborWait, a.Wake)
	a = c.Advance(a.Wake, noStreams{})
	require.Len(t, a.Verdicts, 1)
	require.Equal(t, Undecided, a.Verdicts[0].Result)
	require.True(t, a.Verdicts[0].FromNeighbor)
}

func TestStateIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxServers = 50
	c := New(cfg, "v", 1)
	now := time.Second
	for i := range 5000 {
		now += 10 * ms
		c.Observe(now, Evidence{Server: Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprint("x", i)), StartedMs: 1}}, Kind: Reset})
		for _, try := range c.Advance(now, noStreams{}).Tries {
			c.Tried(now, try.ID, Opened)
		}
		c.Advance(now, noStreams{})
		require.LessOrEqual(t, len(c.states), 50)
		require.LessOrEqual(t, len(c.checks), c.cfg.MaxChecks)
		require.LessOrEqual(t, len(c.tries), 10)
	}
}

// The number of connections to a server must not grow with the fleet.
func TestEachServerIsWatchedByThreeVMs(t *testing.T) {
	const vms = 86
	servers := testServers(93)
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprint("v", i))
	}
	watchers, most := map[backend.ID]int{}, 0
	for _, name := range names {
		c := New(DefaultConfig(), name, 1)
		c.SetVMs(names)
		c.SetServers(0, servers)
		watched := c.Watched()
		most = max(most, len(watched))
		for _, s := range watched {
			watchers[s.ID]++
		}
	}
	for _, s := range servers {
		require.Equal(t, 3, watchers[s.ID], s.ID)
	}
	require.LessOrEqual(t, most, 12)

	before := New(DefaultConfig(), names[0], 1)
	before.SetVMs(names)
	before.SetServers(0, servers)
	chosen := len(before.Watched())
	before.SetVMs(names[:43])
	require.Greater(t, len(before.Watched()), chosen, "the others have gone")
	before.SetServers(0, nil)
	require.Empty(t, before.Watched())
}

// A fixed silence of 300 ms and more was longer than the acceptable pause of 250 ms.
func TestSilenceIsLearnedAndBelowTheAcceptablePause(t *testing.T) {
	cfg := DefaultPaceConfig()
	const maxGap = 250 * ms
	var unknown Pace
	require.Equal(t, 100*ms, unknown.Silence(cfg, maxGap))
	for usual, want := range map[time.Duration]time.Duration{5 * ms: 60 * ms, 30 * ms: 75 * ms, 60 * ms: 100 * ms, 120 * ms: 150 * ms, 400 * ms: 200 * ms} {
		var p Pace
		for range 20 {
			p.Observe(cfg, usual)
		}
		require.Equal(t, want, p.Silence(cfg, maxGap), usual)
	}
	var p Pace
	for range 20 {
		p.Observe(cfg, 20*ms)
	}
	p.Observe(cfg, 240*ms)
	require.Less(t, p.Silence(cfg, maxGap), maxGap)
	for range 60 {
		p.Observe(cfg, 20*ms)
	}
	require.LessOrEqual(t, p.Silence(cfg, maxGap), 75*ms, "one long pause is forgotten")
}

func BenchmarkCheck(b *testing.B) {
	c, servers := testCore(600)
	now := time.Second
	for i := range b.N {
		now += 300 * ms
		c.Observe(now, Evidence{Server: servers[i%600], Kind: WatchClosed})
		for _, try := range c.Advance(now, noStreams{}).Tries {
			c.Tried(now, try.ID, Opened)
		}
		c.Advance(now, noStreams{})
	}
}

func BenchmarkSetServersAndWatched(b *testing.B) {
	c, servers := testCore(600)
	var names []string
	for i := range 330 {
		names = append(names, fmt.Sprint("v", i))
	}
	c.SetVMs(names)
	for range b.N {
		c.SetServers(0, servers)
		c.Watched()
	}
}
