package engine

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Step requests the computation of one token of one stream in the layers [From, To).
type Step struct {
	Stream string `json:"stream"`
	// Attempt is the number of the stream's attempt; a later one replaces it.
	Attempt int `json:"attempt"`
	// Token is the index of the token. Index 0 is the prefill of the prompt and
	// produces the first token.
	Token int `json:"token"`
	From  int `json:"from"`
	To    int `json:"to"`
	// Priority orders waiting steps, higher numbers first.
	Priority int `json:"priority"`
	// Data is the output of the previous stage. For the first stage it is the
	// prefill data (token 0) or the text of the previous token.
	Data string `json:"data"`
}

// Result is the result of one Step. Stream, Attempt, Token, From and To are copied from
// the step.
type Result struct {
	Stream  string `json:"stream"`
	Attempt int    `json:"attempt"`
	Token   int    `json:"token"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	// Data is the activation for the next stage. From the last stage it is the
	// token's text.
	Data string `json:"data"`
	// EOS is set by the last stage on the model's last token.
	EOS bool `json:"eos,omitempty"`
	// Error is empty if the step ran, otherwise one of the codes below.
	Error string `json:"error,omitempty"`
}

// Error codes of a Result. A step with any of them did not run.
const (
	ErrorLeaving = "not_run:leaving"
	ErrorFull    = "not_run:full"
	// ErrorCancelled means that the stream was cancelled while the step waited.
	ErrorCancelled = "not_run:cancelled"
	// ErrorStale means that a later attempt has replaced the step's attempt.
	ErrorStale = "not_run:stale-attempt"
	// ErrorPositionPrefix is followed by the token index that the stage's KV cache
	// expects next.
	ErrorPositionPrefix = "position:"
)

// NotRun reports whether the engine reported that the step did not run.
func (r Result) NotRun() bool {
	return strings.HasPrefix(r.Error, "not_run:") || strings.HasPrefix(r.Error, ErrorPositionPrefix)
}

// Position returns the token index that the stage expects, if the step failed because
// it was out of order.
func (r Result) Position() (token int, ok bool) {
	text, found := strings.CutPrefix(r.Error, ErrorPositionPrefix)
	if !found {
		return 0, false
	}
	token, err := strconv.Atoi(text)
	return token, err == nil
}

// Load is an engine's report of its own load. It lags behind the actual load.
type Load struct {
	// Running and Waiting are the numbers of steps in the current batch and in the
	// run queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Capacity is the maximum number of steps in one batch.
	Capacity int `json:"capacity"`
	// KVUsed is the number of streams that the stage holds a KV cache for.
	KVUsed int `json:"kv_used"`
	// MeasuredAtMillis is the time of measurement by the engine's wall clock, in
	// Unix milliseconds.
	MeasuredAtMillis int64 `json:"measured_at_ms"`
}

// StepsReply holds the results of a batch of steps, in the order of the batch.
type StepsReply struct {
	Results []Result `json:"results"`
	Load    Load     `json:"load"`
}

// KVCache is the exported KV cache of one stream at one stage.
type KVCache struct {
	// Blob is the encoded KV cache, in a format that only engines read.
	Blob string `json:"blob"`
	// Position is the index of the next token.
	Position int `json:"position"`
}

// CacheEvent reports that a prompt prefix was added to an engine's cache or removed
// from it. Events arrive late and some are missing.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is one of the values of PrefixHashes.
	PrefixHash string `json:"prefix_hash"`
	Added      bool   `json:"added"`
}

// Events is the reply to a poll for cache events.
type Events struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to poll after next.
	Next int64 `json:"next"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs an engine to load or unload a version or to change its role.
type Order struct {
	OrderID string `json:"order_id"`
	// FencingToken is the fencing token of the sender's lease.
	FencingToken int64         `json:"fence"`
	Kind         OrderKind     `json:"kind"`
	Service      ident.Service `json:"service"`
	Version      string        `json:"version,omitempty"`
	Role         string        `json:"role,omitempty"`
}

// OrderReply is the reply to an order that was not refused.
type OrderReply struct {
	// Applied is false if an order with the same ID was applied before.
	Applied      bool  `json:"applied"`
	FencingToken int64 `json:"fence"`
}

// FencedError means that the order was not applied because the engine has received a
// higher fencing token.
type FencedError struct {
	// FencingToken is the highest token that the engine has received.
	FencingToken int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return "order refused: the engine has received fencing token " + strconv.FormatInt(e.FencingToken, 10)
}

// Client calls engines. Each method makes one call to the engine at addr ("ip:port")
// and never retries it. Transport errors are *httpcall.Error; httpcall.SentOf tells
// whether the engine can have received the request.
type Client interface {
	// Steps runs a batch. For a step that the engine has already run, it returns the
	// stored result, so retrying a batch with the same attempt is safe.
	Steps(addr string, steps []Step, opt httpcall.Options) (StepsReply, error)
	// Cancel removes a stream, unless its attempt is later than the given one.
	Cancel(addr, stream string, attempt int, opt httpcall.Options) error
	// Export reads a stream's KV cache.
	Export(addr, stream string, opt httpcall.Options) (KVCache, error)
	// Import loads a stream's KV cache into a stage for a new attempt.
	Import(addr, stream string, attempt int, blob string, opt httpcall.Options) error
	// Load reads the engine's load.
	Load(addr string, opt httpcall.Options) (Load, error)
	// Events returns the cache events with a sequence number above afterSeq.
	Events(addr string, afterSeq int64, opt httpcall.Options) (Events, error)
	// Order sends an order. It returns a *FencedError if the order's fencing token
	// is too old.
	Order(addr string, order Order, opt httpcall.Options) (OrderReply, error)
	// Orders lists the applied orders, oldest first.
	Orders(addr string, opt httpcall.Options) ([]Order, error)
}

// ErrMismatch means that a reply does not match its batch.
var ErrMismatch = errors.New("engine reply does not match the batch of steps")
