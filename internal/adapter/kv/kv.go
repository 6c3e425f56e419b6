package kv

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Special values of a write's expected revision, which is otherwise a revision that was
// read.
const (
	// ExpectAbsent lets a write succeed only if the key does not exist.
	ExpectAbsent int64 = 0
	// ExpectAny lets a write succeed unconditionally.
	ExpectAny int64 = -1
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// MaxWatchWait is the longest wait time of one watch call.
const MaxWatchWait = 30 * time.Second

var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the service was unreachable or refused the call; the
	// call had no effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknownOutcome means that a write was sent and no usable reply arrived.
	ErrUnknownOutcome = errors.New("no usable reply from the key-value service: the write may have taken effect")
)

// callError is the error of a call with its cause.
type callError struct {
	// outcome is ErrUnavailable or ErrUnknownOutcome.
	outcome error
	cause   error
}

// Error implements error.
func (e *callError) Error() string {
	return e.outcome.Error() + ": " + e.cause.Error()
}

// Unwrap returns the outcome and the cause, so that errors.Is finds both.
func (e *callError) Unwrap() []error {
	return []error{e.outcome, e.cause}
}

// Entry is the state of one key or, in a Watch reply, its deletion.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	// Lease is the lease that the key is bound to; empty for none.
	Lease string `json:"lease,omitempty"`
	// Deleted is set only in replies to Watch.
	Deleted bool `json:"deleted,omitempty"`
}

// ConflictError means that a compare-and-swap found another revision than expected.
type ConflictError struct {
	// Current is the existing entry; nil if the key does not exist.
	Current *Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return "conflict: the key does not exist"
	}
	return fmt.Sprintf("conflict: %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// Listing is the reply to List and Watch.
type Listing struct {
	Entries []Entry `json:"entries"`
	// Revision is the latest revision of the service at the time of the reply. Pass it
	// to the next Watch.
	Revision int64 `json:"revision"`
}

// Client calls the key-value service. Each method makes one call and never retries it.
// A timeout of zero means DefaultTimeout.
type Client interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(key string, timeout time.Duration) (Entry, error)
	// List reads all keys with a prefix, sorted by key.
	List(prefix string, timeout time.Duration) (Listing, error)
	// CAS writes value if the key is at expectedRevision (or ExpectAbsent, ExpectAny)
	// and returns the new revision. If lease is not empty, the key is deleted when
	// the lease expires.
	CAS(key string, value []byte, expectedRevision int64, lease string, timeout time.Duration) (int64, error)
	// Delete removes the key if it is at expectedRevision (or ExpectAny).
	Delete(key string, expectedRevision int64, timeout time.Duration) error
	// Watch waits at most wait for changes under prefix after afterRevision. Without
	// a change in that time it returns an empty listing and no error.
	Watch(prefix string, afterRevision int64, wait time.Duration) (Listing, error)
	// Grant creates a lease.
	Grant(ttl, timeout time.Duration) (lease string, err error)
	// KeepAlive renews a lease. It returns ErrNotFound if the lease has expired.
	KeepAlive(lease string, timeout time.Duration) error
	// Revoke ends a lease and deletes its keys.
	Revoke(lease string, timeout time.Duration) error
}

// DefaultTimeout bounds a call without a timeout.
const DefaultTimeout = 2 * time.Second
