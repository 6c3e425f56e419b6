package membership

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Kind selects how the receiver handles a message.
type Kind uint8

// The message kinds. Each is a request that has one answer of the same kind.
const (
	// Probe checks that the receiver is alive.
	Probe Kind = iota + 1
	// IndirectProbe asks a helper to probe Target over a new connection.
	IndirectProbe
	// Gossip carries only updates.
	Gossip
	// Sync compares digests and carries the full state if they differ.
	Sync
)

// Message is sent between two control processes, as a request or as an answer.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's own current record.
	From Update `json:"f"`
	// To is the sender's record of the receiver, so that the receiver can refute a
	// false state. It is nil if the sender has no such record.
	To *Update `json:"t,omitempty"`
	// TargetAddr is the address that a helper is asked to probe; TargetVM is the VM that
	// must answer there.
	TargetAddr string   `json:"g,omitempty"`
	TargetVM   ident.VM `json:"w,omitempty"`
	// Failed is set in the answer to an IndirectProbe if the helper got no answer
	// either.
	Failed bool `json:"n,omitempty"`
	// Digest is a hash of the sender's state, set in Sync.
	Digest uint64 `json:"d,omitempty"`
	// Full is set if Updates hold the sender's full state.
	Full bool `json:"a,omitempty"`
	// Updates and Statuses are piggybacked on every kind of message.
	Updates  []Update       `json:"u,omitempty"`
	Statuses []ServerStatus `json:"b,omitempty"`
}

// Event is an input of Membership.
type Event interface{ isEvent() }

// Tick runs the timers; the shell sends one every TickPeriod.
type Tick struct{}

// Request is a message from a peer. It is answered by a Reply with the same Call.
type Request struct {
	Call    uint64  `json:"call"`
	Message Message `json:"message"`
}

// Answer is the outcome of an Ask. OK is false if no answer was received.
type Answer struct {
	Call    uint64  `json:"call"`
	OK      bool    `json:"ok"`
	Message Message `json:"message"`
}

// Seeds replaces the control addresses used to join the fleet. They come from the
// settings, the platform's VM list or the lease roster.
type Seeds struct {
	Addrs []string `json:"addrs"`
}

// Versions sets the configuration and lease roster versions held by this VM.
type Versions struct {
	Config uint64 `json:"config"`
	Roster uint64 `json:"roster"`
}

// EntryProcess reports the last known incarnation of this VM's entry process and
// whether it has stopped responding.
type EntryProcess struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Down        bool              `json:"down,omitempty"`
}

// Leave marks this VM as leaving.
type Leave struct{}

// Left marks this VM as gone; its control process stops now.
type Left struct{}

// Publish gossips statuses of backend servers.
type Publish struct {
	Statuses []ServerStatus `json:"notes"`
}

// Keep replaces the backend server statuses that are sent with the full state.
type Keep struct {
	Statuses []ServerStatus `json:"notes"`
}

func (Tick) isEvent()         {}
func (Request) isEvent()      {}
func (Answer) isEvent()       {}
func (Seeds) isEvent()        {}
func (Versions) isEvent()     {}
func (Leave) isEvent()        {}
func (EntryProcess) isEvent() {}
func (Left) isEvent()         {}
func (Publish) isEvent()      {}
func (Keep) isEvent()         {}

// Action is an output of Membership.
type Action interface{ isAction() }

// Ask sends a message to a control address. The shell returns an Answer with the same
// Call within Timeout.
type Ask struct {
	Call uint64 `json:"call"`
	Addr string `json:"addr"`
	// NewConnection requests a new connection instead of an open one.
	NewConnection bool          `json:"fresh,omitempty"`
	Timeout       time.Duration `json:"timeout_ns"`
	Message       Message       `json:"message"`
}

// Reply answers a Request.
type Reply struct {
	Call    uint64  `json:"call"`
	Message Message `json:"message"`
}

// Changed reports a member that is new or whose record changed.
type Changed struct {
	Member Member `json:"member"`
	// Restarted is set if a higher incarnation replaced an earlier one.
	Restarted bool `json:"restarted,omitempty"`
}

// Heard passes on backend server statuses received from a peer.
type Heard struct {
	Statuses []ServerStatus `json:"notes"`
}

// Superseded reports that a process of this VM with a higher incarnation exists, so
// this one must stop. Incarnations default to the wall clock: if the clock was set back,
// a later restart with a higher incarnation resolves it.
type Superseded struct {
	By ident.Incarnation `json:"by"`
}

func (Ask) isAction()        {}
func (Reply) isAction()      {}
func (Changed) isAction()    {}
func (Heard) isAction()      {}
func (Superseded) isAction() {}
