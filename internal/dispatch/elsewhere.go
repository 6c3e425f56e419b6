package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Doubt is why a run in progress may be left.
type Doubt uint8

// The doubts.
const (
	// Suspected: the run is slow or silent. It may still answer.
	Suspected Doubt = iota
	// FoundLost: a server that the run needs is lost.
	FoundLost
)

// ReserveRunElsewhere reports whether r, whose run over ch is in doubt because of the server fault ("" for
// the one that ch goes to), may be left for a run elsewhere, and counts that one against the retry
// budget. A suspected run is left only if another one could begin now.
func (c *Core) ReserveRunElsewhere(now time.Duration, r *Request, ch *Choice, fault backend.ID, doubt Doubt) bool {
	if !r.Route.Retryable() {
		return false
	}
	if _, blocked := c.Poison.Find(now, r.Subject); blocked && !r.Trial {
		return false
	}
	next := c.afterRun(r, ch, fault)
	if !c.canChoose(now, next) && (doubt == Suspected || !c.mayGetRoom(now, next)) {
		return false
	}
	if !c.budget(r.Service.Name).Spend(now, purposeOf(r), c.vmCount) {
		return false
	}
	r.CountedSends = r.Sends + 1
	return true
}

// afterRun returns r as it is once its run over ch has failed because of a server.
func (c *Core) afterRun(r *Request, ch *Choice, fault backend.ID) *Request {
	next := *r
	next.Sends++
	current := ch.Target().Instance.ID
	if fault == "" {
		fault = current
	}
	next.Avoid = withID(r.Avoid, fault)
	if ch.IsPeer() {
		next.PeerSends++
		next.Avoid = withID(next.Avoid, current)
	} else {
		next.SentTo = withID(r.SentTo, current)
	}
	return &next
}

// canChoose reports whether Choose would find a server or another VM for r now, apart from the
// retry budget. It changes nothing.
func (c *Core) canChoose(now time.Duration, r *Request) bool {
	if r.PeersOnly || c.Reach.CutOff(r.Service.Name) {
		if c.bestPeer(now, r) != nil {
			return true
		}
		if r.PeersOnly || c.Reach.Unreachable(r.Service.Name) {
			return false
		}
	}
	_, refusal := c.findChoice(now, r)
	return refusal == nil || otherVMMayServe(refusal.Cause) && c.bestPeer(now, r) != nil
}

// mayGetRoom reports whether Choose would refuse r only for lack of room or layers, which may be there
// in a moment.
func (c *Core) mayGetRoom(now time.Duration, r *Request) bool {
	if r.PeersOnly || c.Reach.Unreachable(r.Service.Name) {
		return false
	}
	if len(r.SentTo) >= r.Route.MaxAttempts && !c.anyReady(r) {
		return false
	}
	_, refusal := c.findChoice(now, r)
	return refusal == nil || refusal.Cause == verdict.CauseNoCapacity || refusal.Cause == verdict.CauseLayersMissing || refusal.Cause == verdict.CauseNoBackend
}

// anyReady reports whether a server that r was sent to may be used again.
func (c *Core) anyReady(r *Request) bool {
	for id := range r.SentTo {
		if s := c.Backends.Get(id); s != nil && s.State == backend.Ready && !r.Avoid[id] {
			return true
		}
	}
	return false
}
