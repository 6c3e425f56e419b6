package admission

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// flowWindow is the time constant of the averages of a flow.
const flowWindow = 2 * time.Second

// minObservedTime is how long requests must have waited, or MaxWait if that is less,
// before the rate of starts is used to refuse a new request. Within that time, the first
// loan of the limit may still arrive.
const minObservedTime = 500 * time.Millisecond

// flow holds statistics of one team on one service. The Queue never deletes one; their
// number is bounded because callers offer only requests that have a limit.
type flow struct {
	started       rate // requests that started
	noSlot        rate // requests refused because no slot was free
	overLimit     rate // requests refused over the limit
	overLimitCost rate // cost of those requests
	drainRate     DrainRate
}

// rate is an exponentially decaying average of amounts per second.
type rate struct {
	perSecond float64
	updatedAt time.Duration
}

func (r *rate) add(now time.Duration, amount int) {
	r.decay(now)
	r.perSecond += float64(amount) / flowWindow.Seconds()
}

func (r *rate) decay(now time.Duration) {
	r.perSecond *= decayFactor(now - r.updatedAt)
	r.updatedAt = now
}

func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(flowWindow))
}

// recordStart counts a request that started.
func (f *flow) recordStart(now time.Duration) {
	f.started.add(now, 1)
	f.drainRate.Start(now)
}

// recordRefusal counts a request that was refused and may be retried.
func (f *flow) recordRefusal(now time.Duration, req Request, cause verdict.Cause) {
	switch cause {
	case verdict.CauseOverLimit:
		f.overLimit.add(now, 1)
		f.overLimitCost.add(now, req.Cost)
	case verdict.CauseQueueFull:
		f.noSlot.add(now, 1)
	}
}

// join adds a waiting request, and leave removes one.
func (f *flow) join(now time.Duration) {
	f.drainRate.Join(now)
}

func (f *flow) leave(now time.Duration) {
	f.drainRate.Leave(now)
}

// flow returns the flow of a request, creating it if needed.
func (q *Queue) flow(req Request) *flow {
	f := q.flows[req.flowKey()]
	if f == nil {
		f = &flow{}
		q.flows[req.flowKey()] = f
	}
	return f
}
