package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
)

func TestFleetConverges(t *testing.T) {
	for _, n := range []int{2, 6, 24, 96} {
		f := newFleet(t, 1, lan(0))
		f.startVMs(n, 3)
		f.run(20 * time.Second)
		f.requireAllAlive()
		require.Zero(t, f.countEvents(Suspect))
	}
}

// With 10 % message loss, no running VM is ever declared gone or unreachable.
func TestNoFalseGoneUnderPacketLoss(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, seed, lan(0.1))
		f.startVMs(24, 3)
		f.run(30 * time.Minute)
		require.Zero(t, f.countEvents(Gone))
		require.Zero(t, f.countEvents(Unreachable))
	}
}

func TestKilledVMIsGoneEverywhereAndRejoins(t *testing.T) {
	f := newFleet(t, 2, lan(0))
	f.startVMs(6, 3)
	f.run(10 * time.Second)
	f.kill(vmName(4))
	f.run(8 * time.Second)
	f.requireState(vmName(4), Gone)

	f.start(vmName(4), "domain-1")
	f.run(3 * time.Second)
	f.requireAllAlive()

	f.kill(vmName(5))
	f.run(500 * time.Millisecond)
	f.start(vmName(5), "domain-2")
	f.run(3 * time.Second)
	f.requireAllAlive()
}

// All connections go silent. A new connection is tried before a VM becomes suspect.
func TestSilentConnectionsCauseNoSuspicion(t *testing.T) {
	f := newFleet(t, 3, lan(0))
	f.startVMs(6, 3)
	f.run(10 * time.Second)
	for a := range f.vms {
		for b := range f.vms {
			f.silentConns[[2]memnet.Host{memnet.Host(a), memnet.Host(b)}] = true
		}
	}
	f.run(30 * time.Second)
	require.Zero(t, f.countEvents(Suspect))
	f.requireAllAlive()
}

// A partitioned failure domain becomes unreachable, not gone, as seen from both sides,
// and recovers soon after the partition heals.
func TestPartitionedDomainIsUnreachableAndRecovers(t *testing.T) {
	for _, n := range []int{6, 48} {
		f := newFleet(t, 4, lan(0))
		f.startVMs(n, 3)
		f.run(20 * time.Second)
		f.partitionDomain("domain-1", true)
		f.run(2 * time.Minute)
		require.Zero(t, f.countEvents(Gone), "%d VMs", n)
		for observer, on := range f.vms {
			for subject := range f.vms {
				got, _ := on.m.Lookup(subject)
				want := Alive
				if (f.domain(observer) == "domain-1") != (f.domain(subject) == "domain-1") {
					want = Unreachable
				}
				require.Equal(t, want.String(), got.State.String(), "%s on %s", subject, observer)
			}
		}
		f.partitionDomain("domain-1", false)
		f.run(10 * time.Second)
		f.requireAllAlive()
	}
}

// Groups that formed separately during a partition merge through the seeds afterwards.
func TestSeparateGroupsMergeThroughSeeds(t *testing.T) {
	f := newFleet(t, 9, lan(0))
	f.startVMs(6, 3)
	f.partitionDomain("domain-1", true)
	f.run(90 * time.Second)
	require.Len(t, f.vms[vmName(1)].m.Members(), 2)
	f.partitionDomain("domain-1", false)
	f.run(time.Minute)
	f.requireAllAlive()
}

func TestPausedProcessRejoinsWithoutDeclaringOthersGone(t *testing.T) {
	f := newFleet(t, 5, lan(0))
	f.startVMs(6, 3)
	f.run(10 * time.Second)
	f.net.Pause(memnet.Host(vmName(3)))
	f.run(20 * time.Second)
	f.requireState(vmName(3), Gone)
	f.net.Resume(memnet.Host(vmName(3)))
	f.run(10 * time.Second)
	f.requireAllAlive()
	for _, e := range f.events {
		require.False(t, e.observer == vmName(3) && e.state >= Unreachable, "after resuming: %+v", e)
	}
}

// Time in which a process was paused must not count toward its suspicions of others.
func TestPauseExtendsPendingSuspicions(t *testing.T) {
	f := newFleet(t, 5, lan(0))
	f.startVMs(6, 3)
	f.run(10 * time.Second)
	vm := memnet.Host(vmName(3))
	for other := range f.vms {
		f.net.Cut(vm, memnet.Host(other), true)
	}
	f.run(2500 * time.Millisecond)
	require.NotZero(t, f.vms[vmName(3)].m.stateCounts[Suspect])
	for other := range f.vms {
		f.net.Cut(vm, memnet.Host(other), false)
	}
	f.net.Pause(vm)
	f.run(20 * time.Second)
	f.net.Resume(vm)
	f.run(10 * time.Second)
	f.requireAllAlive()
	for _, e := range f.events {
		require.False(t, e.observer == vmName(3) && e.state >= Unreachable, "after resuming: %+v", e)
	}
}

