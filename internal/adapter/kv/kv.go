// Package kv is the adapter to the platform's small key-value service:
// compare-and-swap, leases and watches.
//
// A failed call ends in one of four errors, to be told apart with errors.Is or
// errors.As: ErrNotFound, *ConflictError, ErrDown (the call had no effect) and
// ErrUnknown (a write was sent and its reply lost: it may have taken effect and
// has to be read back).
package kv

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Expectations of a write, besides a revision that was read.
const (
	// ExpectAbsent lets a write succeed only if the key does not exist.
	ExpectAbsent int64 = 0
	// ExpectAny lets a write succeed whatever is there.
	ExpectAny int64 = -1
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// MaxWatchWait is the longest wait of one watch call.
const MaxWatchWait = 30 * time.Second

var (
	// ErrNotFound says that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrDown says that the service could not be asked, or refused; the call
	// had no effect.
	ErrUnavailable = errors.New("key-value service down")
	// ErrUnknown says that a write was sent and no usable reply came back.
	ErrUnknownOutcome = errors.New("reply of the key-value service lost: the write may have taken effect")
)

// callError is a failed call: what it means and what happened.
type callError struct {
	// outcome is ErrDown or ErrUnknown.
	outcome error
	cause   error
}

// Error implements error.
func (e *callError) Error() string {
	return e.outcome.Error() + ": " + e.cause.Error()
}

// Unwrap lets errors.Is find the outcome as well as the cause.
func (e *callError) Unwrap() []error {
	return []error{e.outcome, e.cause}
}

// Entry is one key as it stands, or in a watch the news that it was deleted.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	// Lease is the lease that keeps the key, empty for none.
	Lease string `json:"lease,omitempty"`
	// Deleted is set only in answers to Watch.
	Deleted bool `json:"deleted,omitempty"`
}

// ConflictError says that a compare-and-swap found another revision.
type ConflictError struct {
	// Current is the entry that is there; nil if the key does not exist.
	Current *Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return "conflict: the key does not exist"
	}
	return fmt.Sprintf("conflict: %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// Listing is the answer to List and Watch.
type Listing struct {
	Entries []Entry `json:"entries"`
	// Revision is the revision of the whole service at the time of the answer;
	// a watch goes on after it.
	Revision int64 `json:"revision"`
}

// Client is the key-value service. Each method is one call, never repeated.
// Timeouts are per call; zero means DefaultTimeout.
type Client interface {
	// Get reads one key, or returns ErrNotFound.
	Get(key string, timeout time.Duration) (Entry, error)
	// List reads all keys with a prefix, sorted by key.
	List(prefix string, timeout time.Duration) (Listing, error)
	// CAS writes value if the key is at revision expect (or ExpectAbsent,
	// ExpectAny) and returns the new revision. A lease, if not empty, deletes
	// the key when it lapses.
	CAS(key string, value []byte, expect int64, lease string, timeout time.Duration) (int64, error)
	// Delete removes the key if it is at revision expect (or ExpectAny).
	Delete(key string, expect int64, timeout time.Duration) error
	// Watch waits up to wait for changes under prefix after a revision. No
	// change in time is an empty listing, not an error.
	Watch(prefix string, after int64, wait time.Duration) (Listing, error)
	// Grant opens a lease.
	Grant(ttl, timeout time.Duration) (lease string, err error)
	// KeepAlive renews a lease, or returns ErrNotFound when it has lapsed.
	KeepAlive(lease string, timeout time.Duration) error
	// Revoke ends a lease and deletes its keys.
	Revoke(lease string, timeout time.Duration) error
}

// DefaultTimeout bounds a call that names no timeout.
const DefaultTimeout = 2 * time.Second
