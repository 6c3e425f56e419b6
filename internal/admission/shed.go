package admission

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// noRoom says why a request can't wait.
func (q *Queue) noRoom(now time.Duration, w *waiter) (verdict.Cause, string) {
	if w.refusal == "" {
		w.refusal = verdict.CauseOverLimit // it stands behind others
	}
	ahead := q.ahead(w.req)
	switch {
	case now >= w.latest:
		return w.refusal, "there is no time to wait"
	case len(q.waiting) >= q.cfg.QueueTotal:
		return w.refusal, "too many requests wait"
	case ahead >= q.cfg.QueuePerTeam:
		return w.refusal, "too many requests of this team wait for this service"
	case now+q.expectedWait(now, w.req, ahead) > w.latest:
		return w.refusal, "it would wait too long"
	}
	return "", ""
}

// ahead counts the waiters of the same team, service and priority.
func (q *Queue) ahead(req Request) int {
	l := q.level(req.Priority)
	if l == nil {
		return 0
	}
	sq := l.queue(req.account())
	if sq == nil {
		return 0
	}
	return len(sq.waiters)
}

// expectedWait is the time until a request behind others would start, as far as
// that is known.
func (q *Queue) expectedWait(now time.Duration, req Request, ahead int) time.Duration {
	learn := min(learnTime, q.cfg.MaxWait)
	return q.flow(req).drain.wait(now, learn, ahead)
}

// retryAfter advises a refused caller when to come back. It is at least
// RetryAfterMin and at most RetryAfterMax, and spread by the seed, so that
// callers refused together don't come back together.
func (q *Queue) retryAfter(now time.Duration, req Request, cause verdict.Cause) time.Duration {
	f := q.flow(req)
	f.refuse(now, req, cause)
	base := q.cfg.RetryAfterMin
	switch cause {
	case verdict.CauseOverLimit:
		base = q.limitGives(now, f, req)
	case verdict.CauseQueueFull:
		base = q.slotsGive(now, f)
	}
	base = min(max(base, q.cfg.RetryAfterMin), q.cfg.RetryAfterMax*2/3)
	spread := max(base/2, q.cfg.RetryAfterMin)
	return min(base+time.Duration(q.rng.Float64()*float64(spread)), q.cfg.RetryAfterMax)
}

// limitGives is when the limit gives enough for a request that stands somewhere
// among those that were refused lately and will come back too.
func (q *Queue) limitGives(now time.Duration, f *flow, req Request) time.Duration {
	place := q.rng.Float64() * flowWindow.Seconds()
	requests := 1 + int(place*f.short.perSecond)
	n := req.Cost + int(place*f.shortCost.perSecond)
	return q.taker.RetryAfter(now, req.Team, req.Service, requests, n)
}

// slotsGive is when those that were refused lately would have started at the
// rate at which others did, for one that stands somewhere among them.
func (q *Queue) slotsGive(now time.Duration, f *flow) time.Duration {
	f.started.decay(now)
	overload := 1.0 // nothing starts: as if all of it were too much
	if f.started.perSecond > 0 {
		overload = f.noSlot.perSecond / f.started.perSecond
	}
	seconds := min(overload*flowWindow.Seconds(), q.cfg.RetryAfterMax.Seconds())
	return time.Duration(q.rng.Float64() * seconds * float64(time.Second))
}
