package store

import "time"

// health is the verdict on the service.
type health struct {
	up          bool
	failures    int // in a row
	lastSuccess time.Duration
	nextTry     time.Duration
	// fell is set in the step in which the service went down.
	fell bool
}

func (c *Client) recordSuccess(now time.Duration) {
	wasUp := c.health.up
	c.health = health{up: true, lastSuccess: now}
	if !wasUp {
		c.act(Health{Up: true})
	}
}

func (c *Client) recordFailure(now time.Duration) {
	h := &c.health
	h.failures++
	h.nextTry = now + c.backoff(h.failures)
	if h.up && h.failures >= c.cfg.DownAfterFailures && now-h.lastSuccess >= c.cfg.DownAfter {
		h.up, h.fell = false, true
		c.act(Health{Up: false})
	}
}

// answerFromKept answers waiting reads as soon as the service counts as down.
func (c *Client) answerFromKept(now time.Duration) {
	waiting := c.pending[:0]
	for _, p := range c.pending {
		if p.attempt != 0 || !c.serveKept(now, p.id, p.call) {
			waiting = append(waiting, p)
		}
	}
	c.pending = waiting
}

// backoff is the wait after a number of failures in a row: exponential, with
// full jitter above half of the base.
func (c *Client) backoff(failures int) time.Duration {
	limit := c.cfg.BackoffBase
	for range failures - 1 {
		limit *= 2
		if limit >= c.cfg.BackoffMax {
			limit = c.cfg.BackoffMax
			break
		}
	}
	return c.cfg.BackoffBase/2 + time.Duration(c.rng.Int64N(int64(limit)))
}

// kept holds the last known answers.
type kept struct {
	max   int
	byKey map[string]keptAnswer
}

type keptAnswer struct {
	at       time.Duration
	entries  []Entry
	revision int64
}

func keptKey(call Call) string { return string(call.Op) + " " + call.Key }

func (k *kept) put(now time.Duration, call Call, r Reply) {
	key := keptKey(call)
	if _, ok := k.byKey[key]; !ok && len(k.byKey) >= k.max {
		return
	}
	k.byKey[key] = keptAnswer{at: now, entries: r.Entries, revision: r.Revision}
}

// serveKept answers a read with the last known state, if there is one.
func (c *Client) serveKept(now time.Duration, id uint64, call Call) bool {
	if call.Op != OpGet && call.Op != OpList {
		return false
	}
	answer, ok := c.kept.byKey[keptKey(call)]
	if !ok {
		return false
	}
	c.act(Done{ID: id, Status: Stale, Entries: answer.entries, Revision: answer.revision, Age: now - answer.at})
	return true
}
