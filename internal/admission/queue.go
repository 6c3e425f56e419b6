package admission

import (
	"math/rand/v2"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Stats holds the counters of a Queue. Running and Waiting are current numbers.
type Stats struct {
	Running  int                      `json:"running"`
	Waiting  int                      `json:"waiting"`
	Admitted uint64                   `json:"admitted"`
	Refused  map[verdict.Cause]uint64 `json:"refused"`
}

// Queue admits, queues or refuses the requests of one entry. It is not safe for
// concurrent use.
type Queue struct {
	cfg       Config
	limiter   Limiter
	rng       *rand.Rand
	running   map[string]struct{}
	waiting   map[string]*waiter
	levels    []*priorityLevel // by priority, highest first
	exhausted map[flowKey]bool // limits that denied a request in this startWaiting
	flows     map[flowKey]*flow
	stopped   bool
	actions   []Action
	stats     Stats
}

// waiter is a waiting request.
type waiter struct {
	req       Request
	queuedAt  time.Duration
	startBy   time.Duration // latest time to start
	blockedBy verdict.Cause // why it has not started yet
}

// New returns an empty Queue that takes units from limiter.
func New(cfg Config, limiter Limiter) (*Queue, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Queue{
		cfg:       cfg,
		limiter:   limiter,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x61646d6974)),
		running:   map[string]struct{}{},
		waiting:   map[string]*waiter{},
		exhausted: map[flowKey]bool{},
		flows:     map[flowKey]*flow{},
		stats:     Stats{Refused: map[verdict.Cause]uint64{}},
	}, nil
}

// Stats returns the counters. The map is the Queue's own: read it only.
func (q *Queue) Stats() Stats {
	q.stats.Running = len(q.running)
	q.stats.Waiting = len(q.waiting)
	return q.stats
}

// Offer admits, queues or refuses a request at process time now.
func (q *Queue) Offer(now time.Duration, req Request) Decision {
	req.Cost = max(1, req.Cost)
	if cause, detail := q.checkRequest(now, req); cause != "" {
		return Decision{Outcome: Refused, Refusal: q.newRefusal(now, req, cause, detail)}
	}
	w := &waiter{req: req, queuedAt: now, startBy: q.latestStart(now, req)}
	if q.mayOvertake(req) && q.tryStart(now, w) {
		return Decision{Outcome: Admitted}
	}
	if cause, detail := q.checkQueue(now, w); cause != "" {
		return Decision{Outcome: Refused, Refusal: q.newRefusal(now, req, cause, detail)}
	}
	q.enqueue(now, w)
	return Decision{Outcome: Queued}
}

// checkRequest returns the cause and detail of the refusal if a request must be refused
// regardless of load; otherwise the cause is empty.
func (q *Queue) checkRequest(now time.Duration, req Request) (verdict.Cause, string) {
	_, running := q.running[req.ID]
	_, waiting := q.waiting[req.ID]
	switch {
	case running || waiting:
		return verdict.CauseBadRequest, "a request with this id is already here"
	case q.stopped:
		return verdict.CauseLeaving, "this entry is leaving"
	case req.Deadline > 0 && now+req.ExpectedDuration > req.Deadline:
		return verdict.CauseDeadline, "the deadline can't be met any more"
	}
	return "", ""
}

// latestStart returns the latest time at which a request may start.
func (q *Queue) latestStart(now time.Duration, req Request) time.Duration {
	latest := now + q.cfg.MaxWait
	if req.Deadline > 0 {
		latest = min(latest, req.Deadline-req.ExpectedDuration)
	}
	return latest
}

// tryStart starts a request if a slot is free and its limit grants the cost.
func (q *Queue) tryStart(now time.Duration, w *waiter) bool {
	if len(q.running) >= q.cfg.Slots {
		w.blockedBy = verdict.CauseQueueFull
		return false
	}
	if !q.limiter.Take(now, w.req.Team, w.req.Service, w.req.Cost) {
		w.blockedBy = verdict.CauseOverLimit
		return false
	}
	q.running[w.req.ID] = struct{}{}
	q.stats.Admitted++
	q.flow(w.req).recordStart(now)
	return true
}

// Step processes one event at process time now and returns the resulting actions.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	q.actions = nil
	switch ev := ev.(type) {
	case Tick:
		q.expire(now)
	case Done:
		delete(q.running, ev.ID)
	case GiveUp:
		q.giveUp(now, ev.ID)
	case Stop:
		q.stop(now)
	}
	q.startWaiting(now)
	return q.actions
}

func (q *Queue) giveUp(now time.Duration, id string) {
	if w, ok := q.waiting[id]; ok {
		q.refuse(now, w, verdict.CauseCallerGone, "the caller gave up")
	}
}

func (q *Queue) stop(now time.Duration) {
	q.stopped = true
	for _, w := range q.allWaiters() {
		q.refuse(now, w, verdict.CauseLeaving, "this entry is leaving")
	}
}

// expire refuses the requests whose latest start has passed.
func (q *Queue) expire(now time.Duration) {
	for _, w := range q.allWaiters() {
		if now < w.startBy {
			continue
		}
		if w.req.Deadline > 0 && w.startBy == w.req.Deadline-w.req.ExpectedDuration {
			q.refuse(now, w, verdict.CauseDeadline, "the deadline can't be met any more")
			continue
		}
		q.refuse(now, w, w.blockedBy, "it waited too long")
	}
}

// refuse ends a waiting request.
func (q *Queue) refuse(now time.Duration, w *waiter, cause verdict.Cause, detail string) {
	q.dequeue(now, w)
	q.actions = append(q.actions, Refuse{ID: w.req.ID, Refusal: q.newRefusal(now, w.req, cause, detail)})
}

// newRefusal counts a refusal and returns the final answer to a request that did not
// run.
func (q *Queue) newRefusal(now time.Duration, req Request, cause verdict.Cause, detail string) verdict.Refusal {
	q.stats.Refused[cause]++
	r := verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, Detail: detail}
	switch cause {
	case verdict.CauseBadRequest, verdict.CauseCallerGone, verdict.CauseDeadline:
		return r
	}
	r.RetryAfter = q.retryAfter(now, req, cause)
	return r
}
