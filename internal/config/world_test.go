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
	ms         = time.Millisecond
	watchLasts = 3 * time.Second
)

// world is a fleet, the key-value service and operators on one network.
type world struct {
	net     *memnet.Net
	vms     []*vm
	kv      *kvFake
	applies []*applying
	wrong   []string
	// bytes counts what each VM sent to its peers, as CBOR.
	bytes     map[ident.VM]int
	count     bool
	kvTimeout time.Duration
}

// vm is one VM's shell around its Spread.
type vm struct {
	w       *world
	member  Member
	life    int
	up      bool
	spread  *Spread
	started time.Duration
	adopted time.Duration
	last    State
}

type (
	tickNow struct{ life int }
	// toKV asks the service; reply and lost are run at the asker's host.
	toKV struct {
		do    func(k *kvFake) (any, bool)
		reply func(any)
		after uint64
		watch bool
	}
	fromKV struct {
		value any
		reply func(any)
	}
	runNow func()
)

func newWorld(seed uint64, domains, perDomain int, loss float64, delay time.Duration) *world {
	w := &world{
		net:   memnet.New(memnet.Config{Seed: seed, MinDelay: ms / 2, MaxDelay: delay, Loss: loss, Duplicate: loss}),
		bytes: map[ident.VM]int{}, kvTimeout: max(400*ms, 3*delay),
	}
	w.kv = &kvFake{w: w, parts: map[PartHash]string{}, heads: map[uint64]Head{}}
	w.net.Join("kv", w.kv.handle)
	for d := range domains {
		for i := range perDomain {
			member := Member{VM: ident.VM(fmt.Sprintf("d%d-%d", d, i)), Domain: ident.FailureDomain(fmt.Sprintf("d%d", d))}
			w.vms = append(w.vms, &vm{w: w, member: member})
		}
	}
	for _, v := range w.vms {
		v.start()
	}
	w.members()
	return w
}

func (v *vm) host() memnet.Host { return memnet.Host(v.member.VM) }

func (v *vm) start() {
	v.life++
	v.up = true
	v.started = v.w.net.Now()
	v.last = State{}
	cfg := DefaultSpreadConfig(v.member.VM, v.member.Domain)
	cfg.Seed = uint64(v.life)
	cfg.WatchTimeout = 4 * watchLasts
	spread, err := NewSpread(cfg)
	if err != nil {
		panic(err)
	}
	v.spread = spread
	v.w.net.Join(v.host(), v.handle)
	v.w.net.After(v.host(), time.Duration(v.w.net.Rand().Int64N(int64(100*ms))), tickNow{v.life})
}

func (v *vm) kill() {
	v.up = false
	v.w.net.Kill(v.host())
}

func (v *vm) restart() {
	v.kill()
	v.start()
	v.w.members()
}

// members tells every VM who lives.
func (w *world) members() {
	var live []Member
	for _, v := range w.vms {
		if v.up {
			live = append(live, v.member)
		}
	}
	for _, v := range w.vms {
		if v.up {
			w.net.After(v.host(), ms, MembersSeen{Members: live})
		}
	}
}

func (v *vm) handle(now time.Duration, _ memnet.Host, payload any) {
	switch m := payload.(type) {
	case tickNow:
		if m.life == v.life {
			v.step(SpreadTick{})
			v.w.net.After(v.host(), 100*ms, m)
		}
	case fromKV:
		m.reply(m.value)
	case runNow:
		m()
	case SpreadEvent:
		v.step(m)
	}
}

func (v *vm) step(ev SpreadEvent) {
	for _, action := range v.spread.Step(v.w.net.Now()-v.started, ev) {
		v.do(action)
	}
}

func (v *vm) send(to ident.VM, message SpreadEvent) {
	if v.w.count {
		text, err := cbor.Marshal(message)
		if err != nil {
			panic(err)
		}
		v.w.bytes[v.member.VM] += len(text)
	}
	v.w.net.Send(v.host(), memnet.Host(to), message)
}

