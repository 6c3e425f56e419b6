package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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

// simulation runs callers, VMs and engines in virtual time. The VMs are real Cores. The
// engine model is independent of the Cores' predictions: it has slots and a queue at the
// first server, KV caches that fill as answers grow, serial prefill, and decoding steps
// slowed down by all active calls.
type simulation struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	spec        *engine.Spec
	table       *routes.Table
	vms         []*vm
	engines     map[backend.ID]*engineModel
	engineOrder []*engineModel // by ID, to keep runs independent of map order
	tally       tally
	calls       int // sent so far
	planner     func([]placement.Server) []placement.Order
	layerLoads  int
	// maxWait is how long a request without capacity waits at its VM. waitOrder sorts the
	// waiting requests; nil means by arrival.
	maxWait   time.Duration
	waitOrder func(a, b *call) bool
	prompts   *promptModel // nil: engines keep no prompts
	// onSend and onFinish, if set, see each call that is sent, or answered.
	onSend, onFinish func(*call)
	// readInTurn lets the stages of a path read a prompt by read.
	readInTurn bool
	// contention is set in simulations of callers of several kinds; it then sends requests and
	// counts their outcomes.
	contention *contention
}

// vm is one Core with its waiting calls.
type vm struct {
	core    *dispatch.Core
	member  loads.Member
	waiting []*call
}

type event struct {
	at     time.Duration
	seq    int
	action func()
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

func (s *simulation) at(t time.Duration, action func()) {
	s.queue.seq++
	heap.Push(&s.queue, event{at: t, seq: s.queue.seq, action: action})
}

func (s *simulation) after(d time.Duration, action func()) { s.at(s.now+d, action) }

func (s *simulation) run(until time.Duration) {
	for len(s.queue.events) > 0 && s.queue.events[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	s.now = until
}

// engineModel is the actual state of a backend server, as opposed to a VM's view of it.
type engineModel struct {
	backend.Record
	accelerator   engine.Accelerator
	held          backend.Layers
	loadingUntil  time.Duration
	dead          bool
	running       map[*call]bool
	waiting       []*call
	active        map[*call]backend.Layers
	usedKV        float64 // tokens x layers
	prefillFreeAt time.Duration
	kept          map[string]*keptPart
	keptKV        float64 // tokens x layers
}

// call is one caller's request.
type call struct {
	seq          int // from 1, in the order of first sends
	vm           *vm
	req          *dispatch.Request
	choice       *dispatch.Choice
	arrived      time.Duration
	answerTokens float64 // actual length; req.AnswerTokens is the prediction
	generated    float64
	firstToken   time.Duration // time to the first token; 0 before it
	lastStep     time.Duration
	maxGap       time.Duration
	retried      bool // by the caller, after a refusal
	stalled      bool // on a dead server
	sends        int
	done         bool
	parts        []promptPart
	onRead       func() // called once all stages have read the tokens, if set
}

// tally counts the outcomes of calls. retried calls are sent again by the caller after a
// refusal; cutOff calls fail after the first token; rejected counts sends.
type tally struct {
	total, inTime, late, refused, retried, cutOff, rejected int
}

// score is the mean value of an answer: 1 in time, 0.25 late, 0 otherwise.
func (t tally) score() float64 {
	return (float64(t.inTime) + 0.25*float64(t.late)) / float64(max(1, t.total))
}

func (t tally) String() string {
	return fmt.Sprintf("calls %d, in time %.3f, late %.3f, refused %.3f (retried %.3f), cut %.3f; %d sends rejected; score %.3f", t.total,
		ratio(t.inTime, t.total), ratio(t.late, t.total), ratio(t.refused, t.total), ratio(t.retried, t.total), ratio(t.cutOff, t.total), t.rejected, t.score())
}

func ratio(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// accelerators counts a failure domain's accelerators by type.
type accelerators struct{ a100, v100, l4 int }

// newSimulation starts vms VMs in each failure domain and an engine per accelerator.
func newSimulation(t testing.TB, seed uint64, vms int, domains []accelerators, tune func(*dispatch.Config)) *simulation {
	cfg := loadConfig(t)
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: routes.NewTable(cfg), engines: map[backend.ID]*engineModel{}}
	s.spec = cfg.Services[model].Engine
	s.planner = func(servers []placement.Server) []placement.Order {
		return placement.Plan(placement.DefaultConfig(), s.spec, servers)
	}
	var members []loads.Member
	for d, n := range domains {
		name := string(rune('a' + d))
		for i := range vms {
			members = append(members, loads.Member{VM: fmt.Sprintf("%s%03d", name, i), Domain: name, Addr: fmt.Sprintf("%s%03d", name, i)})
		}
		for i, accelerator := range []string{"a100", "v100", "l4"} {
			for j := range []int{n.a100, n.v100, n.l4}[i] {
				s.addEngine(fmt.Sprintf("%s-%s-%02d", name, accelerator, j), name, accelerator)
			}
		}
	}
	s.settlePlacement()
	for _, m := range members {
		coreConfig := dispatch.DefaultConfig()
		coreConfig.VM, coreConfig.Domain = m.VM, m.Domain
		coreConfig.Retry = retry.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 4 * float64(len(members)), UsableShare: retry.DefaultUsableShare}
		if tune != nil {
			tune(&coreConfig)
		}
		v := &vm{core: dispatch.New(coreConfig), member: m}
		v.core.Apply(s.table)
		v.core.SetVMCount(len(members))
		v.core.Loads.SetMembers(members)
		s.vms = append(s.vms, v)
		s.at(s.jitter(v.core.Loads.Interval()), func() { s.gossip(v) })
	}
	s.publishAll()
	s.after(0, s.step)
	s.after(0, s.runPlacement)
	return s
}

func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) addEngine(id, domain, accelerator string) *engineModel {
	e := &engineModel{accelerator: s.spec.Accelerators[accelerator], running: map[*call]bool{}, active: map[*call]backend.Layers{}}
	e.Record = backend.Record{ID: backend.ID(id), Service: model, Addr: id, Domain: domain, Accelerator: accelerator, Slots: s.spec.Slots, State: backend.Ready, StartedMs: int64(s.now) + 1}
	s.engines[e.ID] = e
	s.engineOrder = append(s.engineOrder, e)
	sort.Slice(s.engineOrder, func(a, b int) bool { return s.engineOrder[a].ID < s.engineOrder[b].ID })
	return e
}

