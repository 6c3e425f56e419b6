package entry

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// HTTP headers of requests and responses.
const (
	headerTeam      = "Catkin-Team"
	headerVerdict   = "Catkin-Verdict"
	headerCause     = "Catkin-Cause"
	headerRequestID = "Catkin-Request-Id"
	headerTimeout   = "Catkin-Timeout-Ms"
	headerKey       = "Idempotency-Key"
)

const servicesPath = "/services/"

// serve handles one request of a caller.
func (s *Shell) serve(ctx *fasthttp.RequestCtx) {
	if s.Health.Serve(ctx) {
		return
	}
	id := s.requestID(ctx)
	ctx.Response.Header.Set(headerRequestID, id)
	path := string(ctx.Path())
	switch {
	case path == "/v1/addresses":
		s.serveAddresses(ctx, id)
	case path == "/v1/completions":
		s.serveCompletion(ctx, id)
	case strings.HasPrefix(path, servicesPath):
		s.serveCall(ctx, id, strings.TrimPrefix(path, servicesPath))
	default:
		writeRefusal(ctx, verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseBadRequest,
			Detail: "unknown path: use /v1/addresses, /v1/completions or /services/{service}/..."})
	}
}

// requestID returns an ID that is unique over all VMs and incarnations. It contains
// no dot, because the streams append a dot and a number for each run of a request.
func (s *Shell) requestID(ctx *fasthttp.RequestCtx) string {
	return string(s.cfg.Self.VM) + "-" + strconv.FormatUint(uint64(s.cfg.Self.Incarnation), 36) +
		"-" + strconv.FormatUint(ctx.ID(), 36)
}

// addressesResponse lists the entry addresses that a caller may use.
type addressesResponse struct {
	Addresses []entryAddress `json:"addresses"`
	// LifetimeMS is how long the response may be kept, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
	// KeyPrefix is the prefix of the idempotency keys that the caller creates
	// during that time.
	KeyPrefix string `json:"key_prefix"`
}

type entryAddress struct {
	VM            ident.VM            `json:"vm"`
	Addr          string              `json:"addr"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
}

func (s *Shell) serveAddresses(ctx *fasthttp.RequestCtx, id string) {
	box := s.mailboxes.open(id)
	defer s.mailboxes.close(id)
	team := ident.Team(ctx.QueryArgs().Peek("team"))
	s.Send(node.AddressesAsked{Request: id, Team: team})
	items := box.receive(s.Ctx.Done())
	if len(items) == 0 {
		writeRefusal(ctx, leavingRefusal())
		return
	}
	answer := items[0].(node.AddressesAnswered).List
	body := addressesResponse{LifetimeMS: answer.Lifetime.Milliseconds(), KeyPrefix: answer.KeyPrefix, Addresses: []entryAddress{}}
	for _, a := range answer.Addresses {
		body.Addresses = append(body.Addresses, entryAddress(a))
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func leavingRefusal() verdict.Refusal {
	return verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseLeaving, RetryAfter: time.Second,
		Detail: "this entry is leaving: request addresses from another entry"}
}

// errorBody is the body of a refusal and the data of a stream's error event.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Verdict      verdict.Verdict `json:"verdict"`
	Cause        verdict.Cause   `json:"cause"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

func newErrorBody(r verdict.Refusal) errorBody {
	return errorBody{Error: errorDetail{Verdict: r.Verdict, Cause: r.Cause, Message: r.Error(),
		RetryAfterMS: r.RetryAfter.Milliseconds()}}
}

// writeRefusal writes a refusal as the final response to a request.
func writeRefusal(ctx *fasthttp.RequestCtx, r verdict.Refusal) {
	metrics.GetOrCreateCounter(`catkin_entry_refusals_total{cause="` + string(r.Cause) + `",verdict="` + r.Verdict.String() + `"}`).Inc()
	ctx.Response.Header.Set(headerVerdict, r.Verdict.String())
	ctx.Response.Header.Set(headerCause, string(r.Cause))
	if r.RetryAfter > 0 {
		seconds := int64(math.Ceil(r.RetryAfter.Seconds()))
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(ctx, statusOf(r), newErrorBody(r))
}

// refuseUnread refuses a request by the limits of the callers' server.
func refuseUnread(ctx *fasthttp.RequestCtx, err error, ran bool) {
	r := ingress.Refusal(err)
	if ran {
		r.Verdict, r.RetryAfter = verdict.MayHaveRun, 0
	}
	writeRefusal(ctx, r)
}

var statusByCause = map[verdict.Cause]int{
	verdict.CauseOverLimit:       fasthttp.StatusTooManyRequests,
	verdict.CauseQueueFull:       fasthttp.StatusTooManyRequests,
	verdict.CauseRetryBudget:     fasthttp.StatusTooManyRequests,
	verdict.CauseNoLimit:         fasthttp.StatusForbidden,
	verdict.CauseBadRequest:      fasthttp.StatusBadRequest,
	verdict.CauseBodyTooLarge:    fasthttp.StatusRequestEntityTooLarge,
	verdict.CauseBodyTooSlow:     fasthttp.StatusRequestTimeout,
	verdict.CauseDeadline:        fasthttp.StatusGatewayTimeout,
	verdict.CauseBackendLost:     fasthttp.StatusBadGateway,
	verdict.CauseKeyInUse:        fasthttp.StatusConflict,
	verdict.CauseKeyReused:       fasthttp.StatusUnprocessableEntity,
	verdict.CauseKeyHomeGone:     fasthttp.StatusConflict,
	verdict.CauseKeyExpired:      fasthttp.StatusConflict,
	verdict.CauseClaimUnknown:    fasthttp.StatusConflict,
	verdict.CauseInternalFailure: fasthttp.StatusInternalServerError,
}

func statusOf(r verdict.Refusal) int {
	if status, ok := statusByCause[r.Cause]; ok {
		return status
	}
	return fasthttp.StatusServiceUnavailable
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// callerTimeout returns the timeout in the request's Catkin-Timeout-Ms header, or
// fallback without one. It returns false for a malformed or out-of-range value.
func callerTimeout(ctx *fasthttp.RequestCtx, fallback time.Duration) (time.Duration, bool) {
	text := bytes.TrimSpace(ctx.Request.Header.Peek(headerTimeout))
	if len(text) == 0 {
		return fallback, true
	}
	ms, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || ms <= 0 || ms > time.Hour.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func badRequest(detail string) verdict.Refusal {
	return verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseBadRequest, Detail: detail}
}
