package classes

import (
	"slices"
	"time"
)

// minObservedWait is how long requests must have waited before the rate of starts is used
// to refuse a new one.
const minObservedWait = 500 * time.Millisecond

// Waiter is a request that waits for capacity.
type Waiter struct {
	// Wake receives a value when the request may try again or was evicted.
	Wake chan struct{}
	// StartBy is the last process time at which the request can start and meet its objective.
	StartBy time.Duration
	// Evicted is set when a more urgent request took the place.
	Evicted bool

	req   *Request
	bytes int
	seq   uint64
}

// waitQueue holds the waiting requests of all services.
type waitQueue struct {
	waiting []*Waiter
	bytes   int
	seq     uint64
}

// before reports whether a goes before b: by class, then teams that have not used more than
// their fair share, then by the last time to start, then by arrival.
func (c *Core) before(now time.Duration, a, b *Waiter) bool {
	if a.req.Rank != b.req.Rank {
		return a.req.Rank < b.req.Rank
	}
	if overA, overB := c.teamExcess(now, a.req) > 1, c.teamExcess(now, b.req) > 1; overA != overB {
		return overB
	}
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.seq < b.seq
}

// ahead returns the number of requests of the same service that wait and are at least as
// urgent as r.
func (q *waitQueue) ahead(r *Request) int {
	n := 0
	for _, w := range q.waiting {
		if w.req.Service == r.Service && w.req.Rank <= r.Rank {
			n++
		}
	}
	return n
}

// MayTry reports whether a new request may try to start before those that wait: if none of
// at least its urgency does, or if it is below its floor.
func (c *Core) MayTry(now time.Duration, r *Request) bool {
	return r == nil || c.queue.ahead(r) == 0 || c.belowFloor(now, r)
}

// Join adds a request with a body of the given size to those that wait. It returns nil and
// the reason if the request cannot start within its slack, or if there is no place and none
// that waits is less urgent.
func (c *Core) Join(now time.Duration, r *Request, bytes int) (*Waiter, string) {
	slack := c.Slack(now, r)
	if slack <= 0 {
		return nil, "no time to wait"
	}
	s := c.state(r.Service)
	if s.drain.EstimateWait(now, minObservedWait, c.queue.ahead(r)+1) > slack {
		return nil, "it would wait longer than its slack"
	}
	if !c.hasPlace(r, bytes) {
		return nil, "too many requests wait"
	}
	w := &Waiter{Wake: make(chan struct{}, 1), StartBy: now + slack, req: r, bytes: bytes, seq: c.queue.seq}
	for c.queue.isFull(c.cfg, bytes) {
		last := c.last(now)
		last.Evicted = true
		c.Leave(now, last)
		last.wake()
	}
	c.queue.seq++
	c.queue.waiting = append(c.queue.waiting, w)
	c.queue.bytes += bytes
	s.drain.Join(now)
	return w, ""
}

func (q *waitQueue) isFull(cfg Config, bytes int) bool {
	return len(q.waiting) >= cfg.MaxWaiting || q.bytes+bytes > cfg.MaxWaitingBytes
}

// hasPlace reports whether r can wait once all less urgent requests are evicted.
func (c *Core) hasPlace(r *Request, bytes int) bool {
	kept := waitQueue{}
	for _, w := range c.queue.waiting {
		if w.req.Rank <= r.Rank {
			kept.waiting, kept.bytes = append(kept.waiting, w), kept.bytes+w.bytes
		}
	}
	return !kept.isFull(c.cfg, bytes)
}

// last returns the waiter that goes last, or nil.
func (c *Core) last(now time.Duration) *Waiter {
	var last *Waiter
	for _, w := range c.queue.waiting {
		if last == nil || c.before(now, last, w) {
			last = w
		}
	}
	return last
}

// head returns the waiter of a service that goes first, or nil.
func (c *Core) head(now time.Duration, service string) *Waiter {
	var first *Waiter
	for _, w := range c.queue.waiting {
		if w.req.Service == service && (first == nil || c.before(now, w, first)) {
			first = w
		}
	}
	return first
}

// IsHead reports whether w goes first of the waiters of its service.
func (c *Core) IsHead(now time.Duration, w *Waiter) bool { return c.head(now, w.req.Service) == w }

// Waiting returns the number of requests that wait.
func (c *Core) Waiting() int { return len(c.queue.waiting) }

// Leave removes a waiter and wakes the one that now goes first. A second call has no effect.
func (c *Core) Leave(now time.Duration, w *Waiter) {
	i := slices.Index(c.queue.waiting, w)
	if i < 0 {
		return
	}
	c.queue.waiting = slices.Delete(c.queue.waiting, i, i+1)
	c.queue.bytes -= w.bytes
	c.state(w.req.Service).drain.Leave(now)
	if first := c.head(now, w.req.Service); first != nil {
		first.wake()
	}
}

// wake never blocks: one pending value is enough.
func (w *Waiter) wake() {
	select {
	case w.Wake <- struct{}{}:
	default:
	}
}
