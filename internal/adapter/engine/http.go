package engine

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// HTTP implements Client over HTTP and JSON. It is safe for concurrent use.
type HTTP struct {
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for any number of engines.
func NewHTTP(calls *httpcall.Client) *HTTP {
	return &HTTP{calls: calls}
}

// StepsBody is the request body for a batch of steps.
type StepsBody struct {
	Steps []Step `json:"steps"`
}

// StreamBody is the request body of Cancel, Export and Import. Export has no Attempt,
// and only Import has a Blob.
type StreamBody struct {
	Stream  string `json:"stream"`
	Attempt int    `json:"attempt,omitempty"`
	Blob    string `json:"blob,omitempty"`
}

// OrdersBody is the response body of Orders.
type OrdersBody struct {
	Applied []Order `json:"applied"`
}

// FencedBody is the response body for an order with an old fencing token.
type FencedBody struct {
	Error        string `json:"error"`
	FencingToken int64  `json:"fence"`
}

// Steps implements Client. It returns ErrMismatch if the number of results differs from
// the number of steps. It does not check that each result matches its step.
func (h *HTTP) Steps(addr string, steps []Step, opt httpcall.Options) (StepsReply, error) {
	var out StepsReply
	err := h.calls.JSON(addr, "POST", "/v1/steps", StepsBody{Steps: steps}, &out, opt)
	if err != nil {
		return StepsReply{}, err
	}
	if len(out.Results) != len(steps) {
		return StepsReply{}, errors.Wrapf(ErrMismatch, "%d steps, %d results", len(steps), len(out.Results))
	}
	return out, nil
}

// Cancel implements Client.
func (h *HTTP) Cancel(addr, stream string, attempt int, opt httpcall.Options) error {
	in := StreamBody{Stream: stream, Attempt: attempt}
	return h.calls.JSON(addr, "POST", "/v1/cancel", in, nil, opt)
}

// Export implements Client.
func (h *HTTP) Export(addr, stream string, opt httpcall.Options) (KVCache, error) {
	var out KVCache
	err := h.calls.JSON(addr, "POST", "/v1/export", StreamBody{Stream: stream}, &out, opt)
	return out, err
}

// Import implements Client.
func (h *HTTP) Import(addr, stream string, attempt int, blob string, opt httpcall.Options) error {
	in := StreamBody{Stream: stream, Attempt: attempt, Blob: blob}
	return h.calls.JSON(addr, "POST", "/v1/import", in, nil, opt)
}

// Load implements Client.
func (h *HTTP) Load(addr string, opt httpcall.Options) (Load, error) {
	var out Load
	err := h.calls.JSON(addr, "GET", "/v1/load", nil, &out, opt)
	return out, err
}

// Events implements Client.
func (h *HTTP) Events(addr string, afterSeq int64, opt httpcall.Options) (Events, error) {
	var out Events
	uri := "/v1/events?after=" + strconv.FormatInt(afterSeq, 10)
	err := h.calls.JSON(addr, "GET", uri, nil, &out, opt)
	return out, err
}

// Order implements Client.
func (h *HTTP) Order(addr string, order Order, opt httpcall.Options) (OrderReply, error) {
	var out OrderReply
	err := h.calls.JSON(addr, "POST", "/v1/orders", order, &out, opt)
	var e *httpcall.Error
	if errors.As(err, &e) && e.Status == 409 {
		var fenced FencedBody
		if json.Unmarshal([]byte(e.Body), &fenced) == nil {
			return OrderReply{}, &FencedError{FencingToken: fenced.FencingToken}
		}
	}
	return out, err
}

// Orders implements Client.
func (h *HTTP) Orders(addr string, opt httpcall.Options) ([]Order, error) {
	var out OrdersBody
	err := h.calls.JSON(addr, "GET", "/v1/orders", nil, &out, opt)
	return out.Applied, err
}
