package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

func (c *Core) beginHome(now time.Duration, r *request) {
	name := teamKey{team: r.Team, key: r.Key}
	if entry := c.home.keys[name]; entry != nil {
		c.repeated(r, entry)
		return
	}
	if c.refuseStale(now, r, name) {
		c.forget(r)
		return
	}
	key, _ := ParseKey(r.Key)
	issued := time.Duration(key.IssueSecond-c.cfg.StartUnix) * time.Second
	if cause, detail := c.home.unusable(now, issued); cause != "" {
		c.refuse(r, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: detail})
		c.forget(r)
		return
	}
	entry := &keyEntry{name: name, issued: issued, bodyHash: r.BodyHash, owner: r.ID, origin: c.origin(r)}
	c.home.add(entry, c.emit)
	c.pick(r)
}

// refuseStale refuses an attempt that may have been accepted before NotRun was
// given for its key.
func (c *Core) refuseStale(now time.Duration, r *request, name teamKey) bool {
	stone, buried := c.home.tombstones[name]
	if buried && stone.origin == c.origin(r) {
		c.home.bury(now, name, stone)
		c.refuse(r, stone.refusal)
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
	stale := accepted <= c.home.acceptFloor || now-accepted >= c.cfg.MaxAge
	if !stale && !(buried && accepted <= stone.at) {
		return false
	}
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key ended while this one was on its way",
	})
	return true
}

// repeated answers an attempt with a key that was used before.
func (c *Core) repeated(r *request, entry *keyEntry) {
	if entry.bodyHash != r.BodyHash {
		c.refuse(r, keyReused())
		c.forget(r)
		return
	}
	switch entry.state {
	case keyRunning:
		c.joinOrBusy(r, entry)
		return
	case keyDone:
		c.answer(r, entry.status, entry.body, true)
	case keyLost:
		c.refuse(r, c.lost(verdict.CauseBackendLost))
	}
	c.forget(r)
}

func keyReused() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyReused,
		Detail: "the key was used with another method, path or body: use a new key for a new call",
	}
}

// joinOrBusy lets a repeated forward of the running attempt wait for its
// outcome, and refuses any other attempt.
func (c *Core) joinOrBusy(r *request, entry *keyEntry) {
	owner := c.open[entry.owner]
	if owner != nil && !owner.answered && entry.origin == c.origin(r) {
		owner.waiters = append(owner.waiters, r.ID)
		c.open[r.ID] = owner
		return
	}
	c.refuse(r, c.busy())
	c.forget(r)
}

func (c *Core) busy() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key is in progress",
	}
}
