// Package verdict defines how an answer states whether its request may have run.
//
// Every answer other than a complete success carries one Verdict. NotRun guarantees the
// caller that a retry is safe: it is used only if no byte of the request can have reached
// a backend server, or if the backend server reported that it did not run the request.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have run.
type Verdict uint8

// The verdicts, from the one that allows a retry to the one that forbids it.
const (
	// NotRun guarantees that the request did not run and never will.
	NotRun Verdict = iota + 1
	// MayHaveRun guarantees nothing: the request may have run, or may still run.
	MayHaveRun
	// Ran states that the request ran.
	Ran
)

// ErrUnknown is returned by Parse for a text that is not the name of a verdict.
var ErrUnknown = errors.New("unknown verdict")

var names = map[Verdict]string{
	NotRun:     "not-run",
	MayHaveRun: "may-have-run",
	Ran:        "ran",
}

// String returns the verdict as written in the Catkin-Verdict header.
func (v Verdict) String() string {
	if name, ok := names[v]; ok {
		return name
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Parse returns the verdict with the given name, as String returns it.
func Parse(text string) (Verdict, error) {
	for v, name := range names {
		if name == text {
			return v, nil
		}
	}
	return 0, errors.Wrapf(ErrUnknown, "%q: want not-run, may-have-run or ran", text)
}

// Worse returns the verdict that makes a retry less safe. A request that was sent twice
// gets the worse verdict of both attempts. Ran is the worst, because a retry would be a
// second run.
func Worse(a, b Verdict) Verdict {
	return max(a, b)
}

// Cause is the stable identifier of the reason why a request was refused or cut off. It
// is used in answers, logs and metric labels.
type Cause string

// The causes of refusals.
const (
	CauseOverLimit       Cause = "over-limit"
	CauseNoLimit         Cause = "no-limit"
	CauseQueueFull       Cause = "queue-full"
	CauseDeadline        Cause = "deadline"
	CauseNoBackend       Cause = "no-backend-server"
	CauseNoCapacity      Cause = "no-room"
	CauseLayersMissing   Cause = "layers-held-by-nobody"
	CauseNoConfig        Cause = "no-configuration"
	CauseNotConfigured   Cause = "not-configured"
	CauseBadRequest      Cause = "bad-request"
	CauseLeaving         Cause = "leaving"
	CauseBackendLost     Cause = "backend-server-lost"
	CauseBackendRefused  Cause = "backend-server-refused"
	CauseKeyInUse        Cause = "key-in-use"
	CauseKeyReused       Cause = "key-reused-with-other-body"
	CauseKeyHomeGone     Cause = "key-home-gone"
	CauseKeyExpired      Cause = "key-expired"
	CauseClaimUnknown    Cause = "claim-unknown"
	CauseRetryBudget     Cause = "retry-budget"
	CauseCallerGone      Cause = "caller-gone"
	CauseBackendPaused   Cause = "backend-server-paused"
	CausePromptBlocked   Cause = "prompt-blocked"
	CauseRequestBlocked  Cause = "request-blocked"
	CauseRequestSuspect  Cause = "request-suspect"
	CauseUnreachable     Cause = "backend-servers-unreachable"
	CauseOlderConfig     Cause = "older-configuration"
	CauseNoMemory        Cause = "no-memory"
	CauseBodyTooLarge    Cause = "body-too-large"
	CauseBodyTooSlow     Cause = "body-too-slow"
	CauseInternalFailure Cause = "internal-failure"
)

// Refusal is the final answer to a request that did not succeed completely.
type Refusal struct {
	Verdict Verdict `json:"verdict"`
	Cause   Cause   `json:"cause"`
	// RetryAfter is the minimum time before the caller should retry. Zero means that
	// retrying the same request does not help.
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Detail is a sentence for humans: what was wrong and how to correct it.
	Detail string `json:"detail,omitempty"`
}

// Error returns the cause, the verdict and the detail.
func (r Refusal) Error() string {
	text := string(r.Cause) + " (" + r.Verdict.String() + ")"
	if r.Detail == "" {
		return text
	}
	return text + ": " + r.Detail
}
