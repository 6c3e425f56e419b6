package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/store"
)

// sendKVCall starts one call to the key-value service.
func (s *Shell) sendKVCall(a store.Send) {
	ok := s.Submit(func() { s.Send(s.kvReply(a)) })
	if !ok {
		s.TrySend(any(store.Reply{Attempt: a.Attempt, Status: store.Failed}))
	}
}

// kvReply executes a call and converts its error to a status.
func (s *Shell) kvReply(a store.Send) store.Reply {
	entries, revision, err := s.executeKVCall(a.Call, a.Timeout)
	reply := store.Reply{Attempt: a.Attempt, Status: store.OK, Entries: entries, Revision: revision}
	var conflict *kv.ConflictError
	switch {
	case err == nil:
	case errors.Is(err, kv.ErrNotFound):
		reply.Status = store.NotFound
	case errors.As(err, &conflict):
		reply.Status = store.Conflict
		if conflict.Current != nil {
			reply.Entries = []store.Entry{storeEntry(*conflict.Current)}
		}
	case errors.Is(err, kv.ErrUnavailable):
		reply.Status = store.Failed
	default:
		reply.Status = store.Lost
	}
	return reply
}

func (s *Shell) executeKVCall(call store.Call, timeout time.Duration) ([]store.Entry, int64, error) {
	switch call.Op {
	case store.OpGet:
		entry, err := s.kv.Get(call.Key, timeout)
		return []store.Entry{storeEntry(entry)}, entry.Revision, err
	case store.OpList:
		listing, err := s.kv.List(call.Key, timeout)
		return storeEntries(listing), listing.Revision, err
	case store.OpWatch:
		listing, err := s.kv.Watch(call.Key, call.AfterRevision, call.Wait)
		return storeEntries(listing), listing.Revision, err
	case store.OpPut:
		revision, err := s.kv.CAS(call.Key, call.Value, call.Expect, "", timeout)
		return nil, revision, err
	default:
		return nil, 0, s.kv.Delete(call.Key, call.Expect, timeout)
	}
}

func storeEntries(listing kv.Listing) []store.Entry {
	var out []store.Entry
	for _, e := range listing.Entries {
		if !e.Deleted {
			out = append(out, storeEntry(e))
		}
	}
	return out
}

func storeEntry(e kv.Entry) store.Entry {
	return store.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
