package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/standin"
)

// together waits until all VMs serve, know each other and hold no limit yet.
func (w *world) together(n int) {
	w.t.Helper()
	w.eventually(15*time.Second, "the fleet comes together", func(e *fakeEntry) bool {
		serving := 0
		for i := range n {
			if m, ok := e.member(i); ok && m.Serving && m.Reachable {
				serving++
			}
		}
		return serving == n && e.state.Roster != nil && e.state.Config != nil && e.state.Config.Known
	})
}

func inForce(version uint64) func(e *fakeEntry) bool {
	return func(e *fakeEntry) bool { return e.version() == version }
}

// A sheet accepted at one VM is in force on all within seconds; an outage of the
// service changes nothing; a VM that starts in the outage takes the accepted
// version from its peers; lending goes on through all of it.
func TestAcceptedInForceEverywhereAlsoInAnOutage(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6)
	w.together(6)
	require.Equal(t, config.OutcomeAccepted, w.apply(2, 1000).Kind)
	w.eventually(5*time.Second, "version 1 is in force", inForce(1))
	require.Equal(t, config.OutcomeUnchanged, w.apply(3, 1000).Kind)
	require.Equal(t, config.OutcomeRefused, w.apply(3, 500).Kind, "a limit is never lowered")
	require.Eventually(t, func() bool { return w.vms[1].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	w.fault(standin.Fault{Target: "kv", Kind: standin.Down})
	w.start(6, freeAddr(t))
	w.eventually(10*time.Second, "a VM that starts in the outage has version 1", inForce(1))
	fresh := w.vms[6].entry
	require.Eventually(t, func() bool { return fresh.borrow() == 1 }, 5*time.Second, 50*time.Millisecond, "it can borrow")
	for range 20 {
		require.EqualValues(t, 1, fresh.borrow(), "lending goes on in the outage")
	}
	outcome := w.apply(0, 2000)
	require.Contains(t, []config.OutcomeKind{config.OutcomeUnavailable, config.OutcomeUnknown}, outcome.Kind)

	w.fault(standin.Fault{Target: "kv", Kind: standin.Down, Off: true})
	require.Eventually(t, func() bool { return w.apply(0, 2000).Kind == config.OutcomeAccepted }, 15*time.Second, time.Second)
	w.eventually(5*time.Second, "version 2 is in force", inForce(2))
}

// A killed holder's slots are lent by somebody else within seconds.
func TestKilledHolderIsReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6)
	w.together(6)
	require.Equal(t, config.OutcomeAccepted, w.apply(0, 1000).Kind)
	w.eventually(5*time.Second, "version 1 is in force", inForce(1))
	require.Eventually(t, func() bool { return w.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	holder := w.vms[0].entry.holder()
	var asker *fakeEntry
	for i, v := range w.vms {
		if ident.VM(fmt.Sprintf("vm-%d", i)) == holder {
			w.kill(i)
		} else {
			asker = v.entry
		}
	}
	killed := time.Now()
	lent := func() bool { return asker.holder() != holder && asker.borrow() == 1 }
	if !assert.Eventually(t, lent, 15*time.Second, 50*time.Millisecond, "another VM lends") {
		for i, v := range w.vms {
			t.Logf("VM %d, holder %s, asker %t: %s", i, v.entry.holder(), v.entry == asker, v.entry.describe())
		}
		t.FailNow()
	}
	t.Logf("lent again %s after the kill", time.Since(killed).Round(10*time.Millisecond))
}

// A server that refused one entry gets no new work from any, although the list
// lags by a minute.
func TestRefusalReachesEveryEntry(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6)
	w.together(6)
	w.eventually(5*time.Second, "the servers are known", func(e *fakeEntry) bool {
		return e.state.Backends != nil && len(e.state.Backends.Servers) == 3
	})
	leaving := w.cluster.Servers()[0].ID
	w.vms[4].entry.set(func() {
		w.vms[4].entry.report = []peer.BackendObservation{{Server: leaving, Leaving: true}}
	})
	w.eventually(4*time.Second, "nobody gives it work", func(e *fakeEntry) bool {
		for _, s := range e.state.Backends.Servers {
			if s.ID == leaving {
				return !s.AcceptsWork
			}
		}
		return true
	})
}

// The fleet follows the entry process of each VM: its own life, its silence, and
// that it outlives a restart of its control process.
func TestEntryProcessesAreFollowed(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3)
	w.together(3)
	entry := w.vms[1].entry
	sameLife := func(e *fakeEntry) bool {
		m, ok := e.member(1)
		return ok && m.Instance == entry.self && m.Serving
	}
	w.eventually(5*time.Second, "its life is known", sameLife)

	entry.set(func() { entry.silent = true })
	w.eventually(6*time.Second, "a silent entry is not named to callers", func(e *fakeEntry) bool {
		m, ok := e.member(1)
		return ok && !m.Serving
	})
	entry.set(func() { entry.silent = false })
	w.eventually(6*time.Second, "it is named again", sameLife)

	v := w.vms[1]
	v.shell.Cancel()
	require.NoError(t, <-v.ended)
	restarted := w.start(1, v.shell.cfg.Listen)
	restarted.entry.end()
	restarted.entry = entry
	require.Eventually(t, func() bool {
		return entry.check(func(e *fakeEntry) bool { return e.state.Versions.Control == restarted.shell.cfg.Self.Incarnation })
	}, 10*time.Second, 20*time.Millisecond, "the entry has found its new control process")
	require.Never(t, func() bool {
		return w.vms[0].entry.check(func(e *fakeEntry) bool {
			m, ok := e.member(1)
			return !ok || m.Instance != entry.self && m.Instance.Incarnation != 0
		})
	}, 4*time.Second, 20*time.Millisecond, "the entry seemed to have ended")
	w.eventually(10*time.Second, "the entry outlives its control process", sameLife)
}

// A stop during the start ends the process.
func TestStopDuringTheStart(t *testing.T) {
	t.Parallel()
	for range 20 {
		w := newWorld(t, 1)
		w.kill(0)
	}
}

// A planned stop hands the slots over first and ends by itself.
func TestPlannedStopHandsOver(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6)
	w.together(6)
	require.Equal(t, config.OutcomeAccepted, w.apply(0, 1000).Kind)
	w.eventually(5*time.Second, "version 1 is in force", inForce(1))
	require.Eventually(t, func() bool { return w.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	v := w.vms[5]
	delete(w.vms, 5)
	v.entry.end()
	v.stop()
	select {
	case err := <-v.ended:
		require.NoError(t, err)
	case <-time.After(15 * time.Second):
		require.Fail(t, "the planned stop did not end")
	}
	w.eventually(4*time.Second, "it has left", func(e *fakeEntry) bool {
		_, ok := e.member(5)
		return !ok
	})
	require.Eventually(t, func() bool { return w.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)
}
