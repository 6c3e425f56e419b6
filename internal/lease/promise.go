package lease

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// requestPromises requests a promise from every other member, and a report of older
// promises from each former member that has not sent one yet.
func (c *Core) requestPromises(now time.Duration) []Action {
	c.nextRound = now + c.cfg.AskEvery
	if c.isMember() {
		c.promiseSelf(now)
	}
	var out []Action
	for _, m := range c.roster.Members {
		if m.Instance != c.cfg.Self {
			out = append(out, c.request(now, m.Instance, m.Addr))
		}
	}
	for _, m := range c.roster.Prev {
		if c.roster.Index(m.Instance) == noIndex && !c.peer(now, m.Instance).acked {
			out = append(out, c.request(now, m.Instance, m.Addr))
		}
	}
	return out
}

// promiseSelf records this instance's promise to itself, which counts towards the
// majority like any other.
func (c *Core) promiseSelf(now time.Duration) {
	c.promisedUntil[c.cfg.Self] = now + c.cfg.grantorTerm()
	c.peer(now, c.cfg.Self).promiseAskedAt = now
	c.peer(now, c.cfg.Self).repliedAt = now
	c.extendHeldUntil()
}

// request returns the action that sends a PromiseRequest. It includes the roster if the
// peer isn't known to have the current version.
func (c *Core) request(now time.Duration, to ident.Instance, addr string) Action {
	request := PromiseRequest{From: c.cfg.Self, Addr: c.cfg.Addr, SentAt: now, Leaving: c.leaving}
	if c.roster != nil {
		request.Version = c.roster.Version
	}
	if p := c.peers[to]; p != nil && p.version < request.Version {
		request.Roster = c.roster
	}
	return AskPromise{To: to, Addr: addr, Request: request}
}

// promiseAsked replies to a peer's request. The promise is made only if both have the
// same version.
func (c *Core) promiseAsked(now time.Duration, request PromiseRequest) []Action {
	var out []Action
	if request.Roster != nil {
		out = c.adopt(now, *request.Roster)
	}
	reply := PromiseReply{From: c.cfg.Self, To: request.From, SentAt: request.SentAt}
	if c.roster != nil {
		c.fillReply(now, request, &reply)
	}
	return append(out, GivePromise{To: request.From, Addr: request.Addr, Reply: reply})
}

// fillReply adds what depends on the roster: the roster itself if the requester's is
// older, or the report of older promises and the new promise if both have one version.
func (c *Core) fillReply(now time.Duration, request PromiseRequest, reply *PromiseReply) {
	reply.Version = c.roster.Version
	if request.Version < c.roster.Version {
		reply.Roster = c.roster
	}
	if request.Version != c.roster.Version {
		return
	}
	if p := c.peers[request.From]; p != nil {
		p.version = max(p.version, request.Version)
		p.leaving = p.leaving || request.Leaving
	}
	reply.Unresponsive = c.unresponsiveMembers(now)
	for _, m := range c.roster.Prev {
		reply.Remaining = append(reply.Remaining, max(0, c.olderPromisedUntil[m.Instance]-now))
	}
	if c.isMember() && c.roster.Index(request.From) != noIndex {
		reply.Granted = true
		c.promisedUntil[request.From] = now + c.cfg.grantorTerm()
	}
}

// promiseGiven handles a peer's reply.
func (c *Core) promiseGiven(now time.Duration, reply PromiseReply) []Action {
	if reply.To != c.cfg.Self || reply.SentAt > now {
		return nil
	}
	c.lastReplyAt = now
	var out []Action
	if reply.Roster != nil {
		out = c.adopt(now, *reply.Roster)
	}
	if c.roster == nil {
		return out
	}
	p := c.peers[reply.From]
	if p == nil {
		c.probedAt[reply.From] = now
		return out
	}
	p.repliedAt = now
	p.version = reply.Version
	if reply.Version != c.roster.Version {
		return out
	}
	p.unresponsive = reply.Unresponsive
	c.recordAck(now, p, reply)
	if reply.Granted {
		p.promiseAskedAt = max(p.promiseAskedAt, reply.SentAt)
		c.extendHeldUntil()
	}
	return out
}

// recordAck stores the peer's report of its older promises, the first one for this version.
func (c *Core) recordAck(now time.Duration, p *peer, reply PromiseReply) {
	if p.acked || len(reply.Remaining) != len(c.roster.Prev) {
		return
	}
	p.acked = true
	p.ackedAt = now
	p.expiries = nil
	for _, remaining := range reply.Remaining {
		p.expiries = append(p.expiries, now+remaining)
	}
	c.settle(now)
}

// extendHeldUntil moves heldUntil to one PromiseTerm after the oldest request among
// the most recent promises that form a majority.
func (c *Core) extendHeldUntil() {
	var asked []time.Duration
	for _, m := range c.roster.Members {
		if p := c.peers[m.Instance]; p != nil && p.promiseAskedAt >= 0 {
			asked = append(asked, p.promiseAskedAt)
		}
	}
	need := majority(len(c.roster.Members))
	if len(asked) < need {
		return
	}
	slices.Sort(asked)
	c.heldUntil = max(c.heldUntil, asked[len(asked)-need]+c.cfg.PromiseTerm)
}

// unresponsiveMembers lists the members that do not answer this instance's requests.
func (c *Core) unresponsiveMembers(now time.Duration) []ident.Instance {
	var out []ident.Instance
	for _, m := range c.roster.Members {
		if m.Instance != c.cfg.Self && c.peer(now, m.Instance).repliedAt+c.cfg.SuspectAfter < now {
			out = append(out, m.Instance)
		}
	}
	return out
}

// pullRoster requests a newer roster from one random member, or from a candidate if
// no roster is known. Instances that are not members get changes this way, without a
// call to the service. The record is read only after three PullEvery without a reply.
func (c *Core) pullRoster(now time.Duration) []Action {
	if now < c.nextPull {
		return nil
	}
	c.nextPull = now + c.cfg.PullEvery
	targets := c.candidates
	if c.roster != nil {
		targets = c.roster.Members
	}
	if len(targets) == 0 {
		return nil
	}
	m := targets[c.rng.IntN(len(targets))]
	out := []Action{c.request(now, m.Instance, m.Addr)}
	if c.roster != nil && now-c.lastReplyAt > 3*c.cfg.PullEvery {
		out = append(out, c.readRoster(now, c.cfg.ReadEvery)...)
	}
	return out
}
