package detector

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// Core holds the failure detector's state of one VM. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	self string

	servers  []Server         // that may be watched or asked as witnesses
	byDomain map[string][]int // indices in servers
	ranks    watchRanks

	checks []*check // in the order of their first evidence
	byID   map[backend.Instance]*check
	states map[backend.Instance]*serverState
	tries  map[uint64]*check // in progress
	lastID uint64
	random uint64
	budget bucket
	weak   bucket // of the checks by weak evidence

	refused     []Server  // by a first try since the last Advance
	held        []Verdict // of loss, until the time to settle is over
	heldAt      time.Duration
	unannounced []Server // lost servers of which the other VMs have to be told
	messages    bucket
	announcedAt time.Duration

	stats Stats
}

// Stats counts what a Core did and did not do.
type Stats struct {
	// Checks counts the checks that began.
	Checks int
	// DroppedEvidence counts the evidence that MaxChecks, MaxServers or MaxWait left out.
	DroppedEvidence int
	// DroppedFindings counts the findings that the bound of messages left to the load
	// messages.
	DroppedFindings int
}

// serverState is what is remembered of a server between its checks.
type serverState struct {
	usedAt        time.Duration
	budget        bucket
	aliveInARow   int // checks by weak evidence that found it alive
	weakAllowedAt time.Duration
	watchClosedAt time.Duration
	watchClosed   bool
	lostUntil     time.Duration
	badWitnessAt  time.Duration
	badWitness    bool
}

// New returns a Core of the VM self. seed makes the choice of witnesses differ between VMs.
func New(cfg Config, self string, seed uint64) *Core {
	cfg.WitnessTries = min(cfg.WitnessTries, maxWitnesses)
	return &Core{cfg: cfg, self: self, byDomain: map[string][]int{}, ranks: newWatchRanks(self), states: map[backend.Instance]*serverState{},
		byID: map[backend.Instance]*check{}, tries: map[uint64]*check{}, random: seed, budget: bucket{tokens: cfg.CheckBurst}, weak: bucket{tokens: cfg.WeakCheckBurst}, messages: bucket{tokens: cfg.MessageBurst}}
}

// Config returns the settings.
func (c *Core) Config() Config { return c.cfg }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// SetVMs sets the names of the VMs that share the watch connections, with or without this one.
func (c *Core) SetVMs(vms []string) { c.ranks.setVMs(c.self, vms) }

// weakChecksPerSecond returns this VM's part of the checks by weak evidence.
func (c *Core) weakChecksPerSecond() float64 {
	return min(c.cfg.WeakChecksPerSecond, c.cfg.FleetWeakChecksPerSecond/float64(1+len(c.ranks.vms)))
}

// SetServers sets the servers that take requests: they may be watched and asked as witnesses.
func (c *Core) SetServers(now time.Duration, servers []Server) {
	c.servers = append(c.servers[:0], servers...)
	clear(c.byDomain)
	known := make(map[string]bool, len(servers))
	for i := range c.servers {
		c.byDomain[c.servers[i].Domain] = append(c.byDomain[c.servers[i].Domain], i)
		known[string(c.servers[i].ID)] = true
	}
	for id := range c.ranks.watches {
		if !known[id] {
			delete(c.ranks.watches, id)
		}
	}
	c.forget(now)
}

// Watched returns the servers that this VM keeps a watch connection to.
func (c *Core) Watched() []Server {
	var out []Server
	for _, s := range c.servers {
		if c.ranks.watched(string(s.ID), c.cfg.Watchers) {
			out = append(out, s)
		}
	}
	return out
}

// stateTTL is how long the state of a server without evidence is kept, longer than any time
// in Config.
const stateTTL = 10 * time.Second

func (c *Core) forget(now time.Duration) {
	for in, s := range c.states {
		if now-s.usedAt > stateTTL {
			delete(c.states, in)
		}
	}
}

// state returns the state of a server, nil if there is no room for it.
func (c *Core) state(now time.Duration, in backend.Instance) *serverState {
	s := c.states[in]
	if s == nil {
		if len(c.states) >= c.cfg.MaxServers {
			c.forget(now)
		}
		if len(c.states) >= c.cfg.MaxServers {
			return nil
		}
		s = &serverState{budget: bucket{tokens: c.cfg.ServerBurst, at: now}}
		c.states[in] = s
	}
	s.usedAt = now
	return s
}

