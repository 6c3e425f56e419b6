package call

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Core is the state machine for the calls of one entry. It does no I/O: Step takes events
// and returns actions for the shell. It is not safe for concurrent use.
type Core struct {
	cfg            Config
	requests       map[RequestID]*request
	timers         timers
	budget         budget
	latency        map[ident.Service]time.Duration // estimated 95th percentile
	home           *homeTable
	clocks         map[ident.Instance]clockReading
	clockAskedAt   map[ident.Instance]time.Duration
	latestRevision uint64
	stallDetector  stallDetector
	actions        []Action
}

// New returns a Core without requests.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg: cfg, requests: map[RequestID]*request{},
		budget:        budget{share: cfg.RetryShare, limit: cfg.RetryBurst, available: cfg.RetryBurst},
		latency:       map[ident.Service]time.Duration{},
		home:          newHomeTable(cfg),
		stallDetector: stallDetector{threshold: cfg.StallThreshold, grace: cfg.StallGrace},
		clocks:        map[ident.Instance]clockReading{}, clockAskedAt: map[ident.Instance]time.Duration{},
	}, nil
}

// OpenRequests returns the number of requests in progress.
func (c *Core) OpenRequests() int { return len(c.requests) }

// KeyCount returns the number of keys in the home's table.
func (c *Core) KeyCount() int { return len(c.home.keys) }

// NextTick returns the process time at which the next timer is due, or false if none is
// set.
func (c *Core) NextTick() (time.Duration, bool) { return c.timers.next() }

// Step applies one event. The returned actions are valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case Request:
		c.startRequest(now, ev)
	case Picked:
		c.handlePicked(now, ev)
	case NonePicked:
		c.handleNonePicked(now, ev)
	case SendEnded:
		c.handleSendEnded(now, ev)
	case HomeClock:
		c.handleHomeClock(now, ev)
	case HomeReply:
		c.handleHomeReply(now, ev)
	case HomeUnreachable:
		c.handleHomeUnreachable(now, ev)
	case HomeGone:
		c.handleHomeGone(ev.Home)
	case ClaimEnded:
		c.handleClaimEnded(now, ev)
	case OutcomeRecorded:
		c.handleOutcomeRecorded(now, ev)
	case RevisionSeen:
		c.latestRevision = max(c.latestRevision, ev.Revision)
	case CallerGone:
		c.handleCallerGone(now, ev.ID)
	case Tick:
		c.stallDetector.tick(now)
		c.tick(now)
	}
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Core) startRequest(now time.Duration, ev Request) {
	if _, ok := c.requests[ev.ID]; ok {
		return
	}
	// The same key and body for another service is a different call.
	ev.BodyHash ^= xxhash.Sum64String(string(ev.Service))
	r := &request{Request: ev, acceptedAt: now, kind: c.classify(ev)}
	if refusal := c.checkRequest(now, r); refusal != nil {
		c.emit(Refuse{ID: ev.ID, Refusal: *refusal})
		return
	}
	c.requests[ev.ID] = r
	c.timers.add(ev.Deadline, ev.ID, timerDeadline)
	switch r.kind {
	case kindIdempotent, kindOnce:
		c.budget.deposit()
		c.requestReplica(r)
	case kindHome:
		c.startAtHome(now, r)
	case kindForward:
		c.startForward(now, r)
	case kindClaim:
		r.claim.seenRevision = c.latestRevision
		c.requestReplica(r)
	}
}

// answer sends the reply to the caller and to forwards that wait for the same attempt.
func (c *Core) answer(r *request, status int, body BodyRef, stored bool) {
	if r.answered {
		return
	}
	r.answered = true
	for _, id := range r.recipients() {
		c.emit(Answer{ID: id, Status: status, Body: body, Stored: stored})
	}
}

// refuse sends a refusal to the caller and to forwards that wait for the same attempt.
func (c *Core) refuse(r *request, refusal verdict.Refusal) {
	if r.answered {
		return
	}
	r.answered = true
	for _, id := range r.recipients() {
		c.emit(Refuse{ID: id, Refusal: refusal})
	}
}

// dropIfFinished drops an answered request once no send or write is in progress.
func (c *Core) dropIfFinished(r *request) {
	if !r.answered || r.inFlight() > 0 || r.claim.hasPendingWrite() {
		return
	}
	c.drop(r)
}

// drop forgets a request and its waiters, and releases the reply kept for its record.
func (c *Core) drop(r *request) {
	delete(c.requests, r.ID)
	if r.claim.replyBody != "" {
		c.emit(DropBody{Body: r.claim.replyBody})
	}
	for _, id := range r.waiters {
		delete(c.requests, id)
	}
}

func (c *Core) handleCallerGone(now time.Duration, id RequestID) {
	r := c.requests[id]
	if r == nil || r.answered || r.ID != id {
		return
	}
	c.abort(now, r, verdict.CauseCallerGone)
}

func (c *Core) tick(now time.Duration) {
	for {
		t, ok := c.timers.popDue(now)
		if !ok {
			break
		}
		r := c.requests[t.id]
		if r == nil || r.ID != t.id {
			continue
		}
		c.fireTimer(now, r, t.kind)
	}
	c.home.expire(now, c.emit)
}

func (c *Core) fireTimer(now time.Duration, r *request, kind timerKind) {
	switch kind {
	case timerDeadline:
		if !r.answered {
			c.abort(now, r, verdict.CauseDeadline)
		}
	case timerHedge:
		c.hedge(r)
	case timerForward:
		c.retryForward(now, r)
	case timerWrite:
		c.retryPendingWrite(now, r)
	case timerDropRequest:
		c.drop(r)
	}
}

// abort refuses a request immediately, because its deadline passed or its caller left.
func (c *Core) abort(now time.Duration, r *request, cause verdict.Cause) {
	c.timers.add(now+lateResultTimeout+c.cfg.CleanupTimeout, r.ID, timerDropRequest)
	switch r.kind {
	case kindIdempotent:
		c.finishIdempotent(r, cause)
	case kindForward:
		c.refuse(r, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter,
			Detail: "the home of the key has not answered in time"})
		c.drop(r)
	default:
		c.abortOnce(now, r, cause)
	}
}

// lateResultTimeout plus Config.CleanupTimeout bounds how long an aborted request is kept
// for late results from the shell.
const lateResultTimeout = time.Minute
