package call

import (
	"fmt"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// claiming is the state of a request under a key that the caller chose.
type claiming struct {
	// seen is the latest revision of the service that this VM had seen when it
	// accepted the request.
	seen uint64
	// expect is the revision that the claim replaces; zero creates it.
	expect uint64
	tries  int
	// asked is set while a write is in progress.
	asked bool
	// unsure is set once a claim may have taken effect.
	unsure bool
	// held is set once the key is this request's; revision is the record's.
	held     bool
	revision uint64
	// outcome is what is being recorded.
	outcome *Record
	// body is the reply to be recorded; it is kept until the request is dropped.
	body BodyRef
	// refusal is given once a NotRun outcome is recorded.
	refusal *verdict.Refusal
	// until ends the writes that go on after the caller was answered; cleanups
	// counts them.
	until    time.Duration
	cleanups int
}

// pending reports whether something is still to be written.
func (m *claiming) pending() bool { return m.asked || m.outcome != nil }

// claimID is unique to the request.
func (c *Core) claimID(r *request) string {
	return fmt.Sprintf("%s/%d", c.cfg.Self, r.ID)
}

func (c *Core) beginClaim(r *request) {
	r.claim.tries++
	r.claim.asked = true
	c.emit(Claim{
		ID: r.ID, Key: r.Key, Team: r.Team, Expect: r.claim.expect,
		Record: Record{State: StateClaimed, ClaimID: c.claimID(r), BodyHash: r.BodyHash},
	})
}

func (c *Core) claimEnded(now time.Duration, ev ClaimEnded) {
	c.revision = max(c.revision, ev.Revision)
	r := c.open[ev.ID]
	if r == nil || r.kind != kindClaim || !r.claim.asked || r.claim.held {
		return
	}
	r.claim.asked = false
	switch ev.Result {
	case Written:
		c.claimHeld(now, r, ev.Revision)
	case Exists:
		c.claimExists(now, r, ev)
	case WriteUnknown:
		r.claim.unsure = true
		c.claimLater(now, r)
	case WriteNotApplied:
		c.claimLater(now, r)
	}
	c.forget(r)
}

func (c *Core) claimHeld(now time.Duration, r *request, revision uint64) {
	r.claim.held, r.claim.revision = true, revision
	if r.answered {
		c.recordOutcome(now, r, Record{State: StateNotRun})
		return
	}
	c.send(now, r, &r.tries[len(r.tries)-1])
}

func (c *Core) claimExists(now time.Duration, r *request, ev ClaimEnded) {
	if ev.Record.ClaimID == c.claimID(r) {
		c.claimHeld(now, r, ev.Revision)
		return
	}
	r.claim.unsure = false
	if r.answered {
		return
	}
	if ev.Record.State == StateNotRun && ev.Revision <= r.claim.seen && r.claim.tries < c.cfg.ClaimTries {
		r.claim.expect = ev.Revision
		c.beginClaim(r)
		return
	}
	c.releasePicked(r)
	c.answerFromRecord(r, ev.Record)
}

// answerFromRecord answers an attempt whose key is somebody else's.
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
		c.refuse(r, c.lost(verdict.CauseBackendLost))
	default:
		c.refuse(r, c.busy())
	}
}

// claimLater claims again after a pause, or gives up. A claim that may have
// taken effect is followed up after that, so that the key becomes free.
func (c *Core) claimLater(now time.Duration, r *request) {
	if !r.answered && (r.claim.tries >= c.cfg.ClaimTries || now+c.cfg.ClaimWait >= r.Deadline) {
		c.releasePicked(r)
		c.refuseClaim(now, r)
	}
	if !r.answered {
		c.timers.add(now+c.cfg.ClaimWait, r.ID, timerClaim)
		return
	}
	if r.claim.unsure {
		c.followUp(now, r)
	}
}

func (c *Core) refuseClaim(now time.Duration, r *request) {
	r.claim.until = now + c.cfg.CleanupFor
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseClaimUnknown, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "the key-value service did not confirm the claim; a key with the prefix given with the addresses needs none",
	})
}

func (c *Core) claimAgain(now time.Duration, r *request) {
	if r.kind != kindClaim {
		return
	}
	if r.claim.outcome != nil {
		c.writeOutcome(r)
		return
	}
	if !r.claim.held && (!r.answered || r.claim.unsure) {
		c.beginClaim(r)
	}
}
