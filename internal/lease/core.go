package lease

import (
	"math/rand/v2"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// never is a moment that is not reached.
const never = time.Duration(1<<63 - 1)

// Core decides which slots this instance holds. It is used from one goroutine;
// all times are on this process's monotonic clock.
type Core struct {
	cfg Config
	rng *rand.Rand

	roster *Roster
	peers  map[ident.Instance]*peer
	// given and givenOlder are the ends of the promises that this instance gave
	// under the present and under older versions.
	given, givenOlder map[ident.Instance]time.Duration
	// heldUntil is the end of this instance's promises from a majority.
	heldUntil time.Duration
	// adoptedAt is the moment at which the present version arrived.
	adoptedAt time.Duration
	// settledAt is the moment at which the present version is settled.
	settledAt time.Duration
	// openAt is, by slot, the moment from which the holder may act.
	openAt []time.Duration
	// held are the slots announced by Gained, with their epochs.
	held map[int]uint64
	// ended holds the moment at which an instance's end became known.
	ended map[ident.Instance]time.Duration
	// removed holds the moment at which a roster without the instance arrived.
	removed map[ident.Instance]time.Duration

	// missingSince is when the service first said that there is no record.
	missingSince time.Duration
	candidates   []Member
	// wantedMembers are those of the roster that is wanted since wantedSince.
	wantedMembers []Member
	wantedSince   time.Duration
	// probed holds when candidates that may become members last answered.
	probed  map[ident.Instance]time.Duration
	leaving bool
	left    bool

	lastTick  time.Duration
	nextAsk   time.Duration
	nextPull  time.Duration
	lastHeard time.Duration
	service   serviceState
}

// peer is what this instance knows of another one.
type peer struct {
	// heardAt is when it last answered.
	heardAt time.Duration
	// version is the newest roster version that it is known to know.
	version uint64
	// grantedAt is the moment of asking of its last promise under the present
	// version, or -1.
	grantedAt time.Duration
	// acked says that it told of its older promises under the present version;
	// lapse holds their ends, by the roster's Prev.
	acked bool
	lapse []time.Duration
	// ackedAt is when acked became true.
	ackedAt time.Duration
	silent  []ident.Instance
	leaving bool
}

// New returns a core that knows no roster.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		peers:      map[ident.Instance]*peer{},
		given:      map[ident.Instance]time.Duration{},
		givenOlder: map[ident.Instance]time.Duration{},
		held:       map[int]uint64{},
		ended:      map[ident.Instance]time.Duration{},
		removed:    map[ident.Instance]time.Duration{},
		probed:     map[ident.Instance]time.Duration{},
		settledAt:  never,
	}, nil
}

// Roster returns the newest roster known, or nil. It must not be changed.
func (c *Core) Roster() *Roster { return c.roster }

// Holds reports whether this instance holds the slot at now, and its epoch. It
// checks the clock itself: call it with a fresh time immediately before acting.
func (c *Core) Holds(now time.Duration, slot int) (epoch uint64, ok bool) {
	if c.roster == nil || slot < 0 || slot >= len(c.roster.Slots) {
		return 0, false
	}
	s := c.roster.Slots[slot]
	if c.roster.Members[s.Holder].Instance != c.cfg.Self {
		return 0, false
	}
	if now >= c.heldUntil || now < c.openAt[slot] {
		return 0, false
	}
	return s.Epoch, true
}

// HeldUntil is the moment up to which Holds can be true without a further
// promise.
func (c *Core) HeldUntil() time.Duration { return c.heldUntil }

// Step takes one event in at time now and returns what is to be done.
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
		c.service.failed(now, c.rng)
	case Candidates:
		c.learnCandidates(now, ev.Alive)
	case Gone:
		c.learnEnded(now, ev.Instances)
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
	return append(out, c.announce(now)...)
}

