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
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// maxHeaderBytes and maxBodyBytes bound a request before a configuration is known;
	// the configuration's own limits are lower.
	maxHeaderBytes = routes.MaxHeaderBytes
	maxBodyBytes   = routes.MaxBodyBytes
	// maxHeldRequests bounds the requests that wait for current state.
	maxHeldRequests = 512
	// noConfigRetryAfter is sent as Retry-After while no configuration is known.
	noConfigRetryAfter = 500 * time.Millisecond
)

// serveCallers starts the server for callers' requests.
func (r *Router) serveCallers() (*fasthttp.Server, error) {
	return r.serveRequests(connbudget.Callers, r.settings.Listen.Callers, func(ctx *fasthttp.RequestCtx) { r.handle(ctx, false) })
}

// serveRequests starts a server for requests to backend servers.
func (r *Router) serveRequests(duty connbudget.Duty, addr string, handler fasthttp.RequestHandler) (*fasthttp.Server, error) {
	l, err := ingress.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	canonical := func(ctx *fasthttp.RequestCtx) {
		platform.CanonicalizeNames(&ctx.Request.Header)
		handler(ctx)
	}
	s := &fasthttp.Server{
		Logger: httpLogger{r.log}, Handler: r.guarded(canonical), NoDefaultServerHeader: true, NoDefaultContentType: true, DisableHeaderNamesNormalizing: true,
		ReadBufferSize: maxHeaderBytes, StreamRequestBody: true, MaxRequestBodySize: ingress.StreamedPrefetch, ErrorHandler: ingress.RefuseUnread,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true,
	}
	r.serve(duty, l, s)
	return s, nil
}

// httpLogger writes the HTTP servers' messages about broken connections to the log.
type httpLogger struct{ log zerolog.Logger }

func (l httpLogger) Printf(format string, args ...any) {
	l.log.Info().Str("detail", fmt.Sprintf(format, args...)).Msg("connection ended")
}

// exchange is the state of one caller's request, across all its attempts.
type exchange struct {
	r          *Router
	ctx        *fasthttp.RequestCtx
	req        dispatch.Request
	table      *routes.Table // the configuration by which it was accepted
	team       *routes.Team
	receivedAt time.Time
	// deadline is the earlier of the caller's and the route's, on the router's clock: it
	// passes while the VM is suspended.
	deadline time.Duration
	cancel   context.CancelCauseFunc
	// callerCtx is cancelled when the caller closes the connection, or the VM gives the request up.
	callerCtx    context.Context
	worstVerdict verdict.Verdict
	maxIdleConns int // idle connections to keep per backend server
	promptParts  []string
	// fingerprint is the same for all repetitions of a request, which have different IDs.
	fingerprint string
	// sound is set once a run of the request has written enough events to clear it; crashes
	// counts the servers that ended on the request before.
	sound   bool
	crashes int
	// turnUntil is Router.turnUntil while the request holds the turn of suspects, otherwise 0.
	turnUntil time.Duration
	// held are the choices whose load is counted, guarded by Router.mu.
	held map[*dispatch.Choice]struct{}
	// refusedChanges are the servers that are left out because they refused a change of path,
	// guarded by Router.mu.
	refusedChanges []backend.ID
	// waited is how long the request has waited for capacity.
	waited time.Duration
	// started is set once a server was chosen for the request.
	started bool
}

var (
	errCallerGone     = errors.New("the caller has closed the connection")
	errDeadlinePassed = errors.New("the deadline has passed")
	errVMStopping     = errors.New("the VM stops before the request could end")
)

// handle serves one caller's request, which another VM may have passed on.
func (r *Router) handle(ctx *fasthttp.RequestCtx, fromPeer bool) {
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	receivedAt := r.clock.now()
	r.checkPause()
	r.awaitCurrentState(ctx)
	x := r.admit(ctx, receivedAt, fromPeer)
	if x == nil {
		return
	}
	took, err := x.receive(receivedAt)
	if err != nil {
		x.cancel(err)
		x.req.FromPeer = fromPeer
		x.refuseBody(err)
		return
	}
	if x.table != r.table() { // the body took long enough for another configuration
		x.cancel(nil)
		if x = r.admit(ctx, receivedAt, fromPeer); x == nil {
			return
		}
	}
	x.setBody(receivedAt, took)
	x.setClass(receivedAt)
	if !x.takes() {
		x.cancel(errVMStopping)
		r.refuseUnserved(ctx, fromPeer, x.req.ID, verdict.Refusal{Cause: verdict.CauseLeaving, RetryAfter: leavingRetryAfter})
		return
	}
	x.setOrigin(fromPeer)
	r.openRequests.Add(1)
	ingress.Watch(ctx, func() { x.cancel(errCallerGone) })
	if err := r.guard("request", x.req.ID, x.serve); err != nil {
		x.failInternally()
	}
}

