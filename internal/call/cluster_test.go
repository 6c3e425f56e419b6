package call

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	ms             = time.Millisecond
	rpcTimeout     = 400 * ms
	sendTimeout    = 600 * ms
	requestTimeout = 3 * time.Second
)

// cluster simulates several entries, an application with a ledger, the key-value service
// and callers on one network.
type cluster struct {
	net     *memnet.Net
	entries []*entry
	servers map[ident.BackendServer]*server
	kv      *fakeKV
	// ledger counts the runs of each key.
	ledger     map[string]int
	calls      []*caller
	violations []string
	// callerTimeout is how long a caller waits. refuseRate is the share of sends that
	// a server refuses, noReplicaRate that of picks without a replica.
	callerTimeout             time.Duration
	refuseRate, noReplicaRate float64
	// cfg adjusts the default Config of each entry; it may be nil.
	cfg func(*Config)
}

type server struct{ dead, leaving bool }

// Messages between hosts.
type (
	serverRequest struct {
		key         string
		id          RequestID
		try         int
		from        ident.VM
		incarnation ident.Incarnation
	}
	serverReply struct {
		SendEnded
		incarnation ident.Incarnation
	}
	forwardRequest struct {
		Request
		from ident.Instance
		home ident.Instance
	}
	forwardReply struct {
		HomeReply
		to ident.Instance
	}
	clockRequest struct{ from, home ident.Instance }
	clockReply   struct {
		HomeClock
		gone bool
	}
	kvRequest struct {
		incarnation ident.Incarnation
		id          RequestID
		key         string
		record      Record
		expect      uint64
		claim       bool
	}
	kvReply struct {
		incarnation ident.Incarnation
		event       Event
	}
	// localEvent is an event for the core of one incarnation of an entry.
	localEvent struct {
		incarnation ident.Incarnation
		event       Event
	}
	tickMessage struct{ incarnation ident.Incarnation }
)

// entry is the simulated shell of one VM's Core.
type entry struct {
	w         *cluster
	self      ident.Instance
	core      *Core
	up        bool
	started   time.Duration
	clockRate float64
	nextID    RequestID
	callers   map[RequestID]func(Action)
	requests  map[RequestID]Request
	paused    bool
	backlog   []func()
}

func newCluster(seed uint64, entries int, loss float64, delay time.Duration, tune func(*Config)) *cluster {
	w := &cluster{
		net:     memnet.New(memnet.Config{Seed: seed, MinDelay: ms / 2, MaxDelay: delay, Loss: loss, Duplicate: loss}),
		servers: map[ident.BackendServer]*server{}, ledger: map[string]int{}, cfg: tune,
		callerTimeout: 1500 * ms,
	}
	w.kv = &fakeKV{records: map[string]kvEntry{}}
	w.net.Join("kv", w.kv.handle(w))
	for i := range 3 {
		id := ident.BackendServer(fmt.Sprintf("s%d", i))
		w.servers[id] = &server{}
		w.net.Join(memnet.Host(id), w.serve(id))
	}
	for i := range entries {
		e := &entry{w: w, self: ident.Instance{VM: ident.VM(fmt.Sprintf("e%d", i))}}
		w.entries = append(w.entries, e)
		e.start()
	}
	return w
}

func (e *entry) start() {
	e.self.Incarnation++
	e.up = true
	e.started = e.w.net.Now() - time.Duration(e.w.net.Rand().Int64N(int64(5*time.Second)))
	e.clockRate = 1 + (e.w.net.Rand().Float64()-0.5)/1000
	e.callers, e.requests = map[RequestID]func(Action){}, map[RequestID]Request{}
	cfg := DefaultConfig(e.self)
	if e.w.cfg != nil {
		e.w.cfg(&cfg)
	}
	core, err := New(cfg)
	if err != nil {
		panic(err)
	}
	e.core = core
	e.w.net.Join(e.host(), e.handle)
	e.step(Tick{})
	e.w.net.After(e.host(), 10*ms, tickMessage{e.self.Incarnation})
}

