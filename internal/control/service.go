package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/store"
)

// callService makes one call to the key-value service.
func (s *Shell) callService(a store.Send) {
	ok := s.Submit(func() { s.Send(s.serviceReply(a)) })
	if !ok {
		s.TrySend(any(store.Reply{Attempt: a.Attempt, Status: store.Failed}))
	}
}

func (s *Shell) serviceReply(a store.Send) store.Reply {
	entries, revision, err := s.perform(a.Call, a.Timeout)
	reply := store.Reply{Attempt: a.Attempt, Status: store.OK, Entries: entries, Revision: revision}
	var conflict *kv.ConflictError
	switch {
	case err == nil:
	case errors.Is(err, kv.ErrNotFound):
		reply.Status = store.NotFound
	case errors.As(err, &conflict):
		reply.Status = store.Conflict
		if conflict.Current != nil {
			reply.Entries = []store.Entry{entryOf(*conflict.Current)}
		}
	case errors.Is(err, kv.ErrUnavailable):
		reply.Status = store.Failed
	default:
		reply.Status = store.Lost
	}
	return reply
}

func (s *Shell) perform(call store.Call, timeout time.Duration) ([]store.Entry, int64, error) {
	switch call.Op {
	case store.OpGet:
		entry, err := s.kv.Get(call.Key, timeout)
		return []store.Entry{entryOf(entry)}, entry.Revision, err
	case store.OpList:
		listing, err := s.kv.List(call.Key, timeout)
		return entriesOf(listing), listing.Revision, err
	case store.OpWatch:
		listing, err := s.kv.Watch(call.Key, call.AfterRevision, call.Wait)
		return entriesOf(listing), listing.Revision, err
	case store.OpPut:
		revision, err := s.kv.CAS(call.Key, call.Value, call.Expect, "", timeout)
		return nil, revision, err
	default:
		return nil, 0, s.kv.Delete(call.Key, call.Expect, timeout)
	}
}

func entriesOf(listing kv.Listing) []store.Entry {
	var out []store.Entry
	for _, e := range listing.Entries {
		if !e.Deleted {
			out = append(out, entryOf(e))
		}
	}
	return out
}

func entryOf(e kv.Entry) store.Entry {
	return store.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
