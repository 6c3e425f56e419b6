package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// onceSendEnded handles the result of a send of a call that must run at most once. Only
// the last send of such a call can have run.
func (c *Core) onceSendEnded(now time.Duration, r *request, ev SendEnded) {
	switch ev.Result {
	case Replied:
		c.settleDone(now, r, ev)
	case ReplyLost:
		r.mayHaveRun = true
		c.settleLost(now, r, verdict.CauseBackendLost)
	case ConnectFailed:
		c.retryElsewhere(now, r, verdict.CauseBackendLost)
	case NotRunByServer:
		c.retryElsewhere(now, r, verdict.CauseBackendRefused)
	}
}

// retryElsewhere picks another replica after a send that certainly did not run.
func (c *Core) retryElsewhere(now time.Duration, r *request, cause verdict.Cause) {
	if !r.answered && len(r.sends) < c.cfg.MaxTries && now < r.Deadline {
		c.requestReplica(r)
		return
	}
	c.settleNotRun(now, r, verdict.Refusal{
		Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "every replica that was tried refused the connection or the call",
	})
}

// abortOnce answers a call immediately. A send in progress may still run; its result is
// kept for later attempts with the same key.
func (c *Core) abortOnce(now time.Duration, r *request, cause verdict.Cause) {
	if r.inFlight() > 0 {
		c.refuse(r, c.replyLost(cause))
		if r.kind == kindHome {
			c.home.recordLost(r)
		}
		return
	}
	c.releaseUnsent(r)
	c.settleNotRun(now, r, verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter})
}

// releaseUnsent returns replicas that were picked but not sent to.
func (c *Core) releaseUnsent(r *request) {
	for i := range r.sends {
		a := &r.sends[i]
		if a.server == "" || a.sent || a.ended {
			continue
		}
		a.ended = true
		c.emit(Release{ID: r.ID, Try: a.try, Server: a.server})
	}
}

func (c *Core) replyLost(cause verdict.Cause) verdict.Refusal {
	return verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: "the call was sent and no whole reply came"}
}

func (c *Core) settleDone(now time.Duration, r *request, ev SendEnded) {
	c.answer(r, ev.Status, ev.Body, false)
	switch r.kind {
	case kindHome:
		c.home.recordDone(r, ev, c.emit)
	case kindClaim:
		c.recordOutcome(now, r, Record{State: StateDone, Status: ev.Status, Body: ev.Body})
	}
}

func (c *Core) settleLost(now time.Duration, r *request, cause verdict.Cause) {
	c.refuse(r, c.replyLost(cause))
	switch r.kind {
	case kindHome:
		c.home.recordLost(r)
	case kindClaim:
		c.recordOutcome(now, r, Record{State: StateLost})
	}
}

// settleNotRun ends a call if none of its sends ran.
func (c *Core) settleNotRun(now time.Duration, r *request, refusal verdict.Refusal) {
	switch r.kind {
	case kindHome:
		c.home.recordNotRun(now, r, refusal)
		c.refuse(r, refusal)
	case kindClaim:
		c.claimNotRun(now, r, refusal)
	default:
		c.refuse(r, refusal)
	}
	c.dropIfFinished(r)
}

// origin identifies one attempt of a caller by the entry that accepted it and the
// request's id there.
type origin struct {
	entry ident.Instance
	id    RequestID
}

func (c *Core) origin(r *request) origin {
	if r.Forwarded != nil {
		return origin{entry: r.Forwarded.From, id: r.Forwarded.FromID}
	}
	return origin{entry: c.cfg.Self, id: r.ID}
}
