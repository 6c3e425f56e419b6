package admission

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// checkQueue returns the cause and detail of the refusal if a request can't be queued;
// otherwise the cause is empty.
func (q *Queue) checkQueue(now time.Duration, w *waiter) (verdict.Cause, string) {
	if w.blockedBy == "" {
		w.blockedBy = verdict.CauseOverLimit // no start was tried: others of its flow wait
	}
	ahead := q.ahead(w.req)
	switch {
	case now >= w.startBy:
		return w.blockedBy, "there is no time to wait"
	case len(q.waiting) >= q.cfg.QueueTotal:
		return w.blockedBy, "too many requests wait"
	case ahead >= q.cfg.QueuePerTeam:
		return w.blockedBy, "too many requests of this team wait for this service"
	case now+q.expectedWait(now, w.req, ahead) > w.startBy:
		return w.blockedBy, "it would wait too long"
	}
	return "", ""
}

// ahead returns the number of waiters of the same team, service and priority.
func (q *Queue) ahead(req Request) int {
	l := q.priorityLevel(req.Priority)
	if l == nil {
		return 0
	}
	sq := l.lookup(req.flowKey())
	if sq == nil {
		return 0
	}
	return len(sq.waiters)
}

// expectedWait estimates the wait of a request with the given number of waiters ahead;
// 0 if there is too little data.
func (q *Queue) expectedWait(now time.Duration, req Request, ahead int) time.Duration {
	minObserved := min(minObservedTime, q.cfg.MaxWait)
	return q.flow(req).drainRate.EstimateWait(now, minObserved, ahead)
}

// retryAfter returns the Retry-After of a refused request, between RetryAfterMin and
// RetryAfterMax, and counts the refusal. It is randomized so that callers refused
// together don't retry together.
func (q *Queue) retryAfter(now time.Duration, req Request, cause verdict.Cause) time.Duration {
	f := q.flow(req)
	f.recordRefusal(now, req, cause)
	base := q.cfg.RetryAfterMin
	switch cause {
	case verdict.CauseOverLimit:
		base = q.limitRetryAfter(now, f, req)
	case verdict.CauseQueueFull:
		base = q.slotRetryAfter(now, f)
	}
	base = max(base, q.cfg.RetryAfterMin)
	spread := q.cfg.RetryAfterMin
	if maxBase := q.cfg.RetryAfterMax * 2 / 3; base > maxBase {
		base = maxBase
		spread = q.cfg.RetryAfterMax - maxBase
	}
	return min(base+time.Duration(q.rng.Float64()*float64(spread)), q.cfg.RetryAfterMax)
}

// limitRetryAfter estimates when the limit will have units for a request at a random
// position among those refused recently, which will be retried too.
func (q *Queue) limitRetryAfter(now time.Duration, f *flow, req Request) time.Duration {
	position := q.rng.Float64() * flowWindow.Seconds()
	requests := 1 + int(position*f.overLimit.perSecond)
	n := req.Cost + int(position*f.overLimitCost.perSecond)
	return q.limiter.RetryAfter(now, req.Team, req.Service, requests, n)
}

// slotRetryAfter estimates when a request at a random position among those recently
// refused for lack of a slot would start at the current rate of starts.
func (q *Queue) slotRetryAfter(now time.Duration, f *flow) time.Duration {
	f.started.decay(now)
	overload := 1.0 // if nothing starts, all of the load is excess
	if f.started.perSecond > 0 {
		overload = f.noSlot.perSecond / f.started.perSecond
	}
	seconds := min(overload*flowWindow.Seconds(), q.cfg.RetryAfterMax.Seconds())
	return time.Duration(q.rng.Float64() * seconds * float64(time.Second))
}
