package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/platform"
)

// callService makes one call to the key-value service.
func (s *Shell) callService(a platform.Send) {
	ok := s.Submit(func() { s.Send(s.serviceReply(a)) })
	if !ok {
		s.TrySend(any(platform.Reply{Attempt: a.Attempt, Status: platform.Failed}))
	}
}

func (s *Shell) serviceReply(a platform.Send) platform.Reply {
	entries, revision, err := s.perform(a.Call, a.Timeout)
	reply := platform.Reply{Attempt: a.Attempt, Status: platform.OK, Entries: entries, Revision: revision}
	var conflict *kv.ConflictError
	switch {
	case err == nil:
	case errors.Is(err, kv.ErrNotFound):
		reply.Status = platform.NotFound
	case errors.As(err, &conflict):
		reply.Status = platform.Conflict
		if conflict.Current != nil {
			reply.Entries = []platform.Entry{entryOf(*conflict.Current)}
		}
	case errors.Is(err, kv.ErrDown):
		reply.Status = platform.Failed
	default:
		reply.Status = platform.Lost
	}
	return reply
}

func (s *Shell) perform(call platform.Call, timeout time.Duration) ([]platform.Entry, int64, error) {
	switch call.Op {
	case platform.OpGet:
		entry, err := s.kv.Get(call.Key, timeout)
		return []platform.Entry{entryOf(entry)}, entry.Revision, err
	case platform.OpList:
		listing, err := s.kv.List(call.Key, timeout)
		return entriesOf(listing), listing.Revision, err
	case platform.OpWatch:
		listing, err := s.kv.Watch(call.Key, call.After, call.Wait)
		return entriesOf(listing), listing.Revision, err
	case platform.OpPut:
		revision, err := s.kv.CAS(call.Key, call.Value, call.Expect, "", timeout)
		return nil, revision, err
	default:
		return nil, 0, s.kv.Delete(call.Key, call.Expect, timeout)
	}
}

func entriesOf(listing kv.Listing) []platform.Entry {
	var out []platform.Entry
	for _, e := range listing.Entries {
		if !e.Deleted {
			out = append(out, entryOf(e))
		}
	}
	return out
}

func entryOf(e kv.Entry) platform.Entry {
	return platform.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
