package call

import "github.com/catkinstair/catkinstair/internal/verdict"

// idempotentEnded takes the result of one send of an idempotent call.
func (c *Core) idempotentEnded(r *request, a *attempt, ev SendEnded) {
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

func (c *Core) cancelOthers(r *request, winner *attempt) {
	for i := range r.tries {
		other := &r.tries[i]
		if other.try == winner.try || !other.sent || other.ended {
			continue
		}
		other.ended = true
		c.emit(CancelSend{ID: r.ID, Try: other.try})
	}
}

// retry tries another replica, or ends the call once nothing is in progress. A
// connect that failed cost no backend server anything and is free.
func (c *Core) retry(r *request, result SendResult) {
	if r.picking() {
		return
	}
	if len(r.tries) < c.cfg.MaxTries && (result == ConnectFailed || c.budget.spend()) {
		c.pick(r)
		return
	}
	if r.inFlight() > 0 {
		return
	}
	if len(r.tries) < c.cfg.MaxTries {
		r.lastCause = verdict.CauseRetryBudget
	}
	c.endIdempotent(r, r.lastCause)
}

// hedge sends a late call to a second replica.
func (c *Core) hedge(r *request) {
	if r.answered || r.hedged || r.inFlight() != 1 || r.picking() || len(r.tries) >= c.cfg.MaxTries {
		return
	}
	if !c.budget.spend() {
		return
	}
	r.hedged = true
	c.pick(r)
}

// noReplica ends the call unless an earlier send is still in progress.
func (c *Core) noReplica(r *request, refusal verdict.Refusal) {
	if r.inFlight() > 0 {
		return
	}
	if r.mayHaveRun {
		refusal.Verdict = verdict.MayHaveRun
	}
	c.refuse(r, refusal)
	c.drop(r)
}

// endIdempotent refuses the call now and drops its sends.
func (c *Core) endIdempotent(r *request, cause verdict.Cause) {
	refusal := verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BusyRetryAfter}
	if r.mayHaveRun || r.inFlight() > 0 {
		refusal.Verdict = verdict.MayHaveRun
	}
	c.refuse(r, refusal)
	c.cancelOthers(r, &attempt{})
	c.drop(r)
}
