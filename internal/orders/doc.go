// Package orders decides which engine loads which model, and gives the orders.
//
// Only the holder of lease.OrdersSlot gives orders. Each carries the lease's
// epoch as its fencing number, is idempotent by its id, and is read back when
// its answer is lost. One order at a time is under way to an engine; after a
// lost answer the next one waits until the first was seen applied, or until
// LongestOrder has passed.
//
// An engine that checks refuses an order with a number below the highest it has
// seen, so that two holders' orders never take effect out of order there. For an
// engine that ignores the number, time does it: the holder sends only while its
// lease lasts StopEarly longer, and a successor sends nothing to such an engine
// for SuccessorWait after it began to hold. Together they cover LongestOrder,
// the longest time from the check before a send up to the order's effect. The
// shell keeps that time true: it calls BeginSend immediately before the send and
// gives the send up at a deadline.
//
// Which engine should serve which model follows the demand by the largest
// remainder (Hamilton) with at least one engine for each model; engines keep
// what they have where they can, and a change must be wanted for StableFor.
// Loads wait for a token bucket of the weight store's bytes a second.
package orders
