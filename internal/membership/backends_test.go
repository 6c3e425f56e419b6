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

func seen(addr string, leaving bool) ListSeen {
	return ListSeen{Servers: []ListedServer{{Server: engine, Addr: addr, Leaving: leaving}}}
}

// Whichever source says so first, a server that leaves gets no new work, and a
// list that lags does not bring it back.
func TestLeavingWinsAtOnce(t *testing.T) {
	sources := map[string]BackendEvent{
		"list":    seen("a", true),
		"refusal": Refused{Server: engine},
		"peer":    NotesHeard{Statuses: []ServerStatus{{Server: engine, Leaving: true}}},
	}
	for name, source := range sources {
		b := newBackends(t)
		b.Step(0, seen("a", false))
		require.True(t, b.AcceptsWork(engine))
		actions := b.Step(time.Second, source)
		require.False(t, b.AcceptsWork(engine), name)
		require.Contains(t, actions, WorkChanged{Server: engine}, name)
		require.Contains(t, actions, Spread{Statuses: []ServerStatus{{Server: engine, Leaving: true}}}, name)
		if name == "list" {
			continue
		}
		for i := range 60 {
			b.Step(time.Duration(i+2)*time.Second, seen("a", false))
			require.False(t, b.AcceptsWork(engine), "%s: a list that lags brought it back", name)
		}
	}
}

func TestReturnWantsNewerEvidence(t *testing.T) {
	evidence := map[string]func(b *Backends){
		"the list agreed and then showed it live": func(b *Backends) {
			b.Step(2*time.Second, seen("a", true))
			b.Step(3*time.Second, seen("a", false))
		},
		"it left the list and came back": func(b *Backends) {
			b.Step(2*time.Second, ListSeen{})
			b.Step(3*time.Second, seen("a", false))
		},
		"a new server has its name": func(b *Backends) { b.Step(2*time.Second, seen("b", false)) },
		"the list's lag is over":    func(b *Backends) { b.Step(6*time.Minute, seen("a", false)) },
		"a peer has newer evidence": func(b *Backends) {
			b.Step(2*time.Second, NotesHeard{Statuses: []ServerStatus{{Server: engine, Epoch: 1}}})
		},
	}
	for name, show := range evidence {
		b := newBackends(t)
		b.Step(0, seen("a", false))
		b.Step(time.Second, Refused{Server: engine})
		show(b)
		require.True(t, b.AcceptsWork(engine), name)
		b.Step(7*time.Minute, NotesHeard{Statuses: []ServerStatus{{Server: engine, Leaving: true}}})
		require.True(t, b.AcceptsWork(engine), "%s: a late note of the earlier round", name)
		b.Step(8*time.Minute, Refused{Server: engine})
		require.False(t, b.AcceptsWork(engine), name)
	}
}

// Notes in any order, with repeats, leave every machine with the same state.
func TestNotesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ServerStatus {
			return ServerStatus{Server: engine, Epoch: uint64(rapid.IntRange(0, 3).Draw(t, "round")), Leaving: rapid.Bool().Draw(t, "leaving")}
		}), 1, 10).Draw(t, "notes")
		a, b := newBackends(t), newBackends(t)
		for _, n := range notes {
			a.Step(0, NotesHeard{Statuses: []ServerStatus{n}})
		}
		for _, n := range append(rapid.Permutation(notes).Draw(t, "order"), notes[0]) {
			b.Step(0, NotesHeard{Statuses: []ServerStatus{n}})
		}
		require.Equal(t, a.Statuses(), b.Statuses())
	})
}

// One VM hears a refusal; all VMs stop giving work within seconds although
// everybody's list still shows the server live.
func TestRefusalReachesAllVMsAlthoughTheListLags(t *testing.T) {
	for _, n := range []int{6, 96} {
		f := newFleet(t, uint64(n), lan(0.02))
		f.grow(n, 6)
		f.run(30 * time.Second)
		machines := map[ident.VM]*Backends{}
		for vm := range f.nodes {
			machines[vm] = newBackends(t)
			machines[vm].Step(0, seen("a", false))
		}
		first := f.nodes[name(0)]
		for _, a := range machines[name(0)].Step(f.net.Now(), Refused{Server: engine}) {
			if s, ok := a.(Spread); ok {
				f.step(name(0), first, Publish(s))
			}
		}
		for range 30 {
			f.run(TickPeriod)
			f.relayNotes(machines)
		}
		for vm, b := range machines {
			b.Step(f.net.Now(), seen("a", false))
			require.False(t, b.AcceptsWork(engine), "%d VMs: %s gives work after 3 s", n, vm)
		}
	}
}

// relayNotes does what a VM's facade does between the two machines.
func (f *fleet) relayNotes(machines map[ident.VM]*Backends) {
	for i := range len(f.nodes) {
		vm := name(i)
		n := f.nodes[vm]
		notes := n.notes
		n.notes = nil
		for _, a := range machines[vm].Step(f.net.Now(), NotesHeard{Statuses: notes}) {
			if s, ok := a.(Spread); ok {
				f.step(vm, n, Publish(s))
			}
		}
	}
}

func TestBackendsConfigNamesEveryFault(t *testing.T) {
	err := BackendsConfig{ForgetAfter: -1}.Validate()
	require.ErrorContains(t, err, "list_lag_ns")
	require.ErrorContains(t, err, "forget_after_ns")
}

func BenchmarkBackendsList(b *testing.B) {
	machine := newBackends(b)
	var list ListSeen
	for i := range 4800 {
		list.Servers = append(list.Servers, ListedServer{Server: ident.BackendServer(fmt.Sprint("engine-", i)), Addr: "10.0.0.1:80"})
	}
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		machine.Step(now, list)
	}
}
