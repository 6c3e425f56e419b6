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
	team     ident.Team
	services []*serviceQueue // those with waiters, in the order of their first
	deficit  int             // cost that it may still start in this turn
	inTurn   bool            // it got its quantum for this turn
}

// serviceQueue is the waiters of one team on one service, in order of arrival.
type serviceQueue struct {
	account account
	waiters []*waiter
	// started is the cost that started of it, counted from where the others
	// of its team stood when its first waiter came.
	started int
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
// if none of its team and service waits in its priority or a higher one.
func (q *Queue) mayPass(req Request) bool {
	for _, l := range q.levels {
		if l.priority >= req.Priority && l.queue(req.account()) != nil {
			return false
		}
	}
	return true
}

// queue returns the waiters of a team on a service, or nil.
func (l *level) queue(a account) *serviceQueue {
	if tq := l.teams[a.team]; tq != nil {
		return tq.queue(a)
	}
	return nil
}

func (tq *teamQueue) queue(a account) *serviceQueue {
	for _, sq := range tq.services {
		if sq.account == a {
			return sq
		}
	}
	return nil
}

func (q *Queue) enqueue(now time.Duration, w *waiter) {
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
	sq := tq.queue(w.req.account())
	if sq == nil {
		sq = tq.join(w.req.account())
	}
	sq.waiters = append(sq.waiters, w)
	q.waiting[w.req.ID] = w
	q.flow(w.req).join(now)
}

// join adds an empty service queue that has no claim from before it came.
func (tq *teamQueue) join(a account) *serviceQueue {
	sq := &serviceQueue{account: a}
	for i, other := range tq.services {
		if i == 0 || other.started < sq.started {
			sq.started = other.started
		}
	}
	tq.services = append(tq.services, sq)
	return sq
}

// dequeue takes a waiter out, and the queues that are empty without it.
func (q *Queue) dequeue(now time.Duration, w *waiter) {
	delete(q.waiting, w.req.ID)
	q.flow(w.req).leave(now)
	l := q.level(w.req.Priority)
	tq := l.teams[w.req.Team]
	sq := tq.queue(w.req.account())
	sq.waiters = slices.DeleteFunc(sq.waiters, func(x *waiter) bool { return x == w })
	if len(sq.waiters) > 0 {
		return
	}
	tq.services = slices.DeleteFunc(tq.services, func(x *serviceQueue) bool { return x == sq })
	if len(tq.services) > 0 {
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
			for _, sq := range tq.services {
				found = append(found, sq.waiters...)
			}
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
	for len(q.running) < q.cfg.Slots {
		sq := q.next(tq)
		if sq == nil {
			break
		}
		w := sq.waiters[0]
		if w.req.Cost > tq.deficit {
			return true
		}
		if !q.tryStart(now, w) {
			q.spent[sq.account] = true
			continue
		}
		progress = true
		tq.deficit -= w.req.Cost
		sq.started += w.req.Cost
		q.dequeue(now, w)
		q.out = append(q.out, Admit{ID: w.req.ID, Waited: now - w.since})
	}
	if len(q.running) < q.cfg.Slots {
		tq.deficit = min(tq.deficit, q.cfg.Quantum)
	}
	return progress
}

// next returns the team's service that may start something and of which the
// least cost started; nil if every limit is spent.
func (q *Queue) next(tq *teamQueue) *serviceQueue {
	var least *serviceQueue
	for _, sq := range tq.services {
		if q.spent[sq.account] {
			continue
		}
		if least == nil || sq.started < least.started {
			least = sq
		}
	}
	return least
}

func (r Request) account() account {
	return account{team: r.Team, service: r.Service}
}
