package router

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// chooseOrWait calls choose. If no capacity is free, a request that was not sent yet waits
// in the queue for up to MaxWait, and choose is called again when it is at the head.
func (x *exchange) chooseOrWait() (*dispatch.Choice, *verdict.Refusal) {
	ch, refusal := x.choose()
	if refusal == nil || refusal.Cause != verdict.CauseNoCapacity || x.req.Sends > 0 {
		return ch, refusal
	}
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
		if ch, refusal = x.choose(); refusal == nil || refusal.Cause != verdict.CauseNoCapacity {
			r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.receivedAt)).Bool("room", refusal == nil).Msg("waited for room")
			return ch, refusal
		}
	}
}
