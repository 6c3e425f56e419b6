package router

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/routes"
)

var errBlocked = errors.New("the request, or a part of its prompt, crashes backend servers")

const (
	// minEventsOfSoundRun is the number of events from which on a run's prompt cannot crash
	// its server: a server that crashes does so at its first token.
	minEventsOfSoundRun = 2
	// maxCrashesPerRequest bounds the servers that may end on one request.
	maxCrashesPerRequest = 2
	// idleCloseWindow is the time after a send within which a reused connection of a stream
	// shows that the server had closed it while it was idle. Plain requests may crash a server
	// as soon.
	idleCloseWindow = 20 * time.Millisecond
	// clearanceInterval is the interval at which a request looks for its clearance.
	clearanceInterval = 20 * time.Millisecond
)

// blocked reports whether the request or a part of its prompt is blocked.
func (x *exchange) blocked() bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	_, blocked := x.r.core.Poison.Find(x.r.clock.now(), x.req.Subject)
	return blocked && !x.req.Trial
}

// recordResponse records that a server responded to a request that was sent at sentAt.
func (r *Router) recordResponse(in backend.Instance, sentAt time.Duration) {
	var found poison.Result
	r.locked(func() { found = r.core.RecordResponse(r.clock.now(), sentAt, in) })
	r.applyBlocks(found, r.settings.VM)
}

// recordProgress records that a run of the request has written enough events, or its whole
// response, and so clears the request and its prompt.
func (x *exchange) recordProgress() {
	x.sound = true
	var p poison.Progress
	x.r.locked(func() { p = x.r.core.Poison.RecordProgress(x.r.clock.now(), x.req.Subject) })
	x.r.applyBlocks(poison.Result{New: p.News, Unblocked: p.Unblocked}, x.r.settings.VM)
}

// recordCrash records a send that failed because its server reset the connection or did not
// respond at all, if the request may be the cause. It reports whether it may.
func (x *exchange) recordCrash(s *sendResult) bool {
	now := x.r.clock.now()
	otherFault := s.faultAddr != "" && s.faultAddr != s.choice.Target().Addr
	silent := x.isSilent(s.err)
	if x.sound || s.cancelled || otherFault || !(silent || x.isReset(s.err, now-s.sentAt)) {
		return false
	}
	x.crashes++
	var blocked []poison.Block
	x.r.locked(func() { blocked = x.r.core.RecordCrash(now, s.sentAt, &x.req, s.choice.Target().Instance, silent) })
	x.r.applyBlocks(poison.Result{New: true, Blocked: blocked}, x.r.settings.VM)
	return true
}

// isReset reports whether a send failed, some time after it began, because the server closed
// the connection. A connection that was idle before may have been closed earlier.
func (x *exchange) isReset(err error, after time.Duration) bool {
	var e *httpcall.Error
	if errors.As(err, &e) {
		return e.Kind == httpcall.KindClosed && e.Sent == httpcall.MayHaveArrived && (!e.Reused || x.req.Route.Kind != routes.Stream || after > idleCloseWindow)
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// isSilent reports whether a plain request was sent and had no response until its deadline.
func (x *exchange) isSilent(err error) bool {
	var e *httpcall.Error
	return x.req.Route.Kind != routes.Stream && errors.As(err, &e) && e.Kind == httpcall.KindTimeout && e.Sent == httpcall.MayHaveArrived
}

// mayRepeatAfterCrash reports whether a request may be sent once more. After a crash that it
// may have caused, it waits until other requests with its shared parts have made progress.
func (x *exchange) mayRepeatAfterCrash(crashed bool) bool {
	if !crashed {
		return true
	}
	if x.crashes >= maxCrashesPerRequest || x.req.Trial {
		return false
	}
	cutAt := x.r.clock.now()
	timeout := time.NewTimer(min(x.r.cfg.ClearanceTimeout, x.timeLeft()))
	defer timeout.Stop()
	tick := time.NewTicker(clearanceInterval)
	defer tick.Stop()
	for !x.cleared(cutAt) {
		select {
		case <-timeout.C:
			x.r.log.Info().Str("request", x.req.ID).Strs("prompt", x.promptParts).Msg("not sent again: its server crashed, and no other request with these parts has made progress")
			return false
		case <-x.callerCtx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

func (x *exchange) cleared(cutAt time.Duration) bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.r.core.Poison.Cleared(x.req.Subject.Prompt, cutAt)
}

// applyBlocks cancels the runs with newly blocked parts that have not begun, and passes on
// what is new. from is the VM that found it.
func (r *Router) applyBlocks(result poison.Result, from string) {
	for _, b := range result.Blocked {
		r.metrics.partsBlocked.Inc()
		r.logBlock(b, from)
		r.streams.cancelWaiting(b.Part)
	}
	for _, part := range result.Unblocked {
		r.log.Warn().Str("part", string(part)).Str("from", from).Msg("no longer blocked: a request with this part made progress")
	}
	if result.New {
		r.sendFindingsNow()
	}
}

func (r *Router) logBlock(b poison.Block, from string) {
	message := "prompt part blocked: it crashes backend servers"
	if b.Part.IsRequest() {
		message = "request blocked: it crashes backend servers"
	}
	r.log.Warn().Str("part", string(b.Part)).Int("crashes", b.Crashes).Bool("ambiguous", b.Ambiguous).Str("from", from).Msg(message)
}

// cancelWaiting cancels the runs without an event of requests that have the part.
func (t *streamTable) cancelWaiting(part poison.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for st := range t.active {
		if !st.begun() && st.x.req.Subject.Has(part) {
			st.cancelForBlock()
		}
	}
}

// cancelForBlock cancels the current run, if there is one.
func (st *stream) cancelForBlock() {
	st.mu.Lock()
	cancelRun := st.cancelRun
	st.mu.Unlock()
	if cancelRun != nil {
		cancelRun(errBlocked)
	}
}
