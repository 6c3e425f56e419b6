package standin

import (
	"sync"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

// orderBook is what an engine knows of the orders it was given.
type orderBook struct {
	mu      sync.Mutex
	fence   int64
	byID    map[string]bool
	applied []engine.Order
}

func newOrderBook() *orderBook {
	return &orderBook{byID: map[string]bool{}}
}

// apply applies an order once. With check, an order with a number below the
// highest seen is refused.
func (b *orderBook) apply(o engine.Order, check bool) (reply engine.OrderReply, fenced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if check && o.FencingToken < b.fence {
		return engine.OrderReply{FencingToken: b.fence}, true
	}
	b.fence = max(b.fence, o.FencingToken)
	if b.byID[o.OrderID] {
		return engine.OrderReply{Applied: false, FencingToken: b.fence}, false
	}
	b.byID[o.OrderID] = true
	b.applied = append(b.applied, o)
	return engine.OrderReply{Applied: true, FencingToken: b.fence}, false
}

func (b *orderBook) list() []engine.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]engine.Order{}, b.applied...)
}
