package router

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// chooseOrWait calls choose. A request that was not sent yet waits for a short time if what
// it lacks can be there soon: capacity, or records of servers that the store is getting
// back.
func (x *exchange) chooseOrWait() (*dispatch.Choice, *verdict.Refusal) {
	if x.req.Class != nil && x.req.Sends == 0 && !x.req.FromPeer {
		return x.chooseOrWaitByClass()
	}
	ch, refusal := x.choose()
	if x.req.FromPeer {
		return ch, refusal // this VM's own callers go first
	}
	if refusal != nil && x.req.Sends == 0 && lacksServers(refusal.Cause) {
		ch, refusal = x.awaitRecords(refusal)
	}
	if refusal != nil && x.req.Sends == 0 && refusal.Cause == verdict.CauseNoCapacity {
		ch, refusal = x.awaitCapacity(refusal)
	}
	return ch, refusal
}

// lacksServers reports whether more servers would remove the cause of a refusal. While some
// records are missing, paths cross failure domains and the link between them is full.
func lacksServers(cause verdict.Cause) bool {
	return cause == verdict.CauseLayersMissing || cause == verdict.CauseNoBackend || cause == verdict.CauseNoCapacity
}

// recordsRetryInterval is the interval at which a request looks for the records that it
// waits for.
const recordsRetryInterval = 100 * time.Millisecond

// awaitRecords waits while records may be missing only because the store was unreachable:
// servers write them again within MissingRecordTTL after its return.
func (x *exchange) awaitRecords(refusal *verdict.Refusal) (*dispatch.Choice, *verdict.Refusal) {
	r := x.r
	if r.heldRequests.Add(1) > maxHeldRequests {
		r.heldRequests.Add(-1)
		return nil, refusal
	}
	defer r.heldRequests.Add(-1)
	tick := time.NewTicker(recordsRetryInterval)
	defer tick.Stop()
	for r.recordsMayReturn() && x.timeLeft() > 0 {
		select {
		case <-x.callerCtx.Done():
			return nil, refusal
		case <-tick.C:
		}
		ch, now := x.choose()
		if now == nil || !lacksServers(now.Cause) {
			r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.receivedAt)).Bool("found", now == nil).Msg("waited for servers' records")
			return ch, now
		}
		refusal = now
	}
	return nil, refusal
}

// recordsMayReturn reports whether servers may still write records that expired while the
// store was unreachable, or that were not there yet when it was read first.
func (r *Router) recordsMayReturn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.now() < r.recordsReturnUntil
}

// awaitCapacity waits in the queue for up to MaxWait and calls choose again while the request
// is at the head.
func (x *exchange) awaitCapacity(refusal *verdict.Refusal) (*dispatch.Choice, *verdict.Refusal) {
	r := x.r
	r.mu.Lock()
	w := r.waitQueue.Join()
	r.mu.Unlock()
	if w == nil {
		return nil, refusal
	}
	defer func() {
		r.mu.Lock()
		r.waitQueue.Leave(w)
		r.mu.Unlock()
	}()
	timeout := time.NewTimer(min(r.cfg.WaitQueue.MaxWait, x.timeLeft()))
	defer timeout.Stop()
	retryTicker := time.NewTicker(r.cfg.WaitQueue.RetryInterval)
	defer retryTicker.Stop()
	for {
		select {
		case <-timeout.C:
			return nil, refusal
		case <-x.callerCtx.Done():
			return nil, refusal
		case <-w.AtHead:
		case <-retryTicker.C:
		}
		r.mu.Lock()
		atHead := r.waitQueue.IsHead(w)
		r.mu.Unlock()
		if !atHead {
			continue
		}
		var ch *dispatch.Choice
		if ch, refusal = x.choose(); refusal == nil || refusal.Cause != verdict.CauseNoCapacity {
			r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.receivedAt)).Bool("room", refusal == nil).Msg("waited for room")
			return ch, refusal
		}
	}
}