// settlePlacement executes placement plans until one is empty. It runs before traffic.
func (s *simulation) settlePlacement() {
	for range 20 {
		orders := s.planner(s.placementServers())
		for _, o := range orders {
			s.engines[o.Instance.ID].held = o.Layers
		}
		if len(orders) == 0 {
			return
		}
	}
}

func (s *simulation) placementServers() []placement.Server {
	var out []placement.Server
	for _, e := range s.engineOrder {
		if !e.dead {
			out = append(out, placement.Server{Instance: e.Instance(), Domain: e.Domain, Accelerator: e.accelerator, Held: e.held, OrderPending: e.loadingUntil > s.now})
		}
	}
	return out
}

const (
	planInterval   = 500 * time.Millisecond
	recordLag      = 300 * time.Millisecond
	stepInterval   = 50 * time.Millisecond
	stallDetection = 500 * time.Millisecond // until a VM checks which server a silent stream waits for
	stallTimeout   = 3 * time.Second
	recordTTL      = 3600 * time.Millisecond // three heartbeats of 1.2 s
)

func (s *simulation) runPlacement() {
	for _, o := range s.planner(s.placementServers()) {
		e := s.engines[o.Instance.ID]
		e.held = o.Layers
		loadTime := s.spec.LoadTime(o.Layers.Len(), 1)
		e.loadingUntil = s.now + loadTime
		s.layerLoads++
		s.publishRecord(e)
		s.after(loadTime, func() { s.publishRecord(e) })
	}
	s.after(planInterval, s.runPlacement)
}

func (s *simulation) publishAll() {
	for _, e := range s.engineOrder {
		s.publishRecord(e)
	}
}

// publishRecord delivers a server's record to all VMs after recordLag, or at once at the
// start.
func (s *simulation) publishRecord(e *engineModel) {
	r := e.Record
	if e.loadingUntil <= s.now {
		r.Held = e.held
	}
	lag := recordLag
	if s.now == 0 {
		lag = 0
	}
	s.after(lag, func() {
		for _, v := range s.vms {
			v.core.Backends.Put(s.now, r)
		}
	})
}

func (s *simulation) gossip(v *vm) {
	for _, out := range v.core.Loads.Tick(s.now, v.core.OwnLoads(s.now)) {
		for _, other := range s.vms {
			if other.member.Addr == out.Addr {
				s.after(time.Millisecond, func() { other.core.Receive(s.now, out.Message) })
			}
		}
	}
	s.after(v.core.Loads.Interval(), func() { s.gossip(v) })
}

// startTraffic sends requestsPerSecond requests per second in each failure domain.
func (s *simulation) startTraffic(requestsPerSecond float64, until time.Duration) {
	domains := map[string][]*vm{}
	var names []string
	for _, v := range s.vms {
		if domains[v.member.Domain] == nil {
			names = append(names, v.member.Domain)
		}
		domains[v.member.Domain] = append(domains[v.member.Domain], v)
	}
	for _, name := range names {
		vms := domains[name]
		var next func()
		next = func() {
			if s.now >= until {
				return
			}
			s.newRequest(vms[s.rng.IntN(len(vms))])
			s.after(time.Duration(s.rng.ExpFloat64()/requestsPerSecond*float64(time.Second)), next)
		}
		s.after(0, next)
	}
}

