// Package kv is the adapter to the platform's small key-value service: compare-and-swap,
// leases and watches.
//
// A failed call returns one of four errors, distinguished with errors.Is or errors.As:
// ErrNotFound, *ConflictError, ErrUnavailable (the call had no effect) and
// ErrUnknownOutcome (a write was sent and its reply was lost; it may have taken effect,
// so read the key back). A value above MaxValueBytes is an error of its own, returned
// before anything is sent.
package kv
