package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// scheduleCleanup schedules another write after the caller was answered.
func (c *Core) scheduleCleanup(now time.Duration, r *request) {
	if r.claim.cleanupUntil == 0 {
		r.claim.cleanupUntil = now + c.cfg.CleanupTimeout
	}
	if now >= r.claim.cleanupUntil {
		c.drop(r)
		return
	}
	r.claim.writePending = true
	c.timers.add(now+c.nextCleanupWait(r), r.ID, timerClaim)
}

// maxCleanupDoublings bounds the wait between two writes after the answer to
// CleanupInterval times 2^maxCleanupDoublings.
const maxCleanupDoublings = 4

// nextCleanupWait returns the wait before the next write after the caller's answer. It
// doubles with each write, so that such writes don't pile up in a long outage of the
// key-value service.
func (c *Core) nextCleanupWait(r *request) time.Duration {
	wait := c.cfg.CleanupInterval << min(r.claim.cleanups, maxCleanupDoublings)
	r.claim.cleanups++
	return wait
}

// claimNotRun ends a claimed call if none of its sends ran. NotRun is given only once it is
// recorded, because the record fences off attempts that were accepted before.
func (c *Core) claimNotRun(now time.Duration, r *request, refusal verdict.Refusal) {
	if !r.claim.held {
		c.refuse(r, AtLeastMayHaveRun(refusal))
		if r.claim.mayBeClaimed && !r.claim.writePending {
			c.scheduleCleanup(now, r)
		}
		return
	}
	if !r.answered {
		r.claim.refusal = &refusal
	}
	if now >= r.Deadline {
		c.refuse(r, AtLeastMayHaveRun(refusal))
	}
	if r.claim.outcome == nil {
		c.recordOutcome(now, r, Record{State: StateNotRun})
	}
}

func (c *Core) recordOutcome(now time.Duration, r *request, outcome Record) {
	outcome.ClaimID, outcome.BodyHash = c.claimID(r), r.BodyHash
	r.claim.outcome = &outcome
	r.claim.replyBody = outcome.Body
	r.claim.cleanupUntil = max(now, r.Deadline) + c.cfg.CleanupTimeout
	c.writeOutcome(r)
}

func (c *Core) writeOutcome(r *request) {
	r.claim.writePending = true
	c.emit(RecordOutcome{ID: r.ID, Key: r.Key, Team: r.Team, Record: *r.claim.outcome, ExpectedRevision: r.claim.revision})
}

func (c *Core) handleOutcomeRecorded(now time.Duration, ev OutcomeRecorded) {
	c.latestRevision = max(c.latestRevision, ev.Revision)
	r := c.requests[ev.ID]
	if r == nil || r.claim.outcome == nil || !r.claim.writePending {
		return
	}
	r.claim.writePending = false
	switch ev.Result {
	case WriteApplied:
		c.finishOutcome(r, *r.claim.outcome)
	case WriteConflict:
		c.finishOutcome(r, ev.Record)
	default:
		c.retryOutcomeLater(now, r)
	}
	c.dropIfFinished(r)
}

// finishOutcome ends the writes, given the record in the key-value service. That is this
// request's own record also if an earlier write was applied and only its reply was lost.
func (c *Core) finishOutcome(r *request, record Record) {
	own := record.ClaimID == c.claimID(r) && record.State == r.claim.outcome.State
	r.claim.outcome = nil
	if r.answered || r.claim.refusal == nil {
		return
	}
	refusal := *r.claim.refusal
	if !own {
		refusal = AtLeastMayHaveRun(refusal)
	}
	c.refuse(r, refusal)
}

func (c *Core) retryOutcomeLater(now time.Duration, r *request) {
	if now >= r.claim.cleanupUntil {
		c.drop(r)
		return
	}
	wait := c.cfg.ClaimRetryInterval
	if r.answered {
		wait = c.nextCleanupWait(r)
	}
	c.timers.add(now+wait, r.ID, timerClaim)
}
