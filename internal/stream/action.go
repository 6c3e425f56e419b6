package stream

import (
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Action is an output of a Table, to be executed by the shell.
type Action interface{ isAction() }

// SendStep asks the shell to send one step to an engine.
type SendStep struct {
	Stream   string              `json:"stream"`
	Attempt  uint32              `json:"attempt"`
	Token    int                 `json:"token"`
	From     int                 `json:"from"`
	To       int                 `json:"to"`
	Server   ident.BackendServer `json:"server"`
	Data     string              `json:"data"`
	Seed     uint64              `json:"seed"`
	Priority int                 `json:"priority"`
	// NewConnection requires a connection that has carried nothing yet: the step was sent
	// before and its reply was lost.
	NewConnection bool `json:"new_connection,omitempty"`
}

// EmitToken sends the caller its next token. Index counts up from 0.
type EmitToken struct {
	Request string `json:"request"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

// FinishReason is the reason why an answer is complete.
type FinishReason string

// The finish reasons.
const (
	// FinishStop: the model ended the answer.
	FinishStop FinishReason = "stop"
	// FinishLength: the answer has Open.MaxTokens tokens.
	FinishLength FinishReason = "length"
)

// Finish ends a request whose answer is complete.
type Finish struct {
	Request string       `json:"request"`
	Reason  FinishReason `json:"reason"`
	Tokens  int          `json:"tokens"`
}

// Cut ends a request without a complete answer.
type Cut struct {
	Request string          `json:"request"`
	Refusal verdict.Refusal `json:"refusal"`
}

// WantReplacement asks routing for another backend server for a layer range.
// The shell answers with Replacement.
type WantReplacement struct {
	Request string                `json:"request"`
	Stream  string                `json:"stream"`
	Stage   int                   `json:"stage"`
	Model   ident.Service         `json:"model"`
	From    int                   `json:"from"`
	To      int                   `json:"to"`
	Exclude []ident.BackendServer `json:"exclude"`
}

// Export requests a stage's KV cache. The shell answers with ExportDone or ExportFailed.
type Export struct {
	Stream  string              `json:"stream"`
	Stage   int                 `json:"stage"`
	Attempt uint32              `json:"attempt"`
	Server  ident.BackendServer `json:"server"`
}

// Import sends a KV cache to a replacement. The shell answers with ImportDone or
// ImportFailed.
type Import struct {
	Stream  string              `json:"stream"`
	Stage   int                 `json:"stage"`
	Attempt uint32              `json:"attempt"`
	Server  ident.BackendServer `json:"server"`
	Blob    string              `json:"blob"`
}

// CancelAt releases what a backend server holds for a stream. It has no answer.
type CancelAt struct {
	Server  ident.BackendServer `json:"server"`
	Stream  string              `json:"stream"`
	Attempt uint32              `json:"attempt"`
}

func (SendStep) isAction()        {}
func (EmitToken) isAction()       {}
func (Finish) isAction()          {}
func (Cut) isAction()             {}
func (WantReplacement) isAction() {}
func (Export) isAction()          {}
func (Import) isAction()          {}
func (CancelAt) isAction()        {}
