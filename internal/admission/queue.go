package admission

import (
	"math/rand/v2"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Stats counts what a Queue did. Running and Waiting are present numbers.
type Stats struct {
	Running  int                      `json:"running"`
	Waiting  int                      `json:"waiting"`
	Admitted uint64                   `json:"admitted"`
	Refused  map[verdict.Cause]uint64 `json:"refused"`
}

// Queue decides for one entry. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	taker   Limiter
	rng     *rand.Rand
	running map[string]struct{}
	waiting map[string]*waiter
	levels  []*level         // by priority, the highest first
	spent   map[account]bool // limits that refused in this round
	flows   map[account]*flow
	stopped bool
	out     []Action
	stats   Stats
}

// waiter is a request that waits.
type waiter struct {
	req     Request
	since   time.Duration
	latest  time.Duration // it must start by then
	refusal verdict.Cause // why it did not start yet
}

// New returns an empty Queue that takes limits from taker.
func New(cfg Config, taker Limiter) (*Queue, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Queue{
		cfg:     cfg,
		taker:   taker,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0x61646d6974)),
		running: map[string]struct{}{},
		waiting: map[string]*waiter{},
		spent:   map[account]bool{},
		flows:   map[account]*flow{},
		stats:   Stats{Refused: map[verdict.Cause]uint64{}},
	}, nil
}

// Stats returns the counters. The map is the Queue's own: read it only.
func (q *Queue) Stats() Stats {
	q.stats.Running = len(q.running)
	q.stats.Waiting = len(q.waiting)
	return q.stats
}

// Offer asks for admission at process time now.
func (q *Queue) Offer(now time.Duration, req Request) Decision {
	req.Cost = max(1, req.Cost)
	if cause, detail := q.unfit(now, req); cause != "" {
		return Decision{Outcome: Refused, Refusal: q.refusal(now, req, cause, detail)}
	}
	w := &waiter{req: req, since: now, latest: q.latestStart(now, req)}
	if q.mayPass(req) && q.tryStart(now, w) {
		return Decision{Outcome: Admitted}
	}
	if cause, detail := q.noRoom(now, w); cause != "" {
		return Decision{Outcome: Refused, Refusal: q.refusal(now, req, cause, detail)}
	}
	q.enqueue(now, w)
	return Decision{Outcome: Queued}
}

// unfit says why a request can't be taken whatever the load is.
func (q *Queue) unfit(now time.Duration, req Request) (verdict.Cause, string) {
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

// latestStart is the moment after which a request need not start any more.
func (q *Queue) latestStart(now time.Duration, req Request) time.Duration {
	latest := now + q.cfg.MaxWait
	if req.Deadline > 0 {
		latest = min(latest, req.Deadline-req.ExpectedDuration)
	}
	return latest
}

// tryStart starts a request if there are a slot and the limit for it.
func (q *Queue) tryStart(now time.Duration, w *waiter) bool {
	if len(q.running) >= q.cfg.Slots {
		w.refusal = verdict.CauseQueueFull
		return false
	}
	if !q.taker.Take(now, w.req.Team, w.req.Service, w.req.Cost) {
		w.refusal = verdict.CauseOverLimit
		return false
	}
	q.running[w.req.ID] = struct{}{}
	q.stats.Admitted++
	q.flow(w.req).start(now)
	return true
}

// Step takes one event at process time now.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	q.out = nil
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
	return q.out
}

func (q *Queue) giveUp(now time.Duration, id string) {
	if w, ok := q.waiting[id]; ok {
		q.refuse(now, w, verdict.CauseCallerGone, "the caller gave up")
	}
}

func (q *Queue) stop(now time.Duration) {
	q.stopped = true
	for _, w := range q.all() {
		q.refuse(now, w, verdict.CauseLeaving, "this entry is leaving")
	}
}

// expire refuses the requests that need not start any more.
func (q *Queue) expire(now time.Duration) {
	for _, w := range q.all() {
		if now < w.latest {
			continue
		}
		if w.req.Deadline > 0 && w.latest == w.req.Deadline-w.req.ExpectedDuration {
			q.refuse(now, w, verdict.CauseDeadline, "the deadline can't be met any more")
			continue
		}
		q.refuse(now, w, w.refusal, "it waited too long")
	}
}

// refuse ends a waiting request.
func (q *Queue) refuse(now time.Duration, w *waiter, cause verdict.Cause, detail string) {
	q.dequeue(now, w)
	q.out = append(q.out, Refuse{ID: w.req.ID, Refusal: q.refusal(now, w.req, cause, detail)})
}

// refusal makes the final answer to a request that did not run.
func (q *Queue) refusal(now time.Duration, req Request, cause verdict.Cause, detail string) verdict.Refusal {
	q.stats.Refused[cause]++
	r := verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, Detail: detail}
	switch cause {
	case verdict.CauseBadRequest, verdict.CauseCallerGone, verdict.CauseDeadline:
		return r
	}
	r.RetryAfter = q.retryAfter(now, req, cause)
	return r
}
