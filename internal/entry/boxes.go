package entry

import (
	"fmt"
	"sync"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// boxes are the mailboxes of the requests in progress, by request.
type boxes struct {
	mu     sync.Mutex
	byName map[string]*mailbox
}

func (b *boxes) init() { b.byName = map[string]*mailbox{} }

// open makes the mailbox of a request.
func (b *boxes) open(name string) *mailbox {
	box := newMailbox()
	b.mu.Lock()
	b.byName[name] = box
	b.mu.Unlock()
	return box
}

// close forgets it; what arrives later is dropped.
func (b *boxes) close(name string) {
	b.mu.Lock()
	delete(b.byName, name)
	b.mu.Unlock()
}

// put hands an item to a request's own mailbox and to no other.
func (b *boxes) put(name string, item any) {
	b.mu.Lock()
	box := b.byName[name]
	b.mu.Unlock()
	if box != nil {
		box.put(item)
	}
}

func grantBox(to ident.Instance, seq uint64) string {
	return fmt.Sprintf("grant/%s/%d", to, seq)
}
