package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
)

const (
	ms            = time.Millisecond
	watchDuration = 3 * time.Second
)

// simulation runs a fleet, the key-value service and operators on one in-memory network.
type simulation struct {
	net          *memnet.Net
	vms          []*vm
	kv           *fakeKV
	applications []*application
	violations   []string
	// bytes counts the CBOR bytes that each VM sent to its peers, if countBytes is set.
	bytes      map[ident.VM]int
	countBytes bool
	kvTimeout  time.Duration
}

// vm is the shell of one VM around its Spread.
type vm struct {
	sim         *simulation
	member      Member
	incarnation int
	up          bool
	spread      *Spread
	started     time.Duration
	adopted     time.Duration
	lastState   State
}

type (
	tick struct{ incarnation int }
	// kvRequest calls perform on the service; reply runs at the requester's host.
	kvRequest struct {
		perform func(k *fakeKV) (any, bool)
		reply   func(any)
		after   uint64
		watch   bool
	}
	kvReply struct {
		value any
		reply func(any)
	}
	callback func()
)

func newSimulation(seed uint64, domains, perDomain int, loss float64, delay time.Duration) *simulation {
	sim := &simulation{
		net:   memnet.New(memnet.Config{Seed: seed, MinDelay: ms / 2, MaxDelay: delay, Loss: loss, Duplicate: loss}),
		bytes: map[ident.VM]int{}, kvTimeout: max(400*ms, 3*delay),
	}
	sim.kv = &fakeKV{sim: sim, parts: map[PartHash]string{}, heads: map[uint64]Head{}}
	sim.net.Join("kv", sim.kv.handle)
	for d := range domains {
		for i := range perDomain {
			member := Member{VM: ident.VM(fmt.Sprintf("d%d-%d", d, i)), Domain: ident.FailureDomain(fmt.Sprintf("d%d", d))}
			sim.vms = append(sim.vms, &vm{sim: sim, member: member})
		}
	}
	for _, v := range sim.vms {
		v.start()
	}
	sim.sendMembers()
	return sim
}

func (v *vm) host() memnet.Host { return memnet.Host(v.member.VM) }

func (v *vm) start() {
	v.incarnation++
	v.up = true
	v.started = v.sim.net.Now()
	v.lastState = State{}
	cfg := DefaultSpreadConfig(v.member.VM, v.member.Domain)
	cfg.Seed = uint64(v.incarnation)
	cfg.WatchTimeout = 4 * watchDuration
	spread, err := NewSpread(cfg)
	if err != nil {
		panic(err)
	}
	v.spread = spread
	v.sim.net.Join(v.host(), v.handle)
	v.sim.net.After(v.host(), time.Duration(v.sim.net.Rand().Int64N(int64(100*ms))), tick{v.incarnation})
}

func (v *vm) kill() {
	v.up = false
	v.sim.net.Kill(v.host())
}

func (v *vm) restart() {
	v.kill()
	v.start()
	v.sim.sendMembers()
}

// sendMembers sends the list of running VMs to every running VM.
func (sim *simulation) sendMembers() {
	var live []Member
	for _, v := range sim.vms {
		if v.up {
			live = append(live, v.member)
		}
	}
	for _, v := range sim.vms {
		if v.up {
			sim.net.After(v.host(), ms, MembersSeen{Members: live})
		}
	}
}

func (v *vm) handle(now time.Duration, _ memnet.Host, payload any) {
	switch m := payload.(type) {
	case tick:
		if m.incarnation == v.incarnation {
			v.step(SpreadTick{})
			v.sim.net.After(v.host(), 100*ms, m)
		}
	case kvReply:
		m.reply(m.value)
	case callback:
		m()
	case SpreadEvent:
		v.step(m)
	}
}

func (v *vm) step(ev SpreadEvent) {
	for _, action := range v.spread.Step(v.sim.net.Now()-v.started, ev) {
		v.perform(action)
	}
}

func (v *vm) send(to ident.VM, message SpreadEvent) {
	if v.sim.countBytes {
		text, err := cbor.Marshal(message)
		if err != nil {
			panic(err)
		}
		v.sim.bytes[v.member.VM] += len(text)
	}
	v.sim.net.Send(v.host(), memnet.Host(to), message)
}

