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

// notRun holds "not run" to its word: no send of the request may have reached a
// backend server, before or after.
type notRun struct {
	base
	said      map[string]bool
	saidCalls map[call.RequestID]bool
	// mayHave counts the sends of a call that are not known to have failed
	// before they ran; unsure is the same for streams.
	mayHave map[call.RequestID]int
	unsure  map[string]int
}

func newNotRun() *notRun {
	return &notRun{base: base{name: "not-run-is-true"}, said: map[string]bool{}, saidCalls: map[call.RequestID]bool{},
		mayHave: map[call.RequestID]int{}, unsure: map[string]int{}}
}

// Observe implements Checker.
func (n *notRun) Observe(now time.Duration, event any, actions []any) {
	n.learn(event)
	refusedCompletions(actions, func(request string) {
		n.judged++
		n.said[request] = true
		if n.unsure[request] > 0 {
			n.broke(now, "completion %s may have run", request)
		}
	})
	for _, a := range actions {
		n.action(now, a)
	}
}

func (n *notRun) learn(event any) {
	switch ev := event.(type) {
	case call.SendEnded:
		if ev.Result == call.ConnectFailed || ev.Result == call.NotRunByServer {
			n.mayHave[ev.ID]--
		}
	case stream.StepFailed:
		if ev.Kind != stream.FailureLost {
			n.unsure[stream.RequestOf(ev.Stream)]--
		}
	}
}

func (n *notRun) action(now time.Duration, a any) {
	switch a := a.(type) {
	case call.Send:
		n.mayHave[a.ID]++
		if n.saidCalls[a.ID] {
			n.broke(now, "call %d is sent after it was said not to have run", a.ID)
		}
	case stream.SendStep:
		request := stream.RequestOf(a.Stream)
		n.unsure[request]++
		if n.said[request] {
			n.broke(now, "%s is sent after it was said not to have run", request)
		}
	case call.Refuse:
		if a.Refusal.Verdict != verdict.NotRun {
			return
		}
		n.judged++
		n.saidCalls[a.ID] = true
		if n.mayHave[a.ID] > 0 {
			n.broke(now, "call %d may have run", a.ID)
		}
	}
}

// once holds calls that may not be repeated to one send that may have reached a
// backend server, and keys to one such call at this entry.
type once struct {
	base
	calls map[call.RequestID]call.Request
	sends map[call.RequestID]int
	keys  map[string]int
}

func newOnce() *once {
	return &once{base: base{name: "at-most-once"}, calls: map[call.RequestID]call.Request{},
		sends: map[call.RequestID]int{}, keys: map[string]int{}}
}

// Observe implements Checker.
func (o *once) Observe(now time.Duration, event any, actions []any) {
	switch ev := event.(type) {
	case call.Request:
		if !ev.Idempotent {
			o.calls[ev.ID] = ev
		}
	case call.SendEnded:
		if ev.Result == call.ConnectFailed || ev.Result == call.NotRunByServer {
			o.count(now, ev.ID, -1)
		}
	}
	for _, a := range actions {
		if send, ok := a.(call.Send); ok {
			o.count(now, send.ID, 1)
		}
	}
}

func (o *once) count(now time.Duration, id call.RequestID, n int) {
	request, ok := o.calls[id]
	if !ok {
		return
	}
	o.judged++
	o.sends[id] += n
	if o.sends[id] > 1 {
		o.broke(now, "call %d was sent %d times", id, o.sends[id])
	}
	if request.Key == "" {
		return
	}
	name := string(request.Team) + "/" + request.Key
	o.keys[name] += n
	if o.keys[name] > 1 {
		o.broke(now, "key %s was sent %d times", name, o.keys[name])
	}
}

// drain holds a planned stop to cutting nothing: after its beginning no request
// that was accepted is refused or cut for the entry's leaving.
type drain struct {
	base
	began    bool
	open     map[string]bool
	promised time.Duration
}

func newDrain() *drain {
	return &drain{base: base{name: "planned-stop-cuts-nothing"}, open: map[string]bool{}}
}

// Observe implements Checker.
func (d *drain) Observe(now time.Duration, event any, actions []any) {
	switch ev := event.(type) {
	case entrylist.Drain:
		d.began = true
		d.judged++
	case node.CompletionAsked:
		d.open[ev.Request] = true
	}
	for _, a := range actions {
		d.action(now, a)
	}
}

func (d *drain) action(now time.Duration, a any) {
	switch a := a.(type) {
	case node.AddressesAnswered:
		d.promise(now, a)
	case entrylist.GiveGrant:
		d.promised = max(d.promised, now+a.Term)
	case stream.Cut:
		if a.Refusal.Cause == verdict.CauseLeaving {
			d.broke(now, "%s was cut", a.Request)
		}
		delete(d.open, a.Request)
	case node.Refused:
		if a.Refusal.Cause == verdict.CauseLeaving {
			d.broke(now, "%s was refused, its caller held an address", a.Request)
		}
		delete(d.open, a.Request)
	case stream.Finish:
		delete(d.open, a.Request)
	case entrylist.CloseListener:
		if now < d.promised {
			d.broke(now, "the listener closes, an address is in use until %s", d.promised)
		}
	case entrylist.Stop:
		if len(d.open) > 0 {
			d.broke(now, "the process ends with %d completions open", len(d.open))
		}
	}
}

// promise notes until when an answer that names this entry may be used.
func (d *drain) promise(now time.Duration, a node.AddressesAnswered) {
	if !d.began && a.Addresses.KeyPrefix != "" {
		d.promised = max(d.promised, now+a.Addresses.Lifetime)
	}
}

// config holds accepted configurations to never going back.
type config struct {
	base
	version uint64
	limits  map[string]float64
}

func newConfig() *config {
	return &config{base: base{name: "configuration-never-reverts"}, limits: map[string]float64{}}
}

// Observe implements Checker.
func (c *config) Observe(now time.Duration, event any, actions []any) {
	if snap, ok := event.(node.Snapshot); ok {
		c.accepted(now, snap.Reply.Config)
	}
	for _, a := range actions {
		if answer, ok := a.(node.SnapshotAnswered); ok {
			c.accepted(now, answer.Reply.Config)
		}
	}
}

func (c *config) accepted(now time.Duration, accepted *peer.AcceptedConfig) {
	if accepted == nil || !accepted.Known {
		return
	}
	c.judged++
	if accepted.Version < c.version {
		c.broke(now, "version %d after version %d", accepted.Version, c.version)
	}
	c.version = max(c.version, accepted.Version)
	for _, l := range accepted.Limits {
		name := string(l.Team) + "/" + string(l.Service) + "/" + l.Unit
		if l.PerSecond < c.limits[name] {
			c.broke(now, "%s fell from %g to %g", name, c.limits[name], l.PerSecond)
		}
		c.limits[name] = max(c.limits[name], l.PerSecond)
	}
}
