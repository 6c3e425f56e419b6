package entry

import (
	"fmt"
	"sync"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// mailboxes holds the mailbox of each request in progress, by request ID, and of
// each grant request, by grantMailboxID.
type mailboxes struct {
	mu   sync.Mutex
	byID map[string]*mailbox
}

func (m *mailboxes) init() { m.byID = map[string]*mailbox{} }

// open creates the mailbox of a request.
func (m *mailboxes) open(id string) *mailbox {
	box := newMailbox()
	m.mu.Lock()
	m.byID[id] = box
	m.mu.Unlock()
	return box
}

// close removes the mailbox; items that arrive later are dropped.
func (m *mailboxes) close(id string) {
	m.mu.Lock()
	delete(m.byID, id)
	m.mu.Unlock()
}

// put adds an item to the mailbox of a request, if it is open.
func (m *mailboxes) put(id string, item any) {
	m.mu.Lock()
	box := m.byID[id]
	m.mu.Unlock()
	if box != nil {
		box.put(item)
	}
}

func grantMailboxID(to ident.Instance, seq uint64) string {
	return fmt.Sprintf("grant/%s/%d", to, seq)
}
