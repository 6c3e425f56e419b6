package dispatch_test

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/paths"
)

const (
	// findingDelay and findingSpread are the time from a crash until a VM moves its streams:
	// the bounds of the failure detector in docs/design/hard-load.md.
	findingDelay  = 30 * time.Millisecond
	findingSpread = 20 * time.Millisecond
	// orderDelay is the time from the choice of a new path until its servers decide on it.
	orderDelay = 5 * time.Millisecond
	// maxRepaths is the router's bound of the attempts to change a path.
	maxRepaths = 3
)

// moveTally counts what happened to the streams of crashed servers.
type moveTally struct {
	orders, refused int // orders to change a path
	moved, rerun    int // streams that went on over another path, or by another run
	late            int // of them, with a pause above 250 ms at the move
	pauses          []time.Duration
	targets         map[string]int // servers that took over layers
	firsts          map[backend.ID]int
	duration        time.Duration // sum over the answered calls
	answered        int
}

func (m *moveTally) quantile(q float64) time.Duration {
	if len(m.pauses) == 0 {
		return 0
	}
	sort.Slice(m.pauses, func(a, b int) bool { return m.pauses[a] < m.pauses[b] })
	return m.pauses[min(len(m.pauses)-1, int(q*float64(len(m.pauses))))].Round(time.Millisecond)
}

// largestFirst returns the largest share of the sends that started at one server.
func (m *moveTally) largestFirst() float64 {
	total, largest := 0, 0
	for _, n := range m.firsts {
		total, largest = total+n, max(largest, n)
	}
	return ratio(largest, total)
}

func (m *moveTally) add(o *moveTally) {
	m.orders, m.refused, m.moved, m.rerun, m.late = m.orders+o.orders, m.refused+o.refused, m.moved+o.moved, m.rerun+o.rerun, m.late+o.late
	m.duration, m.answered = m.duration+o.duration, m.answered+o.answered
	m.pauses = append(m.pauses, o.pauses...)
	if m.targets == nil {
		m.targets, m.firsts = map[string]int{}, map[backend.ID]int{}
	}
	for k, n := range o.targets {
		m.targets[k] += n
	}
	for k, n := range o.firsts {
		m.firsts[k] += n
	}
}

func (m *moveTally) String() string {
	return fmt.Sprintf("%d of %d path changes refused, %d moved, %d run again, %d of them late; pause at the move p50 %v p90 %v; %d servers took over; largest first stage %.3f; mean duration %v",
		m.refused, m.orders, m.moved, m.rerun, m.late, m.quantile(0.5), m.quantile(0.9), len(m.targets), m.largestFirst(), (m.duration / time.Duration(max(1, m.answered))).Round(time.Millisecond))
}

// crash crashes the servers at the same moment. Each VM moves its streams off them within
// findingDelay and findingSpread.
func (s *simulation) crash(engines []*engineModel, m *moveTally) {
	diedAt := s.now
	for _, e := range engines {
		e.dead = true
	}
	affected := map[*vm][]*call{}
	for _, e := range engines {
		for _, c := range append(sortedCalls(e.active), e.waiting...) {
			if !c.stalled {
				c.stalled = true
				affected[c.vm] = append(affected[c.vm], c)
			}
		}
		e.waiting = nil
		instance := e.Instance()
		s.after(recordTTL, func() {
			for _, v := range s.vms {
				v.core.Backends.Remove(s.now, instance.ID, 0, false)
			}
		})
	}
	for _, v := range s.vms {
		calls := affected[v]
		s.after(findingDelay+s.jitter(findingSpread), func() {
			for _, e := range engines {
				v.core.RecordLost(s.now, e.Instance())
			}
			for _, c := range calls {
				s.moveCall(c, engines, diedAt, maxRepaths, m)
			}
		})
	}
}

