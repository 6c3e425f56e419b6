// Package engine is the adapter to model engines. One engine holds a range of
// a model's layers for many streams; the router drives every token of a stream
// through the stages by steps.
package engine

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Step asks for one token of one stream to pass layers [From, To).
type Step struct {
	Stream  string `json:"stream"`
	Attempt int    `json:"attempt"`
	// Token is the index of the token; index 0 is the prefill of the whole
	// prompt and yields the first token.
	Token    int `json:"token"`
	From     int `json:"from"`
	To       int `json:"to"`
	Priority int `json:"priority"`
	// Data is the output of the previous stage; for the first stage the
	// prefill data (token 0) or the text of the previous token.
	Data string `json:"data"`
}

// Result answers one Step. Stream, Attempt, Token, From and To repeat it.
type Result struct {
	Stream  string `json:"stream"`
	Attempt int    `json:"attempt"`
	Token   int    `json:"token"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Data is the activation for the next stage, from the last stage the
	// token's text.
	Data string `json:"data"`
	// EOS is set by the last stage with the model's last token.
	EOS bool `json:"eos,omitempty"`
	// Error is empty for a step that ran, otherwise one of the codes below.
	Error string `json:"error,omitempty"`
}

// Error codes of a Result. A step with any of them did not run.
const (
	ErrorLeaving = "not_run:leaving"
	ErrorFull    = "not_run:full"
	// ErrorCancelled answers a step whose stream was cancelled while it waited.
	ErrorCancelled = "not_run:cancelled"
	// ErrorStale answers a step of an attempt that a later one has replaced.
	ErrorStale = "not_run:stale-attempt"
	// ErrorPositionPrefix is followed by the token index that the stage's
	// cache expects next.
	ErrorPositionPrefix = "position:"
)

// NotRun says whether the engine itself says that the step did not run.
func (r Result) NotRun() bool {
	return strings.HasPrefix(r.Error, "not_run:") || strings.HasPrefix(r.Error, ErrorPositionPrefix)
}

// Position returns the token index that the stage expects, if the step was out
// of order.
func (r Result) Position() (token int, ok bool) {
	text, found := strings.CutPrefix(r.Error, ErrorPositionPrefix)
	if !found {
		return 0, false
	}
	token, err := strconv.Atoi(text)
	return token, err == nil
}

// Load is what an engine reports of itself; it lags.
type Load struct {
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// KVUsed is the number of streams with state in the stage's cache.
	KVUsed int `json:"kv_used"`
	// MeasuredAtMillis is the engine's wall clock in Unix milliseconds.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
}

// StepsReply answers a batch of steps, in the order of the batch.
type StepsReply struct {
	Results []Result `json:"results"`
	Load    Load     `json:"load"`
}

// KVCache is the exported state of one stream at one stage.
type KVCache struct {
	// Blob is opaque.
	Blob string `json:"blob"`
	// Position is the token index that comes next.
	Position int `json:"position"`
}

// CacheEvent tells that a prompt prefix came into an engine's cache or left
// it. Events are late and some are missing.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is one of the values of PrefixHashes.
	PrefixHash string `json:"prefix_hash"`
	Added      bool   `json:"added"`
}

// Events answers a poll for cache events.
type Events struct {
	Events []CacheEvent `json:"events"`
	// Next is the number to poll after next time.
	Next int64 `json:"next"`
}

// OrderKind says what an order is about.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an engine to load or unload a version or to change its role.
type Order struct {
	OrderID string `json:"order_id"`
	// Fence is the fencing number of the giver's lease.
	FencingToken int64         `json:"fence"`
	Kind         OrderKind     `json:"kind"`
	Service      ident.Service `json:"service"`
	Version      string        `json:"version,omitempty"`
	Role         string        `json:"role,omitempty"`
}

// OrderReply answers an order.
type OrderReply struct {
	// Applied is false when an order with the same id had been applied before.
	Applied      bool  `json:"applied"`
	FencingToken int64 `json:"fence"`
}

// FencedError says that the engine has seen a higher fencing number; the order
// was not applied.
type FencedError struct {
	// Fence is the highest number that the engine has seen.
	FencingToken int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return "order refused: engine has seen fencing number " + strconv.FormatInt(e.FencingToken, 10)
}

// Client is the engines. Each method is one call to one engine at addr
// ("ip:port"), never repeated. Transport errors are *httpcall.Error;
// httpcall.SentOf says whether the engine can have got the request.
type Client interface {
	// Steps runs a batch. Steps that the engine had run before answer with the
	// stored result, so repeating a batch with the same attempt is safe.
	Steps(addr string, steps []Step, opt httpcall.Options) (StepsReply, error)
	// Cancel forgets a stream whose attempt is at most the one given.
	Cancel(addr, stream string, attempt int, opt httpcall.Options) error
	// Export reads a stream's state.
	Export(addr, stream string, opt httpcall.Options) (KVCache, error)
	// Import puts a stream's state into a stage for a new attempt.
	Import(addr, stream string, attempt int, blob string, opt httpcall.Options) error
	// Load reads the engine's load.
	Load(addr string, opt httpcall.Options) (Load, error)
	// Events polls cache events after a number.
	Events(addr string, after int64, opt httpcall.Options) (Events, error)
	// Order gives an order; *FencedError when it carries an old number.
	Order(addr string, order Order, opt httpcall.Options) (OrderReply, error)
	// Orders reads back the applied orders, oldest first.
	Orders(addr string, opt httpcall.Options) ([]Order, error)
}

// ErrMismatch says that an answer does not match its batch.
var ErrMismatch = errors.New("engine answered another batch")
