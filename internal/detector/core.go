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

// check is the check of one server.
type check struct {
	server     Server
	kind       Kind // of the first evidence
	kinds      kindSet
	evidenceAt time.Duration
	neighborAt time.Duration

	started         bool
	startedAt       time.Duration
	nextTryAt       time.Duration
	launched        int
	inFlight        int
	refused, silent int // tries
	inconclusive    int
	witnessesAsked  int
	witnessAskedAt  time.Duration
	witness         backend.ID
	sameDomainAsked int
	askedWitnesses  [maxWitnesses]backend.ID
	tryTimes        map[uint64]time.Duration // when tries in progress began
	witnessTries    map[uint64]witnessTry
	result          Result
	done            bool
}

// witnessTry is a try in progress to a possible witness.
type witnessTry struct {
	server Server
	at     time.Duration
}

// maxWitnesses bounds Config.WitnessTries.
const maxWitnesses = 8

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

// Reported records that a server was found lost by the report of another one, of which the
// other VMs are told. It reports whether that is new, so that its streams have to be moved.
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

// isLate reports whether this VM did not run when the timeout of a try ended.
func (c *Core) isLate(now, began time.Duration) bool {
	return now-began > c.cfg.AnswerTimeout+c.cfg.LateResult
}

func (c *Core) witnessTried(now time.Duration, chk *check, id uint64, outcome Outcome) {
	asked := chk.witnessTries[id]
	delete(chk.witnessTries, id)
	if outcome == Opened {
		chk.witness = asked.server.ID
		return
	}
	if outcome == Inconclusive || outcome == Unanswered && c.isLate(now, asked.at) {
		return
	}
	if s := c.state(now, asked.server.Instance); s != nil {
		s.badWitness, s.badWitnessAt = true, now
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

func (c *Core) advanceCheck(now time.Duration, chk *check, streams Streams, a *Actions) {
	if !chk.started && !c.start(now, chk, streams, a) {
		return
	}
	failed := chk.refused + chk.silent
	switch {
	case chk.done:
	case chk.inconclusive >= c.cfg.MaxInconclusive:
		chk.result, chk.done = Undecided, true
	case chk.refused >= c.neededRefusals(chk):
		c.awaitWitness(now, chk, Lost, a)
	case failed >= c.cfg.DarkTries && chk.inFlight == 0:
		if at, ok := streams.Progress(chk.server.Instance); ok && at > chk.startedAt+c.cfg.ProgressDelay {
			chk.result, chk.done = Alive, true
			return
		}
		c.awaitWitness(now, chk, Dark, a)
	case chk.launched >= max(c.cfg.DarkTries, 2):
		// All tries are in progress.
	case now >= chk.nextTryAt:
		c.try(now, chk, a)
	default:
		a.wakeAt(chk.nextTryAt)
	}
}

// start begins a check if the budgets allow it.
func (c *Core) start(now time.Duration, chk *check, streams Streams, a *Actions) bool {
	s := c.state(now, chk.server.Instance)
	if s == nil {
		chk.result, chk.done = Undecided, true
		return false
	}
	if chk.kinds == kindSet(0).with(Silence) {
		if at, ok := streams.Progress(chk.server.Instance); ok && now-at < c.cfg.ProgressDelay {
			c.end(chk) // another stream through the server goes on
			return false
		}
	}
	perServer, weak := 1/c.cfg.ServerInterval.Seconds(), chk.kinds.allWeak()
	c.budget.refill(now, c.cfg.ChecksPerSecond, c.cfg.CheckBurst)
	c.weak.refill(now, c.weakChecksPerSecond(), c.cfg.WeakCheckBurst)
	s.budget.refill(now, perServer, c.cfg.ServerBurst)
	at := max(c.budget.after(now, c.cfg.ChecksPerSecond, 1), s.budget.after(now, perServer, 1))
	if weak {
		at = max(at, c.weak.after(now, c.weakChecksPerSecond(), 1))
	}
	if at <= now {
		if weak {
			c.weak.tokens--
		}
		c.budget.tokens--
		s.budget.tokens--
		c.stats.Checks++
		chk.started, chk.startedAt, chk.nextTryAt = true, now, now
		chk.tryTimes, chk.witnessTries = map[uint64]time.Duration{}, map[uint64]witnessTry{}
		return true
	}
	giveUpAt := chk.evidenceAt + c.cfg.MaxWait
	if chk.kinds.has(Neighbor) {
		giveUpAt = min(giveUpAt, chk.neighborAt+c.cfg.NeighborWait)
	}
	if now >= giveUpAt {
		c.stats.DroppedEvidence++
		chk.result, chk.done = Undecided, true
		return false
	}
	a.wakeAt(min(at, giveUpAt))
	return false
}

// neededRefusals returns how many tries have to be refused. A watch connection that has just
// closed is as good as one of them.
func (c *Core) neededRefusals(chk *check) int {
	if s := c.states[chk.server.Instance]; s != nil && s.watchClosed && chk.startedAt-s.watchClosedAt <= c.cfg.WatchMemory {
		return 1
	}
	return 2
}

func (c *Core) try(now time.Duration, chk *check, a *Actions) {
	id := c.nextID(chk)
	chk.launched++
	chk.inFlight++
	chk.tryTimes[id] = now
	chk.nextTryAt = now + c.cfg.TryInterval
	a.Tries = append(a.Tries, Try{ID: id, Server: chk.server, Timeout: c.cfg.AnswerTimeout})
	switch {
	case chk.launched < c.cfg.DarkTries:
		a.wakeAt(chk.nextTryAt)
	case chk.refused == 0 && len(chk.witnessTries) == 0:
		// Only a witness asked together with the last try shows that the links were up then.
		chk.witness = ""
		c.askWitness(now, chk, a)
	}
}

func (c *Core) nextID(chk *check) uint64 {
	c.lastID++
	c.tries[c.lastID] = chk
	return c.lastID
}

// awaitWitness ends a check with result once it has a witness.
func (c *Core) awaitWitness(now time.Duration, chk *check, result Result, a *Actions) {
	if chk.witness != "" {
		chk.result, chk.done = result, true
		return
	}
	if next := chk.witnessAskedAt + c.cfg.TryInterval; len(chk.witnessTries) > 0 && now < next {
		a.wakeAt(next)
		return
	}
	// A witness whose packet was lost would hold the verdict up for AnswerTimeout.
	if !c.askWitness(now, chk, a) && len(chk.witnessTries) == 0 {
		chk.result, chk.done = Unwitnessed, true
	}
}

// askWitness tries another server, which is to be the witness. It reports false if none is
// left to ask.
func (c *Core) askWitness(now time.Duration, chk *check, a *Actions) bool {
	if chk.witnessesAsked >= c.cfg.WitnessTries {
		return false
	}
	server, ok := c.pickWitness(now, chk)
	if !ok {
		return false
	}
	chk.askedWitnesses[chk.witnessesAsked] = server.ID
	chk.witnessesAsked++
	if server.Domain == chk.server.Domain {
		chk.sameDomainAsked++
	}
	chk.witnessAskedAt = now
	a.wakeAt(now + c.cfg.TryInterval)
	id := c.nextID(chk)
	chk.witnessTries[id] = witnessTry{server, now}
	a.Tries = append(a.Tries, Try{ID: id, Server: server, Timeout: c.cfg.AnswerTimeout, Witness: true})
	return true
}

// pickWitness draws a server of the same failure domain, later of any. A dark server keeps to
// witnesses of its domain as long as there were two: this VM may be cut off from the domain
// alone.
func (c *Core) pickWitness(now time.Duration, chk *check) (Server, bool) {
	if chk.sameDomainAsked < c.cfg.SameDomainWitnesses {
		if s, ok := c.draw(now, chk, c.byDomain[chk.server.Domain]); ok {
			return s, true
		}
	}
	if chk.refused == 0 && chk.sameDomainAsked >= c.cfg.SameDomainWitnesses {
		return Server{}, false
	}
	return c.draw(now, chk, nil)
}

// draw returns a random server out of the given indices, nil for all, that may be a witness.
// Servers that are being checked themselves come last.
func (c *Core) draw(now time.Duration, chk *check, indices []int) (Server, bool) {
	if s, ok := c.drawFrom(now, chk, indices, false); ok {
		return s, true
	}
	return c.drawFrom(now, chk, indices, true)
}

func (c *Core) drawFrom(now time.Duration, chk *check, indices []int, beingChecked bool) (Server, bool) {
	n := len(indices)
	if indices == nil {
		n = len(c.servers)
	}
	if n == 0 {
		return Server{}, false
	}
	c.random += 0x9e3779b97f4a7c15
	start := int(mix(c.random) % uint64(n))
	for k := range n {
		i := (start + k) % n
		if indices != nil {
			i = indices[i]
		}
		if s := c.servers[i]; c.mayWitness(now, chk, s, beingChecked) {
			return s, true
		}
	}
	return Server{}, false
}

func (c *Core) mayWitness(now time.Duration, chk *check, s Server, beingChecked bool) bool {
	if s.ID == chk.server.ID || slices.Contains(chk.askedWitnesses[:chk.witnessesAsked], s.ID) {
		return false
	}
	if st := c.states[s.Instance]; st != nil && (now < st.lostUntil || st.badWitness && now-st.badWitnessAt < c.cfg.WitnessMemory) {
		return false
	}
	other := c.byID[s.Instance]
	return other == nil || beingChecked && other.refused+other.silent == 0
}

// conclude ends a check and reports its verdict.
func (c *Core) conclude(now time.Duration, chk *check, a *Actions) {
	c.end(chk)
	v := Verdict{Server: chk.server, Result: chk.result, Kind: chk.kind, EvidenceAt: chk.evidenceAt, FromNeighbor: chk.kinds.has(Neighbor)}
	if chk.result.Gone() {
		v.Witness = chk.witness
	}
	if s := c.state(now, chk.server.Instance); s != nil {
		switch {
		case v.Result.Gone():
			s.lostUntil, s.aliveInARow = now+c.cfg.LostMemory, 0
		case v.Result == Alive && chk.kinds.allWeak():
			interval := min(c.cfg.ServerInterval<<min(s.aliveInARow, 8), c.cfg.MaxServerInterval)
			s.aliveInARow++
			s.weakAllowedAt = now + interval
		}
	}
	if v.Result.Gone() && !v.FromNeighbor {
		c.unannounced = append(c.unannounced, chk.server)
	}
	if !v.Result.Gone() {
		a.Verdicts = append(a.Verdicts, v)
		return
	}
	if len(c.held) == 0 {
		c.heldAt = now
	}
	c.held = append(c.held, v)
	a.Avoid = append(a.Avoid, chk.server)
}

// release hands out the verdicts of loss once the time to settle is over.
func (c *Core) release(now time.Duration, a *Actions) {
	if len(c.held) == 0 {
		return
	}
	at := c.heldAt + c.cfg.SettleTime
	if slices.ContainsFunc(c.checks, func(chk *check) bool { return chk.refused > 0 }) {
		at += c.cfg.SettleTime
	}
	if now < at {
		a.wakeAt(at)
		return
	}
	a.Verdicts = append(a.Verdicts, c.held...)
	c.held = nil
}

// end removes a check. Outcomes of its tries that are still in progress are ignored.
func (c *Core) end(chk *check) {
	c.checks = slices.DeleteFunc(c.checks, func(other *check) bool { return other == chk })
	delete(c.byID, chk.server.Instance)
	for id := range chk.tryTimes {
		delete(c.tries, id)
	}
	for id := range chk.witnessTries {
		delete(c.tries, id)
	}
}

// announce puts what the other VMs have to be told into one message, within the bound.
func (c *Core) announce(now time.Duration, a *Actions) {
	if len(c.unannounced) == 0 {
		return
	}
	if c.announcedAt > 0 && now < c.announcedAt+c.cfg.MessageInterval {
		a.wakeAt(c.announcedAt + c.cfg.MessageInterval)
		return
	}
	c.messages.refill(now, c.cfg.MessagesPerSecond, c.cfg.MessageBurst)
	if c.messages.tokens < 1 {
		c.stats.DroppedFindings += len(c.unannounced)
		c.unannounced = nil
		return
	}
	c.messages.tokens--
	a.Announce, c.unannounced, c.announcedAt = c.unannounced, nil, now
}