// moveCall orders another path for a call on crashed servers. The order is decided on after
// orderDelay; a refused one is repeated without the server that refused.
func (s *simulation) moveCall(c *call, crashed []*engineModel, diedAt time.Duration, attempts int, m *moveTally) {
	lost := func() *engineModel {
		for _, e := range crashed {
			if c.uses(e) {
				return e
			}
		}
		return nil
	}()
	var next *dispatch.Choice
	if lost != nil && attempts > 0 {
		next = c.vm.core.Replace(s.now, c.req, c.choice, lost.Addr)
	}
	if next == nil {
		s.rerun(c, lost, diedAt, m)
		return
	}
	m.orders++
	s.after(orderDelay, func() {
		if full := s.refusesMove(c, next); full != nil {
			m.refused++
			c.vm.core.Release(next)
			c.req.Avoid[full.ID] = true
			s.moveCall(c, crashed, diedAt, attempts-1, m)
			return
		}
		s.takeOver(c, next, diedAt, m)
	})
}

// refusesMove returns the first server of a new path that cannot run its stage, or nil.
func (s *simulation) refusesMove(c *call, next *dispatch.Choice) *engineModel {
	for _, stage := range next.Stages {
		e := s.engines[stage.Instance.ID]
		need := (c.req.PromptTokens + c.generated) * float64(stage.Layers.Len())
		if layers, ok := e.active[c]; ok {
			need -= (c.req.PromptTokens + c.generated) * float64(layers.Len())
		}
		if e.dead || e.loadingUntil > s.now || !e.held.Contains(stage.Layers) || e.usedKV+need > s.spec.KVCapacity(e.accelerator, e.held.Len()) {
			return e
		}
	}
	return nil
}

// takeOver lets a call go on over a new path. Only the new stages read its tokens again.
func (s *simulation) takeOver(c *call, next *dispatch.Choice, diedAt time.Duration, m *moveTally) {
	kept := map[backend.ID]bool{}
	for _, stage := range c.choice.Stages {
		kept[stage.Instance.ID] = !s.engines[stage.Instance.ID].dead
	}
	old := c.choice
	s.detach(c)
	c.vm.core.Release(old)
	c.choice, c.stalled = next, false
	s.engines[next.Target().Instance.ID].running[c] = true
	var toRead []paths.Stage
	for _, stage := range next.Stages {
		e := s.engines[stage.Instance.ID]
		e.active[c] = stage.Layers
		e.usedKV += (c.req.PromptTokens + c.generated) * float64(stage.Layers.Len())
		if !kept[stage.Instance.ID] {
			toRead = append(toRead, stage)
			m.targets[e.Addr]++
		}
	}
	m.moved++
	s.read(c, toRead, func() { s.recordPause(c, s.now-diedAt, m) })
}

// read lets the given stages of a call's path read its tokens one after the other, each when
// the one before it is done, and then calls done. The simpler admitToPath reserves the time of
// all stages at once, so that a server idles until the stages before it are done.
func (s *simulation) read(c *call, stages []paths.Stage, done func()) {
	path := c.choice
	if len(stages) == 0 {
		c.lastStep = s.now
		done()
		return
	}
	c.lastStep = math.MaxInt64
	e := s.engines[stages[0].Instance.ID]
	e.prefillFreeAt = max(e.prefillFreeAt, s.now) + s.spec.PrefillTime(e.accelerator, stages[0].Layers.Len(), c.req.PromptTokens+c.generated)
	s.at(e.prefillFreeAt, func() {
		if c.choice == path && !c.stalled && s.engines[path.Target().Instance.ID].running[c] {
			s.read(c, stages[1:], done)
		}
	})
}

func (s *simulation) recordPause(c *call, pause time.Duration, m *moveTally) {
	if c.generated == 0 {
		return // its first event is late or not
	}
	c.maxGap = max(c.maxGap, pause)
	m.pauses = append(m.pauses, pause)
	if pause > 250*time.Millisecond {
		m.late++
	}
}

// rerun sends a call again whose path could not be changed. lost is nil if another order has
// already moved it off the crashed servers.
func (s *simulation) rerun(c *call, lost *engineModel, diedAt time.Duration, m *moveTally) {
	if lost == nil {
		return
	}
	s.detach(c)
	c.stalled = false
	m.rerun++
	if c.generated > 0 {
		c.onRead = func() { s.recordPause(c, s.now-diedAt, m) }
	}
	s.handleLostServer(c, lost)
}

