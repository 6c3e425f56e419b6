package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// ChooseSuccessor returns the choice for a run of r that takes the place of its run over ch, which is in
// doubt because of the server fault ("" for the one that ch goes to), or the refusal if there is none: only
// the server itself may then end the run. The load of the choice is added and its send is counted against the
// retry budget, so runs that are left together do not count on the same room.
func (c *Core) ChooseSuccessor(now time.Duration, r *Request, ch *Choice, fault backend.ID) (*Choice, *verdict.Refusal) {
	if !r.Route.Retryable() {
		return nil, c.notRun(verdict.CauseBackendLost, "the request may run once only")
	}
	next := c.afterRun(r, ch, fault)
	if refusal := c.refuseBlocked(now, next); refusal != nil {
		return nil, refusal
	}
	successor, refusal := c.findWithout(now, next, ch)
	if refusal == nil {
		refusal = c.spendRetry(now, next)
	}
	if refusal != nil {
		return nil, refusal
	}
	r.CountedSends = next.CountedSends
	c.begin(now, next, successor)
	return successor, nil
}

// findWithout is findSuccessor with the room of a run over ch, which is free once that has ended.
func (c *Core) findWithout(now time.Duration, r *Request, ch *Choice) (*Choice, *verdict.Refusal) {
	if ch.IsPeer() {
		return c.findSuccessor(now, r)
	}
	c.Release(ch)
	defer c.addLoad(ch)
	return c.findSuccessor(now, r)
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

// findSuccessor returns what Choose would find for r now, apart from the retry budget. It changes nothing.
// Another VM counts only if this one is cut off from the servers: it knows the same records, so it can't
// serve what this VM lacks servers for.
func (c *Core) findSuccessor(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	if r.PeersOnly || c.Reach.CutOff(r.Service.Name) {
		if p := c.bestPeer(now, r); p != nil && c.recordsCover(r) {
			return p.choice(), nil
		}
		if r.PeersOnly || c.Reach.Unreachable(r.Service.Name) {
			return nil, c.notRun(verdict.CauseUnreachable, "no other VM is known to serve the request")
		}
	}
	return c.findChoice(now, r)
}

// recordsCover reports whether the ready servers of the service of r hold all layers. That this VM does not
// reach a server, or avoids it, does not count.
func (c *Core) recordsCover(r *Request) bool {
	spec, next := r.Service.Engine, 0
	servers := c.Backends.ByService(r.Service.Name)
	for advanced := true; advanced; {
		advanced = false
		for _, s := range servers {
			if s.State != backend.Ready {
				continue
			}
			if spec == nil {
				return true
			}
			if s.Held.From <= next && s.Held.To > next {
				next, advanced = s.Held.To, true
			}
		}
	}
	return spec != nil && next >= spec.Layers
}
