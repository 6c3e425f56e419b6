package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/store"
)

// applying is the sheet that is being taken through acceptance.
type applying struct {
	ask     ApplyAsked
	machine *config.Apply
	wakeAt  time.Duration
}

// maxApplyQueue bounds the sheets that wait at one VM.
const maxApplyQueue = 16

func (c *Control) applyAsked(now time.Duration, ask ApplyAsked) {
	if c.apply == nil {
		c.beginApply(now, ask)
		return
	}
	if len(c.applyQueue) >= maxApplyQueue {
		c.emit(ApplyEnded{ID: ask.ID, Outcome: config.Outcome{Kind: config.OutcomeUnavailable,
			Detail: "too many sheets wait at this VM; apply it again later"}})
		return
	}
	c.applyQueue = append(c.applyQueue, ask)
}

func (c *Control) beginApply(now time.Duration, ask ApplyAsked) {
	machine, err := config.NewApply(c.cfg.Apply, ask.Sheet, ask.Operator, c.spread.Snapshot().Texts())
	if err != nil {
		c.emit(ApplyEnded{ID: ask.ID, Outcome: config.Outcome{Kind: config.OutcomeRefused, Detail: err.Error()}})
		return
	}
	c.apply = &applying{ask: ask, machine: machine}
	c.shareBudget(now)
	c.applyStep(now, config.ApplyBegin{})
}

func (c *Control) tickApply(now time.Duration) {
	if c.apply != nil && c.apply.wakeAt > 0 && now >= c.apply.wakeAt {
		c.apply.wakeAt = 0
		c.applyStep(now, config.ApplyTick{})
	}
}

func (c *Control) applyStep(now time.Duration, ev config.ApplyEvent) {
	for _, a := range c.apply.machine.Step(now, ev) {
		c.applyDo(now, a)
	}
}

// applyReply hands an answer to the sheet that asked, if it is still under way.
func (c *Control) applyReply(now time.Duration, by *applying, ev config.ApplyEvent) {
	if c.apply == by {
		c.applyStep(now, ev)
	}
}

func (c *Control) applyDo(now time.Duration, action config.ApplyAction) {
	by := c.apply
	switch a := action.(type) {
	case config.LoadHead:
		c.loadHead(now, by)
	case config.LoadParts:
		c.readParts(now, a.Hashes, func(now time.Duration, texts map[config.PartHash]string, whole bool) {
			ev := config.ApplyEvent(config.ServiceFailed{Reason: "parts could not be read"})
			if whole {
				ev = config.PartsLoaded{Texts: texts}
			}
			c.applyReply(now, by, ev)
		})
	case config.StoreParts:
		c.storeParts(now, by, a)
	case config.SwapHead:
		c.swapHead(now, by, a)
	case config.DeleteParts:
		for _, hash := range a.Hashes {
			c.ask(now, store.Call{Op: store.OpDelete, Key: keyPartPrefix + string(hash), Expect: anyRevision}, nil)
		}
	case config.WakeApply:
		by.wakeAt = a.At
	case config.Applied:
		c.applied(now, by, a.Outcome)
	}
}

// anyRevision lets a write or delete go on whatever is there.
const anyRevision = -1

func (c *Control) loadHead(now time.Duration, by *applying) {
	c.ask(now, store.Call{Op: store.OpGet, Key: keyHead}, func(now time.Duration, done store.Done) {
		c.applyReply(now, by, headLoaded(done))
	})
}

func headLoaded(done store.Done) config.ApplyEvent {
	if done.Status == store.NotFound {
		return config.HeadLoaded{}
	}
	if done.Status != store.OK || len(done.Entries) != 1 {
		return config.ServiceFailed{Reason: "the head could not be read: " + string(done.Status)}
	}
	head, err := decodeHead(done.Entries[0].Value)
	if err != nil {
		return config.ServiceFailed{Reason: "the head is damaged: " + err.Error()}
	}
	return config.HeadLoaded{Head: head, Revision: uint64(done.Entries[0].Revision)}
}

// storeParts writes parts under their hashes. One that is there already is the
// same, so a conflict is a success.
func (c *Control) storeParts(now time.Duration, by *applying, a config.StoreParts) {
	left := len(a.Texts)
	stored := true
	for _, hash := range sortedHashes(a.Texts) {
		call := store.Call{Op: store.OpPut, Key: keyPartPrefix + string(hash), Value: []byte(a.Texts[hash]), Timeout: partsWait}
		c.ask(now, call, func(now time.Duration, done store.Done) {
			left--
			stored = stored && (done.Status == store.OK || done.Status == store.Conflict)
			if left > 0 {
				return
			}
			ev := config.ApplyEvent(config.ServiceFailed{Reason: "parts could not be stored"})
			if stored {
				ev = config.PartsStored{}
			}
			c.applyReply(now, by, ev)
		})
	}
}

