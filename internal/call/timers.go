package call

import (
	"container/heap"
	"time"
)

type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerHedge
	timerForward
	timerClaim
	timerLinger
)

// timer is a moment at which a request wants attention. A timer of a request
// that is gone does nothing.
type timer struct {
	at     time.Duration
	serial uint64
	id     RequestID
	what   timerKind
}

// timers is a queue ordered by time, then by the order of adding.
type timers struct {
	queue  timerQueue
	serial uint64
}

func (t *timers) add(at time.Duration, id RequestID, what timerKind) {
	t.serial++
	heap.Push(&t.queue, timer{at: at, serial: t.serial, id: id, what: what})
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].at, true
}

// due takes the first timer that is due.
func (t *timers) due(now time.Duration) (timer, bool) {
	if len(t.queue) == 0 || t.queue[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.queue).(timer), true
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
