package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/basis"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// maxSends bounds the sends of a request, because refused sends take time as well. The
// number of backend servers that may run it is bounded by the route's MaxAttempts.
const maxSends = 5

// maxUnsentAttempts bounds the attempts that fail before anything was sent.
const maxUnsentAttempts = 4

// sendResult is one send of a request and its result.
type sendResult struct {
	choice *dispatch.Choice
	call   *httpcall.Exchange // nil if there is no response
	err    error
	// outcome is whether the backend server may have run the request.
	outcome verdict.Verdict
	// faultAddr is the address of the server that caused the failure; "" for none.
	faultAddr string
	events    int           // complete events of the response that have arrived
	sentAt    time.Duration // on the router's clock
	cancelled bool          // the router itself ended the send
	// refusedBy and retryAfter are the cause and the Retry-After of another VM's refusal.
	refusedBy  verdict.Cause
	retryAfter time.Duration
	// peerState is what another VM said in its response that it knows.
	peerState basis.State
}

// send sends the request to a chosen backend server, or to the VM to pass it on to, and
// classifies the response by its header.
func (x *exchange) send(ctx context.Context, ch *dispatch.Choice, resumeAfter string) sendResult {
	if ch.IsPeer() {
		return x.passOn(ctx, ch, resumeAfter)
	}
	h := &x.ctx.Request.Header
	body := x.ctx.Request.Body()
	headers := x.forwardHeaders(ch, resumeAfter)
	sentAt := x.r.clock.now()
	header := platform.EncodeRequestHeader(nil, h, len(body), headers)
	opt := httpcall.Options{Deadline: time.Now().Add(headers.TimeLeft), MaxIdleTime: x.r.cfg.ConnReuseTimeout, NewConnection: !x.req.Route.Retryable(),
		BeforeSend: func() error { return x.checkBeforeSend(headers.TimeLeft, ch) }}
	target := ch.Target()
	call, err := x.r.backendClient.Open(ctx, target.Addr, string(h.Method()), header, body, opt)
	if httpcall.KindOf(err) == httpcall.KindWithdrawn {
		return sendResult{choice: ch, err: err, outcome: verdict.NotRun} // not the server's fault
	}
	if err != nil {
		return sendResult{choice: ch, sentAt: sentAt, err: err, cancelled: ctx.Err() != nil, outcome: httpcall.SentOf(err).Verdict(), faultAddr: faultAddrOf(ctx, target.Addr)}
	}
	resp := call.Response
	if !x.isOwnResponse(call) {
		call.DisableReuse()
		call.Close()
		return sendResult{choice: ch, err: errResponseMismatch, outcome: verdict.MayHaveRun}
	}
	if lacksSignature(resp) {
		call.DisableReuse()
		call.Close()
		return sendResult{choice: ch, sentAt: sentAt, err: errUnsigned, outcome: verdict.MayHaveRun}
	}
	call.SetMaxIdleConns(x.maxIdleConns)
	s := sendResult{choice: ch, sentAt: sentAt, call: call, outcome: verdict.Ran}
	x.r.recordResponse(target.Instance, sentAt)
	x.recordLoadReport(ch, resp.Header.Get(platform.HeaderLoad))
	x.r.recordLimit(target.Instance, resp.Header.Get(platform.HeaderServerLimit))
	if resp.StatusCode == http.StatusServiceUnavailable {
		x.r.recordPause(target.Instance, resp.Header.Get(platform.HeaderRetryAfter))
	}
	if wrongServer := resp.StatusCode == platform.StatusWrongServer && resp.Header.Get(platform.HeaderFailedServer) == ""; !wrongServer {
		x.r.reportSentToLeaving(x.req.ID, target.Instance, sentAt)
		x.r.recordLeaving(target.Instance, resp.Header.Get(platform.HeaderServerLeaving))
	}
	if addr := resp.Header.Get(platform.HeaderFailedServer); addr != "" {
		x.r.suspect(addr, detector.Refusal)
	}
	if resp.StatusCode == platform.StatusWrongServer || resp.Header.Get(platform.HeaderNotRun) != "" {
		s.outcome = verdict.NotRun
		s.faultAddr = resp.Header.Get(platform.HeaderFailedServer)
		if s.faultAddr == "" && resp.StatusCode == platform.StatusWrongServer {
			s.faultAddr = target.Addr
		}
	}
	return s
}

// isOwnResponse reports whether a response belongs to this request. An earlier one may arrive late or
// twice on a reused connection, so a response there must name the request; nothing that another one
// says is used.
func (x *exchange) isOwnResponse(call *httpcall.Exchange) bool {
	id := call.Response.Header.Get(platform.HeaderRequestID)
	return id == x.req.ID || id == "" && !call.Reused()
}