func (c *Core) tick(now time.Duration) []Action {
	c.noticeOwnPause(now)
	if c.roster == nil {
		return append(c.readRoster(now, c.cfg.ReadEvery/4), c.pull(now)...)
	}
	var out []Action
	if c.isMember() || c.mustRescue() {
		if now >= c.nextAsk {
			out = append(out, c.askRound(now)...)
			out = append(out, c.probe(now)...)
		}
		out = append(out, c.readRoster(now, c.cfg.ReadEvery)...)
		out = append(out, c.propose(now)...)
	} else {
		out = append(out, c.pull(now)...)
	}
	return append(out, c.finishLeave(now)...)
}

// noticeOwnPause forgives the peers' silence while this process itself stood
// still.
func (c *Core) noticeOwnPause(now time.Duration) {
	if now-c.lastTick > c.cfg.SuspectAfter/2 {
		for _, p := range c.peers {
			p.heardAt = now
			p.silent = nil
		}
	}
	c.lastTick = now
}

func (c *Core) isMember() bool { return c.roster.Index(c.cfg.Self) != noIndex }

func (c *Core) peer(now time.Duration, in ident.Instance) *peer {
	p := c.peers[in]
	if p == nil {
		p = &peer{heardAt: now, grantedAt: noIndex}
		c.peers[in] = p
	}
	return p
}

// adopt makes a newer roster the present one. Slots that it gives to another
// instance are lost at this moment.
func (c *Core) adopt(now time.Duration, r Roster) []Action {
	if c.roster != nil && r.Version <= c.roster.Version || r.Validate() != nil {
		return nil
	}
	c.noteRemoved(now, r)
	c.agePromises(now)
	c.roster = &r
	c.adoptedAt = now
	c.resetPeers(now)
	c.openAt = make([]time.Duration, len(r.Slots))
	c.learnEnded(now, c.superseded())
	out := []Action{RosterChanged{Roster: r}}
	if c.isMember() || r.prevIndex(c.cfg.Self) != noIndex {
		out = append(out, c.askRound(now)...)
	}
	return out
}

// agePromises counts the promises given so far as ones under older versions.
func (c *Core) agePromises(now time.Duration) {
	for in, end := range c.given {
		c.givenOlder[in] = max(c.givenOlder[in], end)
	}
	clear(c.given)
	for in, end := range c.givenOlder {
		if end <= now {
			delete(c.givenOlder, in)
		}
	}
}

func (c *Core) noteRemoved(now time.Duration, next Roster) {
	for _, m := range next.Prev {
		if next.Index(m.Instance) == noIndex {
			c.removed[m.Instance] = now
		}
	}
	for in, at := range c.probed {
		if now-at > c.cfg.SuspectAfter {
			delete(c.probed, in)
		}
	}
	for in, at := range c.removed {
		if now-at > 2*c.cfg.ReaddAfter {
			delete(c.removed, in)
		}
	}
}

// resetPeers drops what belonged to the version before, and peers that are in
// neither version.
func (c *Core) resetPeers(now time.Duration) {
	for in, p := range c.peers {
		if c.roster.Index(in) == noIndex && c.roster.prevIndex(in) == noIndex {
			delete(c.peers, in)
			continue
		}
		*p = peer{heardAt: p.heardAt, version: p.version, grantedAt: noIndex, leaving: p.leaving}
	}
	for _, m := range c.roster.Members {
		c.peer(now, m.Instance)
	}
	self := c.peer(now, c.cfg.Self)
	self.acked = true
	self.ackedAt = now
	self.lapse = c.lapses(now)
}

// lapses lists, by the roster's Prev, the ends of the promises that this
// instance gave under older versions.
func (c *Core) lapses(now time.Duration) []time.Duration {
	out := make([]time.Duration, len(c.roster.Prev))
	for i, m := range c.roster.Prev {
		out[i] = max(now, c.givenOlder[m.Instance])
	}
	return out
}

// announce tells what changed in the slots held since the last step.
func (c *Core) announce(now time.Duration) []Action {
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
