package standin

import (
	"sync"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

// orderLog records the orders that an engine applied and the highest fencing
// token it received.
type orderLog struct {
	mu              sync.Mutex
	maxFencingToken int64
	appliedIDs      map[string]bool
	applied         []engine.Order
}

func newOrderLog() *orderLog {
	return &orderLog{appliedIDs: map[string]bool{}}
}

// apply applies an order once. With check, an order whose fencing token is below
// the highest received one is refused.
func (b *orderLog) apply(o engine.Order, check bool) (reply engine.OrderReply, fenced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if check && o.FencingToken < b.maxFencingToken {
		return engine.OrderReply{FencingToken: b.maxFencingToken}, true
	}
	b.maxFencingToken = max(b.maxFencingToken, o.FencingToken)
	if b.appliedIDs[o.OrderID] {
		return engine.OrderReply{Applied: false, FencingToken: b.maxFencingToken}, false
	}
	b.appliedIDs[o.OrderID] = true
	b.applied = append(b.applied, o)
	return engine.OrderReply{Applied: true, FencingToken: b.maxFencingToken}, false
}

func (b *orderLog) list() []engine.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]engine.Order{}, b.applied...)
}
