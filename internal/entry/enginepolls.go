package entry

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
)

// linkDelays holds, for each failure domain, the shortest one-way time of the load
// polls since the last flush. Longer times reflect a busy engine rather than the link.
type linkDelays struct {
	mu       sync.Mutex
	shortest map[ident.FailureDomain]time.Duration
}

func (l *linkDelays) init() { l.shortest = map[ident.FailureDomain]time.Duration{} }

func (l *linkDelays) observe(domain ident.FailureDomain, oneWay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if shortest, ok := l.shortest[domain]; !ok || oneWay < shortest {
		l.shortest[domain] = oneWay
	}
}

// flush returns the shortest times, sorted by failure domain, and resets them.
func (l *linkDelays) flush() []routing.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]routing.Link, 0, len(l.shortest))
	for _, domain := range slices.Sorted(maps.Keys(l.shortest)) {
		list = append(list, routing.Link{To: domain, OneWay: l.shortest[domain]})
	}
	clear(l.shortest)
	return list
}

func (s *Shell) sendLinkDelays() {
	for _, link := range s.linkDelays.flush() {
		s.Send(link)
	}
}

// cacheCursors holds, for each engine, the sequence number after which its cache
// events are polled.
type cacheCursors struct {
	mu   sync.Mutex
	next map[ident.BackendServer]int64
}

func (c *cacheCursors) init() { c.next = map[ident.BackendServer]int64{} }

func (c *cacheCursors) get(id ident.BackendServer) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next[id]
}

func (c *cacheCursors) set(id ident.BackendServer, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[id] = next
}

// pollCacheEvents reads which prompt prefixes an engine has cached or evicted.
func (s *Shell) pollCacheEvents(server peer.BackendServer) {
	events, err := s.engines.Events(server.Addr, s.cursors.get(server.ID), httpcall.Within(loadPollTimeout))
	if err != nil {
		return
	}
	s.cursors.set(server.ID, events.Next)
	for _, ev := range events.Events {
		hash, err := strconv.ParseUint(ev.PrefixHash, 16, 64)
		if err != nil || ev.Seq < 0 {
			continue
		}
		s.Send(routing.CacheEvent{Server: server.ID, Seq: uint64(ev.Seq), Prefix: hash, Added: ev.Added})
	}
}

// promptPrefixes returns the prefixes of a prompt that an engine may have cached, the
// longest first.
func promptPrefixes(prompt string) []routing.Prefix {
	hashes := engine.PrefixHashes(prompt)
	list := make([]routing.Prefix, 0, len(hashes))
	for i, text := range slices.Backward(hashes) {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			continue
		}
		list = append(list, routing.Prefix{Hash: hash, Tokens: (i + 1) * engine.PrefixBlockBytes / bytesPerToken})
	}
	return list
}

// bytesPerToken is the approximate length of a token in a prompt.
const bytesPerToken = 4
