package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

// eventMemory is how many cache events an engine keeps for polls.
const eventMemory = 4096

type datedEvent struct {
	engine.CacheEvent
	at time.Time
}

// prefixCache is an engine's prefix cache: least recently used blocks leave
// first. It records an event for each block that comes or goes.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	order  *list.List
	blocks map[string]*list.Element
	seq    int64
	events []datedEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[string]*list.Element{}}
}

// use notes a prompt and returns how many of its bytes were in the cache.
func (c *prefixCache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit, leading := 0, true
	for _, hash := range engine.PrefixHashes(prompt) {
		if e := c.blocks[hash]; e != nil {
			c.order.MoveToFront(e)
			if leading {
				hit += engine.PrefixBlockBytes
			}
			continue
		}
		leading = false
		c.addLocked(hash)
	}
	return hit
}

func (c *prefixCache) addLocked(hash string) {
	if c.limit == 0 {
		return
	}
	if c.order.Len() >= c.limit {
		oldest := c.order.Back()
		gone := c.order.Remove(oldest).(string)
		delete(c.blocks, gone)
		c.noteLocked(gone, false)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.noteLocked(hash, true)
}

func (c *prefixCache) noteLocked(hash string, added bool) {
	c.seq++
	event := engine.CacheEvent{Seq: c.seq, PrefixHash: hash, Added: added}
	c.events = append(c.events, datedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > 2*eventMemory {
		c.events = append([]datedEvent(nil), c.events[eventMemory:]...)
	}
}

// after returns the events past a number that are at least lag old and that
// keep lets through.
func (c *prefixCache) after(seq int64, lag time.Duration, keep func() bool) engine.Events {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq > c.seq {
		seq = 0 // a number of an earlier life
	}
	out := engine.Events{Events: []engine.CacheEvent{}, Next: seq}
	latest := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Seq <= seq {
			continue
		}
		if e.at.After(latest) {
			break
		}
		out.Next = e.Seq
		if keep() {
			out.Events = append(out.Events, e.CacheEvent)
		}
	}
	return out
}
