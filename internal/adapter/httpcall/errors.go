package httpcall

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Sent tells whether a byte of a request can have reached the server.
type Sent uint8

// The values of Sent.
const (
	// NotSent means that no byte was written, so retrying the request is safe.
	NotSent Sent = iota + 1
	// MayHaveArrived means that writing had begun when the call failed.
	MayHaveArrived
)

// String returns the name of s.
func (s Sent) String() string {
	if s == NotSent {
		return "none"
	}
	return "may-have-arrived"
}

// Verdict returns verdict.NotRun for NotSent, otherwise verdict.MayHaveRun.
func (s Sent) Verdict() verdict.Verdict {
	if s == NotSent {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// Kind classifies the failure of a call.
type Kind string

// The kinds of failure.
const (
	// KindDial: no connection could be opened.
	KindDial Kind = "dial"
	// KindNoConnection: MaxConnsPerAddr connections to the address are in use.
	KindNoConnection Kind = "no-connection"
	// KindWithdrawn: Options.BeforeSend returned an error; nothing was sent.
	KindWithdrawn Kind = "withdrawn"
	// KindOversized: the response exceeded a limit on its head, its body or the memory of
	// all responses.
	KindOversized Kind = "oversized-answer"
	// KindInvalid: the request could not be encoded; nothing was sent.
	KindInvalid Kind = "invalid-request"
	// KindTimeout: the deadline passed after writing had begun.
	KindTimeout Kind = "timeout"
	// KindClosed: the connection failed. Sent tells whether writing had begun.
	KindClosed Kind = "closed"
	// KindStatus: the response had an unsuccessful status.
	KindStatus Kind = "status"
	// KindMalformed: the response is no valid HTTP, or its body could not be decoded.
	KindMalformed Kind = "malformed-answer"
)

// Error is the failure of one call.
type Error struct {
	// Op is the method and path of the call.
	Op string
	// Addr is the called address.
	Addr string
	Kind Kind
	Sent Sent
	// Reused is set if the connection had carried an earlier request: the server may have
	// closed it while it was idle.
	Reused bool
	// Status is the HTTP status for KindStatus, otherwise zero.
	Status int
	// RetryAfter is the response's Retry-After; zero if it had none.
	RetryAfter time.Duration
	// Body is the response body for KindStatus.
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

// SentOf returns the Sent of the *Error in err. Any other error counts as
// MayHaveArrived.
func SentOf(err error) Sent {
	var e *Error
	if errors.As(err, &e) {
		return e.Sent
	}
	return MayHaveArrived
}

// StatusOf returns the HTTP status of the *Error in err, or zero.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

// KindOf returns the Kind of the *Error in err, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
