package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// RequestID names one request within one process.
type RequestID uint64

// BodyRef names a response body that the shell keeps.
type BodyRef string

// Event is an input of Core.
type Event interface{ isEvent() }

// Request is a call that this entry accepted, from a caller or from another
// entry.
type Request struct {
	ID      RequestID     `json:"id"`
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Key is the caller's idempotency key, if any.
	Key string `json:"key,omitempty"`
	// BodyHash covers method, path and body, to tell a reused key.
	BodyHash uint64 `json:"body_hash"`
	// Idempotent calls may run any number of times; their key is not used.
	Idempotent bool `json:"idempotent"`
	// Deadline is when the caller's answer is due, on this process's clock.
	Deadline time.Duration `json:"deadline_ns"`
	// Forwarded is set on a request that another entry forwarded here.
	Forwarded *Forwarded `json:"forwarded,omitempty"`
}

// Forwarded says where a request was accepted first.
type Forwarded struct {
	From   ident.Instance `json:"from"`
	FromID RequestID      `json:"from_id"`
	// Accepted is a lower bound of this process's clock at the moment From
	// accepted the request.
	AcceptedAt time.Duration `json:"accepted_ns"`
}

// Picked answers PickReplica.
type Picked struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
}

// NonePicked answers PickReplica: the request is not admitted, or there is no
// replica. The refusal's verdict is NotRun.
type NonePicked struct {
	ID      RequestID       `json:"id"`
	Try     int             `json:"try"`
	Refusal verdict.Refusal `json:"refusal"`
}

// SendResult says how a Send ended.
type SendResult string

// The results of a send.
const (
	// ConnectFailed: no byte of the request was sent.
	ConnectFailed SendResult = "connect-failed"
	// NotRunByServer: the backend server said that it did not run the request.
	NotRunByServer SendResult = "not-run-by-server"
	// ReplyLost: bytes were sent and no whole reply came; it may have run.
	ReplyLost SendResult = "reply-lost"
	// Replied: a whole reply came, of whatever status.
	Replied SendResult = "replied"
)

// SendEnded answers Send.
type SendEnded struct {
	ID     RequestID  `json:"id"`
	Try    int        `json:"try"`
	Result SendResult `json:"result"`
	// Status, Body and Bytes describe a reply.
	Status int     `json:"status,omitempty"`
	Body   BodyRef `json:"body,omitempty"`
	Bytes  int     `json:"bytes,omitempty"`
}

// HomeClock answers AskClock with the home's clock.
type HomeClock struct {
	Home ident.Instance `json:"home"`
	Now  time.Duration  `json:"now_ns"`
}

// HomeReply answers ForwardHome.
type HomeReply struct {
	ID   RequestID      `json:"id"`
	Home ident.Instance `json:"home"`
	// HomeNow is the home's clock when it replied.
	HomeNow time.Duration `json:"home_now_ns"`
	// Restamp is set by a home that found the forward's time in its future.
	Restamp bool `json:"restamp,omitempty"`
	// Refusal is set where the home refused.
	Refusal *verdict.Refusal `json:"refusal,omitempty"`
	Status  int              `json:"status,omitempty"`
	Body    BodyRef          `json:"body,omitempty"`
}

// HomeUnreachable answers ForwardHome and AskClock: no reply came.
type HomeUnreachable struct {
	Home ident.Instance `json:"home"`
	// ID is zero in answer to AskClock.
	ID RequestID `json:"id"`
}

// HomeGone tells that a home's life is over: membership says so, or another
// incarnation answered at its address.
type HomeGone struct {
	Home ident.Instance `json:"home"`
}

// WriteResult says how a write to the key-value service ended.
type WriteResult string

// The results of a write.
const (
	// Written: the record is stored, at Revision.
	Written WriteResult = "written"
	// Exists: another record is there; Record and Revision show it.
	Exists WriteResult = "exists"
	// WriteUnknown: the write may have taken effect.
	WriteUnknown WriteResult = "unknown"
	// WriteDown: the write surely had no effect.
	WriteNotApplied WriteResult = "down"
)

// Written results of claims and outcomes carry the service's revision.

// ClaimEnded answers Claim.
type ClaimEnded struct {
	ID       RequestID   `json:"id"`
	Result   WriteResult `json:"result"`
	Record   Record      `json:"record"`
	Revision uint64      `json:"revision"`
}

// OutcomeRecorded answers RecordOutcome.
type OutcomeRecorded struct {
	ID       RequestID   `json:"id"`
	Result   WriteResult `json:"result"`
	Record   Record      `json:"record"`
	Revision uint64      `json:"revision"`
}

// RevisionSeen tells of a revision of the service that this VM has seen.
type RevisionSeen struct {
	Revision uint64 `json:"revision"`
}

// CallerGone tells that nobody waits for the answer any more.
type CallerGone struct {
	ID RequestID `json:"id"`
}

// Tick lets time pass. The first one comes before the first Request, the others
// every 10 ms or so: a long gap shows that the process was stopped.
type Tick struct{}

func (Request) isEvent()         {}
func (Picked) isEvent()          {}
func (NonePicked) isEvent()      {}
func (SendEnded) isEvent()       {}
func (HomeClock) isEvent()       {}
func (HomeReply) isEvent()       {}
func (HomeUnreachable) isEvent() {}
func (HomeGone) isEvent()        {}
func (ClaimEnded) isEvent()      {}
func (OutcomeRecorded) isEvent() {}
func (RevisionSeen) isEvent()    {}
func (CallerGone) isEvent()      {}
func (Tick) isEvent()            {}

// RecordState says what became of a claimed key.
type RecordState string

// The states of a claimed key.
const (
	// StateClaimed: its claimer may send it at any time.
	StateClaimed RecordState = "claimed"
	// StateNotRun: its claimer ended without running it and will not send it.
	StateNotRun RecordState = "not-run"
	// StateLost: it may have run.
	StateLost RecordState = "lost"
	// StateDone: it ran, with the reply recorded beside it.
	StateDone RecordState = "done"
)

// Record is what the key-value service holds for a caller-chosen key.
type Record struct {
	State RecordState `json:"state"`
	// ClaimID is unique to one request of one life of one VM.
	ClaimID  string  `json:"claim_id"`
	BodyHash uint64  `json:"body_hash"`
	Status   int     `json:"status,omitempty"`
	Body     BodyRef `json:"body,omitempty"`
}
