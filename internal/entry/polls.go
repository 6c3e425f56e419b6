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

// links keeps, by failure domain, the shortest one-way time that load polls saw
// since it was last read: a longer one tells more of a busy engine than of the
// link.
type links struct {
	mu    sync.Mutex
	least map[ident.FailureDomain]time.Duration
}

func (l *links) init() { l.least = map[ident.FailureDomain]time.Duration{} }

func (l *links) observe(to ident.FailureDomain, oneWay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if least, ok := l.least[to]; !ok || oneWay < least {
		l.least[to] = oneWay
	}
}

// take reads and forgets what was seen, by name of the failure domain.
func (l *links) take() []routing.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]routing.Link, 0, len(l.least))
	for _, to := range slices.Sorted(maps.Keys(l.least)) {
		list = append(list, routing.Link{To: to, OneWay: l.least[to]})
	}
	clear(l.least)
	return list
}

func (s *Shell) sendLinks() {
	for _, link := range s.links.take() {
		s.Send(link)
	}
}

// hintPolls keeps the number after which each engine's cache events are polled.
type hintPolls struct {
	mu   sync.Mutex
	next map[ident.BackendServer]int64
}

func (h *hintPolls) init() { h.next = map[ident.BackendServer]int64{} }

func (h *hintPolls) after(id ident.BackendServer) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next[id]
}

func (h *hintPolls) set(id ident.BackendServer, next int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next[id] = next
}

// pollHints reads which prompt prefixes an engine has cached or dropped.
func (s *Shell) pollHints(server peer.BackendServer) {
	events, err := s.engines.Events(server.Addr, s.hints.after(server.ID), httpcall.Within(loadPollTimeout))
	if err != nil {
		return
	}
	s.hints.set(server.ID, events.Next)
	for _, ev := range events.Events {
		hash, err := strconv.ParseUint(ev.PrefixHash, 16, 64)
		if err != nil || ev.Seq < 0 {
			continue
		}
		s.Send(routing.CacheEvent{Server: server.ID, Seq: uint64(ev.Seq), Prefix: hash, Added: ev.Added})
	}
}

// prefixesOf lists the prompt's prefixes that an engine may have cached, the
// longest first.
func prefixesOf(prompt string) []routing.Prefix {
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

// bytesPerToken is a rough length of a prompt's token.
const bytesPerToken = 4