func (v *vm) perform(action SpreadAction) {
	switch a := action.(type) {
	case SendVersion:
		v.send(a.To, PeerVersion{From: v.member.VM, Version: a.Version, WantsReply: a.WantsReply})
	case SendPull:
		v.send(a.To, PeerPull{From: v.member.VM, HeldVersion: a.HeldVersion, HeldParts: a.HeldParts})
	case SendParts:
		v.send(a.To, PeerParts{From: v.member.VM, Head: a.Head, Texts: a.Texts})
	case Adopted:
		v.adopt(a.Snapshot)
	case WatchHead:
		v.ask(kvRequest{after: a.After, watch: true, perform: (*fakeKV).readHead}, func(value any) { v.step(value.(SpreadEvent)) }, func() { v.step(ReadFailed{}) }, watchDuration+v.sim.kvTimeout)
	case ReadParts:
		read := func(k *fakeKV) (any, bool) { return PartsRead{Texts: k.read(a.Hashes)}, true }
		v.ask(kvRequest{perform: read}, func(value any) { v.step(value.(SpreadEvent)) }, func() { v.step(ReadFailed{}) }, v.sim.kvTimeout)
	}
}

func (v *vm) adopt(snapshot Snapshot) {
	v.adopted = v.sim.net.Now()
	if !snapshot.State.Covers(v.lastState) {
		v.sim.addViolation("%s reverted at version %d", v.member.VM, snapshot.Head.Version)
	}
	v.lastState = snapshot.State
}

// ask calls the service once. Either reply or lost runs, unless the VM stops.
func (v *vm) ask(m kvRequest, reply func(any), lost func(), timeout time.Duration) {
	incarnation, settled := v.incarnation, false
	once := func(f func()) func() {
		return func() {
			if !settled && v.incarnation == incarnation {
				settled = true
				f()
			}
		}
	}
	m.reply = func(value any) { once(func() { reply(value) })() }
	v.sim.net.Send(v.host(), "kv", m)
	v.sim.net.After(v.host(), timeout, callback(once(lost)))
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, sim.net.Now().String()+": "+fmt.Sprintf(format, args...))
}

// fakeKV is the key-value service. While silent is set, writes take effect and replies
// are lost.
type fakeKV struct {
	sim          *simulation
	down, silent bool
	head         Head
	revision     uint64
	parts        map[PartHash]string
	heads        map[uint64]Head // by version
	state        State
	raises       map[string]int // by limit and day
	waiting      []kvWaiter
	calls        int
	swappedAt    time.Duration
}

type kvWaiter struct {
	from     memnet.Host
	m        kvRequest
	answered bool
}

func (k *fakeKV) handle(now time.Duration, from memnet.Host, payload any) {
	m := payload.(kvRequest)
	if k.down {
		return
	}
	k.calls++
	if m.watch && m.after > 0 && m.after >= k.revision {
		waiter := &kvWaiter{from: from, m: m}
		k.waiting = append(k.waiting, *waiter)
		index := len(k.waiting) - 1
		k.sim.net.At(now+watchDuration, func() { k.wake(index) })
		return
	}
	k.answer(from, m)
}

func (k *fakeKV) answer(from memnet.Host, m kvRequest) {
	value, ok := m.perform(k)
	if ok && !k.silent && !k.down {
		k.sim.net.Send("kv", from, kvReply{value, m.reply})
	}
}

func (k *fakeKV) wake(index int) {
	waiter := &k.waiting[index]
	if waiter.answered {
		return
	}
	waiter.answered = true
	k.answer(waiter.from, waiter.m)
}

func (k *fakeKV) readHead() (any, bool) {
	return HeadRead{Found: k.revision > 0, Head: k.head, Revision: k.revision}, true
}

func (k *fakeKV) read(hashes []PartHash) map[PartHash]string {
	texts := map[PartHash]string{}
	for _, hash := range hashes {
		if text, ok := k.parts[hash]; ok {
			texts[hash] = text
		}
	}
	return texts
}

// swap replaces the head. It checks that the new version follows the current one, that its
// parts are stored and that it lowers no limit.
func (k *fakeKV) swap(head Head, expect uint64) (any, bool) {
	if k.revision != expect {
		return HeadConflict{}, true
	}
	snapshot, err := Assemble(head, k.parts, k.state)
	if err != nil {
		k.sim.addViolation("head %d names parts that are not stored: %v", head.Version, err)
	}
	if head.Version != k.head.Version+1 || !snapshot.State.Covers(k.state) {
		k.sim.addViolation("head %d does not follow %d", head.Version, k.head.Version)
	}
	for _, change := range Diff(k.state, snapshot.State) {
		if change.Before > 0 {
			k.raises[change.Key.String()+string(head.Day)]++
		}
	}
	k.revision++
	k.head, k.state, k.swappedAt = head, snapshot.State, k.sim.net.Now()
	k.heads[head.Version] = head
	for i := range k.waiting {
		k.wake(i)
	}
	return HeadSwapped{}, true
}

