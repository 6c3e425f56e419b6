package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// pick asks for a replica that was not tried yet.
func (c *Core) pick(r *request) {
	var exclude []ident.BackendServer
	for _, a := range r.tries {
		exclude = append(exclude, a.server)
	}
	try := len(r.tries) + 1
	r.tries = append(r.tries, attempt{try: try})
	c.emit(PickReplica{ID: r.ID, Try: try, Team: r.Team, Service: r.Service, Exclude: exclude, Deadline: r.Deadline})
}

func (c *Core) picked(now time.Duration, ev Picked) {
	r := c.open[ev.ID]
	if r == nil || r.answered || !r.picking() || len(r.tries) != ev.Try {
		c.emit(Release(ev))
		return
	}
	a := r.attempt(ev.Try)
	a.server = ev.Server
	if r.kind == kindClaim && !r.claim.held {
		c.beginClaim(r)
		return
	}
	c.send(now, r, a)
}

func (c *Core) send(now time.Duration, r *request, a *attempt) {
	a.sent, a.sentAt = true, now
	c.emit(Send{ID: r.ID, Try: a.try, Server: a.server, ReuseWithin: c.reuseWithin(r, a), Deadline: r.Deadline})
	if r.kind == kindIdempotent && !r.hedged {
		c.timers.add(now+c.hedgeAfter(r), r.ID, timerHedge)
	}
}

func (c *Core) reuseWithin(r *request, a *attempt) time.Duration {
	if a.try > 1 {
		return 0
	}
	if r.kind == kindIdempotent {
		return AnyConnection
	}
	return c.cfg.ReuseWithin
}

func (c *Core) nonePicked(now time.Duration, ev NonePicked) {
	r := c.open[ev.ID]
	if r == nil || r.answered || !r.picking() || len(r.tries) != ev.Try {
		return
	}
	r.tries = r.tries[:len(r.tries)-1]
	if r.kind == kindIdempotent {
		c.noReplica(r, ev.Refusal)
		return
	}
	refusal := ev.Refusal
	refusal.Verdict = verdict.NotRun
	c.settleNotRun(now, r, refusal)
}

func (c *Core) sendEnded(now time.Duration, ev SendEnded) {
	r := c.open[ev.ID]
	if r == nil {
		return
	}
	a := r.attempt(ev.Try)
	if a == nil || !a.sent || a.ended {
		return
	}
	a.ended = true
	if ev.Result == Replied {
		c.observe(r, now-a.sentAt)
	}
	if r.kind == kindIdempotent {
		c.idempotentEnded(r, a, ev)
	} else {
		c.onceEnded(now, r, ev)
	}
	c.forget(r)
}
