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

func (c *Core) beginHome(now time.Duration, r *request) {
	name := teamKey{team: r.Team, key: r.Key}
	if entry := c.home.keys[name]; entry != nil {
		c.repeated(r, entry)
		return
	}
	if c.refuseStale(now, r, name) {
		c.forget(r)
		return
	}
	key, _ := ParseKey(r.Key)
	issued := time.Duration(key.IssueSecond-c.cfg.StartUnix) * time.Second
	if cause, detail := c.home.unusable(now, issued); cause != "" {
		c.refuse(r, verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: detail})
		c.forget(r)
		return
	}
	entry := &keyEntry{name: name, issued: issued, bodyHash: r.BodyHash, owner: r.ID, origin: c.origin(r)}
	c.home.add(entry, c.emit)
	c.pick(r)
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

// refuseStale refuses an attempt that may have been accepted before NotRun was
// given for its key.
func (c *Core) refuseStale(now time.Duration, r *request, name teamKey) bool {
	stone, buried := c.home.tombstones[name]
	if buried && stone.origin == c.origin(r) {
		c.home.bury(now, name, stone)
		c.refuse(r, stone.refusal)
		return true
	}
	if r.Forwarded == nil {
		return false
	}
	accepted := r.Forwarded.Accepted
	if accepted > now {
		r.answered = true
		c.emit(Restamp{ID: r.ID})
		return true
	}
	stale := accepted <= c.home.acceptFloor || now-accepted >= c.cfg.MaxAge
	if !stale && !(buried && accepted <= stone.at) {
		return false
	}
	c.refuse(r, verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key ended while this one was on its way",
	})
	return true
}

// repeated answers an attempt with a key that was used before.
func (c *Core) repeated(r *request, entry *keyEntry) {
	if entry.bodyHash != r.BodyHash {
		c.refuse(r, keyReused())
		c.forget(r)
		return
	}
	switch entry.state {
	case keyRunning:
		c.joinOrBusy(r, entry)
		return
	case keyDone:
		c.answer(r, entry.status, entry.body, true)
	case keyLost:
		c.refuse(r, c.lost(verdict.CauseBackendLost))
	}
	c.forget(r)
}

func keyReused() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyReused,
		Detail: "the key was used with another method, path or body: use a new key for a new call",
	}
}

// joinOrBusy lets a repeated forward of the running attempt wait for its
// outcome, and refuses any other attempt.
func (c *Core) joinOrBusy(r *request, entry *keyEntry) {
	owner := c.open[entry.owner]
	if owner != nil && !owner.answered && entry.origin == c.origin(r) {
		owner.waiters = append(owner.waiters, r.ID)
		c.open[r.ID] = owner
		return
	}
	c.refuse(r, c.busy())
	c.forget(r)
}

func (c *Core) busy() verdict.Refusal {
	return verdict.Refusal{
		Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyInUse, RetryAfter: c.cfg.BusyRetryAfter,
		Detail: "an attempt with the same key is in progress",
	}
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
