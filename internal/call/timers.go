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
	timerWrite
	timerDropRequest
)

// timer is one timer of a request. It has no effect once the request is dropped.
type timer struct {
	at   time.Duration
	seq  uint64
	id   RequestID
	kind timerKind
}

// timers is a queue of timers ordered by time, then by insertion.
type timers struct {
	queue timerHeap
	seq   uint64
}

func (t *timers) add(at time.Duration, id RequestID, kind timerKind) {
	t.seq++
	heap.Push(&t.queue, timer{at: at, seq: t.seq, id: id, kind: kind})
}

func (t *timers) next() (time.Duration, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].at, true
}

// popDue removes and returns the first timer that is due.
func (t *timers) popDue(now time.Duration) (timer, bool) {
	if len(t.queue) == 0 || t.queue[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.queue).(timer), true
}

type timerHeap []timer

func (q timerHeap) Len() int { return len(q) }

func (q timerHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerHeap) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
