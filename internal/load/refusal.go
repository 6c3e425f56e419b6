package load

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Request and response headers of the entry.
const (
	headerTeam    = "Catkin-Team"
	headerTimeout = "Catkin-Timeout-Ms"
	headerVerdict = "Catkin-Verdict"
	headerCause   = "Catkin-Cause"
	headerKey     = "Idempotency-Key"
)

// Causes that the caller assigns itself, beside those that the entry returns.
const (
	causeNoAnswer    = "no-answer"
	causeNoAddresses = "no-addresses"
	causeNoVerdict   = "answer-without-verdict"
	causeStreamCut   = "cut-without-error-event"
)

// setTimeoutHeader sets the time in milliseconds that the caller waits for the response.
func setTimeoutHeader(req *fasthttp.Request, opt httpcall.Options) {
	left := max(time.Until(opt.Deadline).Milliseconds(), 1)
	req.Header.Set(headerTimeout, strconv.FormatInt(left, 10))
}

var errNoAddresses = errors.New("entry returned no addresses")

// refusal is an error response, an error event of a stream, or a missing response.
type refusal struct {
	verdict    verdict.Verdict
	cause      string
	retryAfter time.Duration
	// answered is false if the call failed without a complete response.
	answered bool
}

// label returns the key under which the report counts the refusal.
func (r *refusal) label() string {
	if !r.answered {
		return causeNoAnswer
	}
	return r.verdict.String()
}

type errorBody struct {
	Error struct {
		Verdict          string `json:"verdict"`
		Cause            string `json:"cause"`
		Message          string `json:"message"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// noAnswer returns the refusal for a call that failed with err.
func noAnswer(err error) *refusal {
	return &refusal{verdict: httpcall.SentOf(err).Verdict(), cause: causeNoAnswer}
}

// parseRefusal parses a response with an error status. Without a valid verdict the
// request may have run.
func parseRefusal(resp *fasthttp.Response, body []byte) *refusal {
	r := &refusal{answered: true, retryAfter: httpcall.RetryAfter(&resp.Header)}
	var parsed errorBody
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.RetryAfterMillis > 0 {
		r.retryAfter = time.Duration(parsed.Error.RetryAfterMillis) * time.Millisecond
	}
	r.cause = string(resp.Header.Peek(headerCause))
	v, err := verdict.Parse(string(resp.Header.Peek(headerVerdict)))
	if err != nil {
		r.verdict, r.cause = verdict.MayHaveRun, causeNoVerdict
		return r
	}
	r.verdict = v
	return r
}

// parseErrorEvent parses the data of a stream's error event.
func parseErrorEvent(data string) *refusal {
	r := &refusal{answered: true, verdict: verdict.MayHaveRun, cause: causeNoVerdict}
	var parsed errorBody
	if json.Unmarshal([]byte(data), &parsed) != nil {
		return r
	}
	if v, err := verdict.Parse(parsed.Error.Verdict); err == nil {
		r.verdict, r.cause = v, parsed.Error.Cause
	}
	r.retryAfter = time.Duration(parsed.Error.RetryAfterMillis) * time.Millisecond
	return r
}
