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

// waitUntilConverged waits until every VM has the roster, the accepted configuration, which
// may be empty, and n serving members.
func (f *testFleet) waitUntilConverged(n int) {
	f.t.Helper()
	f.eventually(15*time.Second, "not every VM has all members, the roster and the configuration", func(e *fakeEntry) bool {
		serving := 0
		for i := range n {
			if m, ok := e.member(i); ok && m.Serving && m.Reachable {
				serving++
			}
		}
		return serving == n && e.snapshot.Roster != nil && e.snapshot.Config != nil && e.snapshot.Config.Known
	})
}

func inForce(version uint64) func(e *fakeEntry) bool {
	return func(e *fakeEntry) bool { return e.version() == version }
}

// A sheet accepted by one VM must be in force on all VMs within seconds. During an outage
// of the key-value service lending must go on, and a VM that starts must get the accepted
// version from its peers.
func TestAcceptedSheetInForceEverywhereDuringOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6)
	f.waitUntilConverged(6)
	require.Equal(t, config.OutcomeAccepted, f.apply(2, 1000).Kind)
	f.eventually(5*time.Second, "version 1 is not in force on all VMs", inForce(1))
	require.Equal(t, config.OutcomeUnchanged, f.apply(3, 1000).Kind)
	require.Equal(t, config.OutcomeRefused, f.apply(3, 500).Kind, "a sheet that lowers a limit must be refused")
	require.Eventually(t, func() bool { return f.vms[1].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	f.injectFault(standin.Fault{Target: "kv", Kind: standin.Down})
	f.start(6, freeAddr(t))
	f.eventually(10*time.Second, "version 1 is not in force on a VM started during the outage", inForce(1))
	late := f.vms[6].entry
	require.Eventually(t, func() bool { return late.borrow() == 1 }, 5*time.Second, 50*time.Millisecond, "a VM started during the outage cannot borrow")
	for range 20 {
		require.EqualValues(t, 1, late.borrow(), "lending stopped during the outage")
	}
	outcome := f.apply(0, 2000)
	require.Contains(t, []config.OutcomeKind{config.OutcomeUnavailable, config.OutcomeUnknown}, outcome.Kind)

	f.injectFault(standin.Fault{Target: "kv", Kind: standin.Down, Off: true})
	require.Eventually(t, func() bool { return f.apply(0, 2000).Kind == config.OutcomeAccepted }, 15*time.Second, time.Second)
	f.eventually(5*time.Second, "version 2 is not in force on all VMs", inForce(2))
}

// After a slot holder is killed, another VM must lend its limits within seconds.
func TestKilledSlotHolderIsReplaced(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6)
	f.waitUntilConverged(6)
	require.Equal(t, config.OutcomeAccepted, f.apply(0, 1000).Kind)
	f.eventually(5*time.Second, "version 1 is not in force on all VMs", inForce(1))
	require.Eventually(t, func() bool { return f.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	holder := f.vms[0].entry.holder()
	var borrower *fakeEntry
	for i, v := range f.vms {
		if ident.VM(fmt.Sprintf("vm-%d", i)) == holder {
			f.kill(i)
		} else {
			borrower = v.entry
		}
	}
	killed := time.Now()
	lent := func() bool { return borrower.holder() != holder && borrower.borrow() == 1 }
	if !assert.Eventually(t, lent, 15*time.Second, 50*time.Millisecond, "no other VM lends") {
		for i, v := range f.vms {
			t.Logf("VM %d, holder %s, borrower %t: %s", i, v.entry.holder(), v.entry == borrower, v.entry.describe())
		}
		t.FailNow()
	}
	t.Logf("lent again %s after the kill", time.Since(killed).Round(10*time.Millisecond))
}

// A backend server that one entry process reported as leaving must get no new work from
// any entry process, although the VM list lags by a minute.
func TestLeavingServerGetsNoWorkFromAnyEntry(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6)
	f.waitUntilConverged(6)
	f.eventually(5*time.Second, "the backend servers are not known on all VMs", func(e *fakeEntry) bool {
		return e.snapshot.Backends != nil && len(e.snapshot.Backends.Servers) == 3
	})
	leaving := f.cluster.Servers()[0].ID
	f.vms[4].entry.update(func() {
		f.vms[4].entry.observations = []peer.BackendObservation{{Server: leaving, Leaving: true}}
	})
	f.eventually(4*time.Second, "a VM still lists the leaving server as accepting work", func(e *fakeEntry) bool {
		for _, s := range e.snapshot.Backends.Servers {
			if s.ID == leaving {
				return !s.AcceptsWork
			}
		}
		return true
	})
}

// The fleet must track the entry process of each VM apart from its control process: its
// incarnation, missing reports, and that it survives a restart of the control process.
func TestEntryProcessStateReachesFleet(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3)
	f.waitUntilConverged(3)
	entry := f.vms[1].entry
	entryServes := func(e *fakeEntry) bool {
		m, ok := e.member(1)
		return ok && m.Instance == entry.self && m.Serving
	}
	f.eventually(5*time.Second, "the entry's incarnation is not known on all VMs", entryServes)

	entry.update(func() { entry.silent = true })
	f.eventually(6*time.Second, "an entry without reports still counts as serving", func(e *fakeEntry) bool {
		m, ok := e.member(1)
		return ok && !m.Serving
	})
	entry.update(func() { entry.silent = false })
	f.eventually(6*time.Second, "the entry does not count as serving again", entryServes)

	v := f.vms[1]
	v.shell.Cancel()
	require.NoError(t, <-v.ended)
	restarted := f.start(1, v.shell.cfg.Listen)
	restarted.entry.cancel()
	restarted.entry = entry
	require.Eventually(t, func() bool {
		return entry.check(func(e *fakeEntry) bool { return e.snapshot.Versions.Control == restarted.shell.cfg.Self.Incarnation })
	}, 10*time.Second, 20*time.Millisecond, "the entry did not find its new control process")
	other := f.vms[0].entry // the condition may still run when the test has ended and its VMs are killed
	require.Never(t, func() bool {
		return other.check(func(e *fakeEntry) bool {
			m, ok := e.member(1)
			return !ok || m.Instance != entry.self && m.Instance.Incarnation != 0
		})
	}, 4*time.Second, 20*time.Millisecond, "a VM treats the entry process as ended")
	f.eventually(10*time.Second, "the entry does not count as serving after the restart of its control process", entryServes)
}

// A stop during startup must end the process.
func TestStopDuringStart(t *testing.T) {
	t.Parallel()
	for range 20 {
		f := newTestFleet(t, 1)
		f.kill(0)
	}
}

// A planned stop must end by itself, and the remaining VMs must go on lending.
func TestPlannedStopHandsOverSlots(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6)
	f.waitUntilConverged(6)
	require.Equal(t, config.OutcomeAccepted, f.apply(0, 1000).Kind)
	f.eventually(5*time.Second, "version 1 is not in force on all VMs", inForce(1))
	require.Eventually(t, func() bool { return f.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)

	v := f.vms[5]
	delete(f.vms, 5)
	v.entry.cancel()
	v.stop()
	select {
	case err := <-v.ended:
		require.NoError(t, err)
	case <-time.After(15 * time.Second):
		require.Fail(t, "the planned stop did not end")
	}
	f.eventually(4*time.Second, "a VM still lists the stopped VM", func(e *fakeEntry) bool {
		_, ok := e.member(5)
		return !ok
	})
	require.Eventually(t, func() bool { return f.vms[0].entry.borrow() == 1 }, 8*time.Second, 50*time.Millisecond)
}
