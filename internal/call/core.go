package call

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Core is one entry's calls.
type Core struct {
	cfg      Config
	open     map[RequestID]*request
	timers   timers
	budget   budget
	latency  map[ident.Service]time.Duration
	home     *homeTable
	clocks   map[ident.Instance]reading
	asking   map[ident.Instance]time.Duration
	revision uint64
	stall    stall
	out      []Action
}

// New returns a core without requests.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg: cfg, open: map[RequestID]*request{},
		budget:  budget{share: cfg.RetryShare, most: cfg.RetryBurst, saved: cfg.RetryBurst},
		latency: map[ident.Service]time.Duration{},
		home:    newHomeTable(cfg),
		stall:   stall{after: cfg.StallAfter, grace: cfg.StallGrace},
		clocks:  map[ident.Instance]reading{}, asking: map[ident.Instance]time.Duration{},
	}, nil
}

// Open is the number of requests in progress.
func (c *Core) OpenRequests() int { return len(c.open) }

// Keys is the number of keys that this home remembers.
func (c *Core) KeyCount() int { return len(c.home.keys) }

// Next is when a Tick is due; false while nothing waits for time to pass.
func (c *Core) NextTick() (time.Duration, bool) { return c.timers.next() }

// Step takes one event. The actions are valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.out = nil
	switch ev := ev.(type) {
	case Request:
		c.begin(now, ev)
	case Picked:
		c.picked(now, ev)
	case NonePicked:
		c.nonePicked(now, ev)
	case SendEnded:
		c.sendEnded(now, ev)
	case HomeClock:
		c.homeClock(now, ev)
	case HomeReply:
		c.homeReply(now, ev)
	case HomeUnreachable:
		c.homeUnreachable(now, ev)
	case HomeGone:
		c.homeGone(ev.Home)
	case ClaimEnded:
		c.claimEnded(now, ev)
	case OutcomeRecorded:
		c.outcomeRecorded(now, ev)
	case RevisionSeen:
		c.revision = max(c.revision, ev.Revision)
	case CallerGone:
		c.callerGone(now, ev.ID)
	case Tick:
		c.stall.tick(now)
		c.tick(now)
	}
	return c.out
}

func (c *Core) emit(action Action) { c.out = append(c.out, action) }

func (c *Core) begin(now time.Duration, ev Request) {
	if _, ok := c.open[ev.ID]; ok {
		return
	}
	// The same key and body for another service is another call.
	ev.BodyHash ^= xxhash.Sum64String(string(ev.Service))
	r := &request{Request: ev, accepted: now, kind: c.classify(ev)}
	if fault := c.unfit(now, r); fault != nil {
		c.emit(Refuse{ID: ev.ID, Refusal: *fault})
		return
	}
	c.open[ev.ID] = r
	c.timers.add(ev.Deadline, ev.ID, timerDeadline)
	switch r.kind {
	case kindIdempotent, kindOnce:
		c.budget.earn()
		c.pick(r)
	case kindHome:
		c.beginHome(now, r)
	case kindForward:
		c.beginForward(now, r)
	case kindClaim:
		r.claim.seen = c.revision
		c.pick(r)
	}
}

// answer gives the caller, and whoever waits for the same attempt, the reply.
func (c *Core) answer(r *request, status int, body BodyRef, stored bool) {
	if r.answered {
		return
	}
	r.answered = true
	for _, id := range r.listeners() {
		c.emit(Answer{ID: id, Status: status, Body: body, Stored: stored})
	}
}

// refuse gives the caller, and whoever waits for the same attempt, a refusal.
func (c *Core) refuse(r *request, refusal verdict.Refusal) {
	if r.answered {
		return
	}
	r.answered = true
	for _, id := range r.listeners() {
		c.emit(Refuse{ID: id, Refusal: refusal})
	}
}

// forget drops a request once nothing of it is in progress.
func (c *Core) forget(r *request) {
	if !r.answered || r.inFlight() > 0 || r.claim.pending() {
		return
	}
	c.drop(r)
}

func (c *Core) drop(r *request) {
	delete(c.open, r.ID)
	if r.claim.body != "" {
		c.emit(DropBody{Body: r.claim.body})
	}
	for _, id := range r.waiters {
		delete(c.open, id)
	}
}

func (c *Core) callerGone(now time.Duration, id RequestID) {
	r := c.open[id]
	if r == nil || r.answered || r.ID != id {
		return
	}
	c.giveUp(now, r, verdict.CauseCallerGone)
}

func (c *Core) tick(now time.Duration) {
	for {
		t, ok := c.timers.due(now)
		if !ok {
			break
		}
		r := c.open[t.id]
		if r == nil || r.ID != t.id {
			continue
		}
		c.fire(now, r, t.what)
	}
	c.home.expire(now, c.emit)
}

func (c *Core) fire(now time.Duration, r *request, what timerKind) {
	switch what {
	case timerDeadline:
		if !r.answered {
			c.giveUp(now, r, verdict.CauseDeadline)
		}
	case timerHedge:
		c.hedge(r)
	case timerForward:
		c.forwardAgain(now, r)
	case timerClaim:
		c.claimAgain(now, r)
	case timerLinger:
		c.drop(r)
	}
}

// giveUp gives a request its final answer now.
func (c *Core) giveUp(now time.Duration, r *request, cause verdict.Cause) {
	c.timers.add(now+lingerFor+c.cfg.CleanupFor, r.ID, timerLinger)
	switch r.kind {
	case kindIdempotent:
		c.endIdempotent(r, cause)
	case kindForward:
		c.refuse(r, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter,
			Detail: "the home of the key has not answered in time"})
		c.drop(r)
	default:
		c.endOnce(now, r, cause)
	}
}

// lingerFor bounds how long a request is kept for a result that the shell owes.
const lingerFor = time.Minute
