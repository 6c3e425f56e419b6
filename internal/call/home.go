package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// startAtHome handles a request with a key whose home is this VM.
func (c *Core) startAtHome(now time.Duration, r *request) {
	name := teamKey{team: r.Team, key: r.Key}
	if entry := c.home.keys[name]; entry != nil {
		c.answerKnownKey(r, entry)
		return
	}
	if c.refuseStale(now, r, name) {
		c.dropIfFinished(r)
		return
	}
	key, _ := ParseKey(r.Key)
	issued := time.Duration(key.IssueSecond-c.cfg.StartUnix) * time.Second
	if cause, detail := c.home.unusableReason(now, issued); cause != "" {
		c.refuse(r, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: detail})
		c.dropIfFinished(r)
		return
	}
	entry := &keyEntry{name: name, issued: issued, bodyHash: r.BodyHash, owner: r.ID, origin: c.origin(r)}
	c.home.add(entry, c.emit)
	c.requestReplica(r)
}

// refuseStale refuses an attempt that may have been accepted before NotRun was given for
// its key, and reports whether it did. A retry of the attempt that got NotRun gets the
// same refusal again.
func (c *Core) refuseStale(now time.Duration, r *request, name teamKey) bool {
	tomb, found := c.home.tombstones[name]
	if found && tomb.origin == c.origin(r) {
		c.home.addTombstone(now, name, tomb)
		c.refuse(r, tomb.refusal)
		return true
	}
	if r.Forwarded == nil {
		return false
	}
	accepted := r.Forwarded.AcceptedAt
	if accepted > now {
		r.answered = true
		c.emit(Restamp{ID: r.ID})
		return true
	}
	stale := accepted <= c.home.acceptFloor || now-accepted >= c.cfg.MaxAttemptAge
	if !stale && !(found && accepted <= tomb.at) {
		return false
	}
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key ended while this one was on its way",
	})
	return true
}

// answerKnownKey answers an attempt with a key that is in the table.
func (c *Core) answerKnownKey(r *request, entry *keyEntry) {
	if entry.bodyHash != r.BodyHash {
		c.refuse(r, keyReused())
		c.dropIfFinished(r)
		return
	}
	switch entry.state {
	case keyRunning:
		c.joinOrRefuse(r, entry)
		return
	case keyDone:
		c.answer(r, entry.status, entry.body, true)
	case keyLost:
		c.refuse(r, c.replyLost(verdict.CauseBackendLost))
	}
	c.dropIfFinished(r)
}

func keyReused() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyReused,
		Detail: "the key was used with another method, path or body: use a new key for a new call",
	}
}

// joinOrRefuse lets a retried forward of the running attempt wait for its outcome, and
// refuses any other attempt.
func (c *Core) joinOrRefuse(r *request, entry *keyEntry) {
	owner := c.requests[entry.owner]
	if owner != nil && !owner.answered && entry.origin == c.origin(r) {
		owner.waiters = append(owner.waiters, r.ID)
		c.requests[r.ID] = owner
		return
	}
	c.refuse(r, c.keyInUse())
	c.dropIfFinished(r)
}

func (c *Core) keyInUse() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key is in progress",
	}
}
