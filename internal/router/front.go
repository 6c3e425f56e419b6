package router

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// maxHeaderBytes and maxBodyBytes bound what is read of a request before a
	// configuration is known; the configuration's own bounds are lower.
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 8 << 20
	// callerIdle closes connections that no caller comes back to. The
	// configuration's bound is far lower; connections that live longer do no harm.
	callerIdle = 2 * time.Minute
	// writeTimeout ends a caller that reads nothing. It bounds each write: an answer
	// as a whole may take as long as its events come.
	writeTimeout = 10 * time.Second
	// notYet is told to callers of a process without configuration.
	notYet = 500 * time.Millisecond
)

// serveCallers starts the server of callers' requests.
func (r *Router) serveCallers() (*fasthttp.Server, error) {
	l, err := listen(r.set.Listen.Callers)
	if err != nil {
		return nil, err
	}
	s := &fasthttp.Server{
		Logger: serverLog{r.log}, Handler: r.handle, NoDefaultServerHeader: true, NoDefaultContentType: true, DisableHeaderNamesNormalizing: true,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, IdleTimeout: callerIdle,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true,
	}
	go func() {
		if err := s.Serve(callerListener{l}); err != nil {
			r.log.Error().Err(err).Msg("callers' server ended")
		}
	}()
	return s, nil
}

// serverLog writes what the HTTP servers say of broken connections as JSON lines.
type serverLog struct{ log zerolog.Logger }

func (l serverLog) Printf(format string, args ...any) {
	l.log.Info().Str("detail", fmt.Sprintf(format, args...)).Msg("connection ended")
}

// exchange is one caller's request and all that is done for it.
type exchange struct {
	r      *Router
	ctx    *fasthttp.RequestCtx
	req    dispatch.Request
	team   *routes.Team
	began  time.Time
	end    time.Time // the caller's deadline or the route's, whichever is first
	cancel context.CancelCauseFunc
	// callerCtx ends when the caller leaves.
	callerCtx context.Context
	worst     verdict.Verdict
	idle      int // idle connections that may stay to a backend server
}

var errCallerGone = errors.New("the caller has closed the connection")

// handle serves one request of a caller.
func (r *Router) handle(ctx *fasthttp.RequestCtx) {
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	x, refusal := r.accept(ctx)
	if refusal != 0 {
		ctx.Error(fasthttp.StatusMessage(refusal), refusal)
		r.log.Info().Bytes("request", ctx.Request.Header.Peek(platform.HeaderRequestID)).Int("status", refusal).
			Bytes("uri", ctx.RequestURI()).Msg("refused by the configuration")
		return
	}
	if x == nil {
		id := string(ctx.Request.Header.Peek(platform.HeaderRequestID))
		r.refuse(ctx, id, verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoConfig, RetryAfter: notYet})
		return
	}
	r.open.Add(1)
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.watch(func() { x.cancel(errCallerGone) })
	}
	r.mu.Lock()
	r.core.RequestArrived(r.clock.now(), x.req.Service.Name)
	x.idle = r.core.IdleConnections(x.req.Service)
	r.mu.Unlock()
	if x.req.Route.Kind == routes.Stream {
		x.serveStream()
		return
	}
	x.servePlain()
	x.finish()
}

// finish ends the watch of the caller. It is called once, when the answer is
// made, or written for a stream.
func (x *exchange) finish() {
	if conn, ok := x.ctx.Conn().(*callerConn); ok {
		conn.unwatch()
	}
	x.cancel(nil)
	x.r.open.Add(-1)
}

