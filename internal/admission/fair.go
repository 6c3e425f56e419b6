package admission

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// priorityLevel holds the queues of one priority.
type priorityLevel struct {
	priority    int
	teams       map[ident.Team]*teamQueue
	activeTeams []*teamQueue // teams with waiters, in round-robin order
}

// teamQueue holds one team's waiters in one priority.
type teamQueue struct {
	team         ident.Team
	services     []*serviceQueue // services with waiters, in the order of their first waiter
	deficit      int             // cost that may still start in this turn
	quantumAdded bool            // deficit includes the quantum of this turn
}

// serviceQueue holds the waiters of one team on one service, in order of arrival.
type serviceQueue struct {
	flowKey flowKey
	waiters []*waiter
	// startedCost is the cost that started from this queue, counted from the lowest
	// startedCost of the team's other queues when its first waiter arrived.
	startedCost int
}

// flowKey identifies a flow: the requests of one team on one service.
type flowKey struct {
	team    ident.Team
	service ident.Service
}

// priorityLevel returns the level of a priority, or nil.
func (q *Queue) priorityLevel(priority int) *priorityLevel {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

// mayOvertake reports whether a new request may start before the waiting ones: only
// if no request of its team and service waits in its priority or a higher one.
func (q *Queue) mayOvertake(req Request) bool {
	for _, l := range q.levels {
		if l.priority >= req.Priority && l.lookup(req.flowKey()) != nil {
			return false
		}
	}
	return true
}

// lookup returns the queue of a team on a service, or nil.
func (l *priorityLevel) lookup(key flowKey) *serviceQueue {
	if tq := l.teams[key.team]; tq != nil {
		return tq.lookup(key)
	}
	return nil
}

func (tq *teamQueue) lookup(key flowKey) *serviceQueue {
	for _, sq := range tq.services {
		if sq.flowKey == key {
			return sq
		}
	}
	return nil
}

func (q *Queue) enqueue(now time.Duration, w *waiter) {
	l := q.priorityLevel(w.req.Priority)
	if l == nil {
		l = &priorityLevel{priority: w.req.Priority, teams: map[ident.Team]*teamQueue{}}
		q.levels = append(q.levels, l)
		slices.SortFunc(q.levels, func(a, b *priorityLevel) int { return b.priority - a.priority })
	}
	tq := l.teams[w.req.Team]
	if tq == nil {
		tq = &teamQueue{team: w.req.Team}
		l.teams[w.req.Team] = tq
		l.activeTeams = append(l.activeTeams, tq)
	}
	sq := tq.lookup(w.req.flowKey())
	if sq == nil {
		sq = tq.join(w.req.flowKey())
	}
	sq.waiters = append(sq.waiters, w)
	q.waiting[w.req.ID] = w
	q.flow(w.req).join(now)
}

// join adds an empty service queue. It starts at the lowest startedCost of the team's
// queues, so that it gains no priority for the time before.
func (tq *teamQueue) join(key flowKey) *serviceQueue {
	sq := &serviceQueue{flowKey: key}
	for i, other := range tq.services {
		if i == 0 || other.startedCost < sq.startedCost {
			sq.startedCost = other.startedCost
		}
	}
	tq.services = append(tq.services, sq)
	return sq
}

// dequeue removes a waiter and the queues that become empty.
func (q *Queue) dequeue(now time.Duration, w *waiter) {
	delete(q.waiting, w.req.ID)
	q.flow(w.req).leave(now)
	l := q.priorityLevel(w.req.Priority)
	tq := l.teams[w.req.Team]
	sq := tq.lookup(w.req.flowKey())
	sq.waiters = slices.DeleteFunc(sq.waiters, func(x *waiter) bool { return x == w })
	if len(sq.waiters) > 0 {
		return
	}
	tq.services = slices.DeleteFunc(tq.services, func(x *serviceQueue) bool { return x == sq })
	if len(tq.services) > 0 {
		return
	}
	delete(l.teams, w.req.Team)
	l.activeTeams = slices.DeleteFunc(l.activeTeams, func(x *teamQueue) bool { return x == tq })
}

// allWaiters returns the waiters in a deterministic order.
func (q *Queue) allWaiters() []*waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	found := make([]*waiter, 0, len(q.waiting))
	for _, l := range q.levels {
		for _, tq := range l.activeTeams {
			for _, sq := range tq.services {
				found = append(found, sq.waiters...)
			}
		}
	}
	return found
}

// startWaiting starts waiters as far as slots and limits allow, highest priority first.
// Once a limit has denied a waiter, it is not tried for the waiters behind that one, so
// that small requests don't starve a large one or one of higher priority.
func (q *Queue) startWaiting(now time.Duration) {
	if len(q.waiting) == 0 {
		return
	}
	clear(q.exhausted)
	for _, l := range q.levels {
		q.startLevel(now, l)
	}
}

// startLevel starts the waiters of one priority by deficit round robin until no team
// can start any.
func (q *Queue) startLevel(now time.Duration, l *priorityLevel) {
	blocked := 0
	for len(l.activeTeams) > 0 && blocked < len(l.activeTeams) {
		tq := l.activeTeams[0]
		if !tq.quantumAdded {
			tq.quantumAdded = true
			tq.deficit += q.cfg.Quantum
		}
		progress := q.startTeam(now, tq)
		if len(q.running) >= q.cfg.Slots {
			return // the turn continues when a slot is free
		}
		blocked++
		if progress {
			blocked = 0
		}
		if len(l.activeTeams) > 0 && l.activeTeams[0] == tq {
			l.activeTeams = append(l.activeTeams[1:], tq)
			tq.quantumAdded = false
		}
	}
}

// startTeam starts a team's waiters as far as its deficit, the slots and the limits
// allow. It reports whether another turn may start more: a request started, or the
// deficit is still growing towards the cost of a large request.
func (q *Queue) startTeam(now time.Duration, tq *teamQueue) bool {
	progress := false
	for len(q.running) < q.cfg.Slots {
		sq := q.nextService(tq)
		if sq == nil {
			break
		}
		w := sq.waiters[0]
		if w.req.Cost > tq.deficit {
			return true
		}
		if !q.tryStart(now, w) {
			q.exhausted[sq.flowKey] = true
			continue
		}
		progress = true
		tq.deficit -= w.req.Cost
		sq.startedCost += w.req.Cost
		q.dequeue(now, w)
		q.actions = append(q.actions, Admit{ID: w.req.ID, Waited: now - w.queuedAt})
	}
	if len(q.running) < q.cfg.Slots {
		tq.deficit = min(tq.deficit, q.cfg.Quantum)
	}
	return progress
}

// nextService returns the team's queue with the lowest startedCost whose limit isn't
// exhausted, or nil.
func (q *Queue) nextService(tq *teamQueue) *serviceQueue {
	var least *serviceQueue
	for _, sq := range tq.services {
		if q.exhausted[sq.flowKey] {
			continue
		}
		if least == nil || sq.startedCost < least.startedCost {
			least = sq
		}
	}
	return least
}

func (r Request) flowKey() flowKey {
	return flowKey{team: r.Team, service: r.Service}
}
