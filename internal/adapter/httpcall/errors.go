package httpcall

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Sent says whether a byte of a request can have reached the other side.
type Sent uint8

// The values of Sent.
const (
	// SentNone means that no byte left: repeating the request is safe.
	NotSent Sent = iota + 1
	// MayHaveArrived means that the write had begun when the call failed.
	MayHaveArrived
)

// String returns the name of s for logs.
func (s Sent) String() string {
	if s == NotSent {
		return "none"
	}
	return "may-have-arrived"
}

// Verdict returns NotRun for SentNone, otherwise MayHaveRun.
func (s Sent) Verdict() verdict.Verdict {
	if s == NotSent {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Kind says how a call failed.
type Kind string

// The kinds of failure.
const (
	// KindDial: no connection could be opened.
	KindDial Kind = "dial"
	// KindNoConnection: all connections allowed to the address are in use.
	KindNoConnection Kind = "no-connection"
	// KindInvalid: the request could not be built; nothing was sent.
	KindInvalid Kind = "invalid-request"
	// KindTimeout: the deadline passed after the write had begun.
	KindTimeout Kind = "timeout"
	// KindClosed: the connection failed after the write had begun.
	KindClosed Kind = "closed"
	// KindStatus: the other side answered with a status that is no success.
	KindStatus Kind = "status"
	// KindMalformed: the answer could not be understood.
	KindMalformed Kind = "malformed-answer"
)

// Error is the failure of one call.
type Error struct {
	// Op is the method and path of the call.
	Op string
	// Addr is the address that was called.
	Addr string
	Kind Kind
	Sent Sent
	// Status is the HTTP status for KindStatus, otherwise zero.
	Status int
	// RetryAfter is the answer's Retry-After; zero when it had none.
	RetryAfter time.Duration
	// Body is the answer's body for KindStatus.
	Body string
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %s (sent: %s)", e.Op, e.Addr, e.Kind, e.Sent)
	if e.Status != 0 {
		text += fmt.Sprintf(" status %d %q", e.Status, e.Body[:min(len(e.Body), maxErrorBytes)])
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// SentOf returns what err says about the request. An error that is not one of
// this package counts as MayHaveArrived.
func SentOf(err error) Sent {
	var e *Error
	if errors.As(err, &e) {
		return e.Sent
	}
	return MayHaveArrived
}

// StatusOf returns the HTTP status that err carries, or zero.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}
