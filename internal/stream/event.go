package stream

import (
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Stage is one backend server of a pipeline with its layers [From, To).
type Stage struct {
	From   int                 `json:"from"`
	To     int                 `json:"to"`
	Server ident.BackendServer `json:"server"`
}

// restartSeparator separates the request from the restart number in a stream's name at the
// engines.
const restartSeparator = "~"

// RequestOf returns the request that a stream's name at the engines belongs to.
func RequestOf(name string) string {
	request, _, _ := strings.Cut(name, restartSeparator)
	return request
}

// Event is an input of a Table.
type Event interface{ isEvent() }

// Open starts a stream. Request must be unique during the lifetime of the Table; an Open
// for a request that is already open is ignored and counted.
type Open struct {
	Request string        `json:"request"`
	Model   ident.Service `json:"model"`
	// Prompt is the data of token 0, in the engine's format. Tokens of the answer may be
	// appended to it (ResumePrefill).
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority"`
	// Deadline is the process time by which the answer must be complete; 0 means no
	// deadline.
	Deadline time.Duration `json:"deadline_ns"`
	// Layers is the model's number of layers; Pipeline must cover [0, Layers)
	// exactly once and in order.
	Layers   int     `json:"layers"`
	Pipeline []Stage `json:"pipeline"`
}

// StepDone is an engine's answer to a step that ran.
type StepDone struct {
	Stream  string              `json:"stream"`
	Server  ident.BackendServer `json:"server"`
	Attempt uint32              `json:"attempt"`
	Token   int                 `json:"token"`
	From    int                 `json:"from"`
	To      int                 `json:"to"`
	Data    string              `json:"data"`
	EOS     bool                `json:"eos"`
}

// FailureKind is the reason why a step has no answer.
type FailureKind string

// The kinds of failure.
const (
	// FailureNotSent: no byte reached the backend server.
	FailureNotSent FailureKind = "not-sent"
	// FailureLost: the step may have run; its reply is lost.
	FailureLost FailureKind = "lost"
	// FailurePosition: not run; the stage's cache is at StepFailed.Position.
	FailurePosition FailureKind = "position"
	// FailureLeaving: not run; the backend server is leaving.
	FailureLeaving FailureKind = "leaving"
	// FailureRefused: not run, for a reason that a retry does not change.
	FailureRefused FailureKind = "refused"
	// FailureFull: not run; the backend server has no free capacity.
	FailureFull FailureKind = "full"
)

// StepFailed reports that a step was not run or that its answer was lost.
type StepFailed struct {
	Stream   string              `json:"stream"`
	Server   ident.BackendServer `json:"server"`
	Attempt  uint32              `json:"attempt"`
	Token    int                 `json:"token"`
	From     int                 `json:"from"`
	To       int                 `json:"to"`
	Kind     FailureKind         `json:"kind"`
	Position int                 `json:"position,omitempty"`
}

// Replacement answers WantReplacement. An empty Server means that none is available at
// present.
type Replacement struct {
	Stream string              `json:"stream"`
	Stage  int                 `json:"stage"`
	Server ident.BackendServer `json:"server"`
}

// ExportDone carries a stage's exported KV cache, which holds the tokens below Position.
type ExportDone struct {
	Stream   string `json:"stream"`
	Stage    int    `json:"stage"`
	Attempt  uint32 `json:"attempt"`
	Position int    `json:"position"`
	Blob     string `json:"blob"`
}

// ExportFailed reports that an export returned no cache.
type ExportFailed struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// ImportDone reports that a replacement has imported the cache.
type ImportDone struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// ImportFailed reports that a replacement could not import the cache.
type ImportFailed struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// Cancel reports that the caller of a request has disconnected.
type Cancel struct {
	Request string `json:"request"`
}

// Heard reports that a backend server is alive, independently of any step, for example
// because it sent a load report on one of this entry's connections.
type Heard struct {
	Server ident.BackendServer `json:"server"`
}

// Tick reports that time has passed; the shell sends one every few tens of milliseconds.
type Tick struct{}

func (Open) isEvent()         {}
func (StepDone) isEvent()     {}
func (StepFailed) isEvent()   {}
func (Replacement) isEvent()  {}
func (ExportDone) isEvent()   {}
func (ExportFailed) isEvent() {}
func (ImportDone) isEvent()   {}
func (ImportFailed) isEvent() {}
func (Cancel) isEvent()       {}
func (Heard) isEvent()        {}
func (Tick) isEvent()         {}
