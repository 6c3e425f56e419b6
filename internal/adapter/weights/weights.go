// Package weights is the adapter to the platform's rate-limited weight store. Engines
// fetch weights themselves after a load order; this package reserves the bytes that an
// order will fetch, within the store's rate limit.
package weights

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// RateLimitedError means that the store's rate limit is exceeded.
type RateLimitedError struct {
	// RetryAfter is the time to wait before the next try, as given by the store.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "weight store rate limit exceeded, retry after " + e.RetryAfter.String()
}

// Client calls the weight store.
type Client interface {
	// Reserve reserves bytes of the store's rate limit for a version of a service. It
	// returns a *RateLimitedError if the limit is exceeded.
	Reserve(service ident.Service, version string, bytes int64, timeout time.Duration) error
}

// HTTP implements Client over HTTP. It is safe for concurrent use.
type HTTP struct {
	addr  string
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for the store at addr ("ip:port").
func NewHTTP(addr string, calls *httpcall.Client) *HTTP {
	return &HTTP{addr: addr, calls: calls}
}

// Reserve implements Client.
func (h *HTTP) Reserve(service ident.Service, version string, bytes int64, timeout time.Duration) error {
	uri := "/v1/weights?service=" + url.QueryEscape(string(service)) +
		"&version=" + url.QueryEscape(version) +
		"&bytes=" + strconv.FormatInt(bytes, 10)
	err := h.calls.JSON(h.addr, "GET", uri, nil, nil, httpcall.Within(timeout))
	var e *httpcall.Error
	if errors.As(err, &e) && e.Status == 429 {
		return &RateLimitedError{RetryAfter: e.RetryAfter}
	}
	return errors.Wrap(err, "reserve weight store rate")
}
