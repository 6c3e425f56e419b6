package admission

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
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
	deficit int // cost that it may still start in this round
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
// if none of its team and priority or of a higher priority waits.
func (q *Queue) mayPass(req Request) bool {
	for _, l := range q.levels {
		if l.priority > req.Priority && len(l.round) > 0 && len(q.running) >= q.cfg.Slots {
			return false
		}
	}
	l := q.level(req.Priority)
	return l == nil || l.teams[req.Team] == nil
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
func (q *Queue) startWaiting(now time.Duration) {
	for _, l := range q.levels {
		q.startLevel(now, l)
	}
}

// startLevel goes round the teams by deficit round robin until none can start.
func (q *Queue) startLevel(now time.Duration, l *level) {
	stuck := 0
	for len(l.round) > 0 && stuck < len(l.round) {
		if len(q.running) >= q.cfg.Slots {
			return
		}
		tq := l.round[0]
		l.round = append(l.round[1:], tq)
		if q.startTeam(now, tq) {
			stuck = 0
		} else {
			stuck++
		}
	}
}

// startTeam gives a team its quantum and starts its waiters as far as that
// goes. It reports whether the team is not stuck: it started something, or its
// deficit is growing towards a large request.
func (q *Queue) startTeam(now time.Duration, tq *teamQueue) bool {
	tq.deficit += q.cfg.Quantum
	progress := false
	refused := map[ident.Service]bool{}
	for _, w := range slices.Clone(tq.waiters) {
		if refused[w.req.Service] {
			continue
		}
		if w.req.Cost > tq.deficit {
			return true
		}
		if !q.tryStart(now, w) {
			if w.refusal == verdict.CauseQueueFull {
				return progress
			}
			refused[w.req.Service] = true
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
