package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
)

func TestFleetComesTogether(t *testing.T) {
	for _, n := range []int{2, 6, 24, 96} {
		f := newFleet(t, 1, lan(0))
		f.grow(n, 3)
		f.run(20 * time.Second)
		f.requireWhole()
		require.Zero(t, f.count(Suspect))
	}
}

// With a tenth of all messages lost nobody alive is ever called gone or
// unreachable.
func TestNoFalseGoneUnderLoss(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, seed, lan(0.1))
		f.grow(24, 3)
		f.run(30 * time.Minute)
		require.Zero(t, f.count(Gone))
		require.Zero(t, f.count(Unreachable))
	}
}

func TestKilledIsGoneEverywhereAndReplacedAtOnce(t *testing.T) {
	f := newFleet(t, 2, lan(0))
	f.grow(6, 3)
	f.run(10 * time.Second)
	f.kill(name(4))
	f.run(8 * time.Second)
	f.requireState(name(4), Gone)

	f.start(name(4), "domain-1")
	f.run(3 * time.Second)
	f.requireWhole()

	f.kill(name(5))
	f.run(500 * time.Millisecond)
	f.start(name(5), "domain-2")
	f.run(3 * time.Second)
	f.requireWhole()
}

// A connection that went silent is not a dead peer: a new connection is tried
// before anybody is suspected.
func TestSilentConnectionsSuspectNobody(t *testing.T) {
	f := newFleet(t, 3, lan(0))
	f.grow(6, 3)
	f.run(10 * time.Second)
	for a := range f.nodes {
		for b := range f.nodes {
			f.silent[[2]memnet.Host{memnet.Host(a), memnet.Host(b)}] = true
		}
	}
	f.run(30 * time.Second)
	require.Zero(t, f.count(Suspect))
	f.requireWhole()
}

// A failure domain that falls silent as a whole is unreachable, not gone, from
// either side, and comes back soon after the cut heals.
func TestCutDomainIsUnreachableAndHeals(t *testing.T) {
	for _, n := range []int{6, 48} {
		f := newFleet(t, 4, lan(0))
		f.grow(n, 3)
		f.run(20 * time.Second)
		f.cutDomain("domain-1", true)
		f.run(2 * time.Minute)
		require.Zero(t, f.count(Gone), "%d VMs", n)
		for vm, on := range f.nodes {
			for of := range f.nodes {
				got, _ := on.m.Lookup(of)
				want := Alive
				if (f.domain(vm) == "domain-1") != (f.domain(of) == "domain-1") {
					want = Unreachable
				}
				require.Equal(t, want.String(), got.State.String(), "%s on %s", of, vm)
			}
		}
		f.cutDomain("domain-1", false)
		f.run(10 * time.Second)
		f.requireWhole()
	}
}

// Groups that formed apart, because of a cut or of the order of starts, find each
// other through the seeds.
func TestGroupsThatFormedApartFindEachOther(t *testing.T) {
	f := newFleet(t, 9, lan(0))
	f.grow(6, 3)
	f.cutDomain("domain-1", true)
	f.run(90 * time.Second)
	require.Len(t, f.nodes[name(1)].m.Members(), 2)
	f.cutDomain("domain-1", false)
	f.run(time.Minute)
	f.requireWhole()
}

func TestPausedProcessAccusesNobodyAndComesBack(t *testing.T) {
	f := newFleet(t, 5, lan(0))
	f.grow(6, 3)
	f.run(10 * time.Second)
	f.net.Pause(memnet.Host(name(3)))
	f.run(20 * time.Second)
	f.requireState(name(3), Gone)
	f.net.Resume(memnet.Host(name(3)))
	f.run(10 * time.Second)
	f.requireWhole()
	for _, e := range f.events {
		require.False(t, e.on == name(3) && e.state >= Unreachable, "thawed %+v", e)
	}
}

