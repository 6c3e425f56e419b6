package detector

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

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

// isLate reports whether this VM did not run when the timeout of a try ended.
func (c *Core) isLate(now, began time.Duration) bool {
	return now-began > c.cfg.AnswerTimeout+c.cfg.LateResult
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

// announce batches the unannounced losses into one message, within the message budget.
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
