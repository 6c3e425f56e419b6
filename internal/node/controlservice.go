package node

import (
	"encoding/json"
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/store"
)

// pendingKVCalls holds the callbacks of open calls to the key-value service by call ID.
type pendingKVCalls struct {
	lastID uint64
	onDone map[uint64]func(now time.Duration, done store.Done)
}

func newPendingKVCalls() pendingKVCalls {
	return pendingKVCalls{onDone: map[uint64]func(time.Duration, store.Done){}}
}

// callKV calls the key-value service within its budget and runs onDone, if set, with the
// result.
func (c *Control) callKV(now time.Duration, call store.Call, onDone func(time.Duration, store.Done)) {
	c.kvCalls.lastID++
	id := c.kvCalls.lastID
	c.kvCalls.onDone[id] = onDone
	c.handleKVActions(now, c.kv.Step(now, store.Request{ID: id, Call: call}))
}

func (c *Control) handleKVActions(now time.Duration, actions []store.Action) {
	for _, a := range actions {
		done, ok := a.(store.Done)
		if !ok {
			c.emit(a)
			continue
		}
		onDone := c.kvCalls.onDone[done.ID]
		delete(c.kvCalls.onDone, done.ID)
		if onDone != nil {
			onDone(now, done)
		}
	}
}

// onListDone returns the callback that answers a ListAsked.
func (c *Control) onListDone(id uint64) func(time.Duration, store.Done) {
	return func(_ time.Duration, done store.Done) {
		c.emit(ListEnded{ID: id, OK: done.Status == store.OK || done.Status == store.Stale, Entries: done.Entries})
	}
}

func (c *Control) readRoster(now time.Duration) {
	c.callKV(now, store.Call{Op: store.OpGet, Key: keyRoster, Urgent: true}, func(now time.Duration, done store.Done) {
		switch {
		case done.Status == store.NotFound && c.mayBootstrapRoster(now):
			c.stepLease(now, lease.RosterMissing{})
			return
		case done.Status == store.OK && len(done.Entries) == 1:
			roster, err := lease.DecodeRoster(done.Entries[0].Value)
			if err == nil {
				c.stepLease(now, lease.RosterRead{Revision: uint64(done.Entries[0].Revision), Roster: roster})
				return
			}
		}
		c.stepLease(now, lease.ServiceDown{})
	})
}

// mayBootstrapRoster reports whether the first roster may be written: enough members are
// live for a majority to survive the loss of one, or bootstrapWait has passed.
func (c *Control) mayBootstrapRoster(now time.Duration) bool {
	return len(c.liveMembers()) >= bootstrapMembers || now >= bootstrapWait
}

func (c *Control) writeRoster(now time.Duration, w lease.WriteRoster) {
	result := lease.CASResult{Outcome: lease.CASUnknown, Version: w.Roster.Version}
	value, err := w.Roster.Encode()
	if err != nil {
		c.stepLease(now, result)
		return
	}
	call := store.Call{Op: store.OpPut, Key: keyRoster, Value: value, Expect: int64(w.Expect), Urgent: true}
	c.callKV(now, call, func(now time.Duration, done store.Done) {
		switch done.Status {
		case store.OK:
			result.Outcome, result.Revision = lease.CASOK, uint64(done.Revision)
		case store.Conflict:
			if !done.Overwritten {
				result.Outcome = lease.CASConflict
			}
		}
		c.stepLease(now, result)
	})
}

// readHead reads the configuration head, or, if after is set, watches for a revision
// after it.
func (c *Control) readHead(now time.Duration, after uint64) {
	call := store.Call{Op: store.OpGet, Key: keyHead}
	if after > 0 {
		call = store.Call{Op: store.OpWatch, Key: keyHead, AfterRevision: int64(after), Wait: watchWait}
	}
	c.callKV(now, call, func(now time.Duration, done store.Done) {
		c.handleSpreadActions(now, c.spread.Step(now, headReadEvent(after, done)))
	})
}

func headReadEvent(after uint64, done store.Done) config.SpreadEvent {
	if done.Status == store.NotFound {
		return config.HeadRead{}
	}
	if done.Status != store.OK {
		return config.ReadFailed{}
	}
	if len(done.Entries) == 0 {
		return config.HeadRead{Found: true, Revision: after}
	}
	head, err := decodeHead(done.Entries[0].Value)
	if err != nil {
		return config.ReadFailed{}
	}
	return config.HeadRead{Found: true, Head: head, Revision: uint64(done.Entries[0].Revision)}
}

func decodeHead(raw []byte) (config.Head, error) {
	var head config.Head
	err := json.Unmarshal(raw, &head)
	return head, err
}

// partsTimeout bounds the read or write of one part, including the wait for the call
// budget.
const partsTimeout = 12 * time.Second

// readParts reads all parts and then calls onDone with their texts by hash. The texts
// omit parts that do not exist. The last argument of onDone is false if a read failed.
func (c *Control) readParts(now time.Duration, hashes []config.PartHash, onDone func(time.Duration, map[config.PartHash]string, bool)) {
	texts := map[config.PartHash]string{}
	remaining := len(hashes)
	complete := true
	for _, hash := range hashes {
		call := store.Call{Op: store.OpGet, Key: keyPartPrefix + string(hash), Timeout: partsTimeout}
		c.callKV(now, call, func(now time.Duration, done store.Done) {
			remaining--
			switch {
			case done.Status == store.OK && len(done.Entries) == 1:
				texts[hash] = string(done.Entries[0].Value)
			case done.Status != store.NotFound:
				complete = false
			}
			if remaining == 0 {
				onDone(now, texts, complete)
			}
		})
	}
}

func (c *Control) handleTrailActions(now time.Duration, actions []audit.Action) {
	for _, a := range actions {
		w, ok := a.(audit.WriteBatch)
		if !ok {
			continue
		}
		call := store.Call{Op: store.OpPut, Key: keyTrailPrefix + w.Key, Value: []byte(w.Lines)}
		c.callKV(now, call, func(now time.Duration, done store.Done) {
			event := audit.Event(audit.BatchFailed{Key: w.Key})
			if done.Status == store.OK || done.Status == store.Conflict {
				event = audit.BatchWritten{Key: w.Key}
			}
			c.handleTrailActions(now, c.trail.Step(now, event))
		})
	}
}

// audit writes a record to the audit trail and to the log.
func (c *Control) audit(now time.Duration, record audit.Record) {
	record.When = time.Unix(c.cfg.StartUnix, 0).Add(now).UTC()
	c.emit(Log{Record: record})
	c.handleTrailActions(now, c.trail.Step(now, audit.Append{Record: record}))
}
