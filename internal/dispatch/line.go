package dispatch

import "time"

// LineConfig bounds the requests that wait at a VM for room.
type WaitQueueConfig struct {
	// Hold is how long a request without room waits at most: room that comes within it
	// still gives an answer in time, and a refused caller that returns is late. Played
	// (play_test.go): 150 ms earns most, 450 ms less than none. Default 150 ms.
	MaxWait time.Duration
	// Every is how often the first in line is tried again. Default 40 ms.
	RetryInterval time.Duration
	// Most is the number of requests that wait; further ones are refused at once, as
	// they would wait in vain. Default 16.
	MaxWaiting int
}

// DefaultLineConfig returns the defaults that LineConfig names.
func DefaultWaitQueueConfig() WaitQueueConfig {
	return WaitQueueConfig{MaxWait: 150 * time.Millisecond, RetryInterval: 40 * time.Millisecond, MaxWaiting: 16}
}

// Line is the requests that wait at a VM for room, first come, first served: only the
// first one is tried again, and when it leaves the next one is at once. It has no lock.
type WaitQueue struct {
	most    int
	waiting []*Waiter
}

// Waiter is a request in line.
type Waiter struct {
	// First is signalled when the request has become the first in line.
	AtHead chan struct{}
}

// NewLine returns an empty Line.
func NewWaitQueue(cfg WaitQueueConfig) *WaitQueue { return &WaitQueue{most: cfg.MaxWaiting} }

// Join puts a request at the end, or returns nil where the line is full.
func (l *WaitQueue) Join() *Waiter {
	if len(l.waiting) >= l.most {
		return nil
	}
	w := &Waiter{AtHead: make(chan struct{}, 1)}
	l.waiting = append(l.waiting, w)
	return w
}

// IsFirst reports whether w is the first in line.
func (l *WaitQueue) IsHead(w *Waiter) bool { return len(l.waiting) > 0 && l.waiting[0] == w }

// Leave takes w out of the line and tells the new first one.
func (l *WaitQueue) Leave(w *Waiter) {
	for i, other := range l.waiting {
		if other != w {
			continue
		}
		l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
		if i == 0 && len(l.waiting) > 0 {
			l.waiting[0].AtHead <- struct{}{} // has room: each becomes first once
		}
		return
	}
}