func (e *entry) host() memnet.Host { return memnet.Host(e.self.VM) }

func (e *entry) kill() {
	e.up, e.paused, e.backlog = false, false, nil
	e.w.net.Kill(e.host())
}

func (e *entry) restart() {
	e.kill()
	e.start()
}

func (e *entry) pause() {
	e.paused = true
	e.w.net.Pause(e.host())
}

func (e *entry) thaw() {
	if !e.paused {
		return
	}
	e.paused = false
	e.w.net.Resume(e.host())
	for _, arrive := range e.backlog {
		arrive()
	}
	e.backlog = nil
}

// now returns the entry's clock, which has another zero and speed than the network's.
func (e *entry) now() time.Duration {
	return time.Duration(float64(e.w.net.Now()-e.started) * e.clockRate)
}

func (e *entry) step(ev Event) {
	for _, action := range e.core.Step(e.now(), ev) {
		e.execute(action)
	}
}

func (e *entry) schedule(after time.Duration, ev Event) {
	e.w.net.After(e.host(), after, localEvent{e.self.Incarnation, ev})
}

// accept passes a request from a caller or another entry to the core.
func (e *entry) accept(r Request, reply func(Action)) RequestID {
	e.nextID++
	r.ID = e.nextID
	r.Deadline = e.now() + requestTimeout
	e.callers[r.ID], e.requests[r.ID] = reply, r
	e.step(r)
	return r.ID
}

func (e *entry) handle(_ time.Duration, from memnet.Host, payload any) {
	switch m := payload.(type) {
	case tickMessage:
		if m.incarnation == e.self.Incarnation {
			e.step(Tick{})
			e.w.net.After(e.host(), 10*ms, m)
		}
	case localEvent:
		if m.incarnation == e.self.Incarnation {
			e.step(m.event)
		}
	case serverReply:
		if m.incarnation == e.self.Incarnation {
			e.step(m.SendEnded)
		}
	case kvReply:
		if m.incarnation == e.self.Incarnation {
			e.step(m.event)
		}
	case clockRequest:
		reply := clockReply{HomeClock{Home: m.home, Now: e.now()}, m.home != e.self}
		e.w.net.Send(e.host(), from, reply)
	case clockReply:
		if m.gone {
			e.step(HomeGone{Home: m.Home})
			return
		}
		e.step(m.HomeClock)
	case forwardRequest:
		e.handleForward(from, m)
	case forwardReply:
		if m.to == e.self {
			e.step(m.HomeReply)
		}
	}
}

func (e *entry) handleForward(from memnet.Host, m forwardRequest) {
	if m.home != e.self {
		e.w.net.Send(e.host(), from, clockReply{HomeClock{Home: m.home}, true})
		return
	}
	e.accept(m.Request, func(action Action) {
		reply := HomeReply{ID: m.Forwarded.FromID, Home: e.self, HomeNow: e.now()}
		switch a := action.(type) {
		case Answer:
			reply.Status, reply.Body = a.Status, a.Body
		case Refuse:
			reply.Refusal = &a.Refusal
		case Restamp:
			reply.Restamp = true
		}
		e.w.net.Send(e.host(), from, forwardReply{reply, m.from})
	})
}