// accept looks the request up. It returns the status of a request that the
// configuration does not allow, or nil without one where there is none yet.
func (r *Router) accept(ctx *fasthttp.RequestCtx) (*exchange, int) {
	r.mu.Lock()
	table := r.core.Table()
	r.mu.Unlock()
	if table == nil {
		return nil, 0
	}
	h := &ctx.Request.Header
	route := table.Route(string(h.Host()), string(h.RequestURI()))
	if route == nil {
		return nil, fasthttp.StatusNotFound
	}
	var team *routes.Team
	if table.NeedsKey(route) {
		if team = table.Team(platform.ParseBearerKey(string(h.Peek("Authorization")))); team == nil {
			return nil, fasthttp.StatusUnauthorized
		}
	}
	x := &exchange{r: r, ctx: ctx, team: team, began: time.Now(), worst: verdict.NotRun}
	x.req = dispatch.Request{ID: string(h.Peek(platform.HeaderRequestID)), Route: route, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
	svc, ok := table.Service(route, x.req.ID)
	if !ok {
		return nil, fasthttp.StatusNotFound
	}
	x.req.Service = svc
	x.end = x.began.Add(route.Timeout)
	if left, ok := platform.ParseTimeLeft(string(h.Peek(platform.HeaderTimeLeft))); ok && left < route.Timeout {
		x.end = x.began.Add(left)
	}
	x.sizes()
	x.callerCtx, x.cancel = context.WithCancelCause(context.Background())
	return x, 0
}

// sizes predicts the tokens of a model's request from what the caller says, or
// from the usual request.
func (x *exchange) sizes() {
	spec := x.req.Service.Engine
	if spec == nil {
		return
	}
	h := &x.ctx.Request.Header
	x.req.PromptTokens, x.req.AnswerTokens = spec.PromptTokens, spec.AnswerTokens
	prompt, most, ok := platform.ParseTokens(string(h.Peek(platform.HeaderTokens)))
	if !ok {
		return
	}
	x.req.PromptTokens, x.req.AnswerTokens = float64(prompt), float64(most)
	if guess, err := strconv.ParseFloat(string(h.Peek(platform.HeaderLengthHint)), 64); err == nil && guess > 0 {
		x.req.AnswerTokens = min(guess, float64(most))
	}
}

func (x *exchange) left() time.Duration { return time.Until(x.end) }

func (x *exchange) gone() bool { return x.callerCtx.Err() != nil }

// forward is what the system says in a request to the choice's first server.
func (x *exchange) forward(ch *dispatch.Choice, resumeAfter string) platform.ForwardHeaders {
	f := platform.ForwardHeaders{TimeLeft: x.left(), Instance: string(ch.Target().Instance.ID), Urgency: platform.UrgencyUnset, ResumeAfter: resumeAfter}
	if x.team != nil {
		f.Team = x.team.Name
	}
	if ch.Target().Layers.Len() > 0 {
		f.Path = ch.Stages
	}
	return f
}

// refuse answers a request that gets no other answer. Only "not run" is told as
// 503 with a time to come back.
func (r *Router) refuse(ctx *fasthttp.RequestCtx, id string, ref verdict.Refusal) {
	r.met.refused.Inc()
	status := fasthttp.StatusServiceUnavailable
	switch {
	case ref.Verdict != verdict.NotRun && ref.Cause == verdict.CauseDeadline:
		status = fasthttp.StatusGatewayTimeout
	case ref.Verdict != verdict.NotRun:
		status = fasthttp.StatusBadGateway
	}
	ctx.Response.Reset()
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(ref.Error() + "\n")
	if status == fasthttp.StatusServiceUnavailable && ref.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 2, 64))
	}
	r.log.Info().Str("request", id).Int("status", status).Str("verdict", ref.Verdict.String()).Str("cause", string(ref.Cause)).
		Dur("comeBack", ref.RetryAfter).Str("detail", ref.Detail).Msg("refused")
}

// refuseRequest is refuse for an exchange, with what its sends have shown.
func (x *exchange) refuseRequest(ref verdict.Refusal) {
	ref.Verdict = verdict.Worse(ref.Verdict, x.worst)
	x.r.refuse(x.ctx, x.req.ID, ref)
}
