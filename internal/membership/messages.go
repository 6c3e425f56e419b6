package membership

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Each is a request with one answer of the same kind.
const (
	// Probe asks for a sign of life.
	Probe Kind = iota + 1
	// ProbeVia asks a helper to probe Target over a new connection.
	IndirectProbe
	// Gossip only spreads updates.
	Gossip
	// Sync compares digests and carries the state where they differ.
	Sync
)

// Message goes between two control processes, as a request or as an answer.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's own record, always in its newest state.
	From Update `json:"f"`
	// To is what the sender holds of the receiver; the receiver refutes what
	// is wrong. It is nil where the sender doesn't know the receiver.
	To *Update `json:"t,omitempty"`
	// Target is the address that a helper is asked to probe, and TargetVM the
	// VM that has to answer there.
	Target   string   `json:"g,omitempty"`
	TargetVM ident.VM `json:"w,omitempty"`
	// Failed in an answer to ProbeVia says that the helper had no answer either.
	Failed bool `json:"n,omitempty"`
	// Digest is a hash over the sender's state, in Sync.
	Digest uint64 `json:"d,omitempty"`
	// Full says that Updates hold the sender's whole state.
	Full bool `json:"a,omitempty"`
	// Updates and Notes ride along.
	Updates  []Update       `json:"u,omitempty"`
	Statuses []ServerStatus `json:"b,omitempty"`
}

// Event is what the machine takes in.
type Event interface{ isEvent() }

// Tick lets time pass; it comes every TickPeriod.
type Tick struct{}

// Request is a peer's message; a Reply with the same Call answers it.
type Request struct {
	Call    uint64  `json:"call"`
	Message Message `json:"message"`
}

// Answer is the outcome of an Ask. OK is false when no answer came.
type Answer struct {
	Call    uint64  `json:"call"`
	OK      bool    `json:"ok"`
	Message Message `json:"message"`
}

// Seeds names control addresses where the fleet may be found: from the
// settings, the platform's VM list or the lease roster.
type Seeds struct {
	Addrs []string `json:"addrs"`
}

// Versions tells which configuration and lease roster this VM holds.
type Versions struct {
	Config uint64 `json:"config"`
	Roster uint64 `json:"roster"`
}

// EntryProcess tells which life of the entry process was last seen on this VM,
// and whether it went silent.
type EntryProcess struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Down        bool              `json:"down,omitempty"`
}

// Leave says that this VM begins to leave.
type Leave struct{}

// Left says that this VM stops now.
type Left struct{}

// Publish spreads notes on backend servers.
type Publish struct {
	Statuses []ServerStatus `json:"notes"`
}

// Keep replaces the notes that a peer gets which compares its whole state.
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

// Action is what the machine gives out.
type Action interface{ isAction() }

// Ask tells the shell to send a message to a control address and to hand back
// an Answer with the same Call, at the latest after Timeout.
type Ask struct {
	Call uint64 `json:"call"`
	Addr string `json:"addr"`
	// Fresh wants a new connection.
	NewConnection bool          `json:"fresh,omitempty"`
	Timeout       time.Duration `json:"timeout_ns"`
	Message       Message       `json:"message"`
}

// Reply answers a Request.
type Reply struct {
	Call    uint64  `json:"call"`
	Message Message `json:"message"`
}

// Changed says that a member is new or changed its state, place or versions.
type Changed struct {
	Member Member `json:"member"`
	// Restarted is set when a higher incarnation replaced an earlier one.
	Restarted bool `json:"restarted,omitempty"`
}

// Heard hands on notes on backend servers that a peer spread.
type Heard struct {
	Statuses []ServerStatus `json:"notes"`
}

// Superseded says that a newer process of this VM's name runs. This one has to
// stop; if its clock went back, a restart with a higher incarnation helps.
type Superseded struct {
	By ident.Incarnation `json:"by"`
}

func (Ask) isAction()        {}
func (Reply) isAction()      {}
func (Changed) isAction()    {}
func (Heard) isAction()      {}
func (Superseded) isAction() {}
