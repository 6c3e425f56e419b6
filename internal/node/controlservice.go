package node

import (
	"encoding/json"
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/store"
)

// serviceWork holds what goes on when the key-value service has answered.
type serviceWork struct {
	last uint64
	then map[uint64]func(now time.Duration, done store.Done)
}

func newServiceWork() serviceWork {
	return serviceWork{then: map[uint64]func(time.Duration, store.Done){}}
}

// ask makes a call to the service within its budget, then goes on with then.
func (c *Control) ask(now time.Duration, call store.Call, then func(time.Duration, store.Done)) {
	c.work.last++
	id := c.work.last
	c.work.then[id] = then
	c.serviceDo(now, c.service.Step(now, store.Request{ID: id, Call: call}))
}

func (c *Control) serviceDo(now time.Duration, actions []store.Action) {
	for _, a := range actions {
		done, ok := a.(store.Done)
		if !ok {
			c.emit(a)
			continue
		}
		then := c.work.then[done.ID]
		delete(c.work.then, done.ID)
		if then != nil {
			then(now, done)
		}
	}
}

func (c *Control) listEnded(id uint64) func(time.Duration, store.Done) {
	return func(_ time.Duration, done store.Done) {
		c.emit(ListEnded{ID: id, OK: done.Status == store.OK || done.Status == store.Stale, Entries: done.Entries})
	}
}

func (c *Control) readRoster(now time.Duration) {
	c.ask(now, store.Call{Op: store.OpGet, Key: keyRoster, Urgent: true}, func(now time.Duration, done store.Done) {
		switch {
		case done.Status == store.NotFound && c.mayFoundRoster(now):
			c.leaseEvent(now, lease.RosterMissing{})
			return
		case done.Status == store.OK && len(done.Entries) == 1:
			roster, err := lease.DecodeRoster(done.Entries[0].Value)
			if err == nil {
				c.leaseEvent(now, lease.RosterRead{Revision: uint64(done.Entries[0].Revision), Roster: roster})
				return
			}
		}
		c.leaseEvent(now, lease.ServiceDown{})
	})
}

// mayFoundRoster holds the first roster back until there are members for a
// majority that outlives one of them, or for a while.
func (c *Control) mayFoundRoster(now time.Duration) bool {
	return len(c.present()) >= foundingMembers || now >= foundingWait
}

func (c *Control) writeRoster(now time.Duration, w lease.WriteRoster) {
	result := lease.CASResult{Outcome: lease.CASUnknown, Version: w.Roster.Version}
	value, err := w.Roster.Encode()
	if err != nil {
		c.leaseEvent(now, result)
		return
	}
	call := store.Call{Op: store.OpPut, Key: keyRoster, Value: value, Expect: int64(w.Expect), Urgent: true}
	c.ask(now, call, func(now time.Duration, done store.Done) {
		switch done.Status {
		case store.OK:
			result.Outcome, result.Revision = lease.CASOK, uint64(done.Revision)
		case store.Conflict:
			if !done.Overwritten {
				result.Outcome = lease.CASConflict
			}
		}
		c.leaseEvent(now, result)
	})
}

// readHead follows the head of the configuration: at once, or once it is newer.
func (c *Control) readHead(now time.Duration, after uint64) {
	call := store.Call{Op: store.OpGet, Key: keyHead}
	if after > 0 {
		call = store.Call{Op: store.OpWatch, Key: keyHead, AfterRevision: int64(after), Wait: watchWait}
	}
	c.ask(now, call, func(now time.Duration, done store.Done) {
		c.spreadDo(now, c.spread.Step(now, headRead(after, done)))
	})
}

func headRead(after uint64, done store.Done) config.SpreadEvent {
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

// partsWait is the time that the parts of a version may take within the budget.
const partsWait = 12 * time.Second

// readParts reads every part, then hands all of them on, or none.
func (c *Control) readParts(now time.Duration, hashes []config.PartHash, then func(time.Duration, map[config.PartHash]string, bool)) {
	texts := map[config.PartHash]string{}
	left := len(hashes)
	whole := true
	for _, hash := range hashes {
		call := store.Call{Op: store.OpGet, Key: keyPartPrefix + string(hash), Timeout: partsWait}
		c.ask(now, call, func(now time.Duration, done store.Done) {
			left--
			switch {
			case done.Status == store.OK && len(done.Entries) == 1:
				texts[hash] = string(done.Entries[0].Value)
			case done.Status != store.NotFound:
				whole = false
			}
			if left == 0 {
				then(now, texts, whole)
			}
		})
	}
}

func (c *Control) trailDo(now time.Duration, actions []audit.Action) {
	for _, a := range actions {
		w, ok := a.(audit.WriteBatch)
		if !ok {
			continue
		}
		call := store.Call{Op: store.OpPut, Key: keyTrail + w.Key, Value: []byte(w.Lines)}
		c.ask(now, call, func(now time.Duration, done store.Done) {
			event := audit.Event(audit.BatchFailed{Key: w.Key})
			if done.Status == store.OK || done.Status == store.Conflict {
				event = audit.BatchWritten{Key: w.Key}
			}
			c.trailDo(now, c.trail.Step(now, event))
		})
	}
}

// audit adds a record to the trail and to the log.
func (c *Control) audit(now time.Duration, record audit.Record) {
	record.When = time.Unix(c.cfg.StartUnix, 0).Add(now).UTC()
	c.emit(Log{Record: record})
	c.trailDo(now, c.trail.Step(now, audit.Append{Record: record}))
}
