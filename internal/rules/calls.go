package rules

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// notRunChecker checks that a request refused with the verdict "not run" had no send that
// may have run, and is not sent afterwards.
type notRunChecker struct {
	checkerBase
	refusedCompletions map[string]bool
	refusedCalls       map[call.RequestID]bool
	// callSends counts the sends of a call, except those known not to have run;
	// completionSends does the same for the steps of a completion.
	callSends       map[call.RequestID]int
	completionSends map[string]int
}

func newNotRunChecker() *notRunChecker {
	return &notRunChecker{checkerBase: checkerBase{name: "not-run-is-true"},
		refusedCompletions: map[string]bool{}, refusedCalls: map[call.RequestID]bool{},
		callSends: map[call.RequestID]int{}, completionSends: map[string]int{}}
}

// Observe implements Checker.
func (n *notRunChecker) Observe(now time.Duration, event any, actions []any) {
	n.observeEvent(event)
	forEachNotRunCompletion(actions, func(request string) {
		n.checked++
		n.refusedCompletions[request] = true
		if n.completionSends[request] > 0 {
			n.addViolation(now, "completion %s was refused as not run, but may have run", request)
		}
	})
	for _, a := range actions {
		n.observeAction(now, a)
	}
}

func (n *notRunChecker) observeEvent(event any) {
	switch ev := event.(type) {
	case call.SendEnded:
		if ev.Result == call.ConnectFailed || ev.Result == call.NotRunByServer {
			n.callSends[ev.ID]--
		}
	case stream.StepFailed:
		if ev.Kind != stream.FailureLost {
			n.completionSends[stream.RequestOf(ev.Stream)]--
		}
	}
}

func (n *notRunChecker) observeAction(now time.Duration, a any) {
	switch a := a.(type) {
	case call.Send:
		n.callSends[a.ID]++
		if n.refusedCalls[a.ID] {
			n.addViolation(now, "call %d was sent after it was refused as not run", a.ID)
		}
	case stream.SendStep:
		request := stream.RequestOf(a.Stream)
		n.completionSends[request]++
		if n.refusedCompletions[request] {
			n.addViolation(now, "completion %s was sent after it was refused as not run", request)
		}
	case call.Refuse:
		if a.Refusal.Verdict != verdict.NotRun {
			return
		}
		n.checked++
		n.refusedCalls[a.ID] = true
		if n.callSends[a.ID] > 0 {
			n.addViolation(now, "call %d was refused as not run, but may have run", a.ID)
		}
	}
}

// atMostOnceChecker checks that a non-idempotent call has at most one send that may have
// run, and that an idempotency key has at most one such call at this entry.
type atMostOnceChecker struct {
	checkerBase
	calls    map[call.RequestID]call.Request
	sends    map[call.RequestID]int
	keySends map[string]int
}

func newAtMostOnceChecker() *atMostOnceChecker {
	return &atMostOnceChecker{checkerBase: checkerBase{name: "at-most-once"}, calls: map[call.RequestID]call.Request{},
		sends: map[call.RequestID]int{}, keySends: map[string]int{}}
}

// Observe implements Checker.
func (c *atMostOnceChecker) Observe(now time.Duration, event any, actions []any) {
	switch ev := event.(type) {
	case call.Request:
		if !ev.Idempotent {
			c.calls[ev.ID] = ev
		}
	case call.SendEnded:
		if ev.Result == call.ConnectFailed || ev.Result == call.NotRunByServer {
			c.addSends(now, ev.ID, -1)
		}
	}
	for _, a := range actions {
		if send, ok := a.(call.Send); ok {
			c.addSends(now, send.ID, 1)
		}
	}
}

// addSends adds n, which is negative for a send known not to have run.
func (c *atMostOnceChecker) addSends(now time.Duration, id call.RequestID, n int) {
	request, ok := c.calls[id]
	if !ok {
		return
	}
	c.checked++
	c.sends[id] += n
	if c.sends[id] > 1 {
		c.addViolation(now, "call %d was sent %d times", id, c.sends[id])
	}
	if request.Key == "" {
		return
	}
	name := string(request.Team) + "/" + request.Key
	c.keySends[name] += n
	if c.keySends[name] > 1 {
		c.addViolation(now, "key %s was sent %d times", name, c.keySends[name])
	}
}

