// Package orders decides which engine loads which model, and gives the placement orders. It
// is a pure state machine without I/O.
//
// Only the leader, the holder of lease.OrdersSlot, gives orders. Each order carries the
// lease's epoch as its fencing token, is idempotent by its id, and is checked by reading the
// engine back when its answer is lost. At most one order per engine is pending. After a lost
// answer, the next order waits until the pending one was seen applied, or until
// MaxOrderLatency has passed.
//
// An engine that checks fencing tokens refuses an order whose token is below the highest it
// has seen, so that orders of two leaders never take effect out of order there. For an
// engine that ignores tokens, timing ensures this: the leader sends only while its lease
// lasts at least MinRemainingLease longer, and a new leader sends nothing to such an engine
// for TakeoverDelay after it acquired the lease. Together these cover MaxOrderLatency, the
// longest time from the check before a send to the order's effect. The shell enforces that
// bound: it calls BeginSend immediately before the send and abandons the send at a deadline.
//
// Engines are divided among the models in proportion to demand by the largest remainder
// method (Hamilton), with at least one engine per model. Engines keep their model where
// possible, and a change takes effect only after it was wanted for StabilizationWindow.
// Loads are limited by a token bucket with the weight store's rate in bytes per second.
package orders
