package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// errNoReply is returned if the core does not reply before the context ends.
var errNoReply = errors.New("no reply in time")

// waiters pass the core's replies to the handlers that wait for them, by key.
type waiters struct {
	lastID atomic.Uint64
	mu     sync.Mutex
	byKey  map[string]chan any
}

func (w *waiters) init() { w.byKey = map[string]chan any{} }

// nextID returns a unique request ID.
func (w *waiters) nextID() uint64 { return w.lastID.Add(1) }

// request calls send and waits until a reply is delivered under key or ctx ends.
func (w *waiters) request(ctx context.Context, key string, send func()) (any, error) {
	ch := make(chan any, 1)
	w.mu.Lock()
	w.byKey[key] = ch
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		if w.byKey[key] == ch {
			delete(w.byKey, key)
		}
		w.mu.Unlock()
	}()
	send()
	select {
	case value := <-ch:
		return value, nil
	case <-ctx.Done():
		return nil, errors.Wrap(errNoReply, key)
	}
}

// deliver passes a reply to the handler that waits for key, if any. It never blocks.
func (w *waiters) deliver(key string, value any) {
	w.mu.Lock()
	ch := w.byKey[key]
	w.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- value:
	default:
	}
}

func memberKey(call uint64) string { return fmt.Sprintf("member/%d", call) }

func leaseKey(to ident.Instance, sentAt time.Duration) string {
	return fmt.Sprintf("lease/%s/%d", to, sentAt)
}

func loanKey(to ident.Instance, seq uint64) string { return fmt.Sprintf("loan/%s/%d", to, seq) }

func idKey(kind string, id uint64) string { return fmt.Sprintf("%s/%d", kind, id) }
