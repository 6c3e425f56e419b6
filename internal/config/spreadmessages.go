package config

import "github.com/catkinstair/catkinstair/internal/ident"

// SpreadEvent is an input of Spread.
type SpreadEvent interface{ isSpreadEvent() }

// SpreadTick runs the timers; the shell sends one about every 100 ms.
type SpreadTick struct{}

// MembersSeen replaces the list of live VMs.
type MembersSeen struct {
	Members []Member `json:"members"`
}

// HeadRead answers WatchHead. Found is false if the service holds no head.
type HeadRead struct {
	Found    bool   `json:"found"`
	Head     Head   `json:"head"`
	Revision uint64 `json:"revision"`
}

// PartsRead answers ReadParts.
type PartsRead struct {
	Texts map[PartHash]string `json:"texts"`
}

// ReadFailed answers WatchHead or ReadParts if the service is down.
type ReadFailed struct{}

// PeerVersion is a SendVersion from a peer.
type PeerVersion struct {
	From    ident.VM `json:"from"`
	Version uint64   `json:"version"`
	// WantsReply requests the receiver's version in return.
	WantsReply bool `json:"asks,omitempty"`
}

// PeerPull is a SendPull from a peer.
type PeerPull struct {
	From        ident.VM   `json:"from"`
	HeldVersion uint64     `json:"have"`
	HeldParts   []PartHash `json:"held"`
}

// PeerParts is a SendParts from a peer.
type PeerParts struct {
	From  ident.VM            `json:"from"`
	Head  Head                `json:"head"`
	Texts map[PartHash]string `json:"texts"`
}

// SelfApplied reports a version that this VM itself has just put in force.
type SelfApplied struct {
	Snapshot Snapshot `json:"snapshot"`
}

func (SpreadTick) isSpreadEvent()  {}
func (MembersSeen) isSpreadEvent() {}
func (HeadRead) isSpreadEvent()    {}
func (PartsRead) isSpreadEvent()   {}
func (ReadFailed) isSpreadEvent()  {}
func (PeerVersion) isSpreadEvent() {}
func (PeerPull) isSpreadEvent()    {}
func (PeerParts) isSpreadEvent()   {}
func (SelfApplied) isSpreadEvent() {}

// SpreadAction is an output of Spread.
type SpreadAction interface{ isSpreadAction() }

// WatchHead reads the head once its revision is above After; the service may hold the
// call open until then. Zero reads the current head at once.
type WatchHead struct {
	After uint64 `json:"after"`
}

// ReadParts reads parts from the service.
type ReadParts struct {
	Hashes []PartHash `json:"hashes"`
}

// SendVersion sends the number of the held version to a peer.
type SendVersion struct {
	To         ident.VM `json:"to"`
	Version    uint64   `json:"version"`
	WantsReply bool     `json:"asks,omitempty"`
}

// SendPull requests a version newer than HeldVersion from a peer. HeldParts lists the
// parts that need not be sent.
type SendPull struct {
	To          ident.VM   `json:"to"`
	HeldVersion uint64     `json:"have"`
	HeldParts   []PartHash `json:"held"`
}

// SendParts answers a pull with the head and the parts that the peer lacks.
type SendParts struct {
	To    ident.VM            `json:"to"`
	Head  Head                `json:"head"`
	Texts map[PartHash]string `json:"texts"`
}

// Adopted puts a newer version in force on this VM.
type Adopted struct {
	Snapshot Snapshot `json:"snapshot"`
}

func (WatchHead) isSpreadAction()   {}
func (ReadParts) isSpreadAction()   {}
func (SendVersion) isSpreadAction() {}
func (SendPull) isSpreadAction()    {}
func (SendParts) isSpreadAction()   {}
func (Adopted) isSpreadAction()     {}
