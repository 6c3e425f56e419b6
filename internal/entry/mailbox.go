package entry

import "sync"

// mailbox queues the core's items for one request until the request's handler takes
// them. put never blocks the core's loop. The queue has no limit of its own: the
// response's maximum length bounds it.
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

// take waits for items and returns all of them, or nil once stop is closed.
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
