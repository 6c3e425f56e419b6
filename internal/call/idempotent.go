package call

import "github.com/catkinstair/catkinstair/internal/verdict"

// idempotentSendEnded handles the result of one send of an idempotent call.
func (c *Core) idempotentSendEnded(r *request, a *sendAttempt, ev SendEnded) {
	if r.answered {
		return
	}
	switch ev.Result {
	case Replied:
		c.answer(r, ev.Status, ev.Body, false)
		c.cancelOthers(r, a)
		return
	case ReplyLost:
		r.mayHaveRun = true
		r.lastCause = verdict.CauseBackendLost
	case ConnectFailed:
		r.lastCause = verdict.CauseBackendLost
	case NotRunByServer:
		r.lastCause = verdict.CauseBackendRefused
	}
	c.retry(r, ev.Result)
}

func (c *Core) cancelOthers(r *request, winner *sendAttempt) {
	for i := range r.sends {
		other := &r.sends[i]
		if other.try == winner.try || !other.sent || other.ended {
			continue
		}
		other.ended = true
		c.emit(CancelSend{ID: r.ID, Try: other.try})
	}
}

// retry tries another replica, or ends the call once no send is in progress. A retry after
// a failed connect doesn't count against the budget, since no backend server had work.
func (c *Core) retry(r *request, result SendResult) {
	if r.isPicking() {
		return
	}
	if len(r.sends) < c.cfg.MaxTries && (result == ConnectFailed || c.budget.withdraw()) {
		c.requestReplica(r)
		return
	}
	if r.inFlight() > 0 {
		return
	}
	if len(r.sends) < c.cfg.MaxTries {
		r.lastCause = verdict.CauseRetryBudget
	}
	c.finishIdempotent(r, r.lastCause)
}

// hedge sends a late call to a second replica as well.
func (c *Core) hedge(r *request) {
	if r.answered || r.hedged || r.inFlight() != 1 || r.isPicking() || len(r.sends) >= c.cfg.MaxTries {
		return
	}
	if !c.budget.withdraw() {
		return
	}
	r.hedged = true
	c.requestReplica(r)
}

// refuseWithoutReplica ends the call unless an earlier send is still in progress.
func (c *Core) refuseWithoutReplica(r *request, refusal verdict.Refusal) {
	if r.inFlight() > 0 {
		return
	}
	if r.mayHaveRun {
		refusal.Verdict = verdict.MayHaveRun
	}
	c.refuse(r, refusal)
	c.drop(r)
}

// finishIdempotent refuses the call and cancels its sends.
func (c *Core) finishIdempotent(r *request, cause verdict.Cause) {
	refusal := verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter}
	if r.mayHaveRun || r.inFlight() > 0 {
		refusal.Verdict = verdict.MayHaveRun
	}
	c.refuse(r, refusal)
	c.cancelOthers(r, &sendAttempt{})
	c.drop(r)
}
