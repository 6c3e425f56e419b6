package entry

import "sync"

// mailbox holds what the core has for one request until its handler takes it.
// It never blocks the core's loop; it is bounded by the answer's own bound.
type mailbox struct {
	mu    sync.Mutex
	items []any
	wake  chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

// put appends an item.
func (m *mailbox) put(item any) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take waits for items and returns all of them; none once stop is closed.
func (m *mailbox) take(stop <-chan struct{}) []any {
	for {
		m.mu.Lock()
		items := m.items
		m.items = nil
		m.mu.Unlock()
		if len(items) > 0 {
			return items
		}
		select {
		case <-m.wake:
		case <-stop:
			return nil
		}
	}
}
