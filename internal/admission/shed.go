package admission

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// drainWindow is the time constant over which starts are averaged.
const drainWindow = 2 * time.Second

// retrySpread is by how many times RetryAfterMin the callers' return is spread
// for each refused request per started one.
const retrySpread = 10

// drainRate is the rate at which requests start, per team, averaged
// exponentially.
type drainRate struct {
	teams map[ident.Team]*rate
}

type rate struct {
	perSecond float64
	at        time.Duration
}

func (d *drainRate) started(now time.Duration, team ident.Team) {
	if d.teams == nil {
		d.teams = map[ident.Team]*rate{}
	}
	r := d.teams[team]
	if r == nil {
		r = &rate{at: now}
		d.teams[team] = r
	}
	r.count(now)
}

func (r *rate) count(now time.Duration) {
	r.decay(now)
	r.perSecond += 1 / drainWindow.Seconds()
}

func (r *rate) decay(now time.Duration) {
	r.perSecond *= math.Exp(-float64(now-r.at) / float64(drainWindow))
	r.at = now
}

// of returns the starts per second of a team; 0 if it is not known.
func (d *drainRate) of(now time.Duration, team ident.Team) float64 {
	r := d.teams[team]
	if r == nil {
		return 0
	}
	r.decay(now)
	return r.perSecond
}

// noRoom says why a request can't wait.
func (q *Queue) noRoom(now time.Duration, w *waiter) (verdict.Cause, string) {
	if w.refusal == "" {
		w.refusal = verdict.CauseOverLimit // it stands behind others of its team
	}
	ahead := q.ahead(w.req)
	switch {
	case now >= w.latest:
		return w.refusal, "there is no time to wait"
	case len(q.waiting) >= q.cfg.QueueTotal:
		return w.refusal, "too many requests wait"
	case ahead >= q.cfg.QueuePerTeam:
		return w.refusal, "too many requests of this team wait"
	case now+q.expectedWait(now, w.req.Team, ahead) > w.latest:
		return w.refusal, "it would wait too long"
	}
	return "", ""
}

// ahead counts the waiters of the same team and priority.
func (q *Queue) ahead(req Request) int {
	l := q.level(req.Priority)
	if l == nil || l.teams[req.Team] == nil {
		return 0
	}
	return len(l.teams[req.Team].waiters)
}

// expectedWait is the time until a request behind others would start.
func (q *Queue) expectedWait(now time.Duration, team ident.Team, ahead int) time.Duration {
	perSecond := q.drain.of(now, team)
	if ahead == 0 || perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// retryAfter spreads the callers' return evenly over a time that grows with the
// overload, so that those who come back add little to it.
func (q *Queue) retryAfter(now time.Duration) time.Duration {
	q.started.decay(now)
	q.refused.decay(now)
	overload := 1.0 // nothing starts: as if all of it were too much
	if q.started.perSecond > 0 {
		overload = q.refused.perSecond / q.started.perSecond
	}
	span := time.Duration((1 + retrySpread*overload) * float64(q.cfg.RetryAfterMin))
	span = min(span, q.cfg.RetryAfterMax-q.cfg.RetryAfterMin)
	return q.cfg.RetryAfterMin + time.Duration(q.rng.Float64()*float64(span))
}
