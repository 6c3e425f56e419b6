package call

import (
	"container/heap"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// teamKey names a key: two teams may use the same one.
type teamKey struct {
	team ident.Team
	key  string
}

type keyState uint8

const (
	keyRunning keyState = iota
	keyLost
	keyDone
)

// keyEntry is what a home remembers of one key.
type keyEntry struct {
	name     teamKey
	issued   time.Duration
	bodyHash uint64
	state    keyState
	// owner is the request that sends the key, while it runs.
	owner  RequestID
	origin origin
	status int
	body   BodyRef
	bytes  int
}

// tombstone remembers that NotRun was given for a key.
type tombstone struct {
	at      time.Duration
	origin  origin
	refusal verdict.Refusal
}

type tombstoneAt struct {
	name teamKey
	at   time.Duration
}

// homeTable remembers what became of the keys whose home this is.
type homeTable struct {
	cfg    Config
	keys   map[teamKey]*keyEntry
	oldest entryQueue
	bytes  int
	// issueFloor is the latest issue time of a key that was forgotten early.
	issueFloor time.Duration
	tombstones map[teamKey]tombstone
	order      []tombstoneAt
	// acceptFloor is the latest time of a tombstone that was dropped early.
	acceptFloor time.Duration
}

func newHomeTable(cfg Config) *homeTable {
	return &homeTable{
		cfg: cfg, keys: map[teamKey]*keyEntry{}, tombstones: map[teamKey]tombstone{},
		issueFloor: -1, acceptFloor: -1,
	}
}

// unusable says why a key that the table doesn't hold can't be used.
func (h *homeTable) unusable(now, issued time.Duration) (verdict.Cause, string) {
	if issued > now {
		return verdict.CauseBadRequest, "the key's prefix was never given: take the one that came with the addresses"
	}
	if now-issued >= h.cfg.KeyLife || issued <= h.issueFloor {
		return verdict.CauseKeyExpired, "the key is too old: what became of it is forgotten"
	}
	return "", ""
}

// add remembers a key and forgets the oldest ones beyond the bounds.
func (h *homeTable) add(entry *keyEntry, emit func(Action)) {
	h.keys[entry.name] = entry
	heap.Push(&h.oldest, entry)
	h.trim(emit)
}

func (h *homeTable) trim(emit func(Action)) {
	for len(h.oldest) > 0 && (len(h.keys) > h.cfg.MaxKeys || h.bytes > h.cfg.MaxBytes) {
		entry := h.forgetOldest(emit)
		h.issueFloor = max(h.issueFloor, entry.issued)
	}
}

func (h *homeTable) forgetOldest(emit func(Action)) *keyEntry {
	entry := heap.Pop(&h.oldest).(*keyEntry)
	if h.keys[entry.name] != entry {
		return entry
	}
	delete(h.keys, entry.name)
	h.bytes -= entry.bytes
	if entry.body != "" {
		emit(DropBody{Body: entry.body})
	}
	return entry
}

// expire forgets what is past its retention.
func (h *homeTable) expire(now time.Duration, emit func(Action)) {
	for len(h.oldest) > 0 && now-h.oldest[0].issued >= h.cfg.Retention {
		h.forgetOldest(emit)
	}
	for len(h.order) > 0 && (now-h.order[0].at > h.cfg.MaxAge || len(h.order) > h.cfg.MaxTombstones) {
		h.unbury(now)
	}
}

// unbury drops the oldest tombstone.
func (h *homeTable) unbury(now time.Duration) {
	oldest := h.order[0]
	h.order = h.order[1:]
	stone, ok := h.tombstones[oldest.name]
	if !ok || stone.at != oldest.at {
		return
	}
	delete(h.tombstones, oldest.name)
	if now-oldest.at <= h.cfg.MaxAge {
		h.acceptFloor = max(h.acceptFloor, oldest.at)
	}
}

func (h *homeTable) bury(now time.Duration, name teamKey, stone tombstone) {
	stone.at = now
	h.tombstones[name] = stone
	h.order = append(h.order, tombstoneAt{name: name, at: now})
}

// owned returns the entry that r sends, unless it was forgotten.
func (h *homeTable) owned(r *request) *keyEntry {
	entry := h.keys[teamKey{team: r.Team, key: r.Key}]
	if entry == nil || entry.owner != r.ID {
		return nil
	}
	return entry
}

func (h *homeTable) notRun(now time.Duration, r *request, refusal verdict.Refusal) {
	name := teamKey{team: r.Team, key: r.Key}
	entry := h.owned(r)
	if entry == nil {
		return
	}
	delete(h.keys, name)
	h.bury(now, name, tombstone{origin: entry.origin, refusal: refusal})
}

func (h *homeTable) lost(r *request) {
	if entry := h.owned(r); entry != nil {
		entry.state = keyLost
	}
}

func (h *homeTable) done(r *request, ev SendEnded, emit func(Action)) {
	entry := h.owned(r)
	if entry == nil {
		return
	}
	entry.state = keyDone
	entry.status, entry.body, entry.bytes = ev.Status, ev.Body, ev.Bytes
	h.bytes += ev.Bytes
	h.trim(emit)
}

// entryQueue orders keys by their issue.
type entryQueue []*keyEntry

func (q entryQueue) Len() int { return len(q) }

func (q entryQueue) Less(i, j int) bool { return q[i].issued < q[j].issued }

func (q entryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *entryQueue) Push(x any) { *q = append(*q, x.(*keyEntry)) }

func (q *entryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
