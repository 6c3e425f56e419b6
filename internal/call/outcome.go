package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// followUp goes on writing after the caller was answered.
func (c *Core) followUp(now time.Duration, r *request) {
	if r.claim.until == 0 {
		r.claim.until = now + c.cfg.CleanupFor
	}
	if now >= r.claim.until {
		c.drop(r)
		return
	}
	r.claim.asked = true
	c.timers.add(now+c.cleanupWait(r), r.ID, timerClaim)
}

// maxCleanupDoublings bounds the wait between two writes after the answer to
// CleanupWait times 2^maxCleanupDoublings.
const maxCleanupDoublings = 4

// cleanupWait doubles with every write that follows the caller's answer, so that
// a long outage leaves the service no queue of them.
func (c *Core) cleanupWait(r *request) time.Duration {
	wait := c.cfg.CleanupWait << min(r.claim.cleanups, maxCleanupDoublings)
	r.claim.cleanups++
	return wait
}

// claimNotRun ends a call of which no send ran. NotRun is given only once the
// record says so, which fences attempts that were accepted before.
func (c *Core) claimNotRun(now time.Duration, r *request, refusal verdict.Refusal) {
	if !r.claim.held {
		c.refuse(r, AtLeastMayHaveRun(refusal))
		if r.claim.unsure && !r.claim.asked {
			c.followUp(now, r)
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
	r.claim.body = outcome.Body
	r.claim.until = max(now, r.Deadline) + c.cfg.CleanupFor
	c.writeOutcome(r)
}

func (c *Core) writeOutcome(r *request) {
	r.claim.asked = true
	c.emit(RecordOutcome{ID: r.ID, Key: r.Key, Team: r.Team, Record: *r.claim.outcome, Expect: r.claim.revision})
}

func (c *Core) outcomeRecorded(now time.Duration, ev OutcomeRecorded) {
	c.revision = max(c.revision, ev.Revision)
	r := c.open[ev.ID]
	if r == nil || r.claim.outcome == nil || !r.claim.asked {
		return
	}
	r.claim.asked = false
	switch ev.Result {
	case Written:
		c.outcomeStands(r, *r.claim.outcome)
	case Exists:
		c.outcomeStands(r, ev.Record)
	default:
		c.outcomeLater(now, r)
	}
	c.forget(r)
}

// outcomeStands ends the writes: the service holds record. It is this request's
// own where an earlier write took effect and its reply was lost.
func (c *Core) outcomeStands(r *request, record Record) {
	mine := record.ClaimID == c.claimID(r) && record.State == r.claim.outcome.State
	r.claim.outcome = nil
	if r.answered || r.claim.refusal == nil {
		return
	}
	refusal := *r.claim.refusal
	if !mine {
		refusal = AtLeastMayHaveRun(refusal)
	}
	c.refuse(r, refusal)
}

func (c *Core) outcomeLater(now time.Duration, r *request) {
	if now >= r.claim.until {
		c.drop(r)
		return
	}
	wait := c.cfg.ClaimWait
	if r.answered {
		wait = c.cleanupWait(r)
	}
	c.timers.add(now+wait, r.ID, timerClaim)
}
