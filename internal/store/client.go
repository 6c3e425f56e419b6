package store

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Client decides when calls to the service are sent and retried, and what they return. It
// is not safe for concurrent use.
type Client struct {
	cfg     Config
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	pending []*pending // urgent calls first
	attempt uint64     // the number of the last attempt
	health  health
	cache   cache
	actions []Action
}

// pending is a call without a result.
type pending struct {
	id       uint64
	call     Call
	deadline time.Duration
	// attempt is the number of the attempt in flight, or zero.
	attempt uint64
	// notBefore is the earliest time of the next attempt.
	notBefore time.Duration
	failures  int
	// replyLost is set once a reply to the write was lost. The write may still take effect.
	replyLost bool
	// mustReadBack is set while the next attempt must read the key back.
	mustReadBack bool
	// readingBack is set while the attempt in flight reads the key back.
	readingBack bool
}

// New returns a Client that assumes the service to be up. Until the first Fleet event it
// may send only MinBurst reads and MinBurst writes.
func New(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Client{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0x706c6174)),
		reads:  newBucket(cfg.MinBurst),
		writes: newBucket(cfg.MinBurst),
		health: health{up: true},
		cache:  cache{max: cfg.MaxCached, byKey: map[string]cachedReply{}},
	}, nil
}

// Up reports whether the service counts as up.
func (c *Client) Up() bool { return c.health.up }

// Pending returns the number of calls without a result.
func (c *Client) Pending() int { return len(c.pending) }

// Step handles one event and returns the actions to perform. now is the time since the
// start of the process.
func (c *Client) Step(now time.Duration, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case Request:
		c.accept(now, ev)
	case Reply:
		c.handleReply(now, ev)
	case Fleet:
		c.applyFleet(now, ev)
	case Tick:
	}
	c.expire(now)
	if c.health.wentDown {
		c.health.wentDown = false
		c.answerFromCache(now)
	}
	c.sendPending(now)
	return c.actions
}

func (c *Client) emit(a Action) { c.actions = append(c.actions, a) }

// applyFleet sets the buckets to this process's share of the fleet's rates.
func (c *Client) applyFleet(now time.Duration, fleet Fleet) {
	fraction := fleet.share()
	burst := max(c.cfg.MinBurst, c.cfg.FleetBurst*fraction)
	c.reads.setRate(now, c.cfg.FleetReadsPerSecond*fraction, burst)
	c.writes.setRate(now, c.cfg.FleetWritesPerSecond*fraction, burst)
}

func (c *Client) accept(now time.Duration, req Request) {
	if !c.health.up && c.serveCached(now, req.ID, req.Call) {
		return
	}
	if len(c.pending) >= c.cfg.MaxPending {
		c.emit(Done{ID: req.ID, Status: Unavailable})
		return
	}
	timeout := req.Call.Timeout
	if timeout <= 0 {
		timeout = c.cfg.CallTimeout + req.Call.Wait
	}
	p := &pending{id: req.ID, call: req.Call, deadline: now + timeout, notBefore: now}
	if req.Call.Urgent {
		c.pending = slices.Insert(c.pending, c.urgentEnd(), p)
		return
	}
	c.pending = append(c.pending, p)
}

// urgentEnd returns the index after the last urgent call.
func (c *Client) urgentEnd() int {
	i := slices.IndexFunc(c.pending, func(p *pending) bool { return !p.call.Urgent })
	if i < 0 {
		return len(c.pending)
	}
	return i
}

// expire ends the calls whose deadline has passed.
func (c *Client) expire(now time.Duration) {
	c.pending = slices.DeleteFunc(c.pending, func(p *pending) bool {
		if now < p.deadline {
			return false
		}
		c.giveUp(now, p)
		return true
	})
}

// giveUp ends a call at its deadline: a write that was sent as Unknown, a read with the
// cached reply if there is one, and anything else as Unavailable.
func (c *Client) giveUp(now time.Duration, p *pending) {
	sent := p.replyLost || (p.attempt != 0 && !p.readingBack)
	if p.attempt != 0 {
		c.recordFailure(now)
	}
	if p.call.writes() && sent {
		c.emit(Done{ID: p.id, Status: Unknown})
		return
	}
	if c.serveCached(now, p.id, p.call) {
		return
	}
	c.emit(Done{ID: p.id, Status: Unavailable})
}

