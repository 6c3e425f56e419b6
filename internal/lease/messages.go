package lease

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Action is an output of Core.Step, to be performed by the shell.
type Action interface{ isAction() }

// Tick advances the time. Send one at least every 100 ms.
type Tick struct{}

// RosterRead is the service's reply to ReadRoster, or a notification of its watch.
type RosterRead struct {
	Revision uint64 `json:"revision"`
	Roster   Roster `json:"roster"`
}

// RosterMissing is the service's reply to ReadRoster when no record exists.
type RosterMissing struct{}

// CASOutcome is the result of a compare-and-swap.
type CASOutcome string

// The outcomes of a compare-and-swap. After CASUnknown the roster is read back.
const (
	CASOK       CASOutcome = "ok"
	CASConflict CASOutcome = "conflict"
	CASUnknown  CASOutcome = "unknown"
)

// CASResult is the service's reply to WriteRoster.
type CASResult struct {
	Outcome  CASOutcome `json:"outcome"`
	Revision uint64     `json:"revision"`
	// Version is the version of the roster in the write.
	Version uint64 `json:"version"`
}

// ServiceDown reports a failed read.
type ServiceDown struct{}

// Candidates lists the instances that membership considers alive and not leaving.
// It may omit this one.
type Candidates struct {
	Alive []Member `json:"alive"`
}

// Gone reports instances that have ended permanently: the platform destroyed their
// VMs, or an operator declared them gone. It is never inferred from missing replies.
type Gone struct {
	Instances []ident.Instance `json:"instances"`
}

// PromiseAsked delivers the request of a peer's AskPromise.
type PromiseAsked struct {
	Request PromiseRequest `json:"ask"`
}

// PromiseGiven delivers the reply of a peer's GivePromise.
type PromiseGiven struct {
	Reply PromiseReply `json:"answer"`
}

// PeerRoster is a roster received from a peer other than in a PromiseReply.
type PeerRoster struct {
	Roster Roster `json:"roster"`
}

// Leave starts the graceful hand-over before a planned shutdown.
type Leave struct{}

// PromiseRequest requests a promise from a member, and a newer roster from any peer.
type PromiseRequest struct {
	From ident.Instance `json:"from"`
	// Addr is the requester's address.
	Addr string `json:"addr"`
	// SentAt is the time of the request on the requester's clock. The reply echoes it.
	SentAt  time.Duration `json:"sent_ns"`
	Version uint64        `json:"version"`
	// Roster is the requester's roster, set if the peer may not have it.
	Roster *Roster `json:"roster,omitempty"`
	// Leaving is set when the requester is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	From ident.Instance `json:"from"`
	To   ident.Instance `json:"to"`
	// SentAt echoes the request's SentAt.
	SentAt  time.Duration `json:"sent_ns"`
	Version uint64        `json:"version"`
	// Granted is set when the promise is made under Version.
	Granted bool `json:"granted,omitempty"`
	// Remaining is, for each instance in the roster's Prev, how long the promises
	// made to it under older versions remain valid.
	Remaining []time.Duration `json:"remaining_ns,omitempty"`
	// Unresponsive lists the members that do not answer the replier's requests.
	Unresponsive []ident.Instance `json:"silent,omitempty"`
	// Roster is the replier's roster, set if the requester's is older.
	Roster *Roster `json:"roster,omitempty"`
}

// ReadRoster tells the shell to read the record. RosterRead, RosterMissing or
// ServiceDown follows.
type ReadRoster struct{}

// WriteRoster tells the shell to write the record by compare-and-swap. CASResult
// follows.
type WriteRoster struct {
	Roster Roster `json:"roster"`
	// Expect is the revision that the record must have. 0 creates it.
	Expect uint64 `json:"expect"`
}

// AskPromise tells the shell to send a PromiseRequest. The peer's reply comes back as
// PromiseGiven. A lost message need not be reported.
type AskPromise struct {
	To      ident.Instance `json:"to"`
	Addr    string         `json:"addr"`
	Request PromiseRequest `json:"ask"`
}

// GivePromise tells the shell to send a PromiseReply.
type GivePromise struct {
	To    ident.Instance `json:"to"`
	Addr  string         `json:"addr"`
	Reply PromiseReply   `json:"answer"`
}

// Gained reports that this instance now holds a slot. Check Holds again before each
// use of the slot.
type Gained struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// Lost reports that this instance no longer holds a slot.
type Lost struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// RosterChanged reports that this instance adopted a newer roster, so that holders
// can be looked up in it.
type RosterChanged struct {
	Roster Roster `json:"roster"`
}

// Left reports that the graceful hand-over is complete.
type Left struct{}

func (Tick) isEvent()          {}
func (RosterRead) isEvent()    {}
func (RosterMissing) isEvent() {}
func (CASResult) isEvent()     {}
func (ServiceDown) isEvent()   {}
func (Candidates) isEvent()    {}
func (Gone) isEvent()          {}
func (PromiseAsked) isEvent()  {}
func (PromiseGiven) isEvent()  {}
func (PeerRoster) isEvent()    {}
func (Leave) isEvent()         {}

func (ReadRoster) isAction()    {}
func (WriteRoster) isAction()   {}
func (AskPromise) isAction()    {}
func (GivePromise) isAction()   {}
func (Gained) isAction()        {}
func (Lost) isAction()          {}
func (RosterChanged) isAction() {}
func (Left) isAction()          {}