// busiest returns the n servers of a failure domain with the most streams, without those
// that hold the first layer, or only these.
func (s *simulation) busiest(domain string, n int, first bool) []*engineModel {
	var out []*engineModel
	for _, e := range s.engineOrder {
		if e.Domain == domain && !e.dead && e.held.Len() > 0 && (e.held.From == 0) == first {
			out = append(out, e)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return len(out[a].active) > len(out[b].active) })
	return out[:min(n, len(out))]
}

// moveFleets lists the deployments in which servers crash: the number of VMs of a failure
// domain, the domains' accelerators, and the requests per second of each domain.
var moveFleets = []struct {
	name    string
	vms     int
	domains []accelerators
	rate    float64
}{
	{"36 VMs", 9, fourDomains, 64},
	{"86 VMs", 43, []accelerators{{5, 24, 18}, {4, 24, 18}}, 130},
}

// runMoves simulates a fleet under the given multiple of its rate in which, at 5 s, n joined
// servers of one failure domain crash, none of them a first stage unless first is set.
func runMoves(t testing.TB, seed uint64, fleet, n int, first bool, load float64, tune func(*dispatch.Config)) (tally, *moveTally) {
	f := moveFleets[fleet]
	s := newSimulation(t, seed, f.vms, f.domains, tune)
	s.readInTurn = true
	m := &moveTally{targets: map[string]int{}, firsts: map[backend.ID]int{}}
	s.onSend = func(c *call) { m.firsts[c.choice.Target().Instance.ID]++ }
	s.onFinish = func(c *call) { m.answered, m.duration = m.answered+1, m.duration+s.now-c.arrived }
	s.startTraffic(load*f.rate, 8*time.Second)
	if n > 0 {
		s.at(5*time.Second, func() { s.crash(s.busiest("a", n, first), m) })
	}
	s.run(30 * time.Second)
	return s.tally, m
}

// Four joined servers crash under 1.3 times the usual rate. Guards against VMs that all move
// their streams to the servers that look idle to each of them: without the division, more
// streams pause above 250 ms, and servers refuse path changes.
func TestStreamsOfJoinedCrashesAreDivided(t *testing.T) {
	const seeds, servers, load = 3, 4, 1.3
	for fleet, f := range moveFleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			var together, divided moveTally
			for seed := range uint64(seeds) {
				calls, m := runMoves(t, seed, fleet, servers, false, load, func(c *dispatch.Config) { c.MoveTimeShare = 0 })
				together.add(m)
				t.Log("together:", calls)
				calls, m = runMoves(t, seed, fleet, servers, false, load, nil)
				divided.add(m)
				t.Log("divided: ", calls)
			}
			t.Log("together:", &together)
			t.Log("divided: ", &divided)
			require.Positive(t, divided.moved)
			require.Less(t, divided.late, together.late)
			require.LessOrEqual(t, divided.refused, together.refused)
			require.Greater(t, len(divided.targets), len(together.targets))
		})
	}
}

// Guards against nearly all streams of a fleet that start at a few fast servers: the crash of
// the largest first stage then ends the runs of all of them at once. With the bound, all
// streams of a calm day must still be in time.
func TestBoundOnFirstStages(t *testing.T) {
	const seed, servers = 1, 1
	for fleet, f := range moveFleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			unbound := func(c *dispatch.Config) { c.Paths.FirstStageShare = 0 }
			_, before := runMoves(t, seed, fleet, 0, true, 1, unbound)
			calm, after := runMoves(t, seed, fleet, 0, true, 1, nil)
			t.Log("calm, no bound:", before)
			t.Log("calm, bound:   ", after)
			require.Equal(t, calm.total, calm.inTime, calm)
			require.Greater(t, before.largestFirst(), 0.25)
			require.Less(t, after.largestFirst(), 0.18)
			crashBefore, before := runMoves(t, seed, fleet, servers, true, 1, unbound)
			crashAfter, after := runMoves(t, seed, fleet, servers, true, 1, nil)
			t.Log("crash, no bound:", crashBefore, before)
			t.Log("crash, bound:   ", crashAfter, after)
			require.Less(t, after.rerun, before.rerun)
			require.GreaterOrEqual(t, crashAfter.inTime+crashAfter.total/200, crashBefore.inTime, "half a percent is chance")
		})
	}
}
