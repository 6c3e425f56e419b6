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

// fleet drives one machine per VM over an in-memory network.
type fleet struct {
	t     require.TestingT
	net   *memnet.Net
	cfg   Config
	nodes map[ident.VM]*node
	// silent connections lose messages until a new one is made.
	silent map[[2]memnet.Host]bool
	// bytes counts the CBOR sizes of messages sent, when measure is set.
	measure bool
	bytes   int
	steps   int
	spent   time.Duration
	lives   ident.Incarnation
	events  []event
}

type event struct {
	at      time.Duration
	on, of  ident.VM
	state   State
	leaving bool
}

type node struct {
	m        *Membership
	alive    bool
	requests map[uint64]request
	last     uint64
	notes    []ServerStatus
	ended    bool
}

type request struct {
	from memnet.Host
	call uint64
}

type wire struct {
	call   uint64
	answer bool
	life   ident.Incarnation
	fresh  bool
	msg    Message
}

func newFleet(t require.TestingT, seed uint64, net memnet.Config) *fleet {
	net.Seed = seed
	return &fleet{t: t, net: memnet.New(net), cfg: DefaultConfig(), nodes: map[ident.VM]*node{}, silent: map[[2]memnet.Host]bool{}}
}

// lan is a network like that between failure domains of one region.
func lan(loss float64) memnet.Config {
	return memnet.Config{MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: loss}
}

func name(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%03d", i)) }

// grow starts n VMs in the given number of failure domains.
func (f *fleet) grow(n, domains int) {
	for i := range n {
		f.start(name(i), fmt.Sprintf("domain-%d", i%domains))
	}
}

// start begins a new life of a VM.
func (f *fleet) start(vm ident.VM, domain string) *node {
	f.lives++
	cfg := f.cfg
	cfg.Seed = uint64(f.lives) + f.net.Rand().Uint64()
	cfg.Self = Member{
		Instance:    ident.Instance{VM: vm, Incarnation: 1700000000000 + f.lives},
		Place:       ident.Place{Region: "vestland", FailureDomain: ident.FailureDomain(domain)},
		EntryAddr:   string(vm) + ":8080",
		ControlAddr: string(vm),
	}
	m, err := New(cfg)
	require.NoError(f.t, err)
	n := &node{m: m, alive: true, requests: map[uint64]request{}}
	f.nodes[vm] = n
	f.net.Join(memnet.Host(vm), func(_ time.Duration, from memnet.Host, payload any) {
		if n.alive {
			f.receive(vm, n, from, payload)
		}
	})
	f.step(vm, n, Seeds{Addrs: []string{string(name(0)), string(name(1)), string(name(2))}})
	f.tick(vm, n, time.Duration(f.net.Rand().Int64N(int64(TickPeriod))))
	return n
}

func (f *fleet) tick(vm ident.VM, n *node, after time.Duration) {
	f.net.After(memnet.Host(vm), after, Tick{})
}

func (f *fleet) kill(vm ident.VM) {
	f.nodes[vm].alive = false
	f.net.Kill(memnet.Host(vm))
}

func (f *fleet) receive(vm ident.VM, n *node, from memnet.Host, payload any) {
	switch p := payload.(type) {
	case Tick:
		f.step(vm, n, p)
		f.tick(vm, n, TickPeriod)
	case wire:
		if p.answer {
			if p.life == n.m.Self().Instance.Incarnation {
				f.step(vm, n, Answer{Call: p.call, OK: true, Message: p.msg})
			}
			return
		}
		n.last++
		n.requests[n.last] = request{from: from, call: p.call}
		f.step(vm, n, Request{Call: n.last, Message: p.msg})
	}
}

func (f *fleet) step(vm ident.VM, n *node, ev Event) {
	began := time.Now()
	actions := n.m.Step(f.net.Now(), ev)
	f.spent += time.Since(began)
	f.steps++
	for _, a := range actions {
		f.perform(vm, n, a)
	}
}

func (f *fleet) perform(vm ident.VM, n *node, a Action) {
	from := memnet.Host(vm)
	switch a := a.(type) {
	case Ask:
		to := memnet.Host(a.Addr)
		if a.NewConnection {
			delete(f.silent, [2]memnet.Host{from, to})
		}
		f.send(from, to, wire{call: a.Call, life: n.m.Self().Instance.Incarnation, fresh: a.NewConnection, msg: a.Message})
	case Reply:
		r := n.requests[a.Call]
		delete(n.requests, a.Call)
		f.send(from, r.from, wire{call: r.call, answer: true, life: f.nodes[ident.VM(r.from)].m.Self().Instance.Incarnation, msg: a.Message})
	case Changed:
		f.events = append(f.events, event{at: f.net.Now(), on: vm, of: a.Member.Instance.VM, state: a.Member.State, leaving: a.Member.Leaving})
	case Heard:
		n.notes = append(n.notes, a.Statuses...)
	case Superseded:
		n.ended = true
	}
}

func (f *fleet) send(from, to memnet.Host, w wire) {
	if f.measure {
		data, err := peer.Marshal(w.msg)
		require.NoError(f.t, err)
		f.bytes += len(data)
	}
	owner := [2]memnet.Host{from, to} // an answer goes over the asker's connection
	if w.answer {
		owner = [2]memnet.Host{to, from}
	}
	if f.silent[owner] {
		return
	}
	f.net.Send(from, to, w)
}

func (f *fleet) run(d time.Duration) { f.net.RunUntil(f.net.Now() + d) }

// cutDomain cuts one failure domain from all others, or heals the cut.
func (f *fleet) cutDomain(domain string, cut bool) {
	vms := slices.Sorted(maps.Keys(f.nodes))
	for _, a := range vms {
		for _, b := range vms {
			if f.domain(a) == domain && f.domain(b) != domain {
				f.net.Cut(memnet.Host(a), memnet.Host(b), cut)
			}
		}
	}
}

func (f *fleet) domain(vm ident.VM) string {
	return string(f.nodes[vm].m.Self().Place.FailureDomain)
}

// requireState wants every living VM other than vm to hold it in a state.
func (f *fleet) requireState(vm ident.VM, want State) {
	for on, n := range f.nodes {
		if on == vm || !n.alive {
			continue
		}
		got, ok := n.m.Lookup(vm)
		require.True(f.t, ok, "%s does not know %s", on, vm)
		require.Equal(f.t, want.String(), got.State.String(), "%s on %s", vm, on)
	}
}

// requireWhole wants every living VM to hold every living VM alive.
func (f *fleet) requireWhole() {
	for vm, n := range f.nodes {
		if n.alive {
			f.requireState(vm, Alive)
		}
	}
}

// count is how often a VM was held to be in a state.
func (f *fleet) count(s State) int {
	n := 0
	for _, e := range f.events {
		if e.state == s {
			n++
		}
	}
	return n
}
