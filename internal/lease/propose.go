package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// serviceState tracks the calls to the service.
type serviceState struct {
	// waitUntil is the deadline of the call in flight, or 0.
	waitUntil time.Duration
	// nextRead is when the next periodic read is due.
	nextRead time.Duration
	failures int
	// proposing is set while the read in flight precedes a proposal.
	proposing bool
}

// Bounds of the backoff after failed calls to the service, before jitter.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// recordFailure delays the next read by the backoff.
func (s *serviceState) recordFailure(now time.Duration, rng *rand.Rand) {
	s.waitUntil = 0
	s.proposing = false
	backoff := min(minBackoff<<min(s.failures, 8), maxBackoff)
	s.failures++
	s.nextRead = now + backoff/2 + time.Duration(rng.Int64N(int64(backoff)))
}

func (s *serviceState) recordReply() {
	s.waitUntil = 0
	s.failures = 0
}

// readRoster reads the record if a read is due and no call is in flight.
func (c *Core) readRoster(now, interval time.Duration) []Action {
	if c.service.waitUntil > now {
		return nil
	}
	if c.service.waitUntil != 0 {
		c.service.recordFailure(now, c.rng)
	}
	if now < c.service.nextRead {
		return nil
	}
	jitter := time.Duration(c.rng.Int64N(int64(interval)/4 + 1))
	c.service.nextRead = now + interval + jitter
	c.service.waitUntil = now + c.cfg.ServiceTimeout
	return []Action{ReadRoster{}}
}

// rosterRead adopts the record. If the read began a proposal, it writes the next roster.
func (c *Core) rosterRead(now time.Duration, ev RosterRead) []Action {
	c.service.recordReply()
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
	c.service.waitUntil = now + c.cfg.ServiceTimeout
	return append(out, WriteRoster{Roster: next, Expect: ev.Revision})
}

// rosterMissing creates the record on the first start, after waiting for other
// instances. An instance that already has a roster never creates a new one.
func (c *Core) rosterMissing(now time.Duration) []Action {
	c.service.recordReply()
	if c.roster != nil || c.leaving {
		return nil
	}
	if c.missingSince == 0 {
		c.missingSince = now
	}
	eligible := c.eligible(now)
	if len(eligible) < min(bootstrapMembers, c.cfg.MaxMembers) && now-c.missingSince < c.cfg.BootstrapWait {
		c.service.nextRead = now + minBackoff
		return nil
	}
	members := chooseMembers(nil, eligible, c.cfg.MaxMembers)
	c.service.waitUntil = now + c.cfg.ServiceTimeout
	return []Action{WriteRoster{Roster: firstRoster(members, c.cfg.Slots)}}
}

// casResult reads the record back whatever the outcome, because only the stored
// record is authoritative.
func (c *Core) casResult(now time.Duration, ev CASResult) []Action {
	c.service.recordReply()
	if ev.Outcome == CASUnknown {
		c.service.recordFailure(now, c.rng)
	}
	c.service.nextRead = min(c.service.nextRead, now+minBackoff)
	if ev.Outcome == CASUnknown {
		return nil
	}
	c.service.nextRead = now
	return c.readRoster(now, c.cfg.ReadEvery)
}

// propose starts a change of the roster with a read. The write follows its reply.
func (c *Core) propose(now time.Duration) []Action {
	if c.service.waitUntil > now || !c.mayPropose(now) {
		return nil
	}
	if c.service.failures > 0 && now < c.service.nextRead {
		return nil
	}
	if !c.wantedLongEnough(now) {
		return nil
	}
	c.service.nextRead = now
	c.service.proposing = true
	return c.readRoster(now, c.cfg.ReadEvery)
}

// wantedLongEnough reports whether the same change was wanted for most of a round, so
// that instances that failed together are removed in one version.
func (c *Core) wantedLongEnough(now time.Duration) bool {
	next, wanted := c.wanted(now)
	if !wanted || !sameMembers(next.Members, c.wantedMembers) {
		c.wantedMembers = next.Members
		c.wantedSince = now
		return false
	}
	return now-c.wantedSince >= c.cfg.AskEvery*3/4
}

// mayPropose enforces rule 1 of the package comment: the next version is written only
// after the current one is settled. It also requires that a majority of the members have
// ended or reply to this instance, so that an instance that reaches the service but not
// its peers removes nobody.
func (c *Core) mayPropose(now time.Duration) bool {
	if c.settledAt > now {
		return false
	}
	accountedFor := 0
	for _, m := range c.roster.Members {
		if c.hasEnded(m.Instance) || c.isResponsive(now, m.Instance) {
			accountedFor++
		}
	}
	return accountedFor >= majority(len(c.roster.Members))
}

