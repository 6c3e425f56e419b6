package lease

import (
	"math/rand/v2"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// Core decides which slots this instance holds. It is not safe for concurrent use.
// All times are on this process's monotonic clock.
type Core struct {
	cfg Config
	rng *rand.Rand

	roster *Roster
	peers  map[ident.Instance]*peer
	// promisedUntil and olderPromisedUntil hold, by requester, when the promises that
	// this instance made under the current and under older versions expire.
	promisedUntil, olderPromisedUntil map[ident.Instance]time.Duration
	// heldUntil is when the promises that this instance got from a majority expire.
	heldUntil time.Duration
	// adoptedAt is when the current version arrived.
	adoptedAt time.Duration
	// settledAt is the time from which the current version is settled.
	settledAt time.Duration
	// activeFrom is, by slot, the time from which the holder may act.
	activeFrom []time.Duration
	// held maps the slots announced by Gained to their epochs.
	held map[int]uint64
	// endedAt is when an instance's end became known.
	endedAt map[ident.Instance]time.Duration
	// removedAt is when a roster without the instance arrived.
	removedAt map[ident.Instance]time.Duration

	// missingSince is when the service first reported that no record exists.
	missingSince time.Duration
	candidates   []Member
	// wantedMembers are the members of the next roster, unchanged since wantedSince.
	wantedMembers []Member
	wantedSince   time.Duration
	// probedAt is when a candidate that may become a member last replied.
	probedAt map[ident.Instance]time.Duration
	leaving  bool
	left     bool

	lastTick    time.Duration
	nextRound   time.Duration
	nextPull    time.Duration
	lastReplyAt time.Duration
	service     serviceState
}

// peer is the state that this instance tracks for another one.
type peer struct {
	// repliedAt is when the peer last replied.
	repliedAt time.Duration
	// version is the newest roster version that the peer is known to have.
	version uint64
	// promiseAskedAt is when its last promise under the current version was
	// requested, or -1.
	promiseAskedAt time.Duration
	// acked is set once the peer has the current version and has reported its
	// promises under older ones. expiries holds when those expire, in the order of
	// the roster's Prev.
	acked    bool
	expiries []time.Duration
	// ackedAt is when acked became true.
	ackedAt time.Duration
	// unresponsive are the members that the peer reports as unresponsive.
	unresponsive []ident.Instance
	leaving      bool
}

// New returns a Core without a roster.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg:                cfg,
		rng:                rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		peers:              map[ident.Instance]*peer{},
		promisedUntil:      map[ident.Instance]time.Duration{},
		olderPromisedUntil: map[ident.Instance]time.Duration{},
		held:               map[int]uint64{},
		endedAt:            map[ident.Instance]time.Duration{},
		removedAt:          map[ident.Instance]time.Duration{},
		probedAt:           map[ident.Instance]time.Duration{},
		settledAt:          never,
	}, nil
}

// Roster returns the newest known roster, or nil. The caller must not modify it.
func (c *Core) Roster() *Roster { return c.roster }

// Holds reports whether this instance holds the slot at now, and its epoch. Call it
// with the current time immediately before acting: the promises may have expired
// since the last Step.
func (c *Core) Holds(now time.Duration, slot int) (epoch uint64, ok bool) {
	if c.roster == nil || slot < 0 || slot >= len(c.roster.Slots) {
		return 0, false
	}
	s := c.roster.Slots[slot]
	if c.roster.Members[s.Holder].Instance != c.cfg.Self {
		return 0, false
	}
	if now >= c.heldUntil || now < c.activeFrom[slot] {
		return 0, false
	}
	return s.Epoch, true
}

// HeldUntil returns the time until which Holds can be true without further promises.
func (c *Core) HeldUntil() time.Duration { return c.heldUntil }

// Step handles one event at time now and returns the actions to perform.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Tick:
		out = c.tick(now)
	case RosterRead:
		out = c.rosterRead(now, ev)
	case RosterMissing:
		out = c.rosterMissing(now)
	case CASResult:
		out = c.casResult(now, ev)
	case ServiceDown:
		c.service.recordFailure(now, c.rng)
	case Candidates:
		c.updateCandidates(now, ev.Alive)
	case Gone:
		c.recordEnded(now, ev.Instances)
	case PromiseAsked:
		out = c.promiseAsked(now, ev.Request)
	case PromiseGiven:
		out = c.promiseGiven(now, ev.Reply)
	case PeerRoster:
		out = c.adopt(now, ev.Roster)
	case Leave:
		c.leaving = true
		out = c.tick(now)
	}
	return append(out, c.slotChanges(now)...)
}

