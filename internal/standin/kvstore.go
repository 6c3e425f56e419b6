package standin

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
)

// kvHistorySize is the minimum number of recent changes that are kept for watches; up
// to twice as many are.
const kvHistorySize = 4096

// kvStore is the in-memory state of the key-value service, without its transport.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]kv.Entry
	leases   map[string]*kvLease
	leaseSeq int64
	history  []kv.Entry
	// changed is closed and replaced on each change.
	changed chan struct{}
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

func newKVStore() *kvStore {
	return &kvStore{
		entries: map[string]kv.Entry{},
		leases:  map[string]*kvLease{},
		changed: make(chan struct{}),
	}
}

func (s *kvStore) get(key string) (kv.Entry, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, s.revision, ok
}

func (s *kvStore) list(prefix string) kv.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked(prefix)
}

func (s *kvStore) listLocked(prefix string) kv.Listing {
	out := kv.Listing{Entries: []kv.Entry{}, Revision: s.revision}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// cas writes e if its key is at expectedRevision. Otherwise it returns the current
// entry, or nil if there is none.
func (s *kvStore) cas(e kv.Entry, expectedRevision int64) (revision int64, current *kv.Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok = s.checkRevisionLocked(e.Key, expectedRevision)
	if !ok {
		return 0, current, false
	}
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	s.publishLocked(e)
	return e.Revision, nil, true
}

// remove deletes a key if it is at expectedRevision. Otherwise it returns the current
// entry, or nil if there is none.
func (s *kvStore) remove(key string, expectedRevision int64) (current *kv.Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok = s.checkRevisionLocked(key, expectedRevision)
	if !ok || current == nil {
		return current, ok
	}
	s.removeLocked(key)
	return nil, true
}

func (s *kvStore) checkRevisionLocked(key string, expectedRevision int64) (current *kv.Entry, ok bool) {
	e, exists := s.entries[key]
	if exists {
		current = &e
	}
	switch expectedRevision {
	case kv.ExpectAny:
		return current, true
	case kv.ExpectAbsent:
		return current, !exists
	default:
		return current, exists && e.Revision == expectedRevision
	}
}

func (s *kvStore) removeLocked(key string) {
	delete(s.entries, key)
	s.revision++
	s.publishLocked(kv.Entry{Key: key, Revision: s.revision, Deleted: true})
}

func (s *kvStore) publishLocked(e kv.Entry) {
	s.history = append(s.history, e)
	if len(s.history) > 2*kvHistorySize {
		s.history = append([]kv.Entry(nil), s.history[kvHistorySize:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesAfter returns the changes under prefix after afterRevision, and a channel that
// is closed on the next change. If the history does not cover afterRevision, it returns
// all entries under prefix.
func (s *kvStore) changesAfter(prefix string, afterRevision int64) (kv.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if afterRevision > s.revision || len(s.history) > 0 && afterRevision < s.history[0].Revision-1 {
		return s.listLocked(prefix), s.changed
	}
	out := kv.Listing{Entries: []kv.Entry{}, Revision: s.revision}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > afterRevision })
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, s.changed
}

func (s *kvStore) grant(ttl time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	id := "lease-" + strconv.FormatInt(s.leaseSeq, 10)
	s.leases[id] = &kvLease{ttl: ttl, expires: now.Add(ttl)}
	return id
}

func (s *kvStore) hasLease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[id] != nil
}

func (s *kvStore) keepAlive(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expires = now.Add(l.ttl)
	return true
}

func (s *kvStore) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.revokeLocked(id)
	return true
}

func (s *kvStore) revokeLocked(id string) {
	delete(s.leases, id)
	var keys []string
	for key, e := range s.entries {
		if e.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.removeLocked(key)
	}
}

// expire revokes the leases whose TTL has passed, or every lease if all is set.
func (s *kvStore) expire(now time.Time, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if all || now.After(l.expires) {
			s.revokeLocked(id)
		}
	}
}
