package call

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	// maxClocks is the number of clock readings from which on expired ones are removed.
	maxClocks = 1024
	// clockRetryInterval is the wait before a home's clock is requested again while an
	// earlier request is pending.
	clockRetryInterval = time.Second
)

// clockReading relates a home's clock to this process's clock: at receivedAt, the home's
// clock was at homeNow or later.
type clockReading struct {
	homeNow, receivedAt time.Duration
}

// lowerBound converts the time at of this process's clock to a lower bound of the home's
// clock at that moment. Drift is the maximum relative difference in speed.
func (r clockReading) lowerBound(at time.Duration, drift float64) time.Duration {
	elapsed := at - r.receivedAt
	if elapsed >= 0 {
		return r.homeNow + elapsed - time.Duration(drift*float64(elapsed))
	}
	return r.homeNow + elapsed + time.Duration(drift*float64(elapsed))
}

// forwardState is the state of a request that is forwarded to its home.
type forwardState struct {
	home  ident.Instance
	tries int // forwards and failed clock requests
	// awaitingClock is set while a reading of the home's clock is requested.
	awaitingClock bool
	// awaitingReply is set while a forward has no answer.
	awaitingReply bool
}

func (c *Core) startForward(now time.Duration, r *request) {
	key, _ := ParseKey(r.Key)
	r.forward.home = key.Home
	c.forwardOrReadClock(now, r)
}

// forwardOrReadClock forwards r, or first requests the home's clock if there is no recent
// reading.
func (c *Core) forwardOrReadClock(now time.Duration, r *request) {
	clock, ok := c.clocks[r.forward.home]
	if !ok || now-clock.receivedAt > c.cfg.ClockReadingTTL {
		r.forward.awaitingClock = true
		c.askClock(now, r.forward.home)
		return
	}
	r.forward.awaitingClock = false
	r.forward.awaitingReply = true
	r.forward.tries++
	c.emit(ForwardHome{
		ID: r.ID, Home: r.forward.home, AcceptedAt: clock.lowerBound(r.acceptedAt, c.cfg.MaxDrift),
		NewConnection: r.forward.tries > 1, Deadline: r.Deadline,
	})
}

func (c *Core) askClock(now time.Duration, home ident.Instance) {
	if askedAt, ok := c.clockAskedAt[home]; ok && now-askedAt < clockRetryInterval {
		return
	}
	c.clockAskedAt[home] = now
	c.emit(AskClock{Home: home})
}

func (c *Core) handleHomeClock(now time.Duration, ev HomeClock) {
	delete(c.clockAskedAt, ev.Home)
	c.recordClock(now, ev.Home, ev.Now)
	for _, r := range c.pendingForwards(ev.Home) {
		if r.forward.awaitingClock {
			c.forwardOrReadClock(now, r)
		}
	}
}

func (c *Core) recordClock(now time.Duration, home ident.Instance, homeNow time.Duration) {
	if len(c.clocks) >= maxClocks {
		for other, clock := range c.clocks {
			if now-clock.receivedAt > c.cfg.ClockReadingTTL {
				delete(c.clocks, other)
			}
		}
	}
	c.clocks[home] = clockReading{homeNow: homeNow, receivedAt: now}
}

// pendingForwards returns the unanswered requests of a home, ordered by id.
func (c *Core) pendingForwards(home ident.Instance) []*request {
	var forwards []*request
	for _, r := range c.requests {
		if r.kind == kindForward && r.forward.home == home && !r.answered {
			forwards = append(forwards, r)
		}
	}
	slices.SortFunc(forwards, func(a, b *request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return forwards
}

func (c *Core) handleHomeReply(now time.Duration, ev HomeReply) {
	c.recordClock(now, ev.Home, ev.HomeNow)
	r := c.requests[ev.ID]
	if r == nil || r.kind != kindForward || r.answered || r.forward.home != ev.Home {
		return
	}
	r.forward.awaitingReply = false
	switch {
	case ev.Restamp:
		c.retryForwardLater(now, r)
		return
	case ev.Refusal != nil:
		c.refuse(r, *ev.Refusal)
	default:
		c.answer(r, ev.Status, ev.Body, false)
	}
	c.drop(r)
}

func (c *Core) handleHomeUnreachable(now time.Duration, ev HomeUnreachable) {
	if ev.ID == 0 {
		delete(c.clockAskedAt, ev.Home)
		for _, r := range c.pendingForwards(ev.Home) {
			if r.forward.awaitingClock {
				r.forward.tries++
				c.retryForwardLater(now, r)
			}
		}
		return
	}
	r := c.requests[ev.ID]
	if r == nil || r.kind != kindForward || r.answered || !r.forward.awaitingReply {
		return
	}
	r.forward.awaitingReply = false
	c.retryForwardLater(now, r)
}

// retryForwardLater schedules another forward, or refuses the request. Retrying is safe
// because the home distinguishes a retried forward from a second attempt by its origin.
func (c *Core) retryForwardLater(now time.Duration, r *request) {
	at := now + c.cfg.ForwardRetryInterval
	if r.forward.tries >= c.cfg.MaxForwards || at >= r.Deadline {
		c.refuseHomeLost(r, c.cfg.BusyRetryAfter, "the home of the key can't be reached")
		return
	}
	r.forward.awaitingClock = false
	c.timers.add(at, r.ID, timerForward)
}

func (c *Core) retryForward(now time.Duration, r *request) {
	if r.kind != kindForward || r.answered || r.forward.awaitingReply || r.forward.awaitingClock {
		return
	}
	c.forwardOrReadClock(now, r)
}

func (c *Core) handleHomeGone(home ident.Instance) {
	delete(c.clocks, home)
	delete(c.clockAskedAt, home)
	for _, r := range c.pendingForwards(home) {
		c.refuseHomeLost(r, 0, "the home of the key was replaced; whether the call ran is not known")
	}
}

func (c *Core) refuseHomeLost(r *request, retryAfter time.Duration, detail string) {
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyHomeGone, RetryAfter: retryAfter, Detail: detail,
	})
	c.drop(r)
}
