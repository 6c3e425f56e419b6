package admission

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// flowWindow is the time constant over which a flow is averaged.
const flowWindow = 2 * time.Second

// learnTime is how long waiters must have been seen, or MaxWait if that is less,
// before the pace of their starts counts against a new one: a limit that is not
// borrowed yet may come within it.
const learnTime = 500 * time.Millisecond

// flow is what was seen of one team on one service. The Queue keeps one for each
// that it was ever asked for: its caller asks only for what has a limit.
type flow struct {
	started   rate // requests
	noSlot    rate // requests that were refused for want of a slot
	short     rate // requests that were refused over the limit
	shortCost rate // and their cost
	drain     drain
}

// rate is an exponential average of amounts per second.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) add(now time.Duration, amount int) {
	r.decay(now)
	r.perSecond += float64(amount) / flowWindow.Seconds()
}

func (r *rate) decay(now time.Duration) {
	r.perSecond *= fade(now - r.at)
	r.at = now
}

func fade(passed time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(flowWindow))
}

// drain is how fast requests start while others wait. The time in which none
// waits says nothing about it: then the callers set the pace.
type drain struct {
	starts  float64 // both fade with time
	busy    float64 // seconds in which requests waited
	waiting int     // requests that wait, of every priority
	at      time.Duration
}

// pass takes the time up to now into account.
func (d *drain) pass(now time.Duration) {
	f := fade(now - d.at)
	d.at = now
	d.starts *= f
	d.busy *= f
	if d.waiting > 0 {
		d.busy += (1 - f) * flowWindow.Seconds()
	}
}

// wait is the time until one starts that has so many before it; 0 while waiters
// were seen for less than learn. One start more is counted than was seen: after
// a moment without any it is not yet known that there will be none, and the
// longer it lasts the more it counts.
func (d *drain) wait(now, learn time.Duration, ahead int) time.Duration {
	d.pass(now)
	if d.busy < learn.Seconds() {
		return 0
	}
	perStart := d.busy / (d.starts + 1)
	return time.Duration(float64(ahead) * perStart * float64(time.Second))
}

// start counts a request that started.
func (f *flow) start(now time.Duration) {
	f.started.add(now, 1)
	f.drain.pass(now)
	if f.drain.waiting > 0 {
		f.drain.starts++
	}
}

// refuse counts a request that was refused and may come back.
func (f *flow) refuse(now time.Duration, req Request, cause verdict.Cause) {
	switch cause {
	case verdict.CauseOverLimit:
		f.short.add(now, 1)
		f.shortCost.add(now, req.Cost)
	case verdict.CauseQueueFull:
		f.noSlot.add(now, 1)
	}
}

// join counts a request that waits from now on, and leave one that did.
func (f *flow) join(now time.Duration) {
	f.drain.pass(now)
	f.drain.waiting++
}

func (f *flow) leave(now time.Duration) {
	f.drain.pass(now)
	f.drain.waiting--
}

// flow returns what was seen of a request's team on its service.
func (q *Queue) flow(req Request) *flow {
	f := q.flows[req.account()]
	if f == nil {
		f = &flow{}
		q.flows[req.account()] = f
	}
	return f
}
