package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

// eventHistorySize is the minimum number of recent cache events that are kept for polls;
// up to twice as many are.
const eventHistorySize = 4096

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// prefixCache is an engine's prefix cache with LRU eviction. It records an event
// for each block that is added or evicted.
type prefixCache struct {
	mu        sync.Mutex
	maxBlocks int
	order     *list.List
	blocks    map[string]*list.Element
	seq       int64
	events    []timedEvent
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, order: list.New(), blocks: map[string]*list.Element{}}
}

// access adds a prompt and returns how many of its leading bytes were cached.
func (c *prefixCache) access(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBytes, leading := 0, true
	for _, hash := range engine.PrefixHashes(prompt) {
		if e := c.blocks[hash]; e != nil {
			c.order.MoveToFront(e)
			if leading {
				cachedBytes += engine.PrefixBlockBytes
			}
			continue
		}
		leading = false
		c.addLocked(hash)
	}
	return cachedBytes
}

func (c *prefixCache) addLocked(hash string) {
	if c.maxBlocks == 0 {
		return
	}
	if c.order.Len() >= c.maxBlocks {
		oldest := c.order.Back()
		evicted := c.order.Remove(oldest).(string)
		delete(c.blocks, evicted)
		c.recordEventLocked(evicted, false)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.recordEventLocked(hash, true)
}

func (c *prefixCache) recordEventLocked(hash string, added bool) {
	c.seq++
	event := engine.CacheEvent{Seq: c.seq, PrefixHash: hash, Added: added}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
	if len(c.events) > 2*eventHistorySize {
		c.events = append([]timedEvent(nil), c.events[eventHistorySize:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq that are at
// least lag old and for which keep returns true.
func (c *prefixCache) eventsAfter(seq int64, lag time.Duration, keep func() bool) engine.Events {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq > c.seq {
		seq = 0 // seq is from an earlier incarnation
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