// A process that was paused while it suspected others gives them the time back.
func TestPauseDoesNotCountAsSilenceOfOthers(t *testing.T) {
	f := newFleet(t, 5, lan(0))
	f.grow(6, 3)
	f.run(10 * time.Second)
	vm := memnet.Host(name(3))
	for other := range f.nodes {
		f.net.Cut(vm, memnet.Host(other), true)
	}
	f.run(2500 * time.Millisecond)
	require.NotZero(t, f.nodes[name(3)].m.count[Suspect])
	for other := range f.nodes {
		f.net.Cut(vm, memnet.Host(other), false)
	}
	f.net.Pause(vm)
	f.run(20 * time.Second)
	f.net.Resume(vm)
	f.run(10 * time.Second)
	f.requireWhole()
	for _, e := range f.events {
		require.False(t, e.on == name(3) && e.state >= Unreachable, "thawed %+v", e)
	}
}

func TestLeavingIsKnownEverywhereWithinSeconds(t *testing.T) {
	f := newFleet(t, 6, lan(0.02))
	f.grow(48, 6)
	f.run(20 * time.Second)
	f.step(name(7), f.nodes[name(7)], Leave{})
	f.run(3 * time.Second)
	for vm, n := range f.nodes {
		got, _ := n.m.Lookup(name(7))
		require.True(t, got.Leaving, "on %s", vm)
	}
	f.step(name(7), f.nodes[name(7)], Left{})
	f.kill(name(7))
	f.run(3 * time.Second)
	f.requireState(name(7), Gone)
}

func TestOlderProcessOfTheSameNameIsSuperseded(t *testing.T) {
	f := newFleet(t, 7, lan(0))
	f.grow(6, 3)
	f.run(10 * time.Second)
	old := f.nodes[name(2)]
	newer := Update{VM: name(2), Incarnation: old.m.Self().Instance.Incarnation + 100, Static: &Static{FailureDomain: "domain-2", ControlAddr: "other"}}
	actions := old.m.Step(f.net.Now(), Request{Call: 99, Message: Message{Kind: Gossip, From: newer}})
	require.Contains(t, actions, Superseded{By: newer.Incarnation})
}

// Whatever is killed, restarted, paused and cut, and in whatever order: once
// the faults end, everybody living is alive to everybody within a minute.
func TestFaultsTogetherHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"), lan(rapid.Float64Range(0, 0.1).Draw(t, "loss")))
		f.grow(rapid.IntRange(3, 12).Draw(t, "VMs"), 3)
		f.run(15 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f.fault(t)
			f.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause_ms")) * time.Millisecond)
		}
		for vm, n := range f.nodes {
			f.net.Resume(memnet.Host(vm))
			if !n.alive {
				f.start(vm, f.domain(vm))
			}
		}
		for _, d := range []string{"domain-0", "domain-1", "domain-2"} {
			f.cutDomain(d, false)
		}
		f.run(time.Minute)
		for vm, n := range f.nodes {
			require.False(t, n.ended, "%s was superseded", vm)
			for of := range f.nodes {
				got, ok := n.m.Lookup(of)
				require.True(t, ok, "%s does not know %s", vm, of)
				require.NotEqual(t, Gone, got.State, "%s on %s", of, vm)
				require.NotEqual(t, Unreachable, got.State, "%s on %s", of, vm)
			}
		}
	})
}

func (f *fleet) fault(t *rapid.T) {
	vm := name(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "vm"))
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
		f.cutDomain(f.domain(vm), true)
	case "heal":
		f.cutDomain(f.domain(vm), false)
	}
}

func TestReplayIsExact(t *testing.T) {
	run := func() []event {
		f := newFleet(t, 11, lan(0.1))
		f.grow(12, 3)
		f.run(5 * time.Minute)
		return f.events
	}
	require.Equal(t, run(), run())
}

func TestValidateNamesEveryFault(t *testing.T) {
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
