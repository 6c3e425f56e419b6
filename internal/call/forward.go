package call

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	// maxClocks bounds the homes whose clocks are remembered.
	maxClocks = 1024
	// clockWait is the wait before a home is asked for its clock again.
	clockWait = time.Second
)

// reading ties a home's clock to this process's: at Received here, the home's
// clock showed Home or later.
type reading struct {
	home, received time.Duration
}

// lowerBound is a moment of the home's clock no later than at, of this clock.
func (g reading) lowerBound(at time.Duration, drift float64) time.Duration {
	elapsed := at - g.received
	if elapsed >= 0 {
		return g.home + elapsed - time.Duration(drift*float64(elapsed))
	}
	return g.home + elapsed + time.Duration(drift*float64(elapsed))
}

// forwarding is the state of a request on its way to its home.
type forwarding struct {
	home  ident.Instance
	tries int
	// waiting is set while the home's clock is being asked for.
	waiting bool
	// sent is set while a forward is unanswered.
	sent bool
}

func (c *Core) beginForward(now time.Duration, r *request) {
	key, _ := ParseKey(r.Key)
	r.forward.home = key.Home
	c.forwardOrAsk(now, r)
}

// forwardOrAsk forwards r, or reads the home's clock first.
func (c *Core) forwardOrAsk(now time.Duration, r *request) {
	clock, ok := c.clocks[r.forward.home]
	if !ok || now-clock.received > c.cfg.ReadingLife {
		r.forward.waiting = true
		c.askClock(now, r.forward.home)
		return
	}
	r.forward.waiting = false
	r.forward.sent = true
	r.forward.tries++
	c.emit(ForwardHome{
		ID: r.ID, Home: r.forward.home, AcceptedAt: clock.lowerBound(r.accepted, c.cfg.MaxDrift),
		NewConnection: r.forward.tries > 1, Deadline: r.Deadline,
	})
}

func (c *Core) askClock(now time.Duration, home ident.Instance) {
	if asked, ok := c.asking[home]; ok && now-asked < clockWait {
		return
	}
	c.asking[home] = now
	c.emit(AskClock{Home: home})
}

func (c *Core) homeClock(now time.Duration, ev HomeClock) {
	delete(c.asking, ev.Home)
	c.readClock(now, ev.Home, ev.Now)
	for _, r := range c.forwardsTo(ev.Home) {
		if r.forward.waiting {
			c.forwardOrAsk(now, r)
		}
	}
}

func (c *Core) readClock(now time.Duration, home ident.Instance, homeNow time.Duration) {
	if len(c.clocks) >= maxClocks {
		for other, clock := range c.clocks {
			if now-clock.received > c.cfg.ReadingLife {
				delete(c.clocks, other)
			}
		}
	}
	c.clocks[home] = reading{home: homeNow, received: now}
}

// forwardsTo lists the open forwards to a home, in the order of their ids.
func (c *Core) forwardsTo(home ident.Instance) []*request {
	var forwards []*request
	for _, r := range c.open {
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

func (c *Core) homeReply(now time.Duration, ev HomeReply) {
	c.readClock(now, ev.Home, ev.HomeNow)
	r := c.open[ev.ID]
	if r == nil || r.kind != kindForward || r.answered || r.forward.home != ev.Home {
		return
	}
	r.forward.sent = false
	switch {
	case ev.Restamp:
		c.forwardLater(now, r)
		return
	case ev.Refusal != nil:
		c.refuse(r, *ev.Refusal)
	default:
		c.answer(r, ev.Status, ev.Body, false)
	}
	c.drop(r)
}

func (c *Core) homeUnreachable(now time.Duration, ev HomeUnreachable) {
	if ev.ID == 0 {
		delete(c.asking, ev.Home)
		for _, r := range c.forwardsTo(ev.Home) {
			if r.forward.waiting {
				r.forward.tries++
				c.forwardLater(now, r)
			}
		}
		return
	}
	r := c.open[ev.ID]
	if r == nil || r.kind != kindForward || r.answered || !r.forward.sent {
		return
	}
	r.forward.sent = false
	c.forwardLater(now, r)
}

// forwardLater forwards once more after a pause: the home tells a repeated
// forward from a second attempt, so that repeating it is safe.
func (c *Core) forwardLater(now time.Duration, r *request) {
	at := now + c.cfg.ForwardWait
	if r.forward.tries >= c.cfg.ForwardTries || at >= r.Deadline {
		c.homeLost(r, c.cfg.BusyRetryAfter, "the home of the key can't be reached")
		return
	}
	r.forward.waiting = false
	c.timers.add(at, r.ID, timerForward)
}

func (c *Core) forwardAgain(now time.Duration, r *request) {
	if r.kind != kindForward || r.answered || r.forward.sent || r.forward.waiting {
		return
	}
	c.forwardOrAsk(now, r)
}

func (c *Core) homeGone(home ident.Instance) {
	delete(c.clocks, home)
	delete(c.asking, home)
	for _, r := range c.forwardsTo(home) {
		c.homeLost(r, 0, "the home of the key was replaced; whether the call ran is not known")
	}
}

func (c *Core) homeLost(r *request, retryAfter time.Duration, detail string) {
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyHomeGone, RetryAfter: retryAfter, Detail: detail,
	})
	c.drop(r)
}
