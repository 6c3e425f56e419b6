package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// serviceState is what this instance waits for from the service.
type serviceState struct {
	// waiting is the time up to which an answer is waited for; 0 is none.
	waiting time.Duration
	// nextRead is the moment of the next read that nothing else asks for.
	nextRead time.Duration
	failures int
	// proposing says that the read's answer is wanted for a proposal.
	proposing bool
}

// Backoff after failures of the service.
const (
	backoffFirst = 250 * time.Millisecond
	backoffMost  = 4 * time.Second
)

func (s *serviceState) failed(now time.Duration, rng *rand.Rand) {
	s.waiting = 0
	s.proposing = false
	span := min(backoffFirst<<min(s.failures, 8), backoffMost)
	s.failures++
	s.nextRead = now + span/2 + time.Duration(rng.Int64N(int64(span)))
}

func (s *serviceState) answered() {
	s.waiting = 0
	s.failures = 0
}

// readRoster reads the record when its time has come.
func (c *Core) readRoster(now, every time.Duration) []Action {
	if c.service.waiting > now {
		return nil
	}
	if c.service.waiting != 0 {
		c.service.failed(now, c.rng)
	}
	if now < c.service.nextRead {
		return nil
	}
	jitter := time.Duration(c.rng.Int64N(int64(every)/4 + 1))
	c.service.nextRead = now + every + jitter
	c.service.waiting = now + c.cfg.ServiceTimeout
	return []Action{ReadRoster{}}
}

func (c *Core) rosterRead(now time.Duration, ev RosterRead) []Action {
	c.service.answered()
	proposing := c.service.proposing
	c.service.proposing = false
	out := c.adopt(now, ev.Roster)
	if !proposing || ev.Roster.Version != c.roster.Version {
		return out
	}
	next, wanted := c.wanted(now)
	if !wanted || !c.mayPropose(now) {
		return out
	}
	c.service.waiting = now + c.cfg.ServiceTimeout
	return append(out, WriteRoster{Roster: next, Expect: ev.Revision})
}

// rosterMissing creates the record on the first start, after a wait for other
// instances. An instance that knows a roster never makes a new one.
func (c *Core) rosterMissing(now time.Duration) []Action {
	c.service.answered()
	if c.roster != nil || c.leaving {
		return nil
	}
	if c.missingSince == 0 {
		c.missingSince = now
	}
	usable := c.usable(now)
	if len(usable) < min(firstMembers, c.cfg.MaxMembers) && now-c.missingSince < c.cfg.BootstrapWait {
		c.service.nextRead = now + backoffFirst
		return nil
	}
	members := chooseMembers(nil, usable, c.cfg.MaxMembers)
	c.service.waiting = now + c.cfg.ServiceTimeout
	return []Action{WriteRoster{Roster: firstRoster(members, c.cfg.Slots)}}
}

// casResult reads the record back, whatever the outcome: only what stands in
// the service counts.
func (c *Core) casResult(now time.Duration, ev CASResult) []Action {
	c.service.answered()
	if ev.Outcome == CASUnknown {
		c.service.failed(now, c.rng)
	}
	c.service.nextRead = min(c.service.nextRead, now+backoffFirst)
	if ev.Outcome == CASUnknown {
		return nil
	}
	c.service.nextRead = now
	return c.readRoster(now, c.cfg.ReadEvery)
}

// propose starts a change of the roster: a read, whose answer is followed by
// the write.
func (c *Core) propose(now time.Duration) []Action {
	if c.service.waiting > now || !c.mayPropose(now) {
		return nil
	}
	if c.service.failures > 0 && now < c.service.nextRead {
		return nil
	}
	if !c.wantedForLong(now) {
		return nil
	}
	c.service.nextRead = now
	c.service.proposing = true
	return c.readRoster(now, c.cfg.ReadEvery)
}

// wantedForLong reports whether one and the same change was wanted for most of
// a round, so that instances that failed together leave in one version.
func (c *Core) wantedForLong(now time.Duration) bool {
	next, wanted := c.wanted(now)
	if !wanted || !sameMembers(next.Members, c.wantedMembers) {
		c.wantedMembers = next.Members
		c.wantedSince = now
		return false
	}
	return now-c.wantedSince >= c.cfg.AskEvery*3/4
}

// mayPropose holds rule 1: the next version is written only after the present
// one is settled. Beyond the rule, it is left to those who know what became of
// a majority of the members, so that an instance cut off from its peers but not
// from the service takes nobody out.
func (c *Core) mayPropose(now time.Duration) bool {
	if c.settledAt > now {
		return false
	}
	known := 0
	for _, m := range c.roster.Members {
		if c.hasEnded(m.Instance) || c.answers(now, m.Instance) {
			known++
		}
	}
	return known >= majority(len(c.roster.Members))
}

