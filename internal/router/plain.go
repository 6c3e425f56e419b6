package router

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

var errStrayAnswer = errors.New("the answer belongs to another request")

// maxAnswerBytes bounds a plain answer.
const maxAnswerBytes = 16 << 20

// servePlain answers a request of a plain service.
func (x *exchange) servePlain() {
	unsent := 0
	var last *verdict.Refusal
	for {
		ch, refusal := x.choose()
		if refusal != nil {
			if last == nil {
				last = refusal
			}
			break
		}
		late := time.AfterFunc(x.lateAfter(), func() { x.late(ch) })
		s := x.send(x.callerCtx, ch, "")
		late.Stop()
		if s.answer != nil && s.ran == verdict.Ran && x.passPlain(&s) {
			return
		}
		cause := verdict.CauseBackendLost
		if s.ran == verdict.NotRun {
			cause = verdict.CauseBackendRefused
		}
		again := x.next(&s, &unsent)
		last = &verdict.Refusal{Verdict: s.ran, Cause: cause, RetryAfter: x.r.cfg.Dispatch.RetryAfter}
		if !again {
			break
		}
		x.r.met.repeated.Inc()
	}
	x.giveUp(*last)
}

// lateDefault is when a plain answer is late on a route that states no target.
const lateDefault = 500 * time.Millisecond

func (x *exchange) lateAfter() time.Duration {
	if x.req.Route.TargetLatency > 0 {
		return x.req.Route.TargetLatency
	}
	return lateDefault
}

// late keeps other requests from a replica that has not answered in time: it may be
// dead without a sign, and this request may not be sent to another one.
func (x *exchange) late(ch *dispatch.Choice) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordFailing(x.r.clock.now(), ch.Target().Instance)
	x.r.log.Info().Str("request", x.req.ID).Str("server", string(ch.Target().Instance.ID)).Dur("after", time.Since(x.began)).Msg("replica is late")
}

// passPlain reads the answer and hands it to the caller, or reports false where
// the request is better sent again.
func (x *exchange) passPlain(s *sent) bool {
	resp := s.answer.Response
	body, err := s.answer.ReadAll(maxAnswerBytes)
	if err != nil {
		s.answer.Close()
		s.answer, s.err, s.ran = nil, err, verdict.MayHaveRun
		return false
	}
	if resp.StatusCode >= 500 && x.req.Route.Retryable() && x.req.Sends+1 < x.req.Route.MaxAttempts && x.left() > 0 {
		return false
	}
	s.answer.Close()
	x.worked(s.choice)
	x.copyHeader(resp)
	x.ctx.Response.SetBodyRaw(body)
	x.r.met.served.Inc()
	x.r.met.plainTime.UpdateDuration(x.began)
	x.logSend(x.r.log.Info(), s, resp.StatusCode).Msg("answered")
	return true
}

// giveUp is the final answer of a request that got no whole one.
func (x *exchange) giveUp(ref verdict.Refusal) {
	if x.gone() {
		x.r.log.Info().Str("request", x.req.ID).Dur("after", time.Since(x.began)).Msg("caller left")
		x.ctx.SetConnectionClose()
		ref.Cause = verdict.CauseCallerGone
	}
	if x.left() <= 0 {
		ref.Cause = verdict.CauseDeadline
	}
	x.refuseRequest(ref)
}
