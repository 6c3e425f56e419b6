// Package orders decides which engine loads which model, and issues the placement orders.
// It is a pure state machine without I/O.
//
// Only the leader, the holder of lease.OrdersSlot, issues orders. Each order carries the
// lease's epoch as its fencing token and is idempotent by its id. At most one order per
// engine is pending. If its answer is lost, the engine's state is read back, and the next
// order waits until the pending one is found applied or MaxOrderLatency has passed.
//
// An engine that checks fencing tokens refuses an order whose token is below the highest it
// has seen, so that orders of two leaders never take effect out of order there. For an
// engine that ignores tokens, timing ensures this: the leader sends only while its lease
// lasts at least MinRemainingLease longer, and a new leader sends nothing to such an engine
// for TakeoverDelay after it acquired the lease. Together they cover MaxOrderLatency, the
// longest time from the check before a send to the order's effect. The shell enforces that
// bound: it calls BeginSend immediately before the send and abandons the send at a deadline.
//
// Engines are divided among the models in proportion to demand by the largest remainder
// method (Hamilton). Each model with demand gets at least one engine, as far as there are
// enough. Engines keep their model where possible, and a change takes effect only after the
// demand required it for StabilizationWindow. Loads are limited by a token bucket with the
// weight store's rate in bytes per second.
package orders