func (c *Core) hasEnded(in ident.Instance) bool {
	_, ok := c.ended[in]
	return ok
}

func (c *Core) answers(now time.Duration, in ident.Instance) bool {
	p := c.peers[in]
	return in == c.cfg.Self || p != nil && p.heardAt+c.cfg.SuspectAfter >= now
}

// mustRescue reports whether a majority of the members have ended, so that
// those who are no members must write the next roster.
func (c *Core) mustRescue() bool {
	count := 0
	for _, m := range c.roster.Members {
		if c.hasEnded(m.Instance) {
			count++
		}
	}
	return count >= majority(len(c.roster.Members))
}

// wanted returns the next roster, and whether it differs in its members.
func (c *Core) wanted(now time.Duration) (Roster, bool) {
	members := chooseMembers(c.roster.Members, c.usable(now), c.cfg.MaxMembers)
	if len(members) == 0 || sameMembers(members, c.roster.Members) {
		return Roster{}, false
	}
	return nextRoster(*c.roster, members), true
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.Instance == y.Instance })
}

// usable lists the instances that may be members: present ones that the
// majority doesn't call silent, and candidates that answered of late.
func (c *Core) usable(now time.Duration) []Member {
	out := c.usableMembers(now)
	for _, m := range c.usableCandidates(now) {
		if c.roster == nil || m.Instance == c.cfg.Self || c.probedOfLate(now, m.Instance) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func (c *Core) usableMembers(now time.Duration) []Member {
	var out []Member
	if c.roster == nil {
		return nil
	}
	for _, m := range c.roster.Members {
		if !c.unusable(m.Instance) && !c.silentForMajority(now, m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) usableCandidates(now time.Duration) []Member {
	var out []Member
	for _, m := range c.withSelf(c.candidates) {
		if c.roster.Index(m.Instance) == noIndex && !c.unusable(m.Instance) && !c.recentlyRemoved(now, m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) probedOfLate(now time.Duration, in ident.Instance) bool {
	at, ok := c.probed[in]
	return ok && at+c.cfg.SuspectAfter >= now
}

// probe asks the candidates that would become members, so that none is taken
// in on hearsay.
func (c *Core) probe(now time.Duration) []Action {
	usable := append(c.usableMembers(now), c.usableCandidates(now)...)
	slices.SortFunc(usable, compareMembers)
	var out []Action
	for _, m := range chooseMembers(c.roster.Members, usable, c.cfg.MaxMembers) {
		if c.roster.Index(m.Instance) == noIndex && m.Instance != c.cfg.Self {
			out = append(out, c.ask(now, m.Instance, m.Addr))
		}
	}
	return out
}

func (c *Core) withSelf(members []Member) []Member {
	for _, m := range members {
		if m.Instance == c.cfg.Self {
			return members
		}
	}
	self := Member{Instance: c.cfg.Self, Addr: c.cfg.Addr, Place: c.cfg.Place}
	return append(slices.Clone(members), self)
}

func (c *Core) unusable(in ident.Instance) bool {
	if in == c.cfg.Self {
		return c.leaving
	}
	if c.hasEnded(in) {
		return true
	}
	p := c.peers[in]
	return p != nil && p.leaving
}

func (c *Core) recentlyRemoved(now time.Duration, in ident.Instance) bool {
	at, ok := c.removed[in]
	return ok && now-at < c.cfg.ReaddAfter
}

// silentForMajority reports whether a majority of the members, this one
// included, get no answer from the instance. One broken link is not enough.
func (c *Core) silentForMajority(now time.Duration, in ident.Instance) bool {
	if in == c.cfg.Self {
		return false
	}
	count := 0
	for _, m := range c.roster.Members {
		if c.reportsSilent(now, m.Instance, in) {
			count++
		}
	}
	return count >= majority(len(c.roster.Members))
}

func (c *Core) reportsSilent(now time.Duration, reporter, in ident.Instance) bool {
	if reporter == c.cfg.Self {
		return slices.Contains(c.silentMembers(now), in)
	}
	p := c.peers[reporter]
	return p != nil && p.heardAt+c.cfg.SuspectAfter >= now && slices.Contains(p.silent, in)
}

// finishLeave reports the end of the hand-over once the roster no longer names
// this instance and the new holders had time to ask it.
func (c *Core) finishLeave(now time.Duration) []Action {
	if !c.leaving || c.left || c.isMember() || now < c.adoptedAt+2*c.cfg.AskEvery {
		return nil
	}
	c.left = true
	return []Action{Left{}}
}
