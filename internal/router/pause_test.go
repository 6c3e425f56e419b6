package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

func TestPauseIsReportedOnce(t *testing.T) {
	var d pauseDetector
	require.Zero(t, d.observe(time.Second))
	require.Zero(t, d.observe(time.Second+pauseTick))
	require.Equal(t, 9*time.Second-pauseTick, d.observe(10*time.Second))
	require.Zero(t, d.observe(10*time.Second))
}

func TestGateOpensAndCloses(t *testing.T) {
	g := newGate()
	waiting := g.wait()
	require.False(t, g.isOpen())
	g.open()
	g.open()
	<-waiting
	g.close()
	g.close()
	require.False(t, g.isOpen())
}

// simulatePause makes the process believe that it did not run for d.
func (v *vm) simulatePause(d time.Duration) {
	v.pauses.lastRun.Store(int64(v.clock.now() - d))
}

// A VM that was frozen must not use a replica that left meanwhile. The record of its leaving
// is in the store, but the VM's watch has not returned yet.
func TestPausedVMReadsStateBeforeItServes(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	leaving := s.server(standin.ServerConfig{ID: "leaving", Service: "wuno96b", Domain: "bergen-a"})
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.call(t, "GET", "/idempotent/x", "before").StatusCode == http.StatusOK }, waitTimeout, 5*time.Millisecond)
	s.server(standin.ServerConfig{ID: "staying", Service: "wuno96b", Domain: "bergen-a"})
	for i := range 10 {
		drained := time.Now()
		leaving.Drain()
		v.simulatePause(10 * time.Second)
		require.Equal(t, http.StatusOK, v.call(t, "GET", "/idempotent/x", "after").StatusCode)
		require.True(t, leaving.LastRequest().At.Before(drained), "round %d: a request reached the replica that leaves", i)
	}
}

// While the store cannot be read, a VM that was paused goes on with the state it knew,
// after a bounded wait.
func TestPausedVMServesWithoutStore(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.call(t, "GET", "/idempotent/x", "before").StatusCode == http.StatusOK }, waitTimeout, 5*time.Millisecond)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	v.simulatePause(10 * time.Second)
	start := time.Now()
	require.Equal(t, http.StatusOK, v.call(t, "GET", "/idempotent/x", "after").StatusCode)
	require.InDelta(t, v.cfg.StateWait.Seconds(), time.Since(start).Seconds(), 0.5)
	ready, reason := v.ready()
	require.False(t, ready)
	require.NotEmpty(t, reason)
}

// An order is not sent once the permission has ended, even if it was given when the
// connection began to open.
func TestOrderIsWithdrawnWithoutLeadership(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engine := s.server(standin.ServerConfig{ID: "engine", Service: "huvo11a", Domain: "bergen-a"})
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.checkLeader() == nil }, waitTimeout, 5*time.Millisecond)
	v.locked(func() { v.election.ClaimObserved(v.clock.now(), "a2", 99, 1000) })
	body, err := platform.EncodePlaceOrder(backend.Layers{From: 0, To: 5}, 1, 0)
	require.NoError(t, err)
	_, _, err = v.sendOrderAsLeader(backend.ID(engine.ID), engine.Addr, body)
	require.ErrorIs(t, err, errNotLeader)
	require.Zero(t, engine.Held())
}

// A request whose deadline passed while its connection was being opened, whose header states more
// time than is left, or whose server has begun to leave, is not sent.
func TestRequestIsWithdrawnAfterPause(t *testing.T) {
	l := newLeavingTest(t)
	x := &exchange{r: l.v.Router, callerCtx: t.Context(), deadline: l.v.clock.now() + time.Minute}
	in := backend.Instance{ID: "leaving"}
	l.v.locked(func() { in = l.v.core.Backends.Get("leaving").Instance() })
	ch := &dispatch.Choice{Stages: []paths.Stage{{Instance: in}}}
	require.NoError(t, x.checkBeforeSend(time.Minute, ch))
	require.ErrorIs(t, x.checkBeforeSend(time.Minute+2*maxHeaderAge, ch), errHeaderOutdated)
	l.sayInRecord()
	require.ErrorIs(t, x.checkBeforeSend(time.Minute, ch), errServerLeft)
	l.remove()
	require.ErrorIs(t, x.checkBeforeSend(time.Minute, ch), errServerLeft, "gone")
	x.deadline = l.v.clock.now() - time.Millisecond
	require.ErrorIs(t, x.checkBeforeSend(time.Minute, ch), errDeadlinePassed)
}

// While the store is down, its few watchers find out when it is back. With a try of each VM
// twice a second, an outage of 8 s cost 195 VMs half of the day's calls.
func TestFewCallsToStoreThatIsDown(t *testing.T) {
	s := newSite(t)
	s.configure(7)
	var vms []*vm
	for i := range 8 {
		vms = append(vms, s.vm(fmt.Sprintf("a%d", i)))
	}
	allKnown := func() bool {
		for _, v := range vms {
			known := 0
			v.locked(func() { known = len(v.members) })
			if ok, _ := v.ready(); !ok || known != len(vms) {
				return false
			}
		}
		return true
	}
	require.Eventually(t, allKnown, waitTimeout, 10*time.Millisecond)
	time.Sleep(vms[0].cfg.Leader.RenewInterval) // all follow the watchers by now
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	before := s.store.CallCount()
	const outage = 6 * time.Second
	time.Sleep(outage)
	calls := s.store.CallCount() - before
	// Two watchers try every 0.6 to 0.9 s. Every VM tries twice per OwnTryInterval, and once
	// for its lease and its reads before it knows of the outage.
	limit := 2*2*outage.Seconds() + float64(len(vms))*(2*outage.Seconds()/vms[0].cfg.OwnTryInterval.Seconds()+4)
	require.LessOrEqual(t, float64(calls), limit)
	s.store.SetFaults(standin.StoreFaults{})
	require.Eventually(t, allKnown, 4*time.Second, 10*time.Millisecond, "the records are not back")
	t.Logf("%d calls of %d VMs in %v, limit %.0f", calls, len(vms), outage, limit)
}
