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

// applyRun is a sheet that is being applied.
type applyRun struct {
	request ApplyAsked
	core    *config.Apply
	wakeAt  time.Duration
}

// maxApplyQueue bounds the sheets that wait on this VM while another one is applied.
const maxApplyQueue = 16

func (c *Control) requestApply(now time.Duration, request ApplyAsked) {
	if c.apply == nil {
		c.beginApply(now, request)
		return
	}
	if len(c.applyQueue) >= maxApplyQueue {
		c.emit(ApplyEnded{ID: request.ID, Outcome: config.Outcome{Kind: config.OutcomeUnavailable,
			Detail: "too many sheets wait at this VM; apply it again later"}})
		return
	}
	c.applyQueue = append(c.applyQueue, request)
}

func (c *Control) beginApply(now time.Duration, request ApplyAsked) {
	core, err := config.NewApply(c.cfg.Apply, request.Sheet, request.Operator, c.spread.Snapshot().Texts())
	if err != nil {
		c.emit(ApplyEnded{ID: request.ID, Outcome: config.Outcome{Kind: config.OutcomeRefused, Detail: err.Error()}})
		return
	}
	c.apply = &applyRun{request: request, core: core}
	c.updateKVShare(now)
	c.stepApply(now, config.ApplyBegin{})
}

func (c *Control) tickApply(now time.Duration) {
	if c.apply != nil && c.apply.wakeAt > 0 && now >= c.apply.wakeAt {
		c.apply.wakeAt = 0
		c.stepApply(now, config.ApplyTick{})
	}
}

func (c *Control) stepApply(now time.Duration, ev config.ApplyEvent) {
	for _, a := range c.apply.core.Step(now, ev) {
		c.handleApplyAction(now, a)
	}
}

// continueApply passes a result of the key-value service to run, unless run has ended.
func (c *Control) continueApply(now time.Duration, run *applyRun, ev config.ApplyEvent) {
	if c.apply == run {
		c.stepApply(now, ev)
	}
}

func (c *Control) handleApplyAction(now time.Duration, action config.ApplyAction) {
	run := c.apply
	switch a := action.(type) {
	case config.LoadHead:
		c.loadHead(now, run)
	case config.LoadParts:
		c.readParts(now, a.Hashes, func(now time.Duration, texts map[config.PartHash]string, complete bool) {
			ev := config.ApplyEvent(config.ServiceFailed{Reason: "parts could not be read"})
			if complete {
				ev = config.PartsLoaded{Texts: texts}
			}
			c.continueApply(now, run, ev)
		})
	case config.StoreParts:
		c.storeParts(now, run, a)
	case config.SwapHead:
		c.swapHead(now, run, a)
	case config.DeleteParts:
		for _, hash := range a.Hashes {
			c.callKV(now, store.Call{Op: store.OpDelete, Key: keyPartPrefix + string(hash), Expect: anyRevision}, nil)
		}
	case config.WakeApply:
		run.wakeAt = a.At
	case config.Applied:
		c.finishApply(now, run, a.Outcome)
	}
}

// anyRevision makes a write or delete unconditional.
const anyRevision = -1

func (c *Control) loadHead(now time.Duration, run *applyRun) {
	c.callKV(now, store.Call{Op: store.OpGet, Key: keyHead}, func(now time.Duration, done store.Done) {
		c.continueApply(now, run, headLoadedEvent(done))
	})
}

