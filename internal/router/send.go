package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// maxSends bounds the sends of a request: also those that were refused cost its
// time. How many backend servers it is sent to is the route's Attempts.
const maxSends = 5

// maxUnsent bounds the tries of a request of which nothing was sent yet.
const maxUnsent = 4

// sent is one send of a request and what came of it.
type sent struct {
	choice *dispatch.Choice
	answer *httpcall.Exchange // nil where there is no answer
	err    error
	// ran says what the send may have done.
	ran verdict.Verdict
	// fault is the address of the server that is to blame; "" for none.
	fault string
}

// send makes one send to a chosen backend server and judges the answer's header.
func (x *exchange) send(ctx context.Context, ch *dispatch.Choice, resumeAfter string) sent {
	h := &x.ctx.Request.Header
	body := x.ctx.Request.Body()
	head := platform.EncodeRequestHeader(nil, h, len(body), x.forward(ch, resumeAfter))
	opt := httpcall.Options{Deadline: x.end, MaxIdleTime: x.r.cfg.KeptFor, NewConnection: !x.req.Route.Retryable()}
	target := ch.Target()
	answer, err := x.r.backends.Open(ctx, target.Addr, string(h.Method()), head, body, opt)
	if err != nil {
		return sent{choice: ch, err: err, ran: httpcall.SentOf(err).Verdict(), fault: faultOf(ctx, target.Addr)}
	}
	answer.SetMaxIdleConns(x.idle)
	s := sent{choice: ch, answer: answer, ran: verdict.Ran}
	resp := answer.Response
	x.told(ch, resp.Header.Get(platform.HeaderLoad))
	if id := resp.Header.Get(platform.HeaderRequestID); id != "" && id != x.req.ID {
		// The answer belongs to an earlier request on this connection.
		answer.DisableReuse()
		answer.Close()
		return sent{choice: ch, err: errStrayAnswer, ran: verdict.MayHaveRun}
	}
	if resp.StatusCode == platform.StatusWrongServer || resp.Header.Get(platform.HeaderNotRun) != "" {
		s.ran = verdict.NotRun
		s.fault = resp.Header.Get(platform.HeaderFailedServer)
		if s.fault == "" && resp.StatusCode == platform.StatusWrongServer {
			s.fault = target.Addr
		}
	}
	return s
}

// told takes in what the first server of a path says of its load. Services may not
// say it.
func (x *exchange) told(ch *dispatch.Choice, header string) {
	running, waiting, _, ok := platform.ParseServerLoad(header)
	if !ok {
		return
	}
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordLoadReport(x.r.clock.now(), ch.Target().Instance, running+waiting)
}

// drop ends a send whose answer is not passed on.
func (s *sent) drop() {
	if s.answer != nil {
		_, _ = s.answer.ReadAll(maxErrorBody) // a short body frees the connection; an error retires it
		s.answer.Close()
		s.answer = nil
	}
}

// maxErrorBody bounds the body of an answer that is not passed on.
const maxErrorBody = 64 << 10

// blame records a failure of a backend server and keeps this request from it.
func (x *exchange) blame(s *sent) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	now := x.r.clock.now()
	at := x.r.core.Backends.ByAddr(s.fault)
	if s.fault == "" {
		at = x.r.core.Backends.Get(s.choice.Target().Instance.ID)
	}
	if at == nil {
		return
	}
	x.req.Avoid[at.ID] = true
	switch {
	case s.fault == "":
	case x.req.Service.Engine == nil && s.err != nil:
		x.r.core.RecordFailing(now, at.Instance())
	default:
		x.r.core.Backends.RecordFailure(now, at.Instance(), 0)
	}
}

// avoid keeps the request from the server at addr, and reports whether that is new.
func (x *exchange) avoid(addr string) bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	s := x.r.core.Backends.ByAddr(addr)
	if s == nil || x.req.Avoid[s.ID] {
		return false
	}
	x.req.Avoid[s.ID] = true
	return true
}

// next releases a failed send, notes it and reports whether the request may be
// sent again.
func (x *exchange) next(s *sent, unsent *int) bool {
	x.blame(s)
	x.release(s.choice)
	status := 0
	if s.answer != nil {
		status = s.answer.Response.StatusCode
	}
	x.logSend(x.r.log.Info(), s, status).Msg("send failed")
	s.drop()
	if s.ran != verdict.NotRun {
		x.worst = verdict.Worse(x.worst, s.ran)
	}
	if x.gone() || x.left() <= 0 {
		return false
	}
	if s.ran != verdict.NotRun && !x.req.Route.Retryable() {
		return false
	}
	if s.err != nil && s.ran == verdict.NotRun {
		*unsent++
		return *unsent < maxUnsent
	}
	x.req.Sends++
	x.req.SentTo[s.choice.Target().Instance.ID] = true
	return x.req.Sends < maxSends
}

func (x *exchange) logSend(ev *zerolog.Event, s *sent, status int) *zerolog.Event {
	return ev.Str("request", x.req.ID).Str("server", string(s.choice.Target().Instance.ID)).Int("parts", len(s.choice.Stages)).
		Str("verdict", s.ran.String()).Str("fault", s.fault).Int("status", status).Dur("after", time.Since(x.began)).Err(s.err)
}

func (x *exchange) choose() (*dispatch.Choice, *verdict.Refusal) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.r.core.Choose(x.r.clock.now(), &x.req)
}

func (x *exchange) release(ch *dispatch.Choice) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.Release(ch)
}

func (x *exchange) worked(ch *dispatch.Choice) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordSuccess(ch)
	x.r.core.Release(ch)
}

// copyHeader passes a backend server's answer on, without its body.
func (x *exchange) copyHeader(resp *http.Response) {
	out := &x.ctx.Response
	out.SetStatusCode(resp.StatusCode)
	for key, values := range resp.Header {
		if !platform.ForwardsResponseHeader(key) {
			continue
		}
		for _, v := range values {
			out.Header.Add(key, v)
		}
	}
}
