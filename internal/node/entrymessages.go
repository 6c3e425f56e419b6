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

// Event is an event of one of the combined packages, or one declared here.
type Event any

// Action is an action of one of the combined packages, or one declared here.
type Action any

// Tick advances the time of every component. The shell sends one every 10 ms.
type Tick struct{}

// Snapshot carries the control process's state: accepted limits, entry VMs, backend
// servers and slot holders. Absent sections are unchanged.
type Snapshot struct {
	Reply peer.SnapshotReply `json:"reply"`
}

// AddressesAsked is a caller's request for entry addresses.
type AddressesAsked struct {
	Request string     `json:"request"`
	Team    ident.Team `json:"team"`
}

// CompletionAsked is a caller's request for a model completion. Request is unique within
// one incarnation of the process.
type CompletionAsked struct {
	Request   string        `json:"request"`
	Team      ident.Team    `json:"team"`
	Model     ident.Service `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	// Prefixes of the prompt that an engine may have cached, longest first.
	Prefixes []routing.Prefix `json:"prefixes,omitempty"`
	Seed     int64            `json:"seed"`
	Priority int              `json:"priority"`
	// Deadline is the process time by which the completion must be finished.
	Deadline time.Duration `json:"deadline_ns"`
}

// CallerGone reports that the caller of a completion has disconnected.
type CallerGone struct {
	Request string `json:"request"`
}

// AddressesAnswered answers AddressesAsked.
type AddressesAnswered struct {
	Request string                `json:"request"`
	List    entrylist.AddressList `json:"answer"`
}

// Refused ends a completion that never started.
type Refused struct {
	Request string          `json:"request"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Observed reports a failing or leaving backend server to the control process.
type Observed struct {
	Observation peer.BackendObservation `json:"observation"`
}

// EntryEvents returns a zero value of every event type that a shell sends to an Entry.
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
