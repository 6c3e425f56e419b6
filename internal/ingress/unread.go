package ingress

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// memoryRetryAfter is sent as Retry-After when the memory for bodies is used up: by then stalled
// ones can be given up.
const memoryRetryAfter = time.Second

// Refusal returns the refusal of a request that was not read whole, for an error of
// Bodies.Receive.
func Refusal(err error) verdict.Refusal {
	refusal := verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseBadRequest, Detail: err.Error()}
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		refusal.Cause = verdict.CauseBodyTooLarge
	case errors.Is(err, ErrBodyTooSlow):
		refusal.Cause = verdict.CauseBodyTooSlow
	case errors.Is(err, ErrNoMemory):
		refusal.Cause, refusal.RetryAfter = verdict.CauseNoMemory, memoryRetryAfter
	}
	return refusal
}

// RefuseUnread is the ErrorHandler of a server. It responds to a request whose header, or body if
// the server does not stream bodies, could not be read.
func RefuseUnread(ctx *fasthttp.RequestCtx, err error) {
	var tooLong *fasthttp.ErrSmallBuffer
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &tooLong):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(status), status)
	CloseUnread(ctx)
}
