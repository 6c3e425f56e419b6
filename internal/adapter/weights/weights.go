// Package weights is the adapter to the platform's rate-limited weight store.
// Engines fetch weights by themselves once they are ordered to; the store is
// asked here to reserve the rate that an order will need.
package weights

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// RateLimitedError says that the store's rate is used up.
type RateLimitedError struct {
	// RetryAfter is when the store wants to be asked again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "weight store over its rate, retry after " + e.RetryAfter.String()
}

// Client is the weight store.
type Client interface {
	// Fetch takes bytes of a service's version from the store's rate. It
	// returns *RateLimitedError when the rate is used up.
	Reserve(service ident.Service, version string, bytes int64, timeout time.Duration) error
}

// HTTP is the Client over HTTP. It is safe for concurrent use.
type HTTP struct {
	addr  string
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the store at addr ("ip:port").
func NewHTTP(addr string, calls *httpcall.Client) *HTTP {
	return &HTTP{addr: addr, calls: calls}
}

// Fetch implements Client.
func (h *HTTP) Reserve(service ident.Service, version string, bytes int64, timeout time.Duration) error {
	uri := "/v1/weights?service=" + url.QueryEscape(string(service)) +
		"&version=" + url.QueryEscape(version) +
		"&bytes=" + strconv.FormatInt(bytes, 10)
	err := h.calls.JSON(h.addr, "GET", uri, nil, nil, httpcall.Within(timeout))
	var e *httpcall.Error
	if errors.As(err, &e) && e.Status == 429 {
		return &RateLimitedError{RetryAfter: e.RetryAfter}
	}
	return errors.Wrap(err, "weight store")
}
