package entrylist

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Address is the address of one entry that a caller may use.
type Address struct {
	VM            ident.VM            `json:"vm"`
	Addr          string              `json:"addr"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
}

// AddressList is the reply to a caller's request for addresses.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// Lifetime is how long the caller may use Addresses and KeyPrefix, counted from its
	// request. If the caller counts from the receipt instead, the Slack of the listed
	// entries covers a difference of up to that time.
	Lifetime time.Duration `json:"lifetime_ns"`
	// KeyPrefix is the prefix that the caller must give every idempotency key that it
	// generates while the list is valid. It is empty if this entry is leaving.
	KeyPrefix string `json:"key_prefix"`
}

// Peer is another entry in the view of membership.
type Peer struct {
	Instance ident.Instance      `json:"instance"`
	Addr     string              `json:"addr"`
	Domain   ident.FailureDomain `json:"domain"`
	// Leaving is set once the peer is known to be leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Event is an input of List.Step.
type Event interface{ isEvent() }

// Tick advances the time.
type Tick struct{}

// Peers replaces the set of other entries that are live or leaving.
type Peers struct {
	Peers []Peer `json:"peers"`
}

// GrantAsked delivers an AskGrant of a peer.
type GrantAsked struct {
	From ident.Instance `json:"from"`
	Seq  uint64         `json:"seq"`
}

// GrantGiven delivers a GiveGrant of a peer. Seq echoes that of the request.
type GrantGiven struct {
	From ident.Instance `json:"from"`
	Seq  uint64         `json:"seq"`
	// Term counts from the moment of the request. Zero means that the peer is leaving.
	Term time.Duration `json:"for_ns"`
}

// Drain begins a planned shutdown.
type Drain struct{}

// Opened reports that a request or stream has begun on this entry.
type Opened struct{}

// Closed reports that a request or stream that was reported by Opened has ended.
type Closed struct{}

func (Tick) isEvent()       {}
func (Peers) isEvent()      {}
func (GrantAsked) isEvent() {}
func (GrantGiven) isEvent() {}
func (Drain) isEvent()      {}
func (Opened) isEvent()     {}
func (Closed) isEvent()     {}

// Action is an output of List.Step, to be performed by the shell.
type Action interface{ isAction() }

// AskGrant requests from a peer a grant to stay open.
type AskGrant struct {
	To  ident.Instance `json:"to"`
	Seq uint64         `json:"seq"`
}

// GiveGrant answers a peer's AskGrant. Term zero means that this entry is leaving.
type GiveGrant struct {
	To   ident.Instance `json:"to"`
	Seq  uint64         `json:"seq"`
	Term time.Duration  `json:"for_ns"`
}

// AnnounceLeaving reports to membership, which informs all VMs, that this entry is
// leaving.
type AnnounceLeaving struct{}

// CloseListener tells the shell to stop accepting connections. Every list and grant that
// contains this entry has expired.
type CloseListener struct{}

// Stop tells the shell to end the process. The last request in progress has ended.
type Stop struct{}

func (AskGrant) isAction()        {}
func (GiveGrant) isAction()       {}
func (AnnounceLeaving) isAction() {}
func (CloseListener) isAction()   {}
func (Stop) isAction()            {}
