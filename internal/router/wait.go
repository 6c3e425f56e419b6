package router

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// chooseOrWait is choose for a request that was not sent yet: where there is no room
// it waits in line for a moment.
func (x *exchange) chooseOrWait() (*dispatch.Choice, *verdict.Refusal) {
	ch, refusal := x.choose()
	if refusal == nil || refusal.Cause != verdict.CauseNoCapacity || x.req.Sends > 0 {
		return ch, refusal
	}
	r := x.r
	r.mu.Lock()
	w := r.line.Join()
	r.mu.Unlock()
	if w == nil {
		return nil, refusal
	}
	defer func() {
		r.mu.Lock()
		r.line.Leave(w)
		r.mu.Unlock()
	}()
	end := time.NewTimer(min(r.cfg.Line.MaxWait, x.left()))
	defer end.Stop()
	again := time.NewTicker(r.cfg.Line.RetryInterval)
	defer again.Stop()
	for {
		select {
		case <-end.C:
			return nil, refusal
		case <-x.callerCtx.Done():
			return nil, refusal
		case <-w.AtHead:
		case <-again.C:
		}
		r.mu.Lock()
		first := r.line.IsHead(w)
		r.mu.Unlock()
		if !first {
			continue
		}
		if ch, refusal = x.choose(); refusal == nil || refusal.Cause != verdict.CauseNoCapacity {
			r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.began)).Bool("room", refusal == nil).Msg("waited for room")
			return ch, refusal
		}
	}
}
