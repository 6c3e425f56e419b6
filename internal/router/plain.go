package router

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

var errResponseMismatch = errors.New("response belongs to another request")

// maxResponseBytes bounds the body of a plain response.
const maxResponseBytes = 16 << 20

// servePlain serves a request that is not streamed, with retries.
func (x *exchange) servePlain() {
	unsentAttempts := 0
	var last *verdict.Refusal
	for {
		var ch *dispatch.Choice
		refusal := x.awaitTurn()
		if refusal == nil {
			ch, refusal = x.chooseOrWait()
		}
		if refusal != nil {
			x.endTurn()
			if last == nil {
				last = refusal
			}
			last.RetryAfter = max(last.RetryAfter, refusal.RetryAfter)
			break
		}
		lateTimer := time.AfterFunc(x.lateAfter(), func() {
			x.r.runGuarded("late replica", x.req.ID, func() { x.recordLate(ch) })
		})
		s := x.send(x.callerCtx, ch, "")
		lateTimer.Stop()
		served := s.call != nil && s.outcome == verdict.Ran && x.forwardResponse(&s)
		x.endTurn()
		if served {
			return
		}
		cause := verdict.CauseBackendLost
		if s.outcome == verdict.NotRun {
			cause = verdict.CauseBackendRefused
		}
		retry := x.handleFailedSend(&s, &unsentAttempts)
		last = &verdict.Refusal{Verdict: s.outcome, Cause: cause, RetryAfter: max(x.r.cfg.Dispatch.RetryAfter, s.retryAfter)}
		if !retry {
			break
		}
		x.r.metrics.retried.Inc()
	}
	x.failRequest(*last)
}

// defaultLateAfter is when a plain response is late on a route without a target latency.
const defaultLateAfter = 500 * time.Millisecond

func (x *exchange) lateAfter() time.Duration {
	if x.req.Route.TargetLatency > 0 {
		return x.req.Route.TargetLatency
	}
	return defaultLateAfter
}

// recordLate records a replica that has not responded in time as failing, so that other
// requests avoid it: it may be dead without closing its connections. This request keeps
// waiting for it, since it may not be allowed to run on another replica.
func (x *exchange) recordLate(ch *dispatch.Choice) {
	if ch.IsPeer() {
		return
	}
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordFailing(x.r.clock.now(), ch.Target().Instance)
	x.r.core.Reach.Doubt(x.r.clock.now(), x.req.Service.Name)
	x.r.log.Info().Str("request", x.req.ID).Str("server", string(ch.Target().Instance.ID)).Dur("after", time.Since(x.receivedAt)).Msg("replica is late")
}

// forwardResponse reads the response and forwards it to the caller. It returns false if
// reading failed, the request should be retried, or the response must not be forwarded.
func (x *exchange) forwardResponse(s *sendResult) bool {
	resp := s.call.Response
	body, err := s.call.ReadAll(maxResponseBytes)
	if err == nil && len(body) == 0 && x.lacksBody(resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.call.Close()
		s.call, s.err, s.outcome, s.cancelled = nil, err, verdict.MayHaveRun, x.abandoned()
		return false
	}
	x.recordProgress()
	if x.misstates(resp.StatusCode) {
		return false
	}
	if resp.StatusCode >= 500 && !s.choice.IsPeer() && x.req.Route.Retryable() && x.req.Sends+1 < x.req.Route.MaxAttempts && x.timeLeft() > 0 {
		return false
	}
	s.call.Close()
	x.recordSuccess(s.choice)
	if !x.r.bodies.Hold(x.ctx, len(body)) {
		x.refuseRequest(verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseNoMemory, Detail: "responses that others do not read hold the memory"})
		return true
	}
	x.copyHeader(resp, s.choice)
	x.ctx.Response.SetBodyRaw(body)
	x.r.metrics.served.Inc()
	x.r.metrics.plainDuration.UpdateDuration(x.receivedAt)
	x.logSend(x.r.log.Info(), s, resp.StatusCode).Msg("answered")
	return true
}

// lacksBody reports whether a success without a byte of its body may have been cut: only the end of
// the connection marks its end.
func (x *exchange) lacksBody(resp *http.Response) bool {
	return resp.StatusCode/100 == 2 && isUnframed(resp) && !x.ctx.IsHead()
}

// misstates reports whether the status of a backend server that ran the request would tell the
// caller that it did not run, so that the caller repeats what may run once only.
func (x *exchange) misstates(status int) bool {
	return !x.req.Route.Retryable() && platform.StatesNotRun(status)
}

// failRequest refuses a request whose sends have all failed, or that could not be sent. The
// cause is changed if the caller has left or the deadline has passed.
func (x *exchange) failRequest(refusal verdict.Refusal) {
	switch {
	case x.timeLeft() <= 0:
		refusal.Cause = verdict.CauseDeadline
	case x.givenUp():
		refusal.Cause, refusal.RetryAfter = verdict.CauseLeaving, leavingRetryAfter
	case x.abandoned():
		x.r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.receivedAt)).Msg("caller left")
		x.ctx.SetConnectionClose()
		refusal.Cause = verdict.CauseCallerGone
	}
	x.refuseRequest(refusal)
}
