package admission

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// level is the queues of one priority.
type level struct {
	priority int
	teams    map[ident.Team]*teamQueue
	round    []*teamQueue // those with waiters, in the order of their turns
}

// teamQueue is one team's waiters in one priority.
type teamQueue struct {
	team    ident.Team
	waiters []*waiter
	deficit int  // cost that it may still start in this turn
	inTurn  bool // it got its quantum for this turn
}

// account is what one limit is on.
type account struct {
	team    ident.Team
	service ident.Service
}

// level returns the level of a priority, or nil.
func (q *Queue) level(priority int) *level {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

// mayPass reports whether a new request may start before those that wait: only
// if none of its team waits in its priority or a higher one.
func (q *Queue) mayPass(req Request) bool {
	for _, l := range q.levels {
		if l.priority >= req.Priority && l.teams[req.Team] != nil {
			return false
		}
	}
	return true
}

func (q *Queue) enqueue(w *waiter) {
	l := q.level(w.req.Priority)
	if l == nil {
		l = &level{priority: w.req.Priority, teams: map[ident.Team]*teamQueue{}}
		q.levels = append(q.levels, l)
		slices.SortFunc(q.levels, func(a, b *level) int { return b.priority - a.priority })
	}
	tq := l.teams[w.req.Team]
	if tq == nil {
		tq = &teamQueue{team: w.req.Team}
		l.teams[w.req.Team] = tq
		l.round = append(l.round, tq)
	}
	tq.waiters = append(tq.waiters, w)
	q.waiting[w.req.ID] = w
}

// dequeue takes a waiter out, and its team's queue if that is empty.
func (q *Queue) dequeue(w *waiter) {
	delete(q.waiting, w.req.ID)
	l := q.level(w.req.Priority)
	tq := l.teams[w.req.Team]
	tq.waiters = slices.DeleteFunc(tq.waiters, func(x *waiter) bool { return x == w })
	if len(tq.waiters) > 0 {
		return
	}
	delete(l.teams, w.req.Team)
	l.round = slices.DeleteFunc(l.round, func(x *teamQueue) bool { return x == tq })
}

// all returns the waiters in a fixed order.
func (q *Queue) all() []*waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	found := make([]*waiter, 0, len(q.waiting))
	for _, l := range q.levels {
		for _, tq := range l.round {
			found = append(found, tq.waiters...)
		}
	}
	return found
}

// startWaiting starts what slots and limits allow, the highest priority first.
// A limit that refused one waiter is not asked again for those behind it, so
// that small requests don't starve a large one or one of higher priority.
func (q *Queue) startWaiting(now time.Duration) {
	if len(q.waiting) == 0 {
		return
	}
	clear(q.spent)
	for _, l := range q.levels {
		q.startLevel(now, l)
	}
}

// startLevel goes round the teams by deficit round robin until none can start.
func (q *Queue) startLevel(now time.Duration, l *level) {
	stuck := 0
	for len(l.round) > 0 && stuck < len(l.round) {
		tq := l.round[0]
		if !tq.inTurn {
			tq.inTurn = true
			tq.deficit += q.cfg.Quantum
		}
		progress := q.startTeam(now, tq)
		if len(q.running) >= q.cfg.Slots {
			return // the turn goes on when there is a slot
		}
		stuck++
		if progress {
			stuck = 0
		}
		if len(l.round) > 0 && l.round[0] == tq {
			l.round = append(l.round[1:], tq)
			tq.inTurn = false
		}
	}
}

// startTeam starts a team's waiters as far as its deficit, the slots and the
// limits go. It reports whether another turn may help: it started something,
// or its deficit is growing towards a large request.
func (q *Queue) startTeam(now time.Duration, tq *teamQueue) bool {
	progress := false
	for _, w := range slices.Clone(tq.waiters) {
		if len(q.running) >= q.cfg.Slots {
			return progress
		}
		if q.spent[w.account()] {
			continue
		}
		if w.req.Cost > tq.deficit {
			return true
		}
		if !q.tryStart(now, w) {
			q.spent[w.account()] = true
			continue
		}
		progress = true
		tq.deficit -= w.req.Cost
		q.dequeue(w)
		q.out = append(q.out, Admit{ID: w.req.ID, Waited: now - w.since})
	}
	tq.deficit = min(tq.deficit, q.cfg.Quantum)
	return progress
}

func (w *waiter) account() account {
	return account{team: w.req.Team, service: w.req.Service}
}