// Observe records evidence. Advance then says what to do.
func (c *Core) Observe(now time.Duration, e Evidence) {
	s := c.state(now, e.Server.Instance)
	if s == nil {
		c.stats.DroppedEvidence++
		return
	}
	if e.Kind == WatchClosed {
		s.watchClosed, s.watchClosedAt = true, now
	}
	if now < s.lostUntil {
		return
	}
	chk := c.byID[e.Server.Instance]
	if chk == nil {
		if len(c.checks) >= c.cfg.MaxChecks || e.Kind.weak() && !c.allowsWeak(now, s) {
			c.stats.DroppedEvidence++
			return
		}
		chk = &check{server: e.Server, kind: e.Kind, evidenceAt: now}
		c.checks = append(c.checks, chk)
		c.byID[e.Server.Instance] = chk
	}
	if e.Kind == Neighbor && !chk.kinds.has(Neighbor) {
		chk.neighborAt = now
	}
	chk.kinds = chk.kinds.with(e.Kind)
}

// Reported records that another server's report names a server as lost, and queues the loss to
// be announced. It reports whether that is new, so that its streams have to be moved.
func (c *Core) Reported(now time.Duration, server Server) bool {
	s := c.state(now, server.Instance)
	if s == nil || now < s.lostUntil {
		return false
	}
	s.lostUntil = now + c.cfg.LostMemory
	if chk := c.byID[server.Instance]; chk != nil {
		c.end(chk)
	}
	c.unannounced = append(c.unannounced, server)
	return true
}

// allowsWeak reports whether weak evidence may start a check of a server. It leaves a part of
// the server's budget to other evidence.
func (c *Core) allowsWeak(now time.Duration, s *serverState) bool {
	s.budget.refill(now, 1/c.cfg.ServerInterval.Seconds(), c.cfg.ServerBurst)
	return now >= s.weakAllowedAt && s.budget.tokens >= c.cfg.ServerBurst
}

// Paused drops all checks: this VM did not run for a while, so the times of their tries mean
// nothing.
func (c *Core) Paused() {
	c.checks = nil
	c.refused = nil
	clear(c.byID)
	clear(c.tries)
}

// Tried records the outcome of a try.
func (c *Core) Tried(now time.Duration, id uint64, outcome Outcome) {
	chk := c.tries[id]
	if chk == nil {
		return // the check has ended
	}
	delete(c.tries, id)
	began, isTry := chk.tryTimes[id]
	if !isTry {
		c.witnessTried(now, chk, id, outcome)
		return
	}
	delete(chk.tryTimes, id)
	chk.inFlight--
	if outcome == Unanswered && c.isLate(now, began) {
		outcome = Inconclusive
	}
	switch outcome {
	case Opened:
		chk.result, chk.done = Alive, true
	case Refused:
		if chk.refused == 0 {
			c.refused = append(c.refused, chk.server)
		}
		chk.refused++
		chk.nextTryAt = now + c.cfg.RefusedInterval
	case Unanswered:
		chk.silent++
	case Inconclusive:
		chk.inconclusive++
		chk.launched--
		chk.nextTryAt = now + c.cfg.TryInterval
	}
}

// Streams tells of this VM's streams.
type Streams interface {
	// Progress returns when the last event of a stream through the server arrived, false if
	// there is no such stream or event.
	Progress(server backend.Instance) (at time.Duration, ok bool)
	// Silent reports whether a stream through the server has been silent for its longest
	// acceptable pause and none has had an event lately. Shorter silences are common on links
	// that lose packets.
	Silent(server backend.Instance) bool
}

// Actions is what has to be done now.
type Actions struct {
	Tries    []Try
	Verdicts []Verdict
	// Avoid holds servers that have refused a first try, or that are gone by a verdict which is
	// still held. Streams that move now should not move to them: servers often fail together.
	Avoid []Server
	// Announce holds the lost servers to announce to all VMs, in one message.
	Announce []Server
	// Wake is when Advance has to be called again if nothing happens before; 0 for never.
	Wake time.Duration
}

func (a *Actions) wakeAt(at time.Duration) {
	if a.Wake == 0 || at < a.Wake {
		a.Wake = max(at, 1)
	}
}

// Advance returns what has to be done now. It has to be called after each input and at the
// time in Actions.Wake.
func (c *Core) Advance(now time.Duration, streams Streams) Actions {
	a := Actions{Avoid: c.refused}
	c.refused = nil
	for _, chk := range slices.Clone(c.checks) {
		c.advanceCheck(now, chk, streams, &a)
		if chk.done && chk.result == Alive && chk.kinds.has(Neighbor) && streams.Silent(chk.server.Instance) {
			chk.result = Stalled
		}
		if chk.done {
			c.conclude(now, chk, &a)
		}
	}
	c.release(now, &a)
	c.announce(now, &a)
	return a
}
