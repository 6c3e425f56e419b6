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

// apply applies an order unless one with the same ID was applied before. If checkToken
// is set, it refuses an order whose fencing token is below the highest received one.
func (l *orderLog) apply(o engine.Order, checkToken bool) (reply engine.OrderReply, fenced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checkToken && o.FencingToken < l.maxFencingToken {
		return engine.OrderReply{FencingToken: l.maxFencingToken}, true
	}
	l.maxFencingToken = max(l.maxFencingToken, o.FencingToken)
	if l.appliedIDs[o.OrderID] {
		return engine.OrderReply{Applied: false, FencingToken: l.maxFencingToken}, false
	}
	l.appliedIDs[o.OrderID] = true
	l.applied = append(l.applied, o)
	return engine.OrderReply{Applied: true, FencingToken: l.maxFencingToken}, false
}

func (l *orderLog) list() []engine.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]engine.Order{}, l.applied...)
}
