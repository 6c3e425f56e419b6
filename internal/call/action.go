package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Action is an output of Core.
type Action interface{ isAction() }

// PickReplica asks for a replica of the service. On the first try of a request the shell
// also applies limits and queues.
type PickReplica struct {
	ID      RequestID     `json:"id"`
	Try     int           `json:"try"`
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Exclude lists the replicas that were already tried.
	Exclude  []ident.BackendServer `json:"exclude,omitempty"`
	Deadline time.Duration         `json:"deadline_ns"`
}

// Release returns a picked replica that will not be used.
type Release struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
}

// Send sends the request to a replica. SendEnded reports the result.
type Send struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
	// ReuseWithin is the maximum time since the last answer on a reused connection.
	// Zero requires a new connection, AnyConnection allows every open one.
	ReuseWithin time.Duration `json:"reuse_within_ns"`
	Deadline    time.Duration `json:"deadline_ns"`
}

// AnyConnection allows every open connection.
const AnyConnection time.Duration = -1

// CancelSend cancels a send whose reply is no longer needed. No SendEnded has to follow.
type CancelSend struct {
	ID  RequestID `json:"id"`
	Try int       `json:"try"`
}

// AskClock requests the current time of a home's clock.
type AskClock struct {
	Home ident.Instance `json:"home"`
}

// ForwardHome forwards a request to the home of its key, which receives it as a Request
// with Forwarded set.
type ForwardHome struct {
	ID   RequestID      `json:"id"`
	Home ident.Instance `json:"home"`
	// AcceptedAt is copied to Forwarded.AcceptedAt.
	AcceptedAt time.Duration `json:"accepted_ns"`
	// NewConnection is set if an earlier try got no answer.
	NewConnection bool          `json:"new_connection,omitempty"`
	Deadline      time.Duration `json:"deadline_ns"`
}

// Claim writes Record under the key if the key's revision is still Expect; zero means
// that no record may exist.
type Claim struct {
	ID               RequestID  `json:"id"`
	Key              string     `json:"key"`
	Team             ident.Team `json:"team"`
	Record           Record     `json:"record"`
	ExpectedRevision uint64     `json:"expect"`
}

// RecordOutcome replaces the record of a claimed key if its revision is still Expect.
type RecordOutcome struct {
	ID               RequestID  `json:"id"`
	Key              string     `json:"key"`
	Team             ident.Team `json:"team"`
	Record           Record     `json:"record"`
	ExpectedRevision uint64     `json:"expect"`
}

// Answer is the final answer to a request: a reply of the service.
type Answer struct {
	ID     RequestID `json:"id"`
	Status int       `json:"status"`
	Body   BodyRef   `json:"body"`
	// Stored is set if the reply was recorded for an earlier attempt with the same key.
	Stored bool `json:"stored,omitempty"`
}

// Refuse is the final answer to a request that got no reply.
type Refuse struct {
	ID      RequestID       `json:"id"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Restamp answers a forwarded request whose AcceptedAt lies in this home's future. The
// forwarding entry must read the clock again.
type Restamp struct {
	ID RequestID `json:"id"`
}

// DropBody tells the shell that a body is no longer needed.
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
