package entry

import "sync"

// mailbox queues the core's items for one request until the request's handler receives
// them. put never blocks, because the core's loop calls it. The number of items is
// bounded by the response's maximum length.
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

// receive waits for items and returns all of them, or nil once stop is closed.
func (m *mailbox) receive(stop <-chan struct{}) []any {
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
