package store

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Client is the state machine.
type Client struct {
	cfg     Config
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	pending []*pending
	attempt uint64
	health  health
	kept    kept
	actions []Action
}

// pending is a call that has no answer yet.
type pending struct {
	id       uint64
	call     Call
	deadline time.Duration
	// attempt is the number of the try in flight, or zero.
	attempt uint64
	// notBefore is when the next try may be sent.
	notBefore time.Duration
	failures  int
	// everLost is set once a write's reply was lost: it may still take effect.
	everLost bool
	// mustRead is set while the next try has to read back.
	mustRead bool
	// readBack is set while the try in flight reads back.
	readBack bool
}

// New returns a machine that takes the service to be up. Until a Fleet event it
// has the least burst only.
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
		kept:   kept{max: cfg.MaxCached, byKey: map[string]keptAnswer{}},
	}, nil
}

// Up reports whether the service counts as up.
func (c *Client) Up() bool { return c.health.up }

// Pending is the number of calls without an answer.
func (c *Client) Pending() int { return len(c.pending) }

// Step takes one event at time now since the process's start.
func (c *Client) Step(now time.Duration, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case Request:
		c.accept(now, ev)
	case Reply:
		c.settle(now, ev)
	case Fleet:
		c.share(now, ev)
	case Tick:
	}
	c.expire(now)
	if c.health.fell {
		c.health.fell = false
		c.answerFromKept(now)
	}
	c.send(now)
	return c.actions
}

func (c *Client) act(a Action) { c.actions = append(c.actions, a) }

// share takes this process's part of the fleet's rates.
func (c *Client) share(now time.Duration, fleet Fleet) {
	part := fleet.share()
	burst := max(c.cfg.MinBurst, c.cfg.FleetBurst*part)
	c.reads.set(now, c.cfg.FleetReadsPerSecond*part, burst)
	c.writes.set(now, c.cfg.FleetWritesPerSecond*part, burst)
}

func (c *Client) accept(now time.Duration, req Request) {
	if !c.health.up && c.serveKept(now, req.ID, req.Call) {
		return
	}
	if len(c.pending) >= c.cfg.MaxPending {
		c.act(Done{ID: req.ID, Status: Unavailable})
		return
	}
	give := req.Call.Timeout
	if give <= 0 {
		give = c.cfg.CallTimeout + req.Call.Wait
	}
	p := &pending{id: req.ID, call: req.Call, deadline: now + give, notBefore: now}
	if req.Call.Urgent {
		c.pending = slices.Insert(c.pending, c.urgentEnd(), p)
		return
	}
	c.pending = append(c.pending, p)
}

// urgentEnd is the index after the last urgent call.
func (c *Client) urgentEnd() int {
	i := slices.IndexFunc(c.pending, func(p *pending) bool { return !p.call.Urgent })
	if i < 0 {
		return len(c.pending)
	}
	return i
}

// expire answers the calls whose time is over.
func (c *Client) expire(now time.Duration) {
	c.pending = slices.DeleteFunc(c.pending, func(p *pending) bool {
		if now < p.deadline {
			return false
		}
		c.giveUp(now, p)
		return true
	})
}

// giveUp answers a call without the service.
func (c *Client) giveUp(now time.Duration, p *pending) {
	sent := p.everLost || (p.attempt != 0 && !p.readBack)
	if p.attempt != 0 {
		c.recordFailure(now)
	}
	if p.call.writes() && sent {
		c.act(Done{ID: p.id, Status: Unknown})
		return
	}
	if c.serveKept(now, p.id, p.call) {
		return
	}
	c.act(Done{ID: p.id, Status: Unavailable})
}

// send starts every try that the budget, the backoff and the service's health
// allow.
func (c *Client) send(now time.Duration) {
	for _, p := range c.pending {
		if p.attempt != 0 || now < p.notBefore || !c.mayTry(now) {
			continue
		}
		c.try(now, p)
	}
}

// mayTry holds back while the service is down: one try, then a wait.
func (c *Client) mayTry(now time.Duration) bool {
	return c.health.up || now >= c.health.nextTry
}

func (c *Client) try(now time.Duration, p *pending) {
	call := p.call
	if p.mustRead {
		call = Call{Op: OpGet, Key: p.call.Key, Urgent: p.call.Urgent}
	}
	tokens := &c.reads
	if call.writes() {
		tokens = &c.writes
	}
	keep := tokens.burst * c.cfg.Reserve
	if call.Urgent {
		keep = 0
	}
	if !tokens.take(now, keep) {
		return
	}
	c.attempt++
	p.attempt = c.attempt
	p.readBack = p.mustRead
	if !c.health.up {
		c.health.nextTry = now + c.backoff(c.health.failures)
	}
	timeout := min(c.cfg.CallTimeout+call.Wait, p.deadline-now)
	c.act(Send{Attempt: p.attempt, Call: call, Timeout: timeout})
}

// settle takes the outcome of a try. An outcome of a call that was given up is
// used for the health only.
func (c *Client) settle(now time.Duration, r Reply) {
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
	readBack := p.readBack
	p.attempt, p.readBack = 0, false
	if !answered {
		c.retryLater(now, p, r)
		return
	}
	done, ok := conclude(p, r, readBack)
	if !ok {
		return
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	if p.call.Cache && r.Status == OK {
		c.kept.put(now, p.call, r)
	}
	c.act(done)
}

// retryLater sets the time of the next try.
func (c *Client) retryLater(now time.Duration, p *pending, r Reply) {
	if r.Status == Lost && p.call.writes() {
		p.everLost, p.mustRead = true, true
	}
	p.failures++
	p.notBefore = now + max(c.backoff(p.failures), r.RetryAfter)
}

// conclude turns the service's answer into the asker's. ok is false when the
// write has to be sent again.
func conclude(p *pending, r Reply, readBack bool) (done Done, ok bool) {
	if !p.everLost || r.Status == OK && !readBack {
		return Done{ID: p.id, Status: r.Status, Entries: r.Entries, Revision: r.Revision}, true
	}
	if inPlace(p.call, r) {
		return Done{ID: p.id, Status: OK, Revision: revision(r)}, true
	}
	if readBack && revision(r) == p.call.Expect {
		// Nothing has happened yet. If the lost write comes after all, the
		// expected revision keeps the next try from being a second one.
		p.mustRead = false
		return Done{}, false
	}
	return Done{ID: p.id, Status: Conflict, Entries: r.Entries, Revision: revision(r), Overwritten: true}, true
}

// inPlace reports whether the state that the write wanted stands in place.
func inPlace(call Call, r Reply) bool {
	if call.Op == OpDelete {
		return r.Status == NotFound
	}
	return len(r.Entries) == 1 && r.Entries[0].Revision > call.Expect && bytes.Equal(r.Entries[0].Value, call.Value)
}

func revision(r Reply) int64 {
	if len(r.Entries) == 0 {
		return ExpectAbsent
	}
	return r.Entries[0].Revision
}
