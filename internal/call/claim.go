package call

import (
	"fmt"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// claimState is the state of a request whose key the caller chose.
type claimState struct {
	// seenRevision is the latest revision of the key-value service that this VM had
	// seen when it accepted the request.
	seenRevision uint64
	// expectedRevision is the revision that the claim replaces; zero creates a record.
	expectedRevision uint64
	tries            int
	// writePending is set while a write is in progress or scheduled after the answer.
	writePending bool
	// mayBeClaimed is set once a claim with an unknown result may have been stored.
	mayBeClaimed bool
	// held is set once this request's claim is stored; revision is the record's.
	held     bool
	revision uint64
	// outcome is the record that is being written.
	outcome *Record
	// replyBody is the reply to be recorded; it is kept until the request is dropped.
	replyBody BodyRef
	// refusal is the answer to give once a NotRun outcome is recorded.
	refusal *verdict.Refusal
	// cleanupUntil is when writes after the caller's answer end; cleanups counts them.
	cleanupUntil time.Duration
	cleanups     int
}

// hasPendingWrite reports whether a write is in progress or still to be made.
func (m *claimState) hasPendingWrite() bool { return m.writePending || m.outcome != nil }

// claimID returns an id that is unique to the request.
func (c *Core) claimID(r *request) string {
	return fmt.Sprintf("%s/%d", c.cfg.Self, r.ID)
}

func (c *Core) writeClaim(r *request) {
	r.claim.tries++
	r.claim.writePending = true
	c.emit(Claim{
		ID: r.ID, Key: r.Key, Team: r.Team, ExpectedRevision: r.claim.expectedRevision,
		Record: Record{State: StateClaimed, ClaimID: c.claimID(r), BodyHash: r.BodyHash},
	})
}

func (c *Core) handleClaimEnded(now time.Duration, ev ClaimEnded) {
	c.latestRevision = max(c.latestRevision, ev.Revision)
	r := c.requests[ev.ID]
	if r == nil || r.kind != kindClaim || !r.claim.writePending || r.claim.held {
		return
	}
	r.claim.writePending = false
	switch ev.Result {
	case WriteApplied:
		c.claimSucceeded(now, r, ev.Revision)
	case WriteConflict:
		c.claimConflict(now, r, ev)
	case WriteUnknown:
		r.claim.mayBeClaimed = true
		c.retryClaimLater(now, r)
	case WriteNotApplied:
		c.retryClaimLater(now, r)
	}
	c.dropIfFinished(r)
}

func (c *Core) claimSucceeded(now time.Duration, r *request, revision uint64) {
	r.claim.held, r.claim.revision = true, revision
	if r.answered {
		c.recordOutcome(now, r, Record{State: StateNotRun})
		return
	}
	c.send(now, r, &r.sends[len(r.sends)-1])
}

func (c *Core) claimConflict(now time.Duration, r *request, ev ClaimEnded) {
	if ev.Record.ClaimID == c.claimID(r) {
		c.claimSucceeded(now, r, ev.Revision)
		return
	}
	r.claim.mayBeClaimed = false
	if r.answered {
		return
	}
	if ev.Record.State == StateNotRun && ev.Revision <= r.claim.seenRevision && r.claim.tries < c.cfg.MaxClaimWrites {
		r.claim.expectedRevision = ev.Revision
		c.writeClaim(r)
		return
	}
	c.releaseUnsent(r)
	c.answerFromRecord(r, ev.Record)
}

// answerFromRecord answers an attempt whose key was claimed by another request.
func (c *Core) answerFromRecord(r *request, record Record) {
	switch {
	case record.BodyHash != r.BodyHash && record.State != StateNotRun:
		c.refuse(r, keyReused())
	case record.State == StateDone && record.Body != "":
		c.answer(r, record.Status, record.Body, true)
	case record.State == StateDone:
		c.refuse(r, verdict.Refusal{
			Verdict: verdict.Ran, Cause: verdict.CauseKeyInUse,
			Detail: fmt.Sprintf("an earlier attempt ran with status %d; its reply was too large to be kept", record.Status),
		})
	case record.State == StateLost:
		c.refuse(r, c.replyLost(verdict.CauseBackendLost))
	default:
		c.refuse(r, c.keyInUse())
	}
}

// retryClaimLater schedules another claim, or refuses the request. If an earlier claim may
// have been stored, writes continue after the refusal to free the key.
func (c *Core) retryClaimLater(now time.Duration, r *request) {
	if !r.answered && (r.claim.tries >= c.cfg.MaxClaimWrites || now+c.cfg.ClaimRetryInterval >= r.Deadline) {
		c.releaseUnsent(r)
		c.refuseClaim(now, r)
	}
	if !r.answered {
		c.timers.add(now+c.cfg.ClaimRetryInterval, r.ID, timerClaim)
		return
	}
	if r.claim.mayBeClaimed {
		c.scheduleCleanup(now, r)
	}
}

func (c *Core) refuseClaim(now time.Duration, r *request) {
	r.claim.cleanupUntil = now + c.cfg.CleanupTimeout
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseClaimUnknown, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "the key-value service did not confirm the claim; a key with the prefix given with the addresses needs none",
	})
}

func (c *Core) retryClaimWrite(now time.Duration, r *request) {
	if r.kind != kindClaim {
		return
	}
	if r.claim.outcome != nil {
		c.writeOutcome(r)
		return
	}
	if !r.claim.held && (!r.answered || r.claim.mayBeClaimed) {
		c.writeClaim(r)
	}
}
