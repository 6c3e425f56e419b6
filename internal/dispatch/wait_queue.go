package dispatch

import "time"

// WaitQueueConfig limits the requests that wait at a VM for capacity.
type WaitQueueConfig struct {
	// MaxWait is the longest wait for capacity. A request admitted within it is still
	// answered in time, while the retry of a refused caller is late. In simulation
	// (failure_sim_test.go) 150 ms scores best and 450 ms worse than no wait. Default
	// 150 ms.
	MaxWait time.Duration
	// RetryInterval is the interval at which the head of the queue is retried. Default
	// 40 ms.
	RetryInterval time.Duration
	// MaxWaiting is the maximum number of waiting requests. Further requests are refused
	// at once because they would reach MaxWait in the queue. Default 16.
	MaxWaiting int
}

// DefaultWaitQueueConfig returns the defaults documented on WaitQueueConfig.
func DefaultWaitQueueConfig() WaitQueueConfig {
	return WaitQueueConfig{MaxWait: 150 * time.Millisecond, RetryInterval: 40 * time.Millisecond, MaxWaiting: 16}
}

// WaitQueue is a FIFO queue of the requests that wait at a VM for capacity. Only the head
// is retried; when it leaves, the next one is retried at once. A WaitQueue is not safe for
// concurrent use.
type WaitQueue struct {
	maxWaiting int
	waiting    []*Waiter
}

// Waiter is a request in a WaitQueue.
type Waiter struct {
	// AtHead receives a value when the request becomes the head of the queue.
	AtHead chan struct{}
}

// NewWaitQueue returns an empty WaitQueue.
func NewWaitQueue(cfg WaitQueueConfig) *WaitQueue { return &WaitQueue{maxWaiting: cfg.MaxWaiting} }

// Join appends a request, or returns nil if the queue is full.
func (q *WaitQueue) Join() *Waiter {
	if len(q.waiting) >= q.maxWaiting {
		return nil
	}
	w := &Waiter{AtHead: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, w)
	return w
}

// IsHead reports whether w is the head of the queue.
func (q *WaitQueue) IsHead(w *Waiter) bool { return len(q.waiting) > 0 && q.waiting[0] == w }

// Leave removes w from the queue and signals the new head, if any.
func (q *WaitQueue) Leave(w *Waiter) {
	for i, other := range q.waiting {
		if other != w {
			continue
		}
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		if i == 0 && len(q.waiting) > 0 {
			q.waiting[0].AtHead <- struct{}{} // never blocks: each waiter becomes the head once
		}
		return
	}
}
