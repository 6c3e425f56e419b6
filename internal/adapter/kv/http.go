package kv

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// watchSlack is added to the wait time of a watch for the timeout of its call.
const watchSlack = 2 * time.Second

// HTTP implements Client over HTTP and JSON. It is safe for concurrent use.
type HTTP struct {
	addr  string
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for the service at addr ("ip:port").
func NewHTTP(addr string, calls *httpcall.Client) *HTTP {
	return &HTTP{addr: addr, calls: calls}
}

type putBody struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	ExpectRevision int64  `json:"expect_revision"`
	Lease          string `json:"lease,omitempty"`
}

type revisionBody struct {
	Revision int64 `json:"revision"`
}

type conflictBody struct {
	Entry *Entry `json:"entry"`
}

type leaseBody struct {
	TTLMillis int64  `json:"ttl_ms,omitempty"`
	Lease     string `json:"lease,omitempty"`
}

// Get implements Client.
func (h *HTTP) Get(key string, timeout time.Duration) (Entry, error) {
	var entry Entry
	err := h.calls.JSON(h.addr, "GET", "/v1/kv?key="+url.QueryEscape(key), nil, &entry, within(timeout))
	return entry, readError(err)
}

// List implements Client.
func (h *HTTP) List(prefix string, timeout time.Duration) (Listing, error) {
	var listing Listing
	err := h.calls.JSON(h.addr, "GET", "/v1/kv?prefix="+url.QueryEscape(prefix), nil, &listing, within(timeout))
	return listing, readError(err)
}

// CAS implements Client.
func (h *HTTP) CAS(key string, value []byte, expectedRevision int64, lease string, timeout time.Duration) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Newf("key %s: value of %d bytes is too large, at most %d are allowed", key, len(value), MaxValueBytes)
	}
	in := putBody{Key: key, Value: value, ExpectRevision: expectedRevision, Lease: lease}
	var out revisionBody
	err := h.calls.JSON(h.addr, "PUT", "/v1/kv", in, &out, within(timeout))
	return out.Revision, writeError(err)
}

// Delete implements Client.
func (h *HTTP) Delete(key string, expectedRevision int64, timeout time.Duration) error {
	uri := "/v1/kv?key=" + url.QueryEscape(key) + "&expect_revision=" + strconv.FormatInt(expectedRevision, 10)
	return writeError(h.calls.JSON(h.addr, "DELETE", uri, nil, nil, within(timeout)))
}

// Watch implements Client.
func (h *HTTP) Watch(prefix string, afterRevision int64, wait time.Duration) (Listing, error) {
	wait = min(wait, MaxWatchWait)
	uri := "/v1/watch?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatInt(afterRevision, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var listing Listing
	err := h.calls.JSON(h.addr, "GET", uri, nil, &listing, httpcall.Within(wait+watchSlack))
	return listing, readError(err)
}

// Grant implements Client.
func (h *HTTP) Grant(ttl, timeout time.Duration) (string, error) {
	var out leaseBody
	in := leaseBody{TTLMillis: ttl.Milliseconds()}
	err := h.calls.JSON(h.addr, "POST", "/v1/leases", in, &out, within(timeout))
	return out.Lease, writeError(err)
}

// KeepAlive implements Client.
func (h *HTTP) KeepAlive(lease string, timeout time.Duration) error {
	uri := "/v1/leases/" + url.PathEscape(lease) + "/keepalive"
	return writeError(h.calls.JSON(h.addr, "POST", uri, nil, nil, within(timeout)))
}

// Revoke implements Client.
func (h *HTTP) Revoke(lease string, timeout time.Duration) error {
	uri := "/v1/leases/" + url.PathEscape(lease)
	return writeError(h.calls.JSON(h.addr, "DELETE", uri, nil, nil, within(timeout)))
}

func within(timeout time.Duration) httpcall.Options {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return httpcall.Within(timeout)
}

// readError converts the error of a call that changes nothing.
func readError(err error) error {
	if err == nil {
		return nil
	}
	if httpcall.StatusOf(err) == 404 {
		return ErrNotFound
	}
	return &callError{outcome: ErrUnavailable, cause: err}
}

// writeError converts the error of a call that may have taken effect.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	var e *httpcall.Error
	if !errors.As(err, &e) {
		return &callError{outcome: ErrUnknownOutcome, cause: err}
	}
	switch {
	case e.Status == 404:
		return ErrNotFound
	case e.Status == 409:
		return conflictError(e)
	case e.Sent == httpcall.NotSent, isRefusal(e.Status):
		return &callError{outcome: ErrUnavailable, cause: err}
	default:
		return &callError{outcome: ErrUnknownOutcome, cause: err}
	}
}

// isRefusal reports whether a status means that the call had no effect.
func isRefusal(status int) bool {
	return status == 503 || status == 429 || status == 400 || status == 413
}

func conflictError(e *httpcall.Error) error {
	var body conflictBody
	if err := json.Unmarshal([]byte(e.Body), &body); err != nil {
		return &callError{outcome: ErrUnknownOutcome, cause: errors.Wrap(err, "decode conflict response")}
	}
	return &ConflictError{Current: body.Entry}
}
