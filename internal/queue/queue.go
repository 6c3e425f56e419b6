// Package queue provides a bounded queue between goroutines. A full queue need not block a
// sender indefinitely: TrySend returns false, and Send gives up when its done channel closes.
package queue

// Queue is a bounded FIFO queue with any number of sending goroutines and one receiver.
type Queue[T any] struct {
	items chan T
}

// New returns a queue with space for size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TrySend appends item and reports whether there was space. It never blocks.
func (q *Queue[T]) TrySend(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Send appends item, waiting for space until done is closed. It reports whether the item
// was appended.
func (q *Queue[T]) Send(done <-chan struct{}, item T) bool {
	select {
	case q.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel to receive from. It is never closed.
func (q *Queue[T]) Items() <-chan T {
	return q.items
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}