// sendPending sends every attempt that the budget, the backoff and the service's health
// allow.
func (c *Client) sendPending(now time.Duration) {
	for _, p := range c.pending {
		if p.attempt != 0 || now < p.notBefore || !c.mayAttempt(now) {
			continue
		}
		c.sendAttempt(now, p)
	}
}

// mayAttempt reports whether the service is up, or one attempt per backoff is due.
func (c *Client) mayAttempt(now time.Duration) bool {
	return c.health.up || now >= c.health.nextAttempt
}

func (c *Client) sendAttempt(now time.Duration, p *pending) {
	call := p.call
	if p.mustReadBack {
		call = Call{Op: OpGet, Key: p.call.Key, Urgent: p.call.Urgent}
	}
	budget := &c.reads
	if call.writes() {
		budget = &c.writes
	}
	reserve := budget.burst * c.cfg.Reserve
	if call.Urgent {
		reserve = 0
	}
	if !budget.take(now, reserve) {
		return
	}
	c.attempt++
	p.attempt = c.attempt
	p.readingBack = p.mustReadBack
	if !c.health.up {
		c.health.nextAttempt = now + c.backoff(c.health.failures)
	}
	timeout := min(c.cfg.CallTimeout+call.Wait, p.deadline-now)
	c.emit(Send{Attempt: p.attempt, Call: call, Timeout: timeout})
}

// handleReply handles the outcome of an attempt. For a call that was given up, it only
// updates the health.
func (c *Client) handleReply(now time.Duration, r Reply) {
	answered := r.Status == OK || r.Status == NotFound || r.Status == Conflict
	if answered {
		c.recordSuccess(now)
	} else {
		c.recordFailure(now)
	}
	i := slices.IndexFunc(c.pending, func(p *pending) bool { return p.attempt == r.Attempt && r.Attempt != 0 })
	if i < 0 {
		return
	}
	p := c.pending[i]
	readingBack := p.readingBack
	p.attempt, p.readingBack = 0, false
	if !answered {
		c.scheduleRetry(now, p, r)
		return
	}
	done, ok := conclude(p, r, readingBack)
	if !ok {
		return
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	if p.call.Cache && r.Status == OK {
		c.cache.put(now, p.call, r)
	}
	c.emit(done)
}

// scheduleRetry sets the time of the next attempt.
func (c *Client) scheduleRetry(now time.Duration, p *pending, r Reply) {
	if r.Status == Lost && p.call.writes() {
		p.replyLost, p.mustReadBack = true, true
	}
	p.failures++
	p.notBefore = now + max(c.backoff(p.failures), r.RetryAfter)
}

// conclude derives the result of a call from the service's reply. ok is false if the call
// is a write that must be retried.
func conclude(p *pending, r Reply, readingBack bool) (done Done, ok bool) {
	if !p.replyLost || r.Status == OK && !readingBack {
		return Done{ID: p.id, Status: r.Status, Entries: r.Entries, Revision: r.Revision}, true
	}
	if isApplied(p.call, r) {
		return Done{ID: p.id, Status: OK, Revision: revision(r)}, true
	}
	if readingBack && revision(r) == p.call.Expect {
		// The write has not taken effect yet. If it still does, the expected revision
		// makes the retry fail, so that it does not take effect twice.
		p.mustReadBack = false
		return Done{}, false
	}
	return Done{ID: p.id, Status: Conflict, Entries: r.Entries, Revision: revision(r), Overwritten: true}, true
}

// isApplied reports whether the reply shows the state that the write was to produce.
func isApplied(call Call, r Reply) bool {
	if call.Op == OpDelete {
		return r.Status == NotFound
	}
	return len(r.Entries) == 1 && r.Entries[0].Revision > call.Expect && bytes.Equal(r.Entries[0].Value, call.Value)
}

// revision returns the revision of the key in a reply, or ExpectAbsent if it has none.
func revision(r Reply) int64 {
	if len(r.Entries) == 0 {
		return ExpectAbsent
	}
	return r.Entries[0].Revision
}