func headLoadedEvent(done store.Done) config.ApplyEvent {
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

// storeParts writes parts under their hashes. A part that exists already has the same
// content, so a conflict counts as success.
func (c *Control) storeParts(now time.Duration, run *applyRun, a config.StoreParts) {
	remaining := len(a.Texts)
	stored := true
	for _, hash := range sortedHashes(a.Texts) {
		call := store.Call{Op: store.OpPut, Key: keyPartPrefix + string(hash), Value: []byte(a.Texts[hash]), Timeout: partsTimeout}
		c.callKV(now, call, func(now time.Duration, done store.Done) {
			remaining--
			stored = stored && (done.Status == store.OK || done.Status == store.Conflict)
			if remaining > 0 {
				return
			}
			ev := config.ApplyEvent(config.ServiceFailed{Reason: "parts could not be stored"})
			if stored {
				ev = config.PartsStored{}
			}
			c.continueApply(now, run, ev)
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

func (c *Control) swapHead(now time.Duration, run *applyRun, a config.SwapHead) {
	value, err := json.Marshal(a.Head)
	if err != nil {
		c.continueApply(now, run, config.ServiceFailed{Reason: err.Error()})
		return
	}
	call := store.Call{Op: store.OpPut, Key: keyHead, Value: value, Expect: int64(a.Expect), Urgent: true}
	c.callKV(now, call, func(now time.Duration, done store.Done) {
		switch done.Status {
		case store.OK:
			c.continueApply(now, run, config.HeadSwapped{})
		case store.Conflict:
			c.continueApply(now, run, config.HeadConflict{})
		default:
			c.continueApply(now, run, config.ServiceFailed{Reason: "the head could not be written: " + string(done.Status)})
		}
	})
}

func (c *Control) finishApply(now time.Duration, run *applyRun, outcome config.Outcome) {
	c.apply = nil
	c.emit(ApplyEnded{ID: run.request.ID, Outcome: outcome})
	c.auditApply(now, run.request, outcome)
	c.updateKVShare(now)
	if snapshot, ok := run.core.AttemptedSnapshot(outcome.Version); ok && outcome.Kind == config.OutcomeAccepted {
		c.handleSpreadActions(now, c.spread.Step(now, config.SelfApplied{Snapshot: snapshot}))
	}
	if len(c.applyQueue) > 0 {
		next := c.applyQueue[0]
		c.applyQueue = c.applyQueue[1:]
		c.beginApply(now, next)
	}
}

// auditApply records the outcome of a sheet and each limit that it changed.
func (c *Control) auditApply(now time.Duration, request ApplyAsked, outcome config.Outcome) {
	detail := outcome.Detail
	if len(outcome.Faults) > 0 {
		detail = fmt.Sprintf("%d faults", len(outcome.Faults))
	}
	c.audit(now, audit.Record{Who: request.Operator, What: "sheet.apply", Object: fmt.Sprintf("version %d", outcome.Version),
		SheetHash: request.Sheet.Hash, Verdict: string(outcome.Kind), Detail: detail})
	for _, change := range outcome.Changes {
		c.audit(now, audit.Record{Who: request.Operator, What: "limit.raise", Object: change.Key.String(),
			Before: fmt.Sprint(change.Before), After: fmt.Sprint(change.After), SheetHash: request.Sheet.Hash,
			Verdict: string(outcome.Kind)})
	}
}

// handleConfigMessage handles a peer's message about the distribution of the configuration.
func (c *Control) handleConfigMessage(now time.Duration, m ConfigMessage) {
	switch {
	case m.Version != nil:
		c.handleSpreadActions(now, c.spread.Step(now, *m.Version))
	case m.Pull != nil:
		c.handleSpreadActions(now, c.spread.Step(now, *m.Pull))
	case m.Parts != nil:
		c.handleSpreadActions(now, c.spread.Step(now, *m.Parts))
	}
}

func (c *Control) handleSpreadActions(now time.Duration, actions []config.SpreadAction) {
	self := c.cfg.Self.VM
	for _, a := range actions {
		switch a := a.(type) {
		case config.WatchHead:
			c.readHead(now, a.After)
		case config.ReadParts:
			c.readParts(now, a.Hashes, func(now time.Duration, texts map[config.PartHash]string, complete bool) {
				ev := config.SpreadEvent(config.ReadFailed{})
				if complete {
					ev = config.PartsRead{Texts: texts}
				}
				c.handleSpreadActions(now, c.spread.Step(now, ev))
			})
		case config.SendVersion:
			c.sendConfig(a.To, ConfigMessage{Version: &config.PeerVersion{From: self, Version: a.Version, WantsReply: a.WantsReply}})
		case config.SendPull:
			c.sendConfig(a.To, ConfigMessage{Pull: &config.PeerPull{From: self, HeldVersion: a.HeldVersion, HeldParts: a.HeldParts}})
		case config.SendParts:
			c.sendConfig(a.To, ConfigMessage{Parts: &config.PeerParts{From: self, Head: a.Head, Texts: a.Texts}})
		case config.Adopted:
			c.adoptConfig(now, a.Snapshot)
		}
	}
	c.markConfigReady()
}

// markConfigReady sets configVersion to 1 if this VM is ready without having adopted a
// version, because none exists yet. The entry process then receives the empty configuration.
func (c *Control) markConfigReady() {
	if c.spread.Ready() && c.configVersion == 0 {
		c.configVersion = 1
	}
}

func (c *Control) sendConfig(to ident.VM, m ConfigMessage) {
	for _, member := range c.knownMembers() {
		if member.Instance.VM == to {
			c.emit(SendConfig{Addr: member.ControlAddr, Message: m})
			return
		}
	}
}

// adoptConfig puts a newer configuration version in force on this VM.
func (c *Control) adoptConfig(now time.Duration, snapshot config.Snapshot) {
	c.configVersion++
	update := limits.SetLimits{}
	for _, key := range snapshot.State.Keys() {
		limit, _ := snapshot.State.Get(key)
		update.Limits = append(update.Limits, lenderLimit(key, limit))
	}
	c.handleLenderActions(c.lender.Step(now, update))
	c.publishVersions(now)
}