var errUnsigned = errors.New("success without a signature")

// lacksSignature reports whether a success is not signed: it is not the whole response of a server.
func lacksSignature(resp *http.Response) bool {
	return resp.StatusCode/100 == 2 && resp.Header.Get(platform.HeaderSignature) == ""
}

// maxHeaderAge bounds the time between the encoding of a request's header, which states the
// time left, and its first byte.
const maxHeaderAge = 400 * time.Millisecond

var (
	errHeaderOutdated = errors.New("the time left has changed since the header was encoded")
	errServerLeft     = errors.New("a server of the path leaves or is gone since it was chosen")
)

// checkBeforeSend returns an error if the request must not be sent any more: connecting may have
// taken a while, and the process may have been paused, since the servers were chosen and the
// header was encoded with the given time left.
func (x *exchange) checkBeforeSend(stated time.Duration, ch *dispatch.Choice) error {
	left := x.timeLeft()
	switch {
	case x.abandoned():
		return context.Cause(x.callerCtx)
	case left <= 0:
		return errDeadlinePassed
	case stated-left > maxHeaderAge:
		return errHeaderOutdated
	case x.blocked():
		return errBlocked
	case x.r.hasLeft(ch):
		return errServerLeft
	}
	return nil
}

// recordLoadReport records the load that the first server of a path reports in the
// response header. The header is optional.
func (x *exchange) recordLoadReport(ch *dispatch.Choice, header string) {
	running, waiting, _, ok := platform.ParseServerLoad(header)
	if !ok {
		return
	}
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordLoadReport(x.r.clock.now(), ch.Target().Instance, running+waiting)
}

// discard closes a call whose response is not forwarded.
func (s *sendResult) discard() {
	if s.call != nil {
		_, _ = s.call.ReadAll(maxErrorBodyBytes) // reading a short body frees the connection for reuse; an error closes it
		s.call.Close()
		s.call = nil
	}
}

// maxErrorBodyBytes bounds the body of an error response.
const maxErrorBodyBytes = 64 << 10

// recordFailure records the failure of the server at faultAddr and excludes it for this
// request. Without a faultAddr it only excludes the chosen server.
func (x *exchange) recordFailure(s *sendResult) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	now := x.r.clock.now()
	server := x.r.serverAtFault(s)
	if server == nil {
		return
	}
	x.req.Avoid[server.ID] = true
	switch {
	case s.faultAddr == "":
	case s.outcome == verdict.NotRun && s.err == nil && s.faultAddr != s.choice.Target().Addr:
		x.r.core.RecordUnavailable(now, server)
	case x.req.Service.Engine == nil && s.err != nil:
		x.r.core.RecordFailing(now, server.Instance())
	default:
		x.r.core.Backends.RecordFailure(now, server.Instance(), 0)
	}
}

// serverAtFault returns the server that caused a failure, nil if it is not known any more. The caller
// holds mu.
func (r *Router) serverAtFault(s *sendResult) *backend.Server {
	if s.faultAddr == "" {
		return r.core.Backends.Get(s.choice.Target().Instance.ID)
	}
	stage, onPath := s.choice.StageAt(s.faultAddr)
	if !onPath {
		return r.core.Backends.ByAddr(s.faultAddr)
	}
	if server := r.core.Backends.Get(stage.Instance.ID); server != nil && server.Instance() == stage.Instance {
		return server
	}
	return nil
}

// avoidServer excludes the server at addr for this request. It reports false if the server
// is unknown or already excluded.
func (x *exchange) avoidServer(addr string) bool {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	s := x.r.core.Backends.ByAddr(addr)
	if s == nil || x.req.Avoid[s.ID] {
		return false
	}
	x.req.Avoid[s.ID] = true
	return true
}

// handleFailedSend releases the choice of a failed send, records the failure and reports
// whether the request may be sent again.
func (x *exchange) handleFailedSend(s *sendResult, unsentAttempts *int) bool {
	if s.choice.IsPeer() {
		return x.handleFailedPeer(s)
	}
	x.recordUnreached(s)
	x.recordFailure(s)
	crashed := x.recordCrash(s)
	x.release(s.choice)
	status := 0
	if s.call != nil {
		status = s.call.Response.StatusCode
	}
	x.logSend(x.r.log.Info(), s, status).Msg("send failed")
	s.discard()
	if s.outcome != verdict.NotRun {
		x.worstVerdict = verdict.Worse(x.worstVerdict, s.outcome)
	}
	if x.abandoned() || x.timeLeft() <= 0 {
		return false
	}
	if s.outcome != verdict.NotRun && !x.req.Route.Retryable() {
		return false
	}
	if s.err != nil && s.outcome == verdict.NotRun {
		*unsentAttempts++
		// Another VM may reach the servers.
		x.r.locked(func() { x.req.PeersOnly = *unsentAttempts >= maxUnsentAttempts })
		return true
	}
	x.r.locked(func() {
		x.req.Sends++
		x.req.SentTo[s.choice.Target().Instance.ID] = true
	})
	return x.req.Sends < maxSends && x.mayRepeatAfterCrash(crashed)
}

