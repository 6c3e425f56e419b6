package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/basis"
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// maxPassedOn bounds the requests of other VMs in progress, each of which holds two
// connections and their buffers.
const maxPassedOn = 256

// servePassedOn starts the server for requests that other VMs pass on. They are checked like
// callers' own, so an address inside the deployment is all the right that a VM needs.
func (r *Router) servePassedOn() error {
	s, err := r.serveRequests(connbudget.PassedOn, r.settings.Listen.PassedOn, r.handlePassedOn)
	if err != nil {
		return err
	}
	r.auxServers = append(r.auxServers, s)
	return nil
}

// handlePassedOn serves a request of another VM, or refuses it at once while this VM has
// enough to do, is stopping, or may not know the state that the other VM acts by. The response
// says what this VM knows.
func (r *Router) handlePassedOn(ctx *fasthttp.RequestCtx) {
	from, rests := platform.ParseState(string(ctx.Request.Header.Peek(platform.HeaderState)))
	ctx.Request.Header.Del(platform.HeaderState)
	r.servePassedOnRequest(ctx, r.receiveState(basis.Request, from, rests), rests)
	ctx.Response.Header.Set(platform.HeaderState, r.encodedState())
}

// servePassedOnRequest serves a request of another VM that rests on a state, unless act is false.
func (r *Router) servePassedOnRequest(ctx *fasthttp.RequestCtx, act bool, rests basis.State) {
	cause, detail := verdict.Cause(""), "another VM passed the request on"
	switch {
	case r.stopping.Load():
		cause = verdict.CauseLeaving
	case !r.current.isOpen():
		cause = verdict.CauseNoConfig
	case r.passedOnRequests.Load() >= maxPassedOn:
		cause = verdict.CauseQueueFull
	case !act:
		cause, detail = verdict.CauseOlderConfig, fmt.Sprintf("another VM passed the request on by configuration %d, which this VM does not know yet", rests.Version)
	default:
		r.handle(ctx, true)
		return
	}
	id := string(ctx.Request.Header.Peek(platform.HeaderRequestID))
	r.refuseUnserved(ctx, true, id, verdict.Refusal{Cause: cause, RetryAfter: noConfigRetryAfter, Detail: detail})
}

// setPeerRefusal sets the headers of a refusal of this VM that another VM reads.
func setPeerRefusal(ctx *fasthttp.RequestCtx, v verdict.Verdict, cause verdict.Cause) {
	ctx.Response.Header.Set(platform.HeaderVerdict, v.String())
	ctx.Response.Header.Set(platform.HeaderRefusalCause, string(cause))
}

// setOrigin takes from a request that another VM passed on how often it may have run before.
// Those runs count against the attempts of its route.
func (x *exchange) setOrigin(fromPeer bool) {
	if !fromPeer {
		return
	}
	x.req.FromPeer = true
	x.r.passedOnRequests.Add(1)
	h := &x.ctx.Request.Header
	runs, err := platform.ParsePassedOn(string(h.Peek(platform.HeaderPassedOn)))
	if err != nil {
		x.r.log.Warn().Str("request", x.req.ID).Bytes("value", h.Peek(platform.HeaderPassedOn)).Msg("passed on with an invalid number of runs; taken as 0")
	}
	h.Del(platform.HeaderPassedOn)
	x.req.Sends = min(max(0, runs), maxSends-1)
	x.req.CountedSends = x.req.Sends
	x.req.Begun = x.req.Sends > 0 && len(h.Peek(platform.HeaderLastEventID)) > 0
	for i := range min(x.req.Sends, x.req.Route.MaxAttempts-1) {
		x.req.SentTo[backend.ID(fmt.Sprint("earlier run ", i))] = true
	}
}

// requestPeers returns the VMs that take requests which this one passes on. The caller holds
// mu.
func (r *Router) requestPeers() []dispatch.Peer {
	var peers []dispatch.Peer
	for name, m := range r.members {
		if name != r.settings.VM && m.PassedOnAddr != "" {
			peers = append(peers, dispatch.Peer{VM: name, Domain: m.Domain, Addr: m.PassedOnAddr})
		}
	}
	return peers
}

