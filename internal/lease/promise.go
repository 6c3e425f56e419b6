package lease

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// askRound asks every other member for its promise, and the former members
// that have not yet told of theirs.
func (c *Core) askRound(now time.Duration) []Action {
	c.nextAsk = now + c.cfg.AskEvery
	if c.isMember() {
		c.promiseSelf(now)
	}
	var out []Action
	for _, m := range c.roster.Members {
		if m.Instance != c.cfg.Self {
			out = append(out, c.ask(now, m.Instance, m.Addr))
		}
	}
	for _, m := range c.roster.Prev {
		if c.roster.Index(m.Instance) == noIndex && !c.peer(now, m.Instance).acked {
			out = append(out, c.ask(now, m.Instance, m.Addr))
		}
	}
	return out
}

// promiseSelf counts this instance's own promise like any other.
func (c *Core) promiseSelf(now time.Duration) {
	c.given[c.cfg.Self] = now + c.cfg.giverTerm()
	c.peer(now, c.cfg.Self).grantedAt = now
	c.peer(now, c.cfg.Self).heardAt = now
	c.extendHold()
}

func (c *Core) ask(now time.Duration, to ident.Instance, addr string) Action {
	ask := PromiseRequest{From: c.cfg.Self, Addr: c.cfg.Addr, SentAt: now, Leaving: c.leaving}
	if c.roster != nil {
		ask.Version = c.roster.Version
	}
	if p := c.peers[to]; p != nil && p.version < ask.Version {
		ask.Roster = c.roster
	}
	return AskPromise{To: to, Addr: addr, Request: ask}
}

// promiseAsked answers a peer. The promise is given only under the version
// that both know.
func (c *Core) promiseAsked(now time.Duration, ask PromiseRequest) []Action {
	var out []Action
	if ask.Roster != nil {
		out = c.adopt(now, *ask.Roster)
	}
	answer := PromiseReply{From: c.cfg.Self, To: ask.From, SentAt: ask.SentAt}
	if c.roster != nil {
		c.fillAnswer(now, ask, &answer)
	}
	return append(out, GivePromise{To: ask.From, Addr: ask.Addr, Reply: answer})
}

func (c *Core) fillAnswer(now time.Duration, ask PromiseRequest, answer *PromiseReply) {
	answer.Version = c.roster.Version
	if ask.Version < c.roster.Version {
		answer.Roster = c.roster
	}
	if ask.Version != c.roster.Version {
		return
	}
	if p := c.peers[ask.From]; p != nil {
		p.version = max(p.version, ask.Version)
		p.leaving = p.leaving || ask.Leaving
	}
	answer.Unresponsive = c.silentMembers(now)
	for _, m := range c.roster.Prev {
		answer.Remaining = append(answer.Remaining, max(0, c.givenOlder[m.Instance]-now))
	}
	if c.isMember() && c.roster.Index(ask.From) != noIndex {
		answer.Granted = true
		c.given[ask.From] = now + c.cfg.giverTerm()
	}
}

// promiseGiven takes a peer's answer in.
func (c *Core) promiseGiven(now time.Duration, answer PromiseReply) []Action {
	if answer.To != c.cfg.Self || answer.SentAt > now {
		return nil
	}
	c.lastHeard = now
	var out []Action
	if answer.Roster != nil {
		out = c.adopt(now, *answer.Roster)
	}
	if c.roster == nil {
		return out
	}
	p := c.peers[answer.From]
	if p == nil {
		c.probed[answer.From] = now
		return out
	}
	p.heardAt = now
	p.version = answer.Version
	if answer.Version != c.roster.Version {
		return out
	}
	p.silent = answer.Unresponsive
	c.noteAck(now, p, answer)
	if answer.Granted {
		p.grantedAt = max(p.grantedAt, answer.SentAt)
		c.extendHold()
	}
	return out
}

func (c *Core) noteAck(now time.Duration, p *peer, answer PromiseReply) {
	if p.acked || len(answer.Remaining) != len(c.roster.Prev) {
		return
	}
	p.acked = true
	p.ackedAt = now
	p.lapse = nil
	for _, rem := range answer.Remaining {
		p.lapse = append(p.lapse, now+rem)
	}
	c.settle(now)
}

// extendHold moves heldUntil to one term after the moment at which a majority
// of the members had been asked.
func (c *Core) extendHold() {
	var asked []time.Duration
	for _, m := range c.roster.Members {
		if p := c.peers[m.Instance]; p != nil && p.grantedAt >= 0 {
			asked = append(asked, p.grantedAt)
		}
	}
	need := majority(len(c.roster.Members))
	if len(asked) < need {
		return
	}
	slices.Sort(asked)
	c.heldUntil = max(c.heldUntil, asked[len(asked)-need]+c.cfg.PromiseTerm)
}

// silentMembers names the members that leave this instance's asks unanswered.
func (c *Core) silentMembers(now time.Duration) []ident.Instance {
	var out []ident.Instance
	for _, m := range c.roster.Members {
		if m.Instance != c.cfg.Self && c.peer(now, m.Instance).heardAt+c.cfg.SuspectAfter < now {
			out = append(out, m.Instance)
		}
	}
	return out
}

// pull asks one random member, or a candidate where no roster is known, for a
// newer roster. An instance that is no member learns of changes so, without a
// call of the service.
func (c *Core) pull(now time.Duration) []Action {
	if now < c.nextPull {
		return nil
	}
	c.nextPull = now + c.cfg.PullEvery
	from := c.candidates
	if c.roster != nil {
		from = c.roster.Members
	}
	if len(from) == 0 {
		return nil
	}
	m := from[c.rng.IntN(len(from))]
	out := []Action{c.ask(now, m.Instance, m.Addr)}
	if c.roster != nil && now-c.lastHeard > 3*c.cfg.PullEvery {
		out = append(out, c.readRoster(now, c.cfg.ReadEvery)...)
	}
	return out
}
