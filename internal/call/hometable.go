package call

import (
	"container/heap"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// teamKey identifies a key; different teams may use the same key text.
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

// keyEntry is the state of one key at its home.
type keyEntry struct {
	name     teamKey
	issued   time.Duration // process time
	bodyHash uint64
	state    keyState
	// owner is the request that sends the call, while the state is keyRunning.
	owner  RequestID
	origin origin
	status int
	body   BodyRef
	bytes  int
}

// tombstone records that NotRun was given for a key, and when.
type tombstone struct {
	at      time.Duration
	origin  origin
	refusal verdict.Refusal
}

type tombstoneRef struct {
	name teamKey
	at   time.Duration
}

// homeTable holds the outcomes of the keys whose home is this VM.
type homeTable struct {
	cfg     Config
	keys    map[teamKey]*keyEntry
	byIssue issueHeap
	bytes   int // size of the kept replies
	// issueFloor is the latest issue time of a key that was evicted early.
	issueFloor     time.Duration
	tombstones     map[teamKey]tombstone
	tombstoneOrder []tombstoneRef
	// acceptFloor is the latest time of a tombstone that was dropped early. Forwards
	// of attempts accepted up to then are refused.
	acceptFloor time.Duration
}

func newHomeTable(cfg Config) *homeTable {
	return &homeTable{
		cfg: cfg, keys: map[teamKey]*keyEntry{}, tombstones: map[teamKey]tombstone{},
		issueFloor: -1, acceptFloor: -1,
	}
}

// unusableReason returns why a key that is not in the table can't be used, or empty
// strings.
func (h *homeTable) unusableReason(now, issued time.Duration) (verdict.Cause, string) {
	if issued > now {
		return verdict.CauseBadRequest, "the key's prefix was never given: take the one that came with the addresses"
	}
	if now-issued >= h.cfg.KeyTTL || issued <= h.issueFloor {
		return verdict.CauseKeyExpired, "the key is too old: what became of it is forgotten"
	}
	return "", ""
}

// add inserts a key and evicts the oldest ones beyond the bounds.
func (h *homeTable) add(entry *keyEntry, emit func(Action)) {
	h.keys[entry.name] = entry
	heap.Push(&h.byIssue, entry)
	h.evict(emit)
}

func (h *homeTable) evict(emit func(Action)) {
	for len(h.byIssue) > 0 && (len(h.keys) > h.cfg.MaxKeys || h.bytes > h.cfg.MaxReplyBytes) {
		entry := h.dropOldest(emit)
		h.issueFloor = max(h.issueFloor, entry.issued)
	}
}

// dropOldest removes the key that was issued first. An entry whose call got NotRun is
// no longer in keys and is only removed from the heap.
func (h *homeTable) dropOldest(emit func(Action)) *keyEntry {
	entry := heap.Pop(&h.byIssue).(*keyEntry)
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

// expire removes keys past their retention, and tombstones by age and number.
func (h *homeTable) expire(now time.Duration, emit func(Action)) {
	for len(h.byIssue) > 0 && now-h.byIssue[0].issued >= h.cfg.KeyRetention {
		h.dropOldest(emit)
	}
	for len(h.tombstoneOrder) > 0 && (now-h.tombstoneOrder[0].at > h.cfg.MaxAttemptAge || len(h.tombstoneOrder) > h.cfg.MaxTombstones) {
		h.dropOldestTombstone(now)
	}
}

// dropOldestTombstone removes the oldest tombstone. If its age is within MaxAttemptAge, it
// raises acceptFloor.
func (h *homeTable) dropOldestTombstone(now time.Duration) {
	oldest := h.tombstoneOrder[0]
	h.tombstoneOrder = h.tombstoneOrder[1:]
	tomb, ok := h.tombstones[oldest.name]
	if !ok || tomb.at != oldest.at {
		return
	}
	delete(h.tombstones, oldest.name)
	if now-oldest.at <= h.cfg.MaxAttemptAge {
		h.acceptFloor = max(h.acceptFloor, oldest.at)
	}
}

func (h *homeTable) addTombstone(now time.Duration, name teamKey, tomb tombstone) {
	tomb.at = now
	h.tombstones[name] = tomb
	h.tombstoneOrder = append(h.tombstoneOrder, tombstoneRef{name: name, at: now})
}

// ownedEntry returns the entry whose call r sends, or nil if it was evicted.
func (h *homeTable) ownedEntry(r *request) *keyEntry {
	entry := h.keys[teamKey{team: r.Team, key: r.Key}]
	if entry == nil || entry.owner != r.ID {
		return nil
	}
	return entry
}

func (h *homeTable) recordNotRun(now time.Duration, r *request, refusal verdict.Refusal) {
	name := teamKey{team: r.Team, key: r.Key}
	entry := h.ownedEntry(r)
	if entry == nil {
		return
	}
	delete(h.keys, name)
	h.addTombstone(now, name, tombstone{origin: entry.origin, refusal: refusal})
}

func (h *homeTable) recordLost(r *request) {
	if entry := h.ownedEntry(r); entry != nil {
		entry.state = keyLost
	}
}

func (h *homeTable) recordDone(r *request, ev SendEnded, emit func(Action)) {
	entry := h.ownedEntry(r)
	if entry == nil {
		return
	}
	entry.state = keyDone
	entry.status, entry.body, entry.bytes = ev.Status, ev.Body, ev.Bytes
	h.bytes += ev.Bytes
	h.evict(emit)
}

// issueHeap is a min-heap of keys by issue time.
type issueHeap []*keyEntry

func (q issueHeap) Len() int { return len(q) }

func (q issueHeap) Less(i, j int) bool { return q[i].issued < q[j].issued }

func (q issueHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *issueHeap) Push(x any) { *q = append(*q, x.(*keyEntry)) }

func (q *issueHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
