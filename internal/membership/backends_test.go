package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/ident"
)

const engine ident.BackendServer = "engine-1"

func newBackends(t require.TestingT) *Backends {
	b, err := NewBackends(DefaultBackendsConfig())
	require.NoError(t, err)
	return b
}

func vmList(addr string, leaving bool) ListSeen {
	return ListSeen{Servers: []ListedServer{{Server: engine, Addr: addr, Leaving: leaving}}}
}

// A server reported as leaving by any source gets no new work, and a lagging list does
// not reverse that.
func TestLeavingFromAnySourceStopsNewWork(t *testing.T) {
	sources := map[string]BackendEvent{
		"list":    vmList("a", true),
		"refusal": Refused{Server: engine},
		"peer":    NotesHeard{Statuses: []ServerStatus{{Server: engine, Leaving: true}}},
	}
	for name, source := range sources {
		b := newBackends(t)
		b.Step(0, vmList("a", false))
		require.True(t, b.AcceptsWork(engine))
		actions := b.Step(time.Second, source)
		require.False(t, b.AcceptsWork(engine), name)
		require.Contains(t, actions, WorkChanged{Server: engine}, name)
		require.Contains(t, actions, Spread{Statuses: []ServerStatus{{Server: engine, Leaving: true}}}, name)
		if name == "list" {
			continue
		}
		for i := range 60 {
			b.Step(time.Duration(i+2)*time.Second, vmList("a", false))
			require.False(t, b.AcceptsWork(engine), "%s: a lagging list restored new work", name)
		}
	}
}

func TestNewWorkResumesOnlyOnNewerEvidence(t *testing.T) {
	evidence := map[string]func(b *Backends){
		"the list showed it leaving and then live": func(b *Backends) {
			b.Step(2*time.Second, vmList("a", true))
			b.Step(3*time.Second, vmList("a", false))
		},
		"it disappeared from the list and returned": func(b *Backends) {
			b.Step(2*time.Second, ListSeen{})
			b.Step(3*time.Second, vmList("a", false))
		},
		"a new server has its name":    func(b *Backends) { b.Step(2*time.Second, vmList("b", false)) },
		"the maximum list lag is over": func(b *Backends) { b.Step(6*time.Minute, vmList("a", false)) },
		"a peer has newer evidence": func(b *Backends) {
			b.Step(2*time.Second, NotesHeard{Statuses: []ServerStatus{{Server: engine, Epoch: 1}}})
		},
	}
	for name, giveEvidence := range evidence {
		b := newBackends(t)
		b.Step(0, vmList("a", false))
		b.Step(time.Second, Refused{Server: engine})
		giveEvidence(b)
		require.True(t, b.AcceptsWork(engine), name)
		b.Step(7*time.Minute, NotesHeard{Statuses: []ServerStatus{{Server: engine, Leaving: true}}})
		require.True(t, b.AcceptsWork(engine), "%s: a late status of an earlier epoch stopped new work", name)
		b.Step(8*time.Minute, Refused{Server: engine})
		require.False(t, b.AcceptsWork(engine), name)
	}
}

// Statuses in any order, with duplicates, lead to the same state.
func TestStatusesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statuses := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ServerStatus {
			return ServerStatus{Server: engine, Epoch: uint64(rapid.IntRange(0, 3).Draw(t, "round")), Leaving: rapid.Bool().Draw(t, "leaving")}
		}), 1, 10).Draw(t, "notes")
		a, b := newBackends(t), newBackends(t)
		for _, n := range statuses {
			a.Step(0, NotesHeard{Statuses: []ServerStatus{n}})
		}
		for _, n := range append(rapid.Permutation(statuses).Draw(t, "order"), statuses[0]) {
			b.Step(0, NotesHeard{Statuses: []ServerStatus{n}})
		}
		require.Equal(t, a.Statuses(), b.Statuses())
	})
}

// One VM gets a refusal; all VMs stop sending work within 3 s, although their lists still
// show the server live.
func TestRefusalReachesAllVMsDespiteListLag(t *testing.T) {
	for _, n := range []int{6, 96} {
		f := newFleet(t, uint64(n), lan(0.02))
		f.startVMs(n, 6)
		f.run(30 * time.Second)
		backendsByVM := map[ident.VM]*Backends{}
		for vm := range f.vms {
			backendsByVM[vm] = newBackends(t)
			backendsByVM[vm].Step(0, vmList("a", false))
		}
		first := f.vms[vmName(0)]
		for _, a := range backendsByVM[vmName(0)].Step(f.net.Now(), Refused{Server: engine}) {
			if s, ok := a.(Spread); ok {
				f.step(vmName(0), first, Publish(s))
			}
		}
		for range 30 {
			f.run(TickPeriod)
			f.relayStatuses(backendsByVM)
		}
		for vm, b := range backendsByVM {
			b.Step(f.net.Now(), vmList("a", false))
			require.False(t, b.AcceptsWork(engine), "%d VMs: %s still sends work after 3 s", n, vm)
		}
	}
}

// relayStatuses connects Membership and Backends of each VM, as the shell does.
func (f *fleet) relayStatuses(backendsByVM map[ident.VM]*Backends) {
	for i := range len(f.vms) {
		vm := vmName(i)
		n := f.vms[vm]
		statuses := n.statuses
		n.statuses = nil
		for _, a := range backendsByVM[vm].Step(f.net.Now(), NotesHeard{Statuses: statuses}) {
			if s, ok := a.(Spread); ok {
				f.step(vm, n, Publish(s))
			}
		}
	}
}

func TestBackendsConfigReportsEveryInvalidField(t *testing.T) {
	err := BackendsConfig{ForgetAfter: -1}.Validate()
	require.ErrorContains(t, err, "list_lag_ns")
	require.ErrorContains(t, err, "forget_after_ns")
}

func BenchmarkBackendsList(b *testing.B) {
	backends := newBackends(b)
	var list ListSeen
	for i := range 4800 {
		list.Servers = append(list.Servers, ListedServer{Server: ident.BackendServer(fmt.Sprint("engine-", i)), Addr: "10.0.0.1:80"})
	}
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		backends.Step(now, list)
	}
}