func (c *Core) tick(now time.Duration) []Action {
	c.detectOwnPause(now)
	if c.roster == nil {
		return append(c.readRoster(now, c.cfg.ReadEvery/4), c.pullRoster(now)...)
	}
	var out []Action
	if c.isMember() || c.majorityEnded() {
		if now >= c.nextRound {
			out = append(out, c.requestPromises(now)...)
			out = append(out, c.probeCandidates(now)...)
		}
		out = append(out, c.readRoster(now, c.cfg.ReadEvery)...)
		out = append(out, c.propose(now)...)
	} else {
		out = append(out, c.pullRoster(now)...)
	}
	return append(out, c.finishLeave(now)...)
}

// detectOwnPause resets the peers' reply times after a pause of this process, which
// could not receive their replies meanwhile.
func (c *Core) detectOwnPause(now time.Duration) {
	if now-c.lastTick > c.cfg.SuspectAfter/2 {
		for _, p := range c.peers {
			p.repliedAt = now
			p.unresponsive = nil
		}
	}
	c.lastTick = now
}

func (c *Core) isMember() bool { return c.roster.Index(c.cfg.Self) != noIndex }

// peer returns the state of another instance, creating it if needed.
func (c *Core) peer(now time.Duration, instance ident.Instance) *peer {
	p := c.peers[instance]
	if p == nil {
		p = &peer{repliedAt: now, promiseAskedAt: noIndex}
		c.peers[instance] = p
	}
	return p
}

// adopt makes a newer roster the current one. Slots that it assigns to another
// instance are lost immediately.
func (c *Core) adopt(now time.Duration, r Roster) []Action {
	if c.roster != nil && r.Version <= c.roster.Version || r.Validate() != nil {
		return nil
	}
	c.recordRemoved(now, r)
	c.agePromises(now)
	c.roster = &r
	c.adoptedAt = now
	c.resetPeers(now)
	c.activeFrom = make([]time.Duration, len(r.Slots))
	c.recordEnded(now, c.superseded())
	out := []Action{RosterChanged{Roster: r}}
	if c.isMember() || r.prevIndex(c.cfg.Self) != noIndex {
		out = append(out, c.requestPromises(now)...)
	}
	return out
}

// agePromises moves the promises made under the current version to those made under
// older ones, before a newer version is adopted.
func (c *Core) agePromises(now time.Duration) {
	for instance, end := range c.promisedUntil {
		c.olderPromisedUntil[instance] = max(c.olderPromisedUntil[instance], end)
	}
	clear(c.promisedUntil)
	for instance, end := range c.olderPromisedUntil {
		if end <= now {
			delete(c.olderPromisedUntil, instance)
		}
	}
}

// recordRemoved records the instances that the next roster removes, and drops outdated
// entries of probedAt and removedAt.
func (c *Core) recordRemoved(now time.Duration, next Roster) {
	for _, m := range next.Prev {
		if next.Index(m.Instance) == noIndex {
			c.removedAt[m.Instance] = now
		}
	}
	for instance, at := range c.probedAt {
		if now-at > c.cfg.SuspectAfter {
			delete(c.probedAt, instance)
		}
	}
	for instance, at := range c.removedAt {
		if now-at > 2*c.cfg.ReaddAfter {
			delete(c.removedAt, instance)
		}
	}
}

// resetPeers drops the per-version state of the previous version, and peers that
// are in neither version.
func (c *Core) resetPeers(now time.Duration) {
	for instance, p := range c.peers {
		if c.roster.Index(instance) == noIndex && c.roster.prevIndex(instance) == noIndex {
			delete(c.peers, instance)
			continue
		}
		*p = peer{repliedAt: p.repliedAt, version: p.version, promiseAskedAt: noIndex, leaving: p.leaving}
	}
	for _, m := range c.roster.Members {
		c.peer(now, m.Instance)
	}
	self := c.peer(now, c.cfg.Self)
	self.acked = true
	self.ackedAt = now
	self.expiries = c.olderPromiseExpiries(now)
}

// olderPromiseExpiries returns, in the order of the roster's Prev, when the promises
// that this instance made under older versions expire.
func (c *Core) olderPromiseExpiries(now time.Duration) []time.Duration {
	out := make([]time.Duration, len(c.roster.Prev))
	for i, m := range c.roster.Prev {
		out[i] = max(now, c.olderPromisedUntil[m.Instance])
	}
	return out
}

// slotChanges returns Gained and Lost for the slots whose holding changed since the
// last step.
func (c *Core) slotChanges(now time.Duration) []Action {
	var out []Action
	slots := c.cfg.Slots
	if c.roster != nil {
		slots = len(c.roster.Slots)
	}
	for slot := range slots {
		epoch, holds := c.Holds(now, slot)
		old, had := c.held[slot]
		if had && (!holds || epoch != old) {
			out = append(out, Lost{Slot: slot, Epoch: old})
			delete(c.held, slot)
		}
		if holds && (!had || epoch != old) {
			out = append(out, Gained{Slot: slot, Epoch: epoch})
			c.held[slot] = epoch
		}
	}
	return out
}