// application runs one operator's Apply on a VM.
type application struct {
	v           *vm
	incarnation int
	sheet       Sheet
	core        *Apply
	outcome     *Outcome
	at          time.Duration
}

func (sim *simulation) apply(v *vm, sheet Sheet, operator string) {
	core, err := NewApply(DefaultApplyConfig(), sheet, operator, v.spread.Snapshot().Texts())
	if err != nil {
		panic(err)
	}
	a := &application{v: v, incarnation: v.incarnation, sheet: sheet, core: core}
	sim.applications = append(sim.applications, a)
	a.step(ApplyBegin{})
}

func (a *application) step(ev ApplyEvent) {
	if a.v.incarnation != a.incarnation || a.outcome != nil {
		return
	}
	for _, action := range a.core.Step(a.v.sim.net.Now(), ev) {
		a.perform(action)
	}
}

func (a *application) ask(perform func(k *fakeKV) (any, bool)) {
	failed := func() { a.step(ServiceFailed{Reason: "timeout"}) }
	a.v.ask(kvRequest{perform: perform}, func(value any) { a.step(value.(ApplyEvent)) }, failed, a.v.sim.kvTimeout)
}

func (a *application) perform(action ApplyAction) {
	switch action := action.(type) {
	case LoadHead:
		a.ask(func(k *fakeKV) (any, bool) { return HeadLoaded{Head: k.head, Revision: k.revision}, true })
	case LoadParts:
		a.ask(func(k *fakeKV) (any, bool) { return PartsLoaded{Texts: k.read(action.Hashes)}, true })
	case StoreParts:
		a.ask(func(k *fakeKV) (any, bool) { maps.Copy(k.parts, action.Texts); return PartsStored{}, true })
	case SwapHead:
		a.ask(func(k *fakeKV) (any, bool) { return k.swap(action.Head, action.Expect) })
	case DeleteParts:
		a.v.sim.net.Send(a.v.host(), "kv", kvRequest{perform: func(k *fakeKV) (any, bool) {
			for _, hash := range action.Hashes {
				delete(k.parts, hash)
			}
			return nil, false
		}})
	case WakeApply:
		a.v.sim.net.After(a.v.host(), max(0, action.At-a.v.sim.net.Now()), callback(func() { a.step(ApplyTick{}) }))
	case Applied:
		a.outcome, a.at = &action.Outcome, a.v.sim.net.Now()
		if snapshot, ok := a.core.Result(); ok {
			a.v.step(SelfApplied{Snapshot: snapshot})
		}
	}
}

// check returns all violations. It is called after the failures have ended and the fleet
// has had time to converge.
func (sim *simulation) check() []string {
	for _, v := range sim.vms {
		if !v.up {
			continue
		}
		if v.spread.Version() != sim.kv.head.Version || !v.lastState.Equal(sim.kv.state) {
			sim.addViolation("%s has version %d, want %d", v.member.VM, v.spread.Version(), sim.kv.head.Version)
		}
	}
	for raise, times := range sim.kv.raises {
		if times > 1 {
			sim.addViolation("%s raised %d times", raise, times)
		}
	}
	for _, a := range sim.applications {
		if a.outcome != nil {
			sim.checkOutcome(a)
		}
	}
	slices.Sort(sim.violations)
	return sim.violations
}

func (sim *simulation) checkOutcome(a *application) {
	_, recorded := findAccepted(sim.kv.head, a.sheet.Hash)
	switch a.outcome.Kind {
	case OutcomeAccepted, OutcomeUnchanged:
		for _, row := range a.sheet.Rows {
			if limit, _ := sim.kv.state.Get(row.Key); limit.Value < row.Value {
				sim.addViolation("%s was accepted with %d but is %d", row.Key, row.Value, limit.Value)
			}
		}
	case OutcomeRefused, OutcomeUnavailable:
		duplicate := slices.ContainsFunc(sim.applications, func(b *application) bool { return b != a && b.sheet.Hash == a.sheet.Hash })
		if recorded && !duplicate {
			sim.addViolation("a sheet was %s but is recorded as accepted", a.outcome.Kind)
		}
	}
}
