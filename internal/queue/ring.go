// Package ring joins two duties by a bounded queue. A full ring is a verdict
// for the sender, never a block without end.
package queue

// Ring is a bounded first-in first-out queue between goroutines. Any number of
// goroutines may send; one receives.
type Queue[T any] struct {
	items chan T
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TrySend appends item and reports whether there was room. It never blocks.
func (r *Queue[T]) TrySend(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Send appends item, waiting for room until done is closed. It reports whether
// the item was appended.
func (r *Queue[T]) Send(done <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items is the receiver's side. It is never closed.
func (r *Queue[T]) Items() <-chan T {
	return r.items
}

// Len is the number of items that wait.
func (r *Queue[T]) Len() int {
	return len(r.items)
}