func (s *simulation) newRequest(v *vm) {
	cfg := s.table.Config()
	prompt := 40 + min(2280, s.rng.ExpFloat64()*730)
	answer := 4 * (1 + min(150, s.rng.ExpFloat64()*52))
	predicted := answer * math.Exp(s.rng.NormFloat64()*0.5)
	c := &call{vm: v, arrived: s.now, answerTokens: answer}
	c.req = &dispatch.Request{ID: fmt.Sprint("r", s.tally.total), Route: &cfg.Routes[0], Service: cfg.Services[model], PromptTokens: prompt,
		AnswerTokens: predicted, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
	s.tally.total++
	s.drawPrompt(c)
	v.core.RequestArrived(s.now, model)
	s.send(c)
}

// send chooses a path and sends the call to its first server. Without a choice, the call
// waits or is refused.
func (s *simulation) send(c *call) {
	if c.seq == 0 {
		s.calls++
		c.seq = s.calls
	}
	if s.contention != nil {
		s.contention.send(c)
		return
	}
	ch, refusal := c.vm.core.Choose(s.now, c.req)
	if refusal != nil && s.maxWait > 0 && !c.retried && c.req.Sends == 0 && s.now-c.arrived < s.maxWait {
		c.vm.waiting = append(c.vm.waiting, c)
		return
	}
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	c.choice = ch
	c.sends++
	if s.onSend != nil {
		s.onSend(c)
	}
	s.arrive(c)
}

// serveWaiting retries the waiting calls of each VM in order until one finds no capacity.
func (s *simulation) serveWaiting() {
	for _, v := range s.vms {
		waiting := v.waiting
		v.waiting = nil
		if s.waitOrder != nil {
			sort.SliceStable(waiting, func(a, b int) bool { return s.waitOrder(waiting[a], waiting[b]) })
		}
		blocked := false
		for _, c := range waiting {
			if blocked && s.now-c.arrived < s.maxWait {
				v.waiting = append(v.waiting, c)
				continue
			}
			before := len(v.waiting)
			s.send(c)
			blocked = len(v.waiting) > before
		}
	}
	s.after(dispatch.DefaultWaitQueueConfig().RetryInterval, s.serveWaiting)
}

// refuse counts a refusal. The caller retries once after Retry-After.
func (s *simulation) refuse(c *call, refusal *verdict.Refusal) {
	switch {
	case c.req.Begun:
		s.tally.cutOff++
	case c.retried:
		s.tally.refused++
	default:
		s.tally.retried++
		retryCall := &call{vm: c.vm, arrived: c.arrived, answerTokens: c.answerTokens, retried: true, parts: c.parts}
		retryCall.req = &dispatch.Request{ID: c.req.ID + "b", Route: c.req.Route, Service: c.req.Service, PromptTokens: c.req.PromptTokens,
			AnswerTokens: c.req.AnswerTokens, Prompt: c.req.Prompt, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
		s.after(refusal.RetryAfter, func() { s.send(retryCall) })
	}
}

// kill crashes a server, which restarts empty after restartAfter; negative means never.
func (s *simulation) kill(e *engineModel, restartAfter time.Duration) {
	e.dead = true
	diedAt := s.now
	stalled := append(sortedCalls(e.active), e.waiting...)
	e.waiting = nil
	for _, c := range stalled {
		c.stalled = true
		s.after(stallDetection, func() { s.handleStall(c, e, diedAt) })
	}
	instance := e.Instance()
	s.after(recordTTL, func() {
		for _, v := range s.vms {
			if server := v.core.Backends.Get(instance.ID); server != nil && server.StartedMs == instance.StartedMs {
				v.core.Backends.Remove(s.now, instance.ID, 0, false)
			}
		}
	})
	if restartAfter >= 0 {
		s.after(restartAfter, func() {
			e.dead, e.held, e.usedKV, e.prefillFreeAt, e.loadingUntil = false, backend.Layers{}, 0, s.now, 0
			e.StartedMs = int64(s.now) + 1
			e.running, e.active = map[*call]bool{}, map[*call]backend.Layers{}
			e.kept, e.keptKV = nil, 0
			s.publishRecord(e)
		})
	}
}

// handleStall replaces the dead server on the path of a stalled call, or sends the call
// again after stallTimeout.
func (s *simulation) handleStall(c *call, dead *engineModel, diedAt time.Duration) {
	if !c.stalled || !c.uses(dead) {
		return // already moved because of another failure
	}
	c.vm.core.RecordLost(s.now, backend.Instance{ID: dead.ID, StartedMs: dead.StartedMs})
	old := c.choice
	if next := c.vm.core.Replace(s.now, c.req, old, dead.Addr); next != nil {
		c.vm.core.Release(old)
		s.detach(c)
		c.choice, c.stalled = next, false
		c.maxGap = max(c.maxGap, s.now-diedAt)
		s.admitToPath(c)
		return
	}
	s.after(max(0, stallTimeout-(s.now-diedAt)), func() {
		s.detach(c)
		c.maxGap = max(c.maxGap, s.now-diedAt)
		c.stalled = false
		s.handleLostServer(c, dead)
	})
}

func (c *call) uses(e *engineModel) bool {
	for _, stage := range c.choice.Stages {
		if stage.Instance.ID == e.ID {
			return true
		}
	}
	return false
}

// sortedCalls returns the calls by arrival, to keep runs independent of map order.
func sortedCalls[V any](in map[*call]V) []*call {
	out := make([]*call, 0, len(in))
	for c := range in {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.seq, b.seq))
	})
	return out
}
