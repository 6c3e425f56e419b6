package lease

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Event is what a Core takes in.
type Event interface{ isEvent() }

// Action is what a Core gives out.
type Action interface{ isAction() }

// Tick says that time has passed. Hand one in at least every 100 ms.
type Tick struct{}

// RosterRead is the service's answer to ReadRoster, or a notice of its watch.
type RosterRead struct {
	Revision uint64 `json:"revision"`
	Roster   Roster `json:"roster"`
}

// RosterMissing is the service's answer to ReadRoster where no record exists.
type RosterMissing struct{}

// CASOutcome says what became of a write.
type CASOutcome string

// The outcomes of a write. After CASUnknown the roster is read back.
const (
	CASOK       CASOutcome = "ok"
	CASConflict CASOutcome = "conflict"
	CASUnknown  CASOutcome = "unknown"
)

// CASResult is the service's answer to WriteRoster.
type CASResult struct {
	Outcome  CASOutcome `json:"outcome"`
	Revision uint64     `json:"revision"`
	// Version is the version of the roster that was to be written.
	Version uint64 `json:"version"`
}

// ServiceDown says that a read failed.
type ServiceDown struct{}

// Candidates lists the instances that the membership counts as alive and that
// are not leaving, this one included or not.
type Candidates struct {
	Alive []Member `json:"alive"`
}

// Gone says that instances have ended for good: the platform destroyed their
// VMs, or an operator says so. It is never deduced from silence.
type Gone struct {
	Instances []ident.Instance `json:"instances"`
}

// PromiseAsked is a peer's ask; it arrives as AskPromise gave it out.
type PromiseAsked struct {
	Request PromiseRequest `json:"ask"`
}

// PromiseGiven is a peer's answer; it arrives as GivePromise gave it out.
type PromiseGiven struct {
	Reply PromiseReply `json:"answer"`
}

// PeerRoster is a roster learned from a peer by another way than an answer.
type PeerRoster struct {
	Roster Roster `json:"roster"`
}

// Leave starts the graceful hand-over before a planned stop.
type Leave struct{}

// Ask asks a member for its promise, and any peer for a newer roster.
type PromiseRequest struct {
	From ident.Instance `json:"from"`
	// Addr is the asker's address.
	Addr string `json:"addr"`
	// Sent is the moment of asking on the asker's clock; the answer echoes it.
	SentAt  time.Duration `json:"sent_ns"`
	Version uint64        `json:"version"`
	// Roster is the asker's roster, where the peer may lack it.
	Roster *Roster `json:"roster,omitempty"`
	// Leaving says that the asker is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Answer answers an Ask.
type PromiseReply struct {
	From ident.Instance `json:"from"`
	To   ident.Instance `json:"to"`
	// Sent echoes the ask's Sent.
	SentAt  time.Duration `json:"sent_ns"`
	Version uint64        `json:"version"`
	// Granted says that the promise is given under Version.
	Granted bool `json:"granted,omitempty"`
	// Remaining tells, for each instance in the roster's Prev, how long the
	// promises that were given to it under older versions still last.
	Remaining []time.Duration `json:"remaining_ns,omitempty"`
	// Silent names the members that leave the answerer's asks unanswered.
	Unresponsive []ident.Instance `json:"silent,omitempty"`
	// Roster is the answerer's roster, where the asker's is older.
	Roster *Roster `json:"roster,omitempty"`
}

// ReadRoster asks the shell to read the record. It is answered by RosterRead,
// RosterMissing or ServiceDown.
type ReadRoster struct{}

// WriteRoster asks the shell to write the record by compare-and-swap. It is
// answered by CASResult.
type WriteRoster struct {
	Roster Roster `json:"roster"`
	// Expect is the revision that the record must have; 0 creates it.
	Expect uint64 `json:"expect"`
}

// AskPromise asks the shell to send an Ask; the peer's answer comes back as
// PromiseGiven. A lost message needs no notice.
type AskPromise struct {
	To      ident.Instance `json:"to"`
	Addr    string         `json:"addr"`
	Request PromiseRequest `json:"ask"`
}

// GivePromise asks the shell to send an Answer to an ask.
type GivePromise struct {
	To    ident.Instance `json:"to"`
	Addr  string         `json:"addr"`
	Reply PromiseReply   `json:"answer"`
}

// Gained says that this instance began to hold a slot. Holds stays the
// authority at the moment of acting.
type Gained struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// Lost says that this instance no longer holds a slot.
type Lost struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// RosterChanged says that this instance adopted a newer roster, for those who
// look up holders.
type RosterChanged struct {
	Roster Roster `json:"roster"`
}

// Left says that the graceful hand-over is complete.
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
