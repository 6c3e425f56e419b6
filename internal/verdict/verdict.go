// Package verdict says whether a request may have run.
//
// Every answer that is not a plain success carries one Verdict. NotRun is a
// promise to the caller that repeating the request is safe: it is given only
// where no byte of the request can have reached a backend server, or where the
// backend server itself said that it did not run the request.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run.
type Verdict uint8

// The verdicts, from the one that allows a repeat to the one that forbids it.
const (
	// NotRun promises that the request did not run and never will.
	NotRun Verdict = iota + 1
	// MayHaveRun promises nothing: the request may have run, or may still run.
	MayHaveRun
	// Ran says that the request ran.
	Ran
)

// ErrUnknown is returned by Parse for a text that names no verdict.
var ErrUnknown = errors.New("unknown verdict")

var names = map[Verdict]string{
	NotRun:     "not-run",
	MayHaveRun: "may-have-run",
	Ran:        "ran",
}

// String returns the verdict as it stands in the Catkin-Verdict header.
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

// Parse reads a verdict as String writes it.
func Parse(text string) (Verdict, error) {
	for v, name := range names {
		if name == text {
			return v, nil
		}
	}
	return 0, errors.Wrapf(ErrUnknown, "%q: want not-run, may-have-run or ran", text)
}

// Worse returns the verdict that promises less about a repeat being safe.
// A request that was tried twice has the worse verdict of both tries; Ran
// counts as the worst, because a repeat would be the second run.
func Worse(a, b Verdict) Verdict {
	return max(a, b)
}

// Cause is a short stable word that says why a request was refused or cut. It
// stands in answers, logs and metric labels.
type Cause string

// The causes.
const (
	CauseOverLimit       Cause = "over-limit"
	CauseNoLimit         Cause = "no-limit"
	CauseQueueFull       Cause = "queue-full"
	CauseDeadline        Cause = "deadline"
	CauseNoBackend       Cause = "no-backend-server"
	CauseNoCapacity      Cause = "no-room"
	CauseLayersMissing   Cause = "layers-held-by-nobody"
	CauseNoConfig        Cause = "no-configuration"
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
	CauseInternalFailure Cause = "internal-failure"
)

// Refusal is the final answer to a request that got no plain success.
type Refusal struct {
	Verdict Verdict `json:"verdict"`
	Cause   Cause   `json:"cause"`
	// RetryAfter tells the caller when to come back; zero means that coming
	// back with the same request is of no use.
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Detail is a sentence for people: what was wrong and what would be right.
	Detail string `json:"detail,omitempty"`
}

// Error implements error.
func (r Refusal) Error() string {
	text := string(r.Cause) + " (" + r.Verdict.String() + ")"
	if r.Detail == "" {
		return text
	}
	return text + ": " + r.Detail
}
