package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// RequestID identifies a request within one process.
type RequestID uint64

// BodyRef identifies a response body that the shell stores.
type BodyRef string

// Event is an input of Core.
type Event interface{ isEvent() }

// Request is a call that this entry accepted from a caller or another entry.
type Request struct {
	ID      RequestID     `json:"id"`
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Key is the caller's idempotency key, if any.
	Key string `json:"key,omitempty"`
	// BodyHash is a hash of method, path and body. It reveals a key that is reused
	// for a different call.
	BodyHash uint64 `json:"body_hash"`
	// Idempotent calls may run any number of times; their key is ignored.
	Idempotent bool `json:"idempotent"`
	// Deadline is the time by which the caller must be answered, in process time.
	Deadline time.Duration `json:"deadline_ns"`
	// Forwarded is set on a request that another entry forwarded here.
	Forwarded *Forwarded `json:"forwarded,omitempty"`
}

// Forwarded identifies the entry that first accepted a request.
type Forwarded struct {
	From   ident.Instance `json:"from"`
	FromID RequestID      `json:"from_id"`
	// AcceptedAt is a lower bound of this process's clock at the moment From
	// accepted the request.
	AcceptedAt time.Duration `json:"accepted_ns"`
}

// Picked answers PickReplica with a replica.
type Picked struct {
	ID     RequestID           `json:"id"`
	Try    int                 `json:"try"`
	Server ident.BackendServer `json:"server"`
}

// NonePicked answers PickReplica if the request is not admitted or there is no replica.
// The refusal's verdict is NotRun.
type NonePicked struct {
	ID      RequestID       `json:"id"`
	Try     int             `json:"try"`
	Refusal verdict.Refusal `json:"refusal"`
}

// SendResult is the result of a Send.
type SendResult string

// The results of a send.
const (
	// ConnectFailed: no byte of the request was sent.
	ConnectFailed SendResult = "connect-failed"
	// NotRunByServer: the backend server replied that it did not run the request.
	NotRunByServer SendResult = "not-run-by-server"
	// ReplyLost: bytes were sent but no complete reply arrived; it may have run.
	ReplyLost SendResult = "reply-lost"
	// Replied: a complete reply of any status arrived.
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

// HomeClock answers AskClock with the time of the home's clock.
type HomeClock struct {
	Home ident.Instance `json:"home"`
	Now  time.Duration  `json:"now_ns"`
}

// HomeReply answers ForwardHome.
type HomeReply struct {
	ID   RequestID      `json:"id"`
	Home ident.Instance `json:"home"`
	// HomeNow is the time of the home's clock when it replied.
	HomeNow time.Duration `json:"home_now_ns"`
	// Restamp is set if the forward's AcceptedAt was in the home's future.
	Restamp bool `json:"restamp,omitempty"`
	// Refusal is set if the home refused the request.
	Refusal *verdict.Refusal `json:"refusal,omitempty"`
	Status  int              `json:"status,omitempty"`
	Body    BodyRef          `json:"body,omitempty"`
}

// HomeUnreachable answers ForwardHome and AskClock if no reply arrived.
type HomeUnreachable struct {
	Home ident.Instance `json:"home"`
	// ID is zero in answer to AskClock.
	ID RequestID `json:"id"`
}

// HomeGone reports that a home's incarnation has ended, according to membership or
// because another incarnation answered at its address.
type HomeGone struct {
	Home ident.Instance `json:"home"`
}

// WriteResult is the result of a write to the key-value service.
type WriteResult string

// The results of a write.
const (
	// Written: the record is stored at Revision.
	WriteApplied WriteResult = "written"
	// Exists: another record is stored; Record and Revision describe it.
	WriteConflict WriteResult = "exists"
	// WriteUnknown: the write may have taken effect.
	WriteUnknown WriteResult = "unknown"
	// WriteNotApplied: the write certainly had no effect.
	WriteNotApplied WriteResult = "down"
)

// ClaimEnded answers Claim. Revision is the record's revision in the key-value service.
type ClaimEnded struct {
	ID       RequestID   `json:"id"`
	Result   WriteResult `json:"result"`
	Record   Record      `json:"record"`
	Revision uint64      `json:"revision"`
}

// OutcomeRecorded answers RecordOutcome. Revision is the record's revision in the
// key-value service.
type OutcomeRecorded struct {
	ID       RequestID   `json:"id"`
	Result   WriteResult `json:"result"`
	Record   Record      `json:"record"`
	Revision uint64      `json:"revision"`
}

// RevisionSeen reports a revision of the key-value service that this VM has seen.
type RevisionSeen struct {
	Revision uint64 `json:"revision"`
}

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct {
	ID RequestID `json:"id"`
}

// Tick fires due timers. The first Tick precedes the first Request and the others follow
// about every 10 ms: a long gap shows that the process was stopped.
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

// RecordState is the state of a claimed key.
type RecordState string

// The states of a claimed key.
const (
	// StateClaimed: the claimer may send the call at any time.
	StateClaimed RecordState = "claimed"
	// StateNotRun: the call did not run, and the claimer will not send it again.
	StateNotRun RecordState = "not-run"
	// StateLost: the call may have run.
	StateLost RecordState = "lost"
	// StateDone: the call ran; the reply is in the record.
	StateDone RecordState = "done"
)

// Record is the value stored in the key-value service for a key that the caller chose.
type Record struct {
	State RecordState `json:"state"`
	// ClaimID is unique to one request of one incarnation of a VM.
	ClaimID  string  `json:"claim_id"`
	BodyHash uint64  `json:"body_hash"`
	Status   int     `json:"status,omitempty"`
	Body     BodyRef `json:"body,omitempty"`
}
