package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// requestReplica emits PickReplica for a replica that was not tried yet.
func (c *Core) requestReplica(r *request) {
	var exclude []ident.BackendServer
	for _, a := range r.sends {
		exclude = append(exclude, a.server)
	}
	try := len(r.sends) + 1
	r.sends = append(r.sends, sendAttempt{try: try})
	c.emit(PickReplica{ID: r.ID, Try: try, Team: r.Team, Service: r.Service, Exclude: exclude, Deadline: r.Deadline})
}

func (c *Core) handlePicked(now time.Duration, ev Picked) {
	r := c.requests[ev.ID]
	if r == nil || r.answered || !r.isPicking() || len(r.sends) != ev.Try {
		c.emit(Release(ev))
		return
	}
	a := r.sendAttempt(ev.Try)
	a.server = ev.Server
	if r.kind == kindClaim && !r.claim.held {
		c.writeClaim(r)
		return
	}
	c.send(now, r, a)
}

func (c *Core) send(now time.Duration, r *request, a *sendAttempt) {
	a.sent, a.sentAt = true, now
	c.emit(Send{ID: r.ID, Try: a.try, Server: a.server, ReuseWithin: c.reuseWithin(r, a), Deadline: r.Deadline})
	if r.kind == kindIdempotent && !r.hedged {
		c.timers.add(now+c.hedgeDelay(r), r.ID, timerHedge)
	}
}

// reuseWithin returns Send.ReuseWithin. Retries and hedges use a new connection.
func (c *Core) reuseWithin(r *request, a *sendAttempt) time.Duration {
	if a.try > 1 {
		return 0
	}
	if r.kind == kindIdempotent {
		return AnyConnection
	}
	return c.cfg.ReuseWithin
}

func (c *Core) handleNonePicked(now time.Duration, ev NonePicked) {
	r := c.requests[ev.ID]
	if r == nil || r.answered || !r.isPicking() || len(r.sends) != ev.Try {
		return
	}
	r.sends = r.sends[:len(r.sends)-1]
	if r.kind == kindIdempotent {
		c.refuseWithoutReplica(r, ev.Refusal)
		return
	}
	refusal := ev.Refusal
	refusal.Verdict = verdict.NotRun
	c.settleNotRun(now, r, refusal)
}

func (c *Core) handleSendEnded(now time.Duration, ev SendEnded) {
	r := c.requests[ev.ID]
	if r == nil {
		return
	}
	a := r.sendAttempt(ev.Try)
	if a == nil || !a.sent || a.ended {
		return
	}
	a.ended = true
	if ev.Result == Replied {
		c.recordLatency(r, now-a.sentAt)
	}
	if r.kind == kindIdempotent {
		c.idempotentSendEnded(r, a, ev)
	} else {
		c.onceSendEnded(now, r, ev)
	}
	c.dropIfFinished(r)
}
