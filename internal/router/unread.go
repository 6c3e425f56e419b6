package router

import (
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// refusalStatus returns the status of a refusal. Only a request that did not run gets a 503, or
// a 408; one that may have run gets a 504 after its deadline, otherwise a 502.
func refusalStatus(refusal verdict.Refusal) int {
	switch {
	case refusal.Verdict != verdict.NotRun && refusal.Cause == verdict.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	case refusal.Verdict != verdict.NotRun:
		return fasthttp.StatusBadGateway
	case refusal.Cause == verdict.CauseBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case refusal.Cause == verdict.CauseBodyTooSlow:
		return fasthttp.StatusRequestTimeout
	case refusal.Cause == verdict.CauseBadRequest:
		return fasthttp.StatusBadRequest
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// refuseBody refuses a request that was not read whole, so it did not run. Its connection
// is closed, as the rest of the body may follow.
func (x *exchange) refuseBody(err error) {
	refusal := ingress.Refusal(err)
	x.r.refuse(x.ctx, x.r.log.Info().Str("request", x.req.ID).Int("announcedBytes", x.ctx.Request.Header.ContentLength()), refusal)
	if x.req.FromPeer {
		setPeerRefusal(x.ctx, refusal.Verdict, refusal.Cause)
	}
	ingress.CloseUnread(x.ctx)
}