// admit returns the exchange of a request that the configuration allows, or refuses it and returns
// nil.
func (r *Router) admit(ctx *fasthttp.RequestCtx, receivedAt time.Duration, fromPeer bool) *exchange {
	x, status := r.accept(ctx, receivedAt)
	if x != nil {
		return x
	}
	id := string(ctx.Request.Header.Peek(platform.HeaderRequestID))
	if status == 0 {
		r.refuseUnserved(ctx, fromPeer, id, verdict.Refusal{Cause: verdict.CauseNoConfig, RetryAfter: noConfigRetryAfter})
		return nil
	}
	ctx.Error(fasthttp.StatusMessage(status), status)
	ingress.Discard(ctx)
	r.log.Info().Str("request", id).Int("status", status).Bytes("uri", ctx.RequestURI()).Msg("refused by the configuration")
	if fromPeer {
		setPeerRefusal(ctx, verdict.NotRun, verdict.CauseNotConfigured)
	}
	return nil
}

// table returns the configuration in force, nil if there is none yet.
func (r *Router) table() *routes.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Table()
}

// awaitCurrentState holds a request that arrives before the first configuration, or right
// after a pause of the process, for up to StateWait: VMs accept requests some hundred
// milliseconds before they have read the store, and a refusal would use up the caller's
// retry. After a pause in which the store cannot be read, the state known before is used.
func (r *Router) awaitCurrentState(ctx *fasthttp.RequestCtx) {
	if r.current.isOpen() {
		return
	}
	if r.heldRequests.Add(1) > maxHeldRequests {
		r.heldRequests.Add(-1)
		return
	}
	defer r.heldRequests.Add(-1)
	gone := make(chan struct{})
	ingress.Watch(ctx, func() { close(gone) })
	defer ingress.Unwatch(ctx)
	timeout := time.NewTimer(r.cfg.StateWait)
	defer timeout.Stop()
	select {
	case <-r.current.wait():
	case <-gone:
	case <-r.requestsCtx.Done():
	case <-timeout.C:
	}
}

// serve forwards the request and sets the response.
func (x *exchange) serve() {
	x.r.locked(func() {
		if !x.r.core.Reach.CutOff(x.req.Service.Name) { // otherwise counted where it is passed on to
			x.r.core.RequestArrived(x.r.clock.now(), x.req.Service.Name)
			if !x.req.FromPeer { // otherwise counted where its caller sent it
				x.r.core.Classes.Arrived(x.r.clock.now(), x.req.Class)
			}
		}
		x.maxIdleConns = x.r.core.IdleConnections(x.req.Service)
	})
	if x.req.Route.Kind == routes.Stream {
		x.serveStream()
		return
	}
	x.servePlain()
	x.finish()
}

// failInternally answers a request whose handling panicked. It may have run.
func (x *exchange) failInternally() {
	x.refuseRequest(verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseInternalFailure})
	x.ctx.SetConnectionClose()
	x.finish()
}

// guarded returns a handler that responds to a panic of h with an error and closes the
// connection.
func (r *Router) guarded(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := r.guard("handler", string(ctx.Path()), func() { h(ctx) }); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			ctx.SetConnectionClose()
		}
	}
}

// finish ends the watch of the caller's connection, releases what a panic has left and
// decrements openRequests. It is called once: when a plain response is complete, or when a
// stream has been written.
func (x *exchange) finish() {
	ingress.Unwatch(x.ctx)
	x.cancel(nil)
	x.endTurn()
	x.releaseAll()
	x.r.openRequests.Add(-1)
	if x.req.FromPeer {
		x.r.passedOnRequests.Add(-1)
	}
}