func (e *entry) execute(action Action) {
	switch a := action.(type) {
	case PickReplica:
		e.pick(a)
	case Send:
		e.send(a)
	case AskClock:
		e.w.net.Send(e.host(), memnet.Host(a.Home.VM), clockRequest{e.self, a.Home})
		e.schedule(rpcTimeout, HomeUnreachable{Home: a.Home})
	case ForwardHome:
		r := e.requests[a.ID]
		r.Forwarded = &Forwarded{From: e.self, FromID: a.ID, AcceptedAt: a.AcceptedAt}
		e.w.net.Send(e.host(), memnet.Host(a.Home.VM), forwardRequest{r, e.self, a.Home})
		e.schedule(rpcTimeout, HomeUnreachable{ID: a.ID, Home: a.Home})
	case Claim:
		e.write(kvRequest{e.self.Incarnation, a.ID, a.Key, a.Record, a.ExpectedRevision, true}, ClaimEnded{ID: a.ID, Result: WriteUnknown}, ClaimEnded{ID: a.ID, Result: WriteNotApplied})
	case RecordOutcome:
		e.write(kvRequest{e.self.Incarnation, a.ID, a.Key, a.Record, a.ExpectedRevision, false}, OutcomeRecorded{ID: a.ID, Result: WriteUnknown}, OutcomeRecorded{ID: a.ID, Result: WriteNotApplied})
	case Answer:
		e.reply(a.ID, a)
	case Refuse:
		e.reply(a.ID, a)
	case Restamp:
		e.reply(a.ID, a)
	}
}

func (e *entry) reply(id RequestID, action Action) {
	reply := e.callers[id]
	if reply == nil {
		e.w.violation("%s: a second final answer to %d", e.self, id)
		return
	}
	delete(e.callers, id)
	reply(action)
}

func (e *entry) pick(a PickReplica) {
	var free []ident.BackendServer
	for _, id := range slices.Sorted(maps.Keys(e.w.servers)) {
		if !slices.Contains(a.Exclude, id) {
			free = append(free, id)
		}
	}
	if len(free) == 0 || e.w.net.Rand().Float64() < e.w.noReplicaRate {
		e.schedule(ms, NonePicked{ID: a.ID, Try: a.Try, Refusal: verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoBackend}})
		return
	}
	e.schedule(ms, Picked{ID: a.ID, Try: a.Try, Server: free[e.w.net.Rand().IntN(len(free))]})
}

func (e *entry) send(a Send) {
	if e.w.servers[a.Server].dead {
		e.schedule(ms, SendEnded{ID: a.ID, Try: a.Try, Result: ConnectFailed})
		return
	}
	e.w.net.Send(e.host(), memnet.Host(a.Server), serverRequest{e.requests[a.ID].Key, a.ID, a.Try, e.self.VM, e.self.Incarnation})
	e.schedule(sendTimeout, SendEnded{ID: a.ID, Try: a.Try, Result: ReplyLost})
}

func (e *entry) write(m kvRequest, lost, down Event) {
	if e.w.kv.down {
		e.schedule(ms, down)
		return
	}
	e.w.net.Send(e.host(), "kv", m)
	e.schedule(rpcTimeout, lost)
}

func (w *cluster) serve(id ident.BackendServer) memnet.Handler {
	seen := map[serverRequest]bool{}
	return func(_ time.Duration, from memnet.Host, payload any) {
		m := payload.(serverRequest)
		if seen[m] {
			return // TCP delivers once
		}
		seen[m] = true
		result := SendEnded{ID: m.id, Try: m.try, Result: NotRunByServer}
		if !w.servers[id].leaving && w.net.Rand().Float64() >= w.refuseRate {
			w.ledger[m.key]++
			result = SendEnded{ID: m.id, Try: m.try, Result: Replied, Status: 201, Body: BodyRef("reply to " + m.key), Bytes: 10}
		}
		w.net.Send(memnet.Host(id), from, serverReply{result, m.incarnation})
	}
}

func (w *cluster) violation(format string, args ...any) {
	w.violations = append(w.violations, w.net.Now().String()+": "+fmt.Sprintf(format, args...))
}

// fakeKV simulates the key-value service. While silent, it applies writes without
// replying.
type fakeKV struct {
	down, silent bool
	revision     uint64
	writes       int
	records      map[string]kvEntry
}

type kvEntry struct {
	record   Record
	revision uint64
}

