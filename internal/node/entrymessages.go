package node

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Event is one of the types that EntryEvents lists.
type Event any

// Action is one of the slices' actions, or of the actions declared here.
type Action any

// Tick lets time pass in every slice. The shell sends one every 10 ms.
type Tick struct{}

// Snapshot brings what the control process knows: accepted limits, entries,
// backend servers, holders of slots. Absent sections are as before.
type Snapshot struct {
	Reply peer.SnapshotReply `json:"reply"`
}

// AddressesAsked is a caller's question which addresses to use.
type AddressesAsked struct {
	Request string     `json:"request"`
	Team    ident.Team `json:"team"`
}

// CompletionAsked is a caller's request for an answer of a model. Request is
// unique in the life of the process.
type CompletionAsked struct {
	Request   string        `json:"request"`
	Team      ident.Team    `json:"team"`
	Model     ident.Service `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	// Prefixes of the prompt that an engine may hold in its cache, the longest
	// first.
	Prefixes []routing.Prefix `json:"prefixes,omitempty"`
	Seed     int64            `json:"seed"`
	Priority int              `json:"priority"`
	// Deadline is the process time by which the answer must be whole.
	Deadline time.Duration `json:"deadline_ns"`
}

// CallerGone says that nobody waits for a completion any more.
type CallerGone struct {
	Request string `json:"request"`
}

// AddressesAnswered is the answer to AddressesAsked.
type AddressesAnswered struct {
	Request   string                `json:"request"`
	Addresses entrylist.AddressList `json:"answer"`
}

// Refused is the final answer to a completion that never started.
type Refused struct {
	Request string          `json:"request"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Observed tells the control process what a backend server did.
type Observed struct {
	Observation peer.BackendObservation `json:"observation"`
}

// EntryEvents has a sample of every event that an Entry takes.
func EntryEvents() []any {
	return []any{
		Tick{}, Snapshot{}, AddressesAsked{}, CompletionAsked{}, CallerGone{},
		stream.StepDone{}, stream.StepFailed{}, stream.ExportDone{}, stream.ExportFailed{},
		stream.ImportDone{}, stream.ImportFailed{},
		routing.Load{}, routing.Link{}, routing.CacheEvent{}, routing.Leaving{},
		call.Request{}, call.SendEnded{}, call.HomeClock{}, call.HomeReply{}, call.HomeUnreachable{},
		call.HomeGone{}, call.ClaimEnded{}, call.OutcomeRecorded{}, call.RevisionSeen{}, call.CallerGone{},
		limits.LoanReceived{},
		entrylist.GrantAsked{}, entrylist.GrantGiven{}, entrylist.Drain{},
		admission.Credit{},
	}
}
