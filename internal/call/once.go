package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// onceEnded takes the result of the only send that may have run.
func (c *Core) onceEnded(now time.Duration, r *request, ev SendEnded) {
	switch ev.Result {
	case Replied:
		c.settleDone(now, r, ev)
	case ReplyLost:
		r.mayHaveRun = true
		c.settleLost(now, r, verdict.CauseBackendLost)
	case ConnectFailed:
		c.tryElsewhere(now, r, verdict.CauseBackendLost)
	case NotRunByServer:
		c.tryElsewhere(now, r, verdict.CauseBackendRefused)
	}
}

// tryElsewhere sends again after a send that surely did not run.
func (c *Core) tryElsewhere(now time.Duration, r *request, cause verdict.Cause) {
	if !r.answered && len(r.tries) < c.cfg.MaxTries && now < r.Deadline {
		c.pick(r)
		return
	}
	c.settleNotRun(now, r, verdict.Refusal{
		Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "every replica that was tried refused the connection or the call",
	})
}

// endOnce gives up a call now. A send in progress may run; its result is still
// kept for attempts with the same key.
func (c *Core) endOnce(now time.Duration, r *request, cause verdict.Cause) {
	if r.inFlight() > 0 {
		c.refuse(r, c.lost(cause))
		if r.kind == kindHome {
			c.home.lost(r)
		}
		return
	}
	c.releasePicked(r)
	c.settleNotRun(now, r, verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter})
}

// releasePicked gives back a replica that was picked and not sent to.
func (c *Core) releasePicked(r *request) {
	for i := range r.tries {
		a := &r.tries[i]
		if a.server == "" || a.sent || a.ended {
			continue
		}
		a.ended = true
		c.emit(Release{ID: r.ID, Try: a.try, Server: a.server})
	}
}

func (c *Core) lost(cause verdict.Cause) verdict.Refusal {
	return verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: "the call was sent and no whole reply came"}
}

func (c *Core) settleDone(now time.Duration, r *request, ev SendEnded) {
	c.answer(r, ev.Status, ev.Body, false)
	switch r.kind {
	case kindHome:
		c.home.done(r, ev, c.emit)
	case kindClaim:
		c.recordOutcome(now, r, Record{State: StateDone, Status: ev.Status, Body: ev.Body})
	}
}

func (c *Core) settleLost(now time.Duration, r *request, cause verdict.Cause) {
	c.refuse(r, c.lost(cause))
	switch r.kind {
	case kindHome:
		c.home.lost(r)
	case kindClaim:
		c.recordOutcome(now, r, Record{State: StateLost})
	}
}

// settleNotRun ends a call of which no send ran.
func (c *Core) settleNotRun(now time.Duration, r *request, refusal verdict.Refusal) {
	switch r.kind {
	case kindHome:
		c.home.notRun(now, r, refusal)
		c.refuse(r, refusal)
	case kindClaim:
		c.claimNotRun(now, r, refusal)
	default:
		c.refuse(r, refusal)
	}
	c.forget(r)
}

// origin names one attempt of a caller, wherever it was accepted.
type origin struct {
	at ident.Instance
	id RequestID
}

func (c *Core) origin(r *request) origin {
	if r.Forwarded != nil {
		return origin{at: r.Forwarded.From, id: r.Forwarded.FromID}
	}
	return origin{at: c.cfg.Self, id: r.ID}
}
