package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Action is an output of Core.
type Action interface{ isAction() }

// PickReplica asks for a replica of the service. The first try of a request is
// also where it is admitted against limits and queues.
type PickReplica struct {
	ID      RequestID     `json:"id"`
	Try     int           `json:"try"`
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Exclude lists the replicas that were tried already.
	Exclude  []ident.BackendServer `json:"exclude,omitempty"`
	Deadline time.Duration         `json:"deadline_ns"`
}

// Release gives back a picked replica that is not going to be used.
type Release struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
}

// Send sends the request to a replica and reports by SendEnded.
type Send struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
	// ReuseWithin allows an open connection whose last answer is no older;
	// otherwise a new one is opened. Zero asks for a new one, AnyConnection
	// allows all.
	ReuseWithin time.Duration `json:"reuse_within_ns"`
	Deadline    time.Duration `json:"deadline_ns"`
}

// AnyConnection allows every open connection.
const AnyConnection time.Duration = -1

// CancelSend drops a send whose reply is of no use any more. No SendEnded is
// needed.
type CancelSend struct {
	ID  RequestID `json:"id"`
	Try int       `json:"try"`
}

// AskClock asks a home for its clock.
type AskClock struct {
	Home ident.Instance `json:"home"`
}

// ForwardHome forwards a request to the home of its key, which takes it as a
// Request with Forwarded set.
type ForwardHome struct {
	ID   RequestID      `json:"id"`
	Home ident.Instance `json:"home"`
	// Accepted goes into Forwarded.
	AcceptedAt time.Duration `json:"accepted_ns"`
	// NewConnection is set once an earlier forward went unanswered.
	NewConnection bool          `json:"new_connection,omitempty"`
	Deadline      time.Duration `json:"deadline_ns"`
}

// Claim writes Record under the key if the key's revision is still Expect; zero
// means that no record may be there.
type Claim struct {
	ID     RequestID  `json:"id"`
	Key    string     `json:"key"`
	Team   ident.Team `json:"team"`
	Record Record     `json:"record"`
	Expect uint64     `json:"expect"`
}

// RecordOutcome replaces the record of a claimed key.
type RecordOutcome struct {
	ID     RequestID  `json:"id"`
	Key    string     `json:"key"`
	Team   ident.Team `json:"team"`
	Record Record     `json:"record"`
	Expect uint64     `json:"expect"`
}

// Answer is the final answer: a reply of the service.
type Answer struct {
	ID     RequestID `json:"id"`
	Status int       `json:"status"`
	Body   BodyRef   `json:"body"`
	// Stored is set where an earlier attempt with the same key got the reply.
	Stored bool `json:"stored,omitempty"`
}

// Refuse is the final answer to a request that got no reply.
type Refuse struct {
	ID      RequestID       `json:"id"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Restamp answers a forwarded request whose time lies in this home's future:
// its entry must read the clock again.
type Restamp struct {
	ID RequestID `json:"id"`
}

// DropBody lets the shell forget a body.
type DropBody struct {
	Body BodyRef `json:"body"`
}

func (PickReplica) isAction()   {}
func (Release) isAction()       {}
func (Send) isAction()          {}
func (CancelSend) isAction()    {}
func (AskClock) isAction()      {}
func (ForwardHome) isAction()   {}
func (Claim) isAction()         {}
func (RecordOutcome) isAction() {}
func (Answer) isAction()        {}
func (Refuse) isAction()        {}
func (Restamp) isAction()       {}
func (DropBody) isAction()      {}