// markBegun records that the caller has received part of the answer. Moves of streams read the
// request from other goroutines, under Router.mu.
func (x *exchange) markBegun() {
	if !x.req.Begun { // only this goroutine changes it
		x.r.locked(func() { x.req.Begun = true })
	}
}

func (x *exchange) logSend(ev *zerolog.Event, s *sendResult, status int) *zerolog.Event {
	return ev.Str("request", x.req.ID).Str("fingerprint", x.fingerprint).Str("route", x.req.Route.Name).Str("server", string(s.choice.Target().Instance.ID)).Int("parts", len(s.choice.Stages)).
		Str("verdict", s.outcome.String()).Str("fault", s.faultAddr).Int("status", status).
		Int("runEvents", s.events).Strs("prompt", x.promptParts).Dur("after", time.Since(x.receivedAt)).Err(s.err)
}

func (x *exchange) choose() (*dispatch.Choice, *verdict.Refusal) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	wasTrial := x.req.Trial
	ch, refusal := x.r.core.Choose(x.r.clock.now(), &x.req)
	if refusal != nil && x.readmitRefusedChanges(refusal.Cause) {
		ch, refusal = x.r.core.Choose(x.r.clock.now(), &x.req)
	}
	if ch != nil {
		x.held[ch] = struct{}{}
		x.r.metrics.countHeldPrompt(ch)
	}
	x.recordClass(ch != nil)
	if x.req.Trial && !wasTrial {
		x.r.log.Warn().Str("request", x.req.ID).Str("fingerprint", x.fingerprint).Msg("blocked request sent to see whether it still crashes backend servers")
	}
	return ch, refusal
}

// chooseSuccessor reserves a choice for the run that takes the place of the run over ch, because of the
// server at faultAddr, or returns the refusal if there is none.
func (x *exchange) chooseSuccessor(ch *dispatch.Choice, faultAddr string) (*dispatch.Choice, *verdict.Refusal) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.req.Sends+1 >= maxSends {
		return nil, &verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBackendLost, Detail: "no further send is allowed"}
	}
	var fault backend.ID
	if stage, onPath := ch.StageAt(faultAddr); onPath {
		fault = stage.Instance.ID
	}
	now := x.r.clock.now()
	next, refusal := x.r.core.ChooseSuccessor(now, &x.req, ch, fault)
	if refusal != nil && x.readmitRefusedChanges(refusal.Cause) {
		next, refusal = x.r.core.ChooseSuccessor(now, &x.req, ch, fault)
	}
	if next != nil {
		x.held[next] = struct{}{}
		x.r.metrics.countHeldPrompt(next)
	}
	return next, refusal
}

// replace returns a choice in which other servers have the stage of the server at faultAddr,
// nil if there is none.
func (x *exchange) replace(old *dispatch.Choice, faultAddr string) *dispatch.Choice {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	ch := x.r.core.Replace(x.r.clock.now(), &x.req, old, faultAddr)
	if ch != nil {
		x.held[ch] = struct{}{}
	}
	return ch
}

func (x *exchange) release(ch *dispatch.Choice) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.releaseHeld(ch)
}

// releaseHeld releases a choice unless that was done before. The caller holds Router.mu.
func (x *exchange) releaseHeld(ch *dispatch.Choice) {
	if _, held := x.held[ch]; held {
		delete(x.held, ch)
		x.r.core.Release(ch)
	}
}

func (x *exchange) releaseAll() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	for ch := range x.held {
		x.releaseHeld(ch)
	}
}

func (x *exchange) recordSuccess(ch *dispatch.Choice) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.core.RecordSuccess(ch)
	x.releaseHeld(ch)
}

// copyHeader copies the status and headers of a backend server's response to the caller's. If
// another VM passed the request on, the response names the server.
func (x *exchange) copyHeader(resp *http.Response, ch *dispatch.Choice) {
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
	if x.req.FromPeer {
		out.Header.Set(platform.HeaderServedBy, platform.EncodeServedBy(ch.Target().Instance))
	}
}