func (v *vm) do(action SpreadAction) {
	switch a := action.(type) {
	case SendVersion:
		v.send(a.To, PeerVersion{From: v.member.VM, Version: a.Version, WantsReply: a.WantsReply})
	case SendPull:
		v.send(a.To, PeerPull{From: v.member.VM, Have: a.Have, Held: a.Held})
	case SendParts:
		v.send(a.To, PeerParts{From: v.member.VM, Head: a.Head, Texts: a.Texts})
	case Adopted:
		v.adopt(a.Snapshot)
	case WatchHead:
		v.ask(toKV{after: a.After, watch: true, do: (*kvFake).readHead}, func(value any) { v.step(value.(SpreadEvent)) }, func() { v.step(ReadFailed{}) }, watchLasts+v.w.kvTimeout)
	case ReadParts:
		read := func(k *kvFake) (any, bool) { return PartsRead{Texts: k.read(a.Hashes)}, true }
		v.ask(toKV{do: read}, func(value any) { v.step(value.(SpreadEvent)) }, func() { v.step(ReadFailed{}) }, v.w.kvTimeout)
	}
}

func (v *vm) adopt(snapshot Snapshot) {
	v.adopted = v.w.net.Now()
	if !snapshot.State.Covers(v.last) {
		v.w.fault("%s reverted at version %d", v.member.VM, snapshot.Head.Version)
	}
	v.last = snapshot.State
}

// ask calls the service once: either reply or lost is run, unless the VM dies.
func (v *vm) ask(m toKV, reply func(any), lost func(), timeout time.Duration) {
	life, settled := v.life, false
	once := func(f func()) func() {
		return func() {
			if !settled && v.life == life {
				settled = true
				f()
			}
		}
	}
	m.reply = func(value any) { once(func() { reply(value) })() }
	v.w.net.Send(v.host(), "kv", m)
	v.w.net.After(v.host(), timeout, runNow(once(lost)))
}

func (w *world) fault(format string, args ...any) {
	w.wrong = append(w.wrong, w.net.Now().String()+": "+fmt.Sprintf(format, args...))
}

// kvFake is the key-value service. Silent, writes take effect and replies are
// lost.
type kvFake struct {
	w            *world
	down, silent bool
	head         Head
	revision     uint64
	parts        map[PartHash]string
	heads        map[uint64]Head
	state        State
	raised       map[string]int
	waiting      []kvWaiter
	calls        int
	swappedAt    time.Duration
}

type kvWaiter struct {
	from memnet.Host
	m    toKV
	gone bool
}

func (k *kvFake) handle(now time.Duration, from memnet.Host, payload any) {
	m := payload.(toKV)
	if k.down {
		return
	}
	k.calls++
	if m.watch && m.after > 0 && m.after >= k.revision {
		waiter := &kvWaiter{from: from, m: m}
		k.waiting = append(k.waiting, *waiter)
		index := len(k.waiting) - 1
		k.w.net.At(now+watchLasts, func() { k.wake(index) })
		return
	}
	k.answer(from, m)
}

func (k *kvFake) answer(from memnet.Host, m toKV) {
	value, ok := m.do(k)
	if ok && !k.silent && !k.down {
		k.w.net.Send("kv", from, fromKV{value, m.reply})
	}
}

func (k *kvFake) wake(index int) {
	waiter := &k.waiting[index]
	if waiter.gone {
		return
	}
	waiter.gone = true
	k.answer(waiter.from, waiter.m)
}

func (k *kvFake) readHead() (any, bool) {
	return HeadRead{Found: k.revision > 0, Head: k.head, Revision: k.revision}, true
}

func (k *kvFake) read(hashes []PartHash) map[PartHash]string {
	texts := map[PartHash]string{}
	for _, hash := range hashes {
		if text, ok := k.parts[hash]; ok {
			texts[hash] = text
		}
	}
	return texts
}

// swap replaces the head and holds the rules of acceptance.
func (k *kvFake) swap(head Head, expect uint64) (any, bool) {
	if k.revision != expect {
		return HeadConflict{}, true
	}
	snapshot, err := Assemble(head, k.parts, k.state)
	if err != nil {
		k.w.fault("head %d names parts that are not stored: %v", head.Version, err)
	}
	if head.Version != k.head.Version+1 || !snapshot.State.Covers(k.state) {
		k.w.fault("head %d does not follow %d", head.Version, k.head.Version)
	}
	for _, change := range Diff(k.state, snapshot.State) {
		if change.Before > 0 {
			k.raised[change.Key.String()+string(head.Day)]++
		}
	}
	k.revision++
	k.head, k.state, k.swappedAt = head, snapshot.State, k.w.net.Now()
	k.heads[head.Version] = head
	for i := range k.waiting {
		k.wake(i)
	}
	return HeadSwapped{}, true
}

