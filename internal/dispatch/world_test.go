package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/placement"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// world plays callers, VMs and engines in virtual time: the VMs are the real cores,
// the engines a model of their own, written apart from internal/engine's use in the
// cores: slots and a queue at the first server, memory that fills as answers grow,
// prompts read one after the other, steps slowed by all that is there.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	spec    *engine.Spec
	table   *routes.Table
	vms     []*vm
	engines map[backend.ID]*engineModel
	order   []*engineModel // by id: no run depends on the order of a map
	tally   tally
	placing func([]placement.Server) []placement.Order
	loads   int
	// hold is how long a request without room waits at its VM; orderOfWait orders those
	// that wait, by arrival where it is nil.
	hold        time.Duration
	orderOfWait func(a, b *call) bool
}

// vm is one core with its streams.
type vm struct {
	core    *dispatch.Core
	member  loads.Member
	waiting []*call
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(a, b int) bool {
	x, y := q.events[a], q.events[b]
	return x.at < y.at || (x.at == y.at && x.seq < y.seq)
}
func (q *eventQueue) Swap(a, b int) { q.events[a], q.events[b] = q.events[b], q.events[a] }
func (q *eventQueue) Push(e any)    { q.events = append(q.events, e.(event)) }
func (q *eventQueue) Pop() any {
	e := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return e
}

func (w *world) at(t time.Duration, do func()) {
	w.queue.seq++
	heap.Push(&w.queue, event{at: t, seq: w.queue.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) run(until time.Duration) {
	for len(w.queue.events) > 0 && w.queue.events[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// engineModel is a backend server as it is, not as a VM believes it to be.
type engineModel struct {
	backend.Record
	card     engine.Accelerator
	held     backend.Layers
	loading  time.Duration // until
	dead     bool
	running  map[*call]bool
	waiting  []*call
	through  map[*call]backend.Layers
	used     float64 // tokens x layers
	readFree time.Duration
}

// call is one caller's request.
type call struct {
	vm       *vm
	req      *dispatch.Request
	choice   *dispatch.Choice
	arrived  time.Duration
	answer   float64 // tokens that it will get
	written  float64
	first    time.Duration // 0 until then
	lastStep time.Duration
	maxGap   time.Duration
	came     bool // it came back after a refusal
	stuck    bool // on a dead server
	run      int  // counts sends, so that an old event knows that it is late
	done     bool
}

// tally is what callers got.
type tally struct {
	asked, inTime, late, refused, back, cut, shed int
}

// worth is the payoff earned of what was owed: a late answer earns a quarter.
func (t tally) worth() float64 {
	return (float64(t.inTime) + 0.25*float64(t.late)) / float64(max(1, t.asked))
}

func (t tally) String() string {
	return fmt.Sprintf("asked %d, in time %.3f, late %.3f, refused %.3f (came back %.3f), cut %.3f; %d sends rejected; worth %.3f", t.asked,
		part(t.inTime, t.asked), part(t.late, t.asked), part(t.refused, t.asked), part(t.back, t.asked), part(t.cut, t.asked), t.shed, t.worth())
}

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// cards counts a failure domain's accelerators.
type cards struct{ a100, v100, l4 int }

// newWorld starts vms VMs in each failure domain and the engines of its cards.
func newWorld(t testing.TB, seed uint64, vms int, domains []cards, tune func(*dispatch.Config)) *world {
	cfg := config(t)
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: routes.NewTable(cfg), engines: map[backend.ID]*engineModel{}}
	w.spec = cfg.Services[model].Engine
	w.placing = func(h []placement.Server) []placement.Order {
		return placement.Plan(placement.DefaultConfig(), w.spec, h)
	}
	var members []loads.Member
	for d, n := range domains {
		name := string(rune('a' + d))
		for i := range vms {
			members = append(members, loads.Member{VM: fmt.Sprintf("%s%03d", name, i), Domain: name, Addr: fmt.Sprintf("%s%03d", name, i)})
		}
		for i, kind := range []string{"a100", "v100", "l4"} {
			for j := range []int{n.a100, n.v100, n.l4}[i] {
				w.addEngine(fmt.Sprintf("%s-%s-%02d", name, kind, j), name, kind)
			}
		}
	}
	w.settlePlacement()
	for _, m := range members {
		c := dispatch.DefaultConfig()
		c.VM, c.Domain = m.VM, m.Domain
		c.Retry = retry.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 4 * float64(len(members)), UsableShare: retry.DefaultUsableShare}
		if tune != nil {
			tune(&c)
		}
		v := &vm{core: dispatch.New(c), member: m}
		v.core.Apply(w.table)
		v.core.SetVMCount(len(members))
		v.core.Loads.SetMembers(members)
		w.vms = append(w.vms, v)
		w.at(w.jitter(v.core.Loads.Interval()), func() { w.gossip(v) })
	}
	w.publish()
	w.after(0, w.step)
	w.after(0, w.plan)
	return w
}

func (w *world) jitter(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) addEngine(id, domain, card string) *engineModel {
	e := &engineModel{card: w.spec.Accelerators[card], running: map[*call]bool{}, through: map[*call]backend.Layers{}}
	e.Record = backend.Record{ID: backend.ID(id), Service: model, Addr: id, Domain: domain, Accelerator: card, Slots: w.spec.Slots, State: backend.Ready, StartedMs: int64(w.now) + 1}
	w.engines[e.ID] = e
	w.order = append(w.order, e)
	sort.Slice(w.order, func(a, b int) bool { return w.order[a].ID < w.order[b].ID })
	return e
}

// settlePlacement carries out plans until none is left: before traffic.
func (w *world) settlePlacement() {
	for range 20 {
		orders := w.placing(w.holders())
		for _, o := range orders {
			w.engines[o.Instance.ID].held = o.Layers
		}
		if len(orders) == 0 {
			return
		}
	}
}

func (w *world) holders() []placement.Server {
	var out []placement.Server
	for _, e := range w.order {
		if !e.dead {
			out = append(out, placement.Server{Instance: e.Instance(), Domain: e.Domain, Accelerator: e.card, Held: e.held, OrderPending: e.loading > w.now})
		}
	}
	return out
}

const (
	planEvery  = 500 * time.Millisecond
	recordLag  = 300 * time.Millisecond
	stepEvery  = 50 * time.Millisecond
	foundAfter = 500 * time.Millisecond // a silent stream asks what it waits for
	stallFor   = 3 * time.Second
	goneAfter  = 3600 * time.Millisecond // three heartbeats
)

func (w *world) plan() {
	for _, o := range w.placing(w.holders()) {
		e := w.engines[o.Instance.ID]
		e.held = o.Layers
		took := w.spec.LoadTime(o.Layers.Len())
		e.loading = w.now + took
		w.loads++
		w.publishOne(e)
		w.after(took, func() { w.publishOne(e) })
	}
	w.after(planEvery, w.plan)
}

func (w *world) publish() {
	for _, e := range w.order {
		w.publishOne(e)
	}
}

// publishOne lets all VMs read a server's record, some time later but for the start.
func (w *world) publishOne(e *engineModel) {
	r := e.Record
	if e.loading <= w.now {
		r.Held = e.held
	}
	lag := recordLag
	if w.now == 0 {
		lag = 0
	}
	w.after(lag, func() {
		for _, v := range w.vms {
			v.core.Backends.Put(r)
		}
	})
}

func (w *world) gossip(v *vm) {
	for _, s := range v.core.Loads.Tick(w.now, v.core.OwnLoads(w.now)) {
		for _, other := range w.vms {
			if other.member.Addr == s.Addr {
				w.after(time.Millisecond, func() { other.core.Receive(w.now, s.Message) })
			}
		}
	}
	w.after(v.core.Loads.Interval(), func() { w.gossip(v) })
}

// traffic lets callers ask perSecond times a second in each failure domain.
func (w *world) traffic(perSecond float64, until time.Duration) {
	domains := map[string][]*vm{}
	var names []string
	for _, v := range w.vms {
		if domains[v.member.Domain] == nil {
			names = append(names, v.member.Domain)
		}
		domains[v.member.Domain] = append(domains[v.member.Domain], v)
	}
	for _, name := range names {
		vms := domains[name]
		var next func()
		next = func() {
			if w.now >= until {
				return
			}
			w.ask(vms[w.rng.IntN(len(vms))])
			w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		w.after(0, next)
	}
}

func (w *world) ask(v *vm) {
	cfg := w.table.Config()
	prompt := 40 + min(2280, w.rng.ExpFloat64()*730)
	answer := 4 * (1 + min(150, w.rng.ExpFloat64()*52))
	guess := answer * math.Exp(w.rng.NormFloat64()*0.5)
	c := &call{vm: v, arrived: w.now, answer: answer}
	c.req = &dispatch.Request{ID: fmt.Sprint("r", w.tally.asked), Route: &cfg.Routes[0], Service: cfg.Services[model], PromptTokens: prompt,
		AnswerTokens: guess, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
	w.tally.asked++
	v.core.RequestArrived(w.now, model)
	w.send(c)
}

// send makes one choice and brings it to the engines.
func (w *world) send(c *call) {
	ch, refusal := c.vm.core.Choose(w.now, c.req)
	if refusal != nil && w.hold > 0 && !c.came && c.req.Sends == 0 && w.now-c.arrived < w.hold {
		c.vm.waiting = append(c.vm.waiting, c)
		return
	}
	if refusal != nil {
		w.refuse(c, refusal)
		return
	}
	c.choice = ch
	c.run++
	w.arrive(c)
}

// serveWaiting tries those that wait, in order, until one finds no room.
func (w *world) serveWaiting() {
	for _, v := range w.vms {
		waiting := v.waiting
		v.waiting = nil
		if w.orderOfWait != nil {
			sort.SliceStable(waiting, func(a, b int) bool { return w.orderOfWait(waiting[a], waiting[b]) })
		}
		blocked := false
		for _, c := range waiting {
			if blocked && w.now-c.arrived < w.hold {
				v.waiting = append(v.waiting, c)
				continue
			}
			before := len(v.waiting)
			w.send(c)
			blocked = len(v.waiting) > before
		}
	}
	w.after(dispatch.DefaultWaitQueueConfig().RetryInterval, w.serveWaiting)
}

func (w *world) refuse(c *call, ref *verdict.Refusal) {
	switch {
	case c.req.Begun:
		w.tally.cut++
	case c.came:
		w.tally.refused++
	default:
		w.tally.back++
		again := &call{vm: c.vm, arrived: c.arrived, answer: c.answer, came: true}
		again.req = &dispatch.Request{ID: c.req.ID + "b", Route: c.req.Route, Service: c.req.Service, PromptTokens: c.req.PromptTokens,
			AnswerTokens: c.req.AnswerTokens, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
		w.after(ref.RetryAfter, func() { w.send(again) })
	}
}

// kill lets a server die with all that it holds; back after it, it starts empty. A
// time below zero means never.
func (w *world) kill(e *engineModel, back time.Duration) {
	e.dead = true
	began := w.now
	stuck := append(sortedCalls(e.through), e.waiting...)
	e.waiting = nil
	for _, c := range stuck {
		c.stuck = true
		w.after(foundAfter, func() { w.moveOff(c, e, began) })
	}
	born := e.Instance()
	w.after(goneAfter, func() {
		for _, v := range w.vms {
			if s := v.core.Backends.Get(born.ID); s != nil && s.StartedMs == born.StartedMs {
				v.core.Backends.Remove(w.now, born.ID, false)
			}
		}
	})
	if back >= 0 {
		w.after(back, func() {
			e.dead, e.held, e.used, e.readFree, e.loading = false, backend.Layers{}, 0, w.now, 0
			e.StartedMs = int64(w.now) + 1
			e.running, e.through = map[*call]bool{}, map[*call]backend.Layers{}
			w.publishOne(e)
		})
	}
}

// moveOff is what the VM does once a stream's wait has shown the dead server.
func (w *world) moveOff(c *call, dead *engineModel, began time.Duration) {
	if !c.stuck || !c.passes(dead) {
		return // another failure moved it
	}
	c.vm.core.RecordLost(w.now, backend.Instance{ID: dead.ID, StartedMs: dead.StartedMs})
	old := c.choice
	if next := c.vm.core.Replace(w.now, c.req, old, dead.Addr); next != nil {
		c.vm.core.Release(old)
		w.leave(c)
		c.choice, c.stuck = next, false
		c.maxGap = max(c.maxGap, w.now-began)
		w.begin(c)
		return
	}
	w.after(max(0, stallFor-(w.now-began)), func() {
		w.leave(c)
		c.maxGap = max(c.maxGap, w.now-began)
		c.stuck = false
		w.failed(c, dead)
	})
}

func (c *call) passes(e *engineModel) bool {
	for _, p := range c.choice.Stages {
		if p.Instance.ID == e.ID {
			return true
		}
	}
	return false
}

// sortedCalls makes a run independent of the order of a map.
func sortedCalls[V any](in map[*call]V) []*call {
	out := make([]*call, 0, len(in))
	for c := range in {
		out = append(out, c)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].arrived < out[b].arrived })
	return out
}