func sortedHashes(texts map[config.PartHash]string) []config.PartHash {
	hashes := make([]config.PartHash, 0, len(texts))
	for hash := range texts {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

func (c *Control) swapHead(now time.Duration, by *applying, a config.SwapHead) {
	value, err := json.Marshal(a.Head)
	if err != nil {
		c.applyReply(now, by, config.ServiceFailed{Reason: err.Error()})
		return
	}
	call := store.Call{Op: store.OpPut, Key: keyHead, Value: value, Expect: int64(a.Expect), Urgent: true}
	c.ask(now, call, func(now time.Duration, done store.Done) {
		switch done.Status {
		case store.OK:
			c.applyReply(now, by, config.HeadSwapped{})
		case store.Conflict:
			c.applyReply(now, by, config.HeadConflict{})
		default:
			c.applyReply(now, by, config.ServiceFailed{Reason: "the head could not be written: " + string(done.Status)})
		}
	})
}

func (c *Control) applied(now time.Duration, by *applying, outcome config.Outcome) {
	c.apply = nil
	c.emit(ApplyEnded{ID: by.ask.ID, Outcome: outcome})
	c.auditApply(now, by.ask, outcome)
	c.shareBudget(now)
	if made, ok := by.machine.CreatedSnapshot(outcome.Version); ok && outcome.Kind == config.OutcomeAccepted {
		c.spreadDo(now, c.spread.Step(now, config.SelfApplied{Snapshot: made}))
	}
	if len(c.applyQueue) > 0 {
		next := c.applyQueue[0]
		c.applyQueue = c.applyQueue[1:]
		c.beginApply(now, next)
	}
}

// auditApply records the sheet's outcome, and each limit that it changed.
func (c *Control) auditApply(now time.Duration, ask ApplyAsked, outcome config.Outcome) {
	detail := outcome.Detail
	if len(outcome.Faults) > 0 {
		detail = fmt.Sprintf("%d faults", len(outcome.Faults))
	}
	c.audit(now, audit.Record{Who: ask.Operator, What: "sheet.apply", Object: fmt.Sprintf("version %d", outcome.Version),
		SheetHash: ask.Sheet.Hash, Verdict: string(outcome.Kind), Detail: detail})
	for _, change := range outcome.Changes {
		c.audit(now, audit.Record{Who: ask.Operator, What: "limit.raise", Object: change.Key.String(),
			Before: fmt.Sprint(change.Before), After: fmt.Sprint(change.After), SheetHash: ask.Sheet.Hash,
			Verdict: string(outcome.Kind)})
	}
}

// configMessage takes in a message of the spread from a peer.
func (c *Control) configMessage(now time.Duration, m ConfigMessage) {
	switch {
	case m.Version != nil:
		c.spreadDo(now, c.spread.Step(now, *m.Version))
	case m.Pull != nil:
		c.spreadDo(now, c.spread.Step(now, *m.Pull))
	case m.Parts != nil:
		c.spreadDo(now, c.spread.Step(now, *m.Parts))
	}
}

func (c *Control) spreadDo(now time.Duration, actions []config.SpreadAction) {
	self := c.cfg.Self.VM
	for _, a := range actions {
		switch a := a.(type) {
		case config.WatchHead:
			c.readHead(now, a.After)
		case config.ReadParts:
			c.readParts(now, a.Hashes, func(now time.Duration, texts map[config.PartHash]string, whole bool) {
				ev := config.SpreadEvent(config.ReadFailed{})
				if whole {
					ev = config.PartsRead{Texts: texts}
				}
				c.spreadDo(now, c.spread.Step(now, ev))
			})
		case config.SendVersion:
			c.sendConfig(a.To, ConfigMessage{Version: &config.PeerVersion{From: self, Version: a.Version, WantsReply: a.WantsReply}})
		case config.SendPull:
			c.sendConfig(a.To, ConfigMessage{Pull: &config.PeerPull{From: self, Have: a.Have, Held: a.Held}})
		case config.SendParts:
			c.sendConfig(a.To, ConfigMessage{Parts: &config.PeerParts{From: self, Head: a.Head, Texts: a.Texts}})
		case config.Adopted:
			c.adopted(now, a.Snapshot)
		}
	}
	c.noteReady()
}

// noteReady lets the entry know once this VM knows what was accepted.
func (c *Control) noteReady() {
	if c.spread.Ready() && c.configVersion == 0 {
		c.configVersion = 1
	}
}

func (c *Control) sendConfig(to ident.VM, m ConfigMessage) {
	for _, member := range c.fleet() {
		if member.Instance.VM == to {
			c.emit(SendConfig{Addr: member.ControlAddr, Message: m})
			return
		}
	}
}

// adopted puts a newer version in force on this VM.
func (c *Control) adopted(now time.Duration, snapshot config.Snapshot) {
	c.configVersion++
	set := limits.SetLimits{}
	for _, key := range snapshot.State.Keys() {
		limit, _ := snapshot.State.Get(key)
		set.Limits = append(set.Limits, limitOf(key, limit))
	}
	c.lend(c.lender.Step(now, set))
	c.tellVersions(now)
}
