package store

import "time"

// health is the state of the service as inferred from the replies.
type health struct {
	up          bool
	failures    int // consecutive
	lastSuccess time.Duration
	nextAttempt time.Duration // while the service is down
	// wentDown is set in the step in which the service went down.
	wentDown bool
}

func (c *Client) recordSuccess(now time.Duration) {
	wasUp := c.health.up
	c.health = health{up: true, lastSuccess: now}
	if !wasUp {
		c.emit(Health{Up: true})
	}
}

// recordFailure counts a failed attempt, after which the service may count as down.
func (c *Client) recordFailure(now time.Duration) {
	h := &c.health
	h.failures++
	h.nextAttempt = now + c.backoff(h.failures)
	if h.up && h.failures >= c.cfg.DownAfterFailures && now-h.lastSuccess >= c.cfg.DownAfter {
		h.up, h.wentDown = false, true
		c.emit(Health{Up: false})
	}
}

// answerFromCache answers waiting reads once the service counts as down.
func (c *Client) answerFromCache(now time.Duration) {
	waiting := c.pending[:0]
	for _, p := range c.pending {
		if p.attempt != 0 || !c.serveCached(now, p.id, p.call) {
			waiting = append(waiting, p)
		}
	}
	c.pending = waiting
}

// backoff returns the wait after a number of consecutive failures: half of BackoffBase
// plus a random part below a limit that doubles with each failure up to BackoffMax (full
// jitter).
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

// cache holds the last replies of gets and lists.
type cache struct {
	max   int
	byKey map[string]cachedReply
}

type cachedReply struct {
	storedAt time.Duration
	entries  []Entry
	revision int64
}

func cacheKey(call Call) string { return string(call.Op) + " " + call.Key }

// put caches a reply, unless the cache is full and has none for the call.
func (c *cache) put(now time.Duration, call Call, r Reply) {
	key := cacheKey(call)
	if _, ok := c.byKey[key]; !ok && len(c.byKey) >= c.max {
		return
	}
	c.byKey[key] = cachedReply{storedAt: now, entries: r.Entries, revision: r.Revision}
}

// serveCached answers a get or list with the cached reply, and reports whether there is
// one.
func (c *Client) serveCached(now time.Duration, id uint64, call Call) bool {
	if call.Op != OpGet && call.Op != OpList {
		return false
	}
	cached, ok := c.cache.byKey[cacheKey(call)]
	if !ok {
		return false
	}
	c.emit(Done{ID: id, Status: Stale, Entries: cached.entries, Revision: cached.revision, Age: now - cached.storedAt})
	return true
}