// plannedStopChecker checks that a planned stop does not refuse or cut a request because
// the entry leaves, that the listener stays open while the entry's address is valid, and
// that the process stops only after the last completion has ended.
type plannedStopChecker struct {
	checkerBase
	draining          bool
	openCompletions   map[string]bool
	addressValidUntil time.Duration
}

func newPlannedStopChecker() *plannedStopChecker {
	return &plannedStopChecker{checkerBase: checkerBase{name: "planned-stop-cuts-nothing"}, openCompletions: map[string]bool{}}
}

// Observe implements Checker.
func (c *plannedStopChecker) Observe(now time.Duration, event any, actions []any) {
	switch ev := event.(type) {
	case entrylist.Drain:
		c.draining = true
		c.checked++
	case node.CompletionAsked:
		c.openCompletions[ev.Request] = true
	}
	for _, a := range actions {
		c.observeAction(now, a)
	}
}

func (c *plannedStopChecker) observeAction(now time.Duration, a any) {
	switch a := a.(type) {
	case node.AddressesAnswered:
		c.extendAddressValidity(now, a)
	case entrylist.GiveGrant:
		c.addressValidUntil = max(c.addressValidUntil, now+a.Term)
	case stream.Cut:
		if a.Refusal.Cause == verdict.CauseLeaving {
			c.addViolation(now, "%s was cut because the entry leaves", a.Request)
		}
		delete(c.openCompletions, a.Request)
	case node.Refused:
		if a.Refusal.Cause == verdict.CauseLeaving {
			c.addViolation(now, "%s was refused although its caller held a valid address", a.Request)
		}
		delete(c.openCompletions, a.Request)
	case stream.Finish:
		delete(c.openCompletions, a.Request)
	case entrylist.CloseListener:
		if now < c.addressValidUntil {
			c.addViolation(now, "the listener was closed, but an address is valid until %s", c.addressValidUntil)
		}
	case entrylist.Stop:
		if len(c.openCompletions) > 0 {
			c.addViolation(now, "the process stopped with %d open completions", len(c.openCompletions))
		}
	}
}

// extendAddressValidity updates the time until which callers may use this entry's
// address.
func (c *plannedStopChecker) extendAddressValidity(now time.Duration, a node.AddressesAnswered) {
	if !c.draining && a.List.KeyPrefix != "" {
		c.addressValidUntil = max(c.addressValidUntil, now+a.List.Lifetime)
	}
}

// configChecker checks that accepted configuration versions and limits never
// decrease.
type configChecker struct {
	checkerBase
	version uint64
	limits  map[string]float64
}

func newConfigChecker() *configChecker {
	return &configChecker{checkerBase: checkerBase{name: "configuration-never-reverts"}, limits: map[string]float64{}}
}

// Observe implements Checker.
func (c *configChecker) Observe(now time.Duration, event any, actions []any) {
	if snap, ok := event.(node.Snapshot); ok {
		c.checkAccepted(now, snap.Reply.Config)
	}
	for _, a := range actions {
		if answer, ok := a.(node.SnapshotAnswered); ok {
			c.checkAccepted(now, answer.Reply.Config)
		}
	}
}

func (c *configChecker) checkAccepted(now time.Duration, accepted *peer.AcceptedConfig) {
	if accepted == nil || !accepted.Known {
		return
	}
	c.checked++
	if accepted.Version < c.version {
		c.addViolation(now, "version %d was accepted after version %d", accepted.Version, c.version)
	}
	c.version = max(c.version, accepted.Version)
	for _, l := range accepted.Limits {
		name := string(l.Team) + "/" + string(l.Service) + "/" + l.Unit
		if l.PerSecond < c.limits[name] {
			c.addViolation(now, "limit %s decreased from %g to %g", name, c.limits[name], l.PerSecond)
		}
		c.limits[name] = max(c.limits[name], l.PerSecond)
	}
}
