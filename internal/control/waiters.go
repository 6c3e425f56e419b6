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

// errNoAnswer says that the core had no answer in time.
var errNoAnswer = errors.New("no answer in time")

// waiters join a handler's question to the core's answer, by name.
type waiters struct {
	last   atomic.Uint64
	mu     sync.Mutex
	byName map[string]chan any
}

func (w *waiters) init() { w.byName = map[string]chan any{} }

// next is a number that no other question has.
func (w *waiters) next() uint64 { return w.last.Add(1) }

// ask calls send, then waits for the answer under name.
func (w *waiters) ask(ctx context.Context, name string, send func()) (any, error) {
	answer := make(chan any, 1)
	w.mu.Lock()
	w.byName[name] = answer
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		if w.byName[name] == answer {
			delete(w.byName, name)
		}
		w.mu.Unlock()
	}()
	send()
	select {
	case item := <-answer:
		return item, nil
	case <-ctx.Done():
		return nil, errors.Wrap(errNoAnswer, name)
	}
}

// answer hands an answer to whoever waits for it. It never blocks.
func (w *waiters) answer(name string, item any) {
	w.mu.Lock()
	ch := w.byName[name]
	w.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- item:
	default:
	}
}

func memberWaiter(call uint64) string { return fmt.Sprintf("member/%d", call) }

func leaseWaiter(to ident.Instance, sent time.Duration) string {
	return fmt.Sprintf("lease/%s/%d", to, sent)
}

func loanWaiter(to ident.Instance, seq uint64) string { return fmt.Sprintf("loan/%s/%d", to, seq) }

func idWaiter(what string, id uint64) string { return fmt.Sprintf("%s/%d", what, id) }
