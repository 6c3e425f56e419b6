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

// Names of the system's headers.
const (
	headerTeam    = "Catkin-Team"
	headerTimeout = "Catkin-Timeout-Ms"
	headerVerdict = "Catkin-Verdict"
	headerCause   = "Catkin-Cause"
	headerKey     = "Idempotency-Key"
)

// Causes that the caller itself finds.
const (
	causeNoAnswer    = "no-answer"
	causeNoAddresses = "no-addresses"
	causeNoVerdict   = "answer-without-verdict"
	causeCut         = "cut-without-error-event"
)

// setTimeout tells the entry how long the caller waits.
func setTimeout(req *fasthttp.Request, opt httpcall.Options) {
	left := max(time.Until(opt.Deadline).Milliseconds(), 1)
	req.Header.Set(headerTimeout, strconv.FormatInt(left, 10))
}

var errNoAddresses = errors.New("the entry named no addresses")

// refusal is an answer that is no success, or no answer at all.
type refusal struct {
	verdict    verdict.Verdict
	cause      string
	retryAfter time.Duration
	// answered is false when the connection failed before an answer.
	answered bool
}

// label is the verdict's name in the report.
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

// failedCall is the refusal that stands for a call without an answer.
func failedCall(err error) *refusal {
	return &refusal{verdict: httpcall.SentOf(err).Verdict(), cause: causeNoAnswer}
}

// readRefusal reads an answer whose status is no success. Without a readable
// verdict it may have run.
func readRefusal(resp *fasthttp.Response, body []byte) *refusal {
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

// readErrorEvent reads the data of a stream's error event.
func readErrorEvent(data string) *refusal {
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