// accept resolves the request's route, team and service. It returns the HTTP status if
// the configuration does not allow the request, and nil and 0 if there is no
// configuration yet.
func (r *Router) accept(ctx *fasthttp.RequestCtx, receivedAt time.Duration) (*exchange, int) {
	table := r.table()
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
	x := &exchange{r: r, ctx: ctx, table: table, team: team, receivedAt: time.Now().Add(receivedAt - r.clock.now()), worstVerdict: verdict.NotRun,
		held: map[*dispatch.Choice]struct{}{}}
	x.req = dispatch.Request{ID: string(h.Peek(platform.HeaderRequestID)), Route: route, SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
	svc, ok := table.Service(route, x.req.ID)
	if !ok {
		return nil, fasthttp.StatusNotFound
	}
	x.req.Service = svc
	x.deadline = receivedAt + route.Timeout
	if left, ok := x.statedTimeLeft(); ok && left < route.Timeout {
		x.deadline = receivedAt + left
	}
	x.estimateTokens()
	x.callerCtx, x.cancel = context.WithCancelCause(r.requestsCtx)
	return x, 0
}

// receive reads the body of a request whose header was read at a time on the router's clock, and
// returns how long that took.
func (x *exchange) receive(headerAt time.Duration) (took time.Duration, err error) {
	began := x.r.clock.now()
	by := began + x.r.cfg.ReceiveTimeout
	if left, stated := x.statedTimeLeft(); stated {
		by = min(by, headerAt+left)
	}
	err = x.r.bodies.Receive(x.ctx, x.r.bodyLimit(), time.Now().Add(by-began))
	return x.r.clock.now() - began, err
}

// setBody sets what follows from the body, which took a time to arrive. The time that the caller
// states runs from the header on, the route's from the end of the body.
func (x *exchange) setBody(headerAt, took time.Duration) {
	x.deadline += took
	if left, stated := x.statedTimeLeft(); stated {
		x.deadline = min(x.deadline, headerAt+left)
	}
	x.fingerprint = fingerprintOf(&x.ctx.Request.Header, x.team, x.ctx.Request.Body())
	x.req.Subject.Request = poison.RequestPart(x.fingerprint)
}

// statedTimeLeft returns the time that the caller waits, false if it does not say so.
func (x *exchange) statedTimeLeft() (time.Duration, bool) {
	return platform.ParseTimeLeft(string(x.ctx.Request.Header.Peek(platform.HeaderTimeLeft)))
}

// bodyLimit returns the size of the largest body that the configuration allows, in bytes.
func (r *Router) bodyLimit() int {
	if table := r.table(); table != nil && table.Config().MaxBodyBytes > 0 {
		return min(table.Config().MaxBodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// estimateTokens sets the expected prompt and answer tokens of a model request, from the
// caller's headers or else from the service's averages.
func (x *exchange) estimateTokens() {
	spec := x.req.Service.Engine
	if spec == nil {
		return
	}
	h := &x.ctx.Request.Header
	x.promptParts = platform.ParsePromptParts(string(h.Peek(platform.HeaderPromptParts)))
	x.req.Subject.Prompt = poison.NewPrompt(x.promptParts)
	x.setPrompt(spec.Model)
	x.req.PromptTokens, x.req.AnswerTokens = spec.PromptTokens, spec.AnswerTokens
	prompt, maxAnswer, ok := platform.ParseTokens(string(h.Peek(platform.HeaderTokens)))
	if !ok {
		return
	}
	x.req.PromptTokens, x.req.AnswerTokens = float64(prompt), float64(maxAnswer)
	if hint, err := strconv.ParseFloat(string(h.Peek(platform.HeaderLengthHint)), 64); err == nil && hint > 0 {
		x.req.AnswerTokens = min(hint, float64(maxAnswer))
	}
}

func (x *exchange) timeLeft() time.Duration { return x.deadline - x.r.clock.now() }

// abandoned reports whether nobody waits for the request's runs any more: its caller has left, or
// the VM has given it up.
func (x *exchange) abandoned() bool { return x.callerCtx.Err() != nil }

// givenUp reports whether the VM has given the request up, because it stops.
func (x *exchange) givenUp() bool { return errors.Is(context.Cause(x.callerCtx), errVMStopping) }

// forwardHeaders returns the headers that the router sets for the choice's first server.
func (x *exchange) forwardHeaders(ch *dispatch.Choice, resumeAfter string) platform.ForwardHeaders {
	f := platform.ForwardHeaders{TimeLeft: x.timeLeft(), ServerID: string(ch.Target().Instance.ID), Urgency: x.urgency(), ResumeAfter: resumeAfter}
	if x.team != nil {
		f.Team = x.team.Name
	}
	if ch.Target().Layers.Len() > 0 {
		f.Path = ch.Stages
	}
	return f
}

// refuse responds to a request that cannot be served, with Retry-After where that helps. logLine
// names the request.
func (r *Router) refuse(ctx *fasthttp.RequestCtx, logLine *zerolog.Event, refusal verdict.Refusal) {
	r.metrics.refused.Inc()
	if refusal.Cause == verdict.CausePromptBlocked || refusal.Cause == verdict.CauseRequestBlocked {
		r.metrics.promptsBlocked.Inc()
	}
	status := refusalStatus(refusal)
	ctx.Response.Reset()
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(refusal.Error() + "\n")
	if status == fasthttp.StatusServiceUnavailable && refusal.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	logLine.Int("status", status).Str("verdict", refusal.Verdict.String()).Str("cause", string(refusal.Cause)).
		Dur("comeBack", refusal.RetryAfter).Str("detail", refusal.Detail).Msg("refused")
}

// refuseRequest refuses the request with the worst verdict of all its sends.
func (x *exchange) refuseRequest(refusal verdict.Refusal) {
	refusal.Verdict = verdict.Worse(refusal.Verdict, x.worstVerdict)
	logLine := x.r.log.Info().Str("request", x.req.ID).Str("fingerprint", x.fingerprint)
	x.r.refuse(x.ctx, x.refuseByClass(logLine, &refusal), refusal)
	if x.req.FromPeer {
		setPeerRefusal(x.ctx, refusal.Verdict, refusal.Cause)
	}
}
