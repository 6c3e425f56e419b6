package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// fleet runs one Membership per VM over an in-memory network.
type fleet struct {
	t   require.TestingT
	net *memnet.Net
	cfg Config
	vms map[ident.VM]*testVM
	// silentConns lose all messages until a new connection replaces them.
	silentConns map[[2]memnet.Host]bool
	// bytes is the total CBOR size of the messages sent while countBytes is set.
	countBytes   bool
	bytes        int
	steps        int
	stepTime     time.Duration
	incarnations ident.Incarnation
	events       []event
}

type event struct {
	at                time.Duration
	observer, subject ident.VM
	state             State
	leaving           bool
}

type testVM struct {
	m           *Membership
	alive       bool
	requests    map[uint64]request
	lastRequest uint64
	statuses    []ServerStatus
	superseded  bool
}

type request struct {
	from memnet.Host
	call uint64
}

type packet struct {
	call          uint64
	answer        bool
	incarnation   ident.Incarnation
	newConnection bool
	msg           Message
}

func newFleet(t require.TestingT, seed uint64, net memnet.Config) *fleet {
	net.Seed = seed
	return &fleet{t: t, net: memnet.New(net), cfg: DefaultConfig(), vms: map[ident.VM]*testVM{}, silentConns: map[[2]memnet.Host]bool{}}
}

// lan simulates the network between failure domains of one region.
func lan(loss float64) memnet.Config {
	return memnet.Config{MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: loss}
}

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%03d", i)) }

// startVMs starts n VMs spread over the given number of failure domains.
func (f *fleet) startVMs(n, domains int) {
	for i := range n {
		f.start(vmName(i), fmt.Sprintf("domain-%d", i%domains))
	}
}

// start starts a new incarnation of a VM.
func (f *fleet) start(vm ident.VM, domain string) *testVM {
	f.incarnations++
	cfg := f.cfg
	cfg.Seed = uint64(f.incarnations) + f.net.Rand().Uint64()
	cfg.Self = Member{
		Instance:    ident.Instance{VM: vm, Incarnation: 1700000000000 + f.incarnations},
		Place:       ident.Place{Region: "vestland", FailureDomain: ident.FailureDomain(domain)},
		EntryAddr:   string(vm) + ":8080",
		ControlAddr: string(vm),
	}
	m, err := New(cfg)
	require.NoError(f.t, err)
	n := &testVM{m: m, alive: true, requests: map[uint64]request{}}
	f.vms[vm] = n
	f.net.Join(memnet.Host(vm), func(_ time.Duration, from memnet.Host, payload any) {
		if n.alive {
			f.receive(vm, n, from, payload)
		}
	})
	f.step(vm, n, Seeds{Addrs: []string{string(vmName(0)), string(vmName(1)), string(vmName(2))}})
	f.tick(vm, n, time.Duration(f.net.Rand().Int64N(int64(TickPeriod))))
	return n
}

func (f *fleet) tick(vm ident.VM, n *testVM, after time.Duration) {
	f.net.After(memnet.Host(vm), after, Tick{})
}

func (f *fleet) kill(vm ident.VM) {
	f.vms[vm].alive = false
	f.net.Kill(memnet.Host(vm))
}

func (f *fleet) receive(vm ident.VM, n *testVM, from memnet.Host, payload any) {
	switch p := payload.(type) {
	case Tick:
		f.step(vm, n, p)
		f.tick(vm, n, TickPeriod)
	case packet:
		if p.answer {
			if p.incarnation == n.m.Self().Instance.Incarnation {
				f.step(vm, n, Answer{Call: p.call, OK: true, Message: p.msg})
			}
			return
		}
		n.lastRequest++
		n.requests[n.lastRequest] = request{from: from, call: p.call}
		f.step(vm, n, Request{Call: n.lastRequest, Message: p.msg})
	}
}

func (f *fleet) step(vm ident.VM, n *testVM, ev Event) {
	began := time.Now()
	actions := n.m.Step(f.net.Now(), ev)
	f.stepTime += time.Since(began)
	f.steps++
	for _, a := range actions {
		f.perform(vm, n, a)
	}
}

func (f *fleet) perform(vm ident.VM, n *testVM, a Action) {
	from := memnet.Host(vm)
	switch a := a.(type) {
	case Ask:
		to := memnet.Host(a.Addr)
		if a.NewConnection {
			delete(f.silentConns, [2]memnet.Host{from, to})
		}
		f.send(from, to, packet{call: a.Call, incarnation: n.m.Self().Instance.Incarnation, newConnection: a.NewConnection, msg: a.Message})
	case Reply:
		r := n.requests[a.Call]
		delete(n.requests, a.Call)
		f.send(from, r.from, packet{call: r.call, answer: true, incarnation: f.vms[ident.VM(r.from)].m.Self().Instance.Incarnation, msg: a.Message})
	case Changed:
		f.events = append(f.events, event{at: f.net.Now(), observer: vm, subject: a.Member.Instance.VM, state: a.Member.State, leaving: a.Member.Leaving})
	case Heard:
		n.statuses = append(n.statuses, a.Statuses...)
	case Superseded:
		n.superseded = true
	}
}

func (f *fleet) send(from, to memnet.Host, p packet) {
	if f.countBytes {
		data, err := peer.Marshal(p.msg)
		require.NoError(f.t, err)
		f.bytes += len(data)
	}
	conn := [2]memnet.Host{from, to} // an answer uses the requester's connection
	if p.answer {
		conn = [2]memnet.Host{to, from}
	}
	if f.silentConns[conn] {
		return
	}
	f.net.Send(from, to, p)
}

func (f *fleet) run(d time.Duration) { f.net.RunUntil(f.net.Now() + d) }

// partitionDomain separates one failure domain from all others, or reconnects it.
func (f *fleet) partitionDomain(domain string, cut bool) {
	names := slices.Sorted(maps.Keys(f.vms))
	for _, a := range names {
		for _, b := range names {
			if f.domain(a) == domain && f.domain(b) != domain {
				f.net.Cut(memnet.Host(a), memnet.Host(b), cut)
			}
		}
	}
}

func (f *fleet) domain(vm ident.VM) string {
	return string(f.vms[vm].m.Self().Place.FailureDomain)
}

// requireState checks that every other running VM has vm in the given state.
func (f *fleet) requireState(vm ident.VM, want State) {
	for observer, n := range f.vms {
		if observer == vm || !n.alive {
			continue
		}
		got, ok := n.m.Lookup(vm)
		require.True(f.t, ok, "%s has no record of %s", observer, vm)
		require.Equal(f.t, want.String(), got.State.String(), "%s on %s", vm, observer)
	}
}

// requireAllAlive checks that every running VM has every running VM as alive.
func (f *fleet) requireAllAlive() {
	for vm, n := range f.vms {
		if n.alive {
			f.requireState(vm, Alive)
		}
	}
}

// countEvents counts the Changed actions with the given state.
func (f *fleet) countEvents(s State) int {
	n := 0
	for _, e := range f.events {
		if e.state == s {
			n++
		}
	}
	return n
}