// passOn passes the request on to another VM and classifies the response by its header.
func (x *exchange) passOn(ctx context.Context, ch *dispatch.Choice, resumeAfter string) sendResult {
	h := &x.ctx.Request.Header
	body := x.ctx.Request.Body()
	left := x.timeLeft()
	header := platform.EncodePassedOnHeader(nil, h, len(body), platform.PassedOnHeaders{TimeLeft: left, ResumeAfter: resumeAfter, Runs: x.req.Sends, State: x.r.encodedState()})
	opt := httpcall.Options{Deadline: time.Now().Add(left), MaxIdleTime: x.r.cfg.ConnReuseTimeout, NewConnection: !x.req.Route.Retryable(),
		BeforeSend: func() error { return x.checkBeforeSend(left, ch) }}
	x.r.metrics.passedOn.Inc()
	sentAt := x.r.clock.now()
	call, err := x.r.backendClient.Open(ctx, ch.Target().Addr, string(h.Method()), header, body, opt)
	if err != nil {
		return sendResult{choice: ch, err: err, cancelled: ctx.Err() != nil, outcome: httpcall.SentOf(err).Verdict()}
	}
	if lacksSignature(call.Response) {
		call.DisableReuse()
		call.Close()
		return sendResult{choice: ch, err: errUnsigned, outcome: verdict.MayHaveRun}
	}
	s := sendResult{choice: ch, sentAt: sentAt, call: call, outcome: outcomeOfPassedOn(call.Response)}
	_, s.peerState = platform.ParseState(call.Response.Header.Get(platform.HeaderState))
	x.r.receiveState(basis.Response, ch.PeerVM(), s.peerState)
	if in, ok := platform.ParseServedBy(call.Response.Header.Get(platform.HeaderServedBy)); ok {
		x.r.recordLeaving(in, call.Response.Header.Get(platform.HeaderServerLeaving))
	}
	if s.outcome != verdict.Ran {
		s.refusedBy = verdict.Cause(call.Response.Header.Get(platform.HeaderRefusalCause))
		s.retryAfter, _ = platform.ParseRetryAfter(call.Response.Header.Get(platform.HeaderRetryAfter)) // zero without one
	}
	return s
}

// outcomeOfPassedOn returns verdict.Ran for the response of a backend server, which goes to the
// caller, and otherwise whether the request may have run. The status does not tell whose a
// response is, so NotRun takes a statement of the VM.
func outcomeOfPassedOn(resp *http.Response) verdict.Verdict {
	h := resp.Header
	if h.Get(platform.HeaderServedBy) != "" || h.Get(platform.HeaderSignature) != "" || resp.StatusCode < fasthttp.StatusBadRequest {
		return verdict.Ran
	}
	stated, err := verdict.Parse(h.Get(platform.HeaderVerdict))
	if err != nil && h.Get(platform.HeaderRefusalCause) != "" && resp.StatusCode == fasthttp.StatusServiceUnavailable {
		stated = verdict.NotRun // a build without HeaderVerdict
	}
	if stated == verdict.NotRun {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// peerUnable reports whether the failure of a send to another VM means that it can't serve other
// requests of the service either for now.
func peerUnable(s *sendResult) bool {
	switch s.refusedBy {
	case verdict.CauseUnreachable, verdict.CauseLayersMissing, verdict.CauseNoBackend, verdict.CauseBackendRefused, verdict.CauseNoCapacity,
		verdict.CauseQueueFull, verdict.CauseLeaving, verdict.CauseNoConfig:
		return true
	default:
		return s.err != nil && !s.cancelled && httpcall.KindOf(s.err) != httpcall.KindWithdrawn
	}
}

// handleFailedPeer records that another VM did not serve the request and reports whether it
// may be sent again.
func (x *exchange) handleFailedPeer(s *sendResult) bool {
	x.release(s.choice)
	status := 0
	if s.call != nil {
		status = s.call.Response.StatusCode
	}
	x.logSend(x.r.log.Info(), s, status).Msg("passing the request on failed")
	s.discard()
	unable := !x.abandoned() && peerUnable(s)
	x.r.locked(func() {
		x.r.core.RecordPeerRefused(x.r.clock.now(), &x.req, s.choice, unable)
		if s.refusedBy == verdict.CauseOlderConfig && basis.Compare(s.peerState, x.r.state()) == basis.Older {
			x.r.core.RecordPeerOlder(x.r.clock.now(), s.sentAt, s.choice.PeerVM())
		}
	})
	if x.abandoned() || x.timeLeft() <= 0 {
		return false
	}
	if s.outcome == verdict.NotRun {
		return true
	}
	x.worstVerdict = verdict.Worse(x.worstVerdict, s.outcome)
	x.r.locked(func() { x.req.Sends++ })
	return x.req.Route.Retryable() && x.req.Sends < maxSends
}