func (k *fakeKV) handle(w *cluster) memnet.Handler {
	return func(_ time.Duration, from memnet.Host, payload any) {
		m := payload.(kvRequest)
		if k.down {
			return
		}
		k.writes++
		result := WriteConflict
		if k.records[m.key].revision == m.expect {
			k.revision++
			k.records[m.key] = kvEntry{m.record, k.revision}
			result = WriteApplied
		}
		if k.silent {
			return
		}
		held := k.records[m.key]
		var event Event = OutcomeRecorded{ID: m.id, Result: result, Record: held.record, Revision: held.revision}
		if m.claim {
			event = ClaimEnded{ID: m.id, Result: result, Record: held.record, Revision: held.revision}
		}
		w.net.Send("kv", from, kvReply{m.incarnation, event})
	}
}

// caller makes one call and retries it with the same key through random entries, one
// attempt at a time.
type caller struct {
	w       *cluster
	key     string
	attempt int
	tries   int
	giveUp  bool
	// waiting is set while the current attempt has no answer.
	waiting  bool
	done     bool
	final    verdict.Verdict
	cause    verdict.Cause
	answered bool
}

func (w *cluster) call(key string, tries int, giveUp bool) *caller {
	c := &caller{w: w, key: key, tries: tries, giveUp: giveUp}
	w.calls = append(w.calls, c)
	c.try()
	return c
}

func (c *caller) try() {
	c.attempt++
	c.waiting = true
	attempt := c.attempt
	e := c.w.entries[c.w.net.Rand().IntN(len(c.w.entries))]
	c.w.net.At(c.w.net.Now()+c.w.callerTimeout, func() { c.timeout(attempt) })
	if !e.up {
		c.w.net.At(c.w.net.Now()+ms, func() {
			c.refused(attempt, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCallerGone})
		})
		return
	}
	if e.paused {
		e.backlog = append(e.backlog, func() { c.arrive(e, attempt) })
		return
	}
	c.arrive(e, attempt)
}

// arrive delivers an attempt to the entry, even if the caller hung up while the entry was
// stopped.
func (c *caller) arrive(e *entry, attempt int) {
	e.accept(Request{Team: "clubs", Service: "ordrebok", Key: c.key, BodyHash: 7}, func(action Action) {
		switch a := action.(type) {
		case Answer:
			c.replied(attempt, a)
		case Refuse:
			c.refused(attempt, a.Refusal)
		}
	})
}

func (c *caller) replied(attempt int, a Answer) {
	if string(a.Body) != "reply to "+c.key {
		c.w.violation("%s got %q", c.key, a.Body)
	}
	if attempt == c.attempt && c.waiting {
		c.waiting = false
		c.done, c.answered, c.final = true, true, verdict.Ran
	}
}

func (c *caller) refused(attempt int, r verdict.Refusal) {
	if attempt != c.attempt || !c.waiting {
		return
	}
	c.waiting = false
	c.final, c.cause = r.Verdict, r.Cause
	if c.attempt >= c.tries || (c.giveUp && r.Verdict == verdict.NotRun) {
		c.done = true
		return
	}
	c.w.net.At(c.w.net.Now()+max(50*ms, r.RetryAfter/2), c.try)
}

func (c *caller) timeout(attempt int) {
	c.refused(attempt, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseDeadline})
}

// check returns the violations at the end of a run.
func (w *cluster) check() []string {
	for key, runs := range w.ledger {
		if runs > 1 {
			w.violation("%s ran %d times", key, runs)
		}
	}
	for _, c := range w.calls {
		if c.answered && w.ledger[c.key] == 0 {
			w.violation("%s was answered and did not run", c.key)
		}
		if c.done && c.final == verdict.NotRun && w.ledger[c.key] > 0 {
			w.violation("%s was refused as not run (%s) and ran", c.key, c.cause)
		}
		if !c.done {
			w.violation("%s got no final answer", c.key)
		}
	}
	slices.SortFunc(w.violations, strings.Compare)
	return w.violations
}