// applying is one operator's Apply, run on a VM.
type applying struct {
	v       *vm
	life    int
	sheet   Sheet
	core    *Apply
	outcome *Outcome
	at      time.Duration
}

func (w *world) apply(v *vm, sheet Sheet, operator string) {
	core, err := NewApply(DefaultApplyConfig(), sheet, operator, v.spread.Snapshot().Texts())
	if err != nil {
		panic(err)
	}
	a := &applying{v: v, life: v.life, sheet: sheet, core: core}
	w.applies = append(w.applies, a)
	a.step(ApplyBegin{})
}

func (a *applying) step(ev ApplyEvent) {
	if a.v.life != a.life || a.outcome != nil {
		return
	}
	for _, action := range a.core.Step(a.v.w.net.Now(), ev) {
		a.do(action)
	}
}

func (a *applying) ask(do func(k *kvFake) (any, bool)) {
	failed := func() { a.step(ServiceFailed{Reason: "timeout"}) }
	a.v.ask(toKV{do: do}, func(value any) { a.step(value.(ApplyEvent)) }, failed, a.v.w.kvTimeout)
}

func (a *applying) do(action ApplyAction) {
	switch action := action.(type) {
	case LoadHead:
		a.ask(func(k *kvFake) (any, bool) { return HeadLoaded{Head: k.head, Revision: k.revision}, true })
	case LoadParts:
		a.ask(func(k *kvFake) (any, bool) { return PartsLoaded{Texts: k.read(action.Hashes)}, true })
	case StoreParts:
		a.ask(func(k *kvFake) (any, bool) { maps.Copy(k.parts, action.Texts); return PartsStored{}, true })
	case SwapHead:
		a.ask(func(k *kvFake) (any, bool) { return k.swap(action.Head, action.Expect) })
	case DeleteParts:
		a.v.w.net.Send(a.v.host(), "kv", toKV{do: func(k *kvFake) (any, bool) {
			for _, hash := range action.Hashes {
				delete(k.parts, hash)
			}
			return nil, false
		}})
	case WakeApply:
		a.v.w.net.After(a.v.host(), max(0, action.At-a.v.w.net.Now()), runNow(func() { a.step(ApplyTick{}) }))
	case Applied:
		a.outcome, a.at = &action.Outcome, a.v.w.net.Now()
		if snapshot, ok := a.core.Result(); ok {
			a.v.step(SelfApplied{Snapshot: snapshot})
		}
	}
}

// check holds the rules once the failures are over and the fleet had time.
func (w *world) check() []string {
	for _, v := range w.vms {
		if !v.up {
			continue
		}
		if v.spread.Version() != w.kv.head.Version || !v.last.Equal(w.kv.state) {
			w.fault("%s has version %d, want %d", v.member.VM, v.spread.Version(), w.kv.head.Version)
		}
	}
	for raise, times := range w.kv.raised {
		if times > 1 {
			w.fault("%s raised %d times", raise, times)
		}
	}
	for _, a := range w.applies {
		if a.outcome != nil {
			w.checkOutcome(a)
		}
	}
	slices.Sort(w.wrong)
	return w.wrong
}

func (w *world) checkOutcome(a *applying) {
	_, stands := findAccepted(w.kv.head, a.sheet.Hash)
	switch a.outcome.Kind {
	case OutcomeAccepted, OutcomeUnchanged:
		for _, row := range a.sheet.Rows {
			if limit, _ := w.kv.state.Get(row.Key); limit.Value < row.Value {
				w.fault("%s was accepted with %d and is %d", row.Key, row.Value, limit.Value)
			}
		}
	case OutcomeRefused, OutcomeUnavailable:
		twin := slices.ContainsFunc(w.applies, func(b *applying) bool { return b != a && b.sheet.Hash == a.sheet.Hash })
		if stands && !twin {
			w.fault("a sheet was %s and stands as accepted", a.outcome.Kind)
		}
	}
}