func (c *Core) hasEnded(instance ident.Instance) bool {
	_, ok := c.endedAt[instance]
	return ok
}

func (c *Core) isResponsive(now time.Duration, instance ident.Instance) bool {
	p := c.peers[instance]
	return instance == c.cfg.Self || p != nil && p.repliedAt+c.cfg.SuspectAfter >= now
}

// majorityEnded reports whether a majority of the members have ended, so that
// instances that are not members must write the next roster.
func (c *Core) majorityEnded() bool {
	count := 0
	for _, m := range c.roster.Members {
		if c.hasEnded(m.Instance) {
			count++
		}
	}
	return count >= majority(len(c.roster.Members))
}

// wanted returns the next roster, and whether its members differ from the current
// ones.
func (c *Core) wanted(now time.Duration) (Roster, bool) {
	members := chooseMembers(c.roster.Members, c.eligible(now), c.cfg.MaxMembers)
	if len(members) == 0 || sameMembers(members, c.roster.Members) {
		return Roster{}, false
	}
	return nextRoster(*c.roster, members), true
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.Instance == y.Instance })
}

// eligible lists the instances that may be members: current members that the majority
// doesn't report as unresponsive, and candidates that replied recently. For the first
// roster, every candidate is eligible.
func (c *Core) eligible(now time.Duration) []Member {
	out := c.eligibleMembers(now)
	for _, m := range c.eligibleCandidates(now) {
		if c.roster == nil || m.Instance == c.cfg.Self || c.recentlyProbed(now, m.Instance) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func (c *Core) eligibleMembers(now time.Duration) []Member {
	var out []Member
	if c.roster == nil {
		return nil
	}
	for _, m := range c.roster.Members {
		if !c.ineligible(m.Instance) && !c.unresponsiveForMajority(now, m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) eligibleCandidates(now time.Duration) []Member {
	var out []Member
	for _, m := range c.withSelf(c.candidates) {
		if c.roster.Index(m.Instance) == noIndex && !c.ineligible(m.Instance) && !c.recentlyRemoved(now, m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) recentlyProbed(now time.Duration, instance ident.Instance) bool {
	at, ok := c.probedAt[instance]
	return ok && at+c.cfg.SuspectAfter >= now
}

// probeCandidates sends requests to the candidates that would become members, so that
// only instances that reply to this one are added.
func (c *Core) probeCandidates(now time.Duration) []Action {
	eligible := append(c.eligibleMembers(now), c.eligibleCandidates(now)...)
	slices.SortFunc(eligible, compareMembers)
	var out []Action
	for _, m := range chooseMembers(c.roster.Members, eligible, c.cfg.MaxMembers) {
		if c.roster.Index(m.Instance) == noIndex && m.Instance != c.cfg.Self {
			out = append(out, c.request(now, m.Instance, m.Addr))
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

func (c *Core) ineligible(instance ident.Instance) bool {
	if instance == c.cfg.Self {
		return c.leaving
	}
	if c.hasEnded(instance) {
		return true
	}
	p := c.peers[instance]
	return p != nil && p.leaving
}

func (c *Core) recentlyRemoved(now time.Duration, instance ident.Instance) bool {
	at, ok := c.removedAt[instance]
	return ok && now-at < c.cfg.ReaddAfter
}

// unresponsiveForMajority reports whether a majority of the members, this one included,
// get no replies from the instance. One failed link doesn't remove a member.
func (c *Core) unresponsiveForMajority(now time.Duration, instance ident.Instance) bool {
	if instance == c.cfg.Self {
		return false
	}
	count := 0
	for _, m := range c.roster.Members {
		if c.reportsUnresponsive(now, m.Instance, instance) {
			count++
		}
	}
	return count >= majority(len(c.roster.Members))
}

func (c *Core) reportsUnresponsive(now time.Duration, reporter, instance ident.Instance) bool {
	if reporter == c.cfg.Self {
		return slices.Contains(c.unresponsiveMembers(now), instance)
	}
	p := c.peers[reporter]
	return p != nil && p.repliedAt+c.cfg.SuspectAfter >= now && slices.Contains(p.unresponsive, instance)
}

// finishLeave returns Left once the roster no longer contains this instance and two
// rounds have passed, in which the new holders could request its report of older promises.
func (c *Core) finishLeave(now time.Duration) []Action {
	if !c.leaving || c.left || c.isMember() || now < c.adoptedAt+2*c.cfg.AskEvery {
		return nil
	}
	c.left = true
	return []Action{Left{}}
}
