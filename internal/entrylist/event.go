package entrylist

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Address is one entry that a caller may use.
type Address struct {
	VM            ident.VM            `json:"vm"`
	Addr          string              `json:"addr"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
}

// Answer is what a caller keeps.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// Lifetime is how long the caller may use Addresses and KeyPrefix, from the
	// moment at which it asked. A caller that counts from the receipt is covered
	// up to the Slack of the entries named.
	Lifetime time.Duration `json:"lifetime_ns"`
	// KeyPrefix starts every idempotency key that the caller makes up while it
	// keeps the answer. Empty where this entry is leaving.
	KeyPrefix string `json:"key_prefix"`
}

// Peer is another entry, as membership sees it.
type Peer struct {
	Instance ident.Instance      `json:"instance"`
	Addr     string              `json:"addr"`
	Domain   ident.FailureDomain `json:"domain"`
	// Leaving is set once the peer is known to leave.
	Leaving bool `json:"leaving,omitempty"`
}

// Event is an input of List.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// Peers replaces the list of other entries that are live or leaving.
type Peers struct {
	Peers []Peer `json:"peers"`
}

// GrantAsked is an AskGrant from a peer.
type GrantAsked struct {
	From ident.Instance `json:"from"`
	Seq  uint64         `json:"seq"`
}

// GrantGiven is a GiveGrant from a peer, which echoes the number of the request.
type GrantGiven struct {
	From ident.Instance `json:"from"`
	Seq  uint64         `json:"seq"`
	// For counts from the moment of asking; zero means that the peer is leaving.
	Term time.Duration `json:"for_ns"`
}

// Drain begins a planned stop.
type Drain struct{}

// Opened and Closed count the requests and streams in progress here.
type Opened struct{}

// Closed ends what an Opened began.
type Closed struct{}

func (Tick) isEvent()       {}
func (Peers) isEvent()      {}
func (GrantAsked) isEvent() {}
func (GrantGiven) isEvent() {}
func (Drain) isEvent()      {}
func (Opened) isEvent()     {}
func (Closed) isEvent()     {}

// Action is an output of List.
type Action interface{ isAction() }

// AskGrant asks a peer how long it will stay open.
type AskGrant struct {
	To  ident.Instance `json:"to"`
	Seq uint64         `json:"seq"`
}

// GiveGrant answers a peer.
type GiveGrant struct {
	To   ident.Instance `json:"to"`
	Seq  uint64         `json:"seq"`
	Term time.Duration  `json:"for_ns"`
}

// AnnounceLeaving tells membership, and through it everybody, that this entry
// is leaving.
type AnnounceLeaving struct{}

// CloseListener stops accepting connections: nobody holds an unexpired address
// of this entry any more.
type CloseListener struct{}

// Stop ends the process: the last request in progress has ended.
type Stop struct{}

func (AskGrant) isAction()        {}
func (GiveGrant) isAction()       {}
func (AnnounceLeaving) isAction() {}
func (CloseListener) isAction()   {}
func (Stop) isAction()            {}
