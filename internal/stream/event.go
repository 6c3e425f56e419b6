package stream

import (
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Stage is one backend server's part of a pipeline: the layers [From, To).
type Stage struct {
	From   int                 `json:"from"`
	To     int                 `json:"to"`
	Server ident.BackendServer `json:"server"`
}

// startMark stands between a request's name and the number of its start, in the
// name that a stream has at the engines.
const startMark = "~"

// RequestOf is the request that a stream's name at the engines belongs to.
func RequestOf(name string) string {
	request, _, _ := strings.Cut(name, startMark)
	return request
}

// Event is an input of the Table.
type Event interface{ isEvent() }

// Open starts a stream. Request must be unique in the life of the Table; one
// that is open already is ignored and counted.
type Open struct {
	Request string        `json:"request"`
	Model   ident.Service `json:"model"`
	// Prompt is the data of token 0, in the form that the engine wants. Tokens
	// of the answer may be appended to it (WayPrefill).
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority"`
	// Deadline is the process time by which the answer must be whole; 0 sets
	// none.
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

// FailureKind says what is known about a step without an answer.
type FailureKind string

// The kinds.
const (
	// FailureNotSent: no byte reached the backend server.
	FailureNotSent FailureKind = "not-sent"
	// FailureLost: the step may have run; its reply is lost.
	FailureLost FailureKind = "lost"
	// FailurePosition: not run; the stage's cache is at StepFailed.Position.
	FailurePosition FailureKind = "position"
	// FailureLeaving: not run; the backend server is leaving.
	FailureLeaving FailureKind = "leaving"
	// FailureRefused: not run, for a reason that a repeat won't change.
	FailureRefused FailureKind = "refused"
	// FailureFull: not run; the backend server has no room.
	FailureFull FailureKind = "full"
)

// StepFailed says that a step got no answer, or was not run.
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

// Replacement answers WantReplacement. An empty Server says that there is none
// at present.
type Replacement struct {
	Stream string              `json:"stream"`
	Stage  int                 `json:"stage"`
	Server ident.BackendServer `json:"server"`
}

// ExportDone brings a stage's KV cache, which holds the tokens below Position.
type ExportDone struct {
	Stream   string `json:"stream"`
	Stage    int    `json:"stage"`
	Attempt  uint32 `json:"attempt"`
	Position int    `json:"position"`
	Blob     string `json:"blob"`
}

// ExportFailed says that an export brought nothing.
type ExportFailed struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// ImportDone says that a replacement holds the imported cache.
type ImportDone struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// ImportFailed says that a replacement could not import the cache.
type ImportFailed struct {
	Stream  string `json:"stream"`
	Stage   int    `json:"stage"`
	Attempt uint32 `json:"attempt"`
}

// Cancel says that the caller of a request is gone.
type Cancel struct {
	Request string `json:"request"`
}

// Heard is a sign of life of a backend server outside the steps, for example a
// load report that it gave on a connection of this entry's.
type Heard struct {
	Server ident.BackendServer `json:"server"`
}

// Tick lets time pass; the shell sends one every few tens of milliseconds.
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