func TestLeavingSpreadsWithinSeconds(t *testing.T) {
	f := newFleet(t, 6, lan(0.02))
	f.startVMs(48, 6)
	f.run(20 * time.Second)
	f.step(vmName(7), f.vms[vmName(7)], Leave{})
	f.run(3 * time.Second)
	for vm, n := range f.vms {
		got, _ := n.m.Lookup(vmName(7))
		require.True(t, got.Leaving, "on %s", vm)
	}
	f.step(vmName(7), f.vms[vmName(7)], Left{})
	f.kill(vmName(7))
	f.run(3 * time.Second)
	f.requireState(vmName(7), Gone)
}

func TestOlderIncarnationIsSuperseded(t *testing.T) {
	f := newFleet(t, 7, lan(0))
	f.startVMs(6, 3)
	f.run(10 * time.Second)
	old := f.vms[vmName(2)]
	newer := Update{VM: vmName(2), Incarnation: old.m.Self().Instance.Incarnation + 100, Static: &Static{FailureDomain: "domain-2", ControlAddr: "other"}}
	actions := old.m.Step(f.net.Now(), Request{Call: 99, Message: Message{Kind: Gossip, From: newer}})
	require.Contains(t, actions, Superseded{By: newer.Incarnation})
}

// Random kills, restarts, pauses and partitions: within a minute after the last fault, no
// running VM sees another one as gone or unreachable.
func TestFleetRecoversFromCombinedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"), lan(rapid.Float64Range(0, 0.1).Draw(t, "loss")))
		f.startVMs(rapid.IntRange(3, 12).Draw(t, "VMs"), 3)
		f.run(15 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f.injectFault(t)
			f.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause_ms")) * time.Millisecond)
		}
		for vm, n := range f.vms {
			f.net.Resume(memnet.Host(vm))
			if !n.alive {
				f.start(vm, f.domain(vm))
			}
		}
		for _, d := range []string{"domain-0", "domain-1", "domain-2"} {
			f.partitionDomain(d, false)
		}
		f.run(time.Minute)
		for vm, n := range f.vms {
			require.False(t, n.superseded, "%s was superseded", vm)
			for subject := range f.vms {
				got, ok := n.m.Lookup(subject)
				require.True(t, ok, "%s has no record of %s", vm, subject)
				require.NotEqual(t, Gone, got.State, "%s on %s", subject, vm)
				require.NotEqual(t, Unreachable, got.State, "%s on %s", subject, vm)
			}
		}
	})
}

func (f *fleet) injectFault(t *rapid.T) {
	vm := vmName(rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm"))
	switch rapid.SampledFrom([]string{"kill", "restart", "pause", "thaw", "cut", "heal"}).Draw(t, "fault") {
	case "kill":
		f.kill(vm)
	case "restart":
		f.kill(vm)
		f.start(vm, f.domain(vm))
	case "pause":
		f.net.Pause(memnet.Host(vm))
	case "thaw":
		f.net.Resume(memnet.Host(vm))
	case "cut":
		f.partitionDomain(f.domain(vm), true)
	case "heal":
		f.partitionDomain(f.domain(vm), false)
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	run := func() []event {
		f := newFleet(t, 11, lan(0.1))
		f.startVMs(12, 3)
		f.run(5 * time.Minute)
		return f.events
	}
	require.Equal(t, run(), run())
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{}.Validate()
	for _, field := range []string{"self.instance.vm", "failure_domain", "control_addr", "peers", "suspicion_min_ns", "gone_for_ns"} {
		require.ErrorContains(t, err, field)
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("vm-001", uint64(3), uint64(2), uint8(3), uint8(4), true)
	f.Fuzz(func(t *testing.T, vm string, inc, serial uint64, state, kind uint8, static bool) {
		cfg := DefaultConfig()
		cfg.Self = Member{Instance: ident.Instance{VM: "vm-000", Incarnation: 1}, Place: ident.Place{FailureDomain: "d"}, ControlAddr: "a"}
		m, err := New(cfg)
		require.NoError(t, err)
		u := Update{VM: ident.VM(vm), Incarnation: ident.Incarnation(inc), Serial: serial, State: State(state)}
		if static {
			u.Static = &Static{ControlAddr: "b"}
		}
		for i := range 50 {
			now := time.Duration(i) * TickPeriod
			m.Step(now, Request{Call: 1, Message: Message{Kind: Kind(kind), From: u, Updates: []Update{u}, To: &u}})
			m.Step(now, Tick{})
		}
	})
}
