package node

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/store"
)

// ControlTick advances the time of every component of a Control. The shell sends one
// every 100 ms.
type ControlTick struct{}

// LenderTick advances the time of the lender alone; Wake requests one.
type LenderTick struct{}

// ServersListed carries the backend servers read from the platform's VM list.
type ServersListed struct {
	Servers []peer.BackendServer `json:"servers"`
}

// ListFailed reports that the VM list could not be read.
type ListFailed struct{}

// ListNext requests the next read of the VM list after a delay.
type ListNext struct {
	After time.Duration `json:"after_ns"`
}

// Reported carries a report of the VM's own entry process.
type Reported struct {
	Report peer.ReportRequest `json:"report"`
}

// SnapshotAsked is the entry process's request for changes since the versions in Held.
// It is answered as soon as a section differs, at the latest at process time Until.
type SnapshotAsked struct {
	ID    uint64                `json:"id"`
	Held  peer.SnapshotVersions `json:"held"`
	Until time.Duration         `json:"until_ns"`
}

// ApplyAsked is an operator's request to accept a sheet.
type ApplyAsked struct {
	ID       uint64       `json:"id"`
	Sheet    config.Sheet `json:"sheet"`
	Operator string       `json:"operator"`
}

// ListAsked requests the records of the key-value service under a prefix.
type ListAsked struct {
	ID     uint64 `json:"id"`
	Prefix string `json:"prefix"`
}

// DrainAsked begins the planned stop of this VM.
type DrainAsked struct {
	Operator string `json:"operator"`
}

// HandOver starts the hand-over of the slots that this process holds, because it is
// about to be replaced. The VM stays in service.
type HandOver struct{}

// GoneAsked is an operator's statement that VMs have ended and will never run again. It
// frees their slots when too few of the roster's members are left to form a majority.
type GoneAsked struct {
	VMs      []ident.VM `json:"vms"`
	Operator string     `json:"operator"`
}

// SnapshotAnswered answers SnapshotAsked.
type SnapshotAnswered struct {
	ID    uint64             `json:"id"`
	Reply peer.SnapshotReply `json:"reply"`
}

// ApplyEnded answers ApplyAsked.
type ApplyEnded struct {
	ID      uint64         `json:"id"`
	Outcome config.Outcome `json:"outcome"`
}

// ListEnded answers ListAsked. OK is false if the key-value service did not respond.
type ListEnded struct {
	ID      uint64        `json:"id"`
	OK      bool          `json:"ok"`
	Entries []store.Entry `json:"entries,omitempty"`
}

// Wake requests a LenderTick after a delay.
type Wake struct {
	After time.Duration `json:"after_ns"`
}

// SendConfig sends a configuration message to a peer's control address. The core expects
// no reply.
type SendConfig struct {
	Addr    string        `json:"addr"`
	Message ConfigMessage `json:"message"`
}

// ConfigMessage is a message that distributes the configuration between control
// processes. Exactly one field is set.
type ConfigMessage struct {
	Version *config.PeerVersion `json:"version,omitempty"`
	Pull    *config.PeerPull    `json:"pull,omitempty"`
	Parts   *config.PeerParts   `json:"parts,omitempty"`
}

// Log requests a log line for an audit record.
type Log struct {
	Record audit.Record `json:"record"`
}

// MembersChanged reports a new or changed member.
type MembersChanged struct {
	Member membership.Member `json:"member"`
}

// HandedOver reports that the hand-over of slots is complete.
type HandedOver struct{}

// ControlEvents returns a zero value of every event type that a shell sends to a Control.
func ControlEvents() []any {
	return []any{
		ControlTick{}, LenderTick{}, ServersListed{}, ListFailed{}, Reported{}, SnapshotAsked{}, ApplyAsked{}, ListAsked{}, DrainAsked{}, HandOver{}, GoneAsked{},
		ConfigMessage{},
		membership.Request{}, membership.Answer{}, membership.Seeds{}, membership.Left{},
		lease.PromiseAsked{}, lease.PromiseGiven{}, lease.Gone{},
		limits.AskReceived{},
		store.Reply{},
	}
}

// slotHolders lists the holders of a roster's slots, by slot.
func slotHolders(roster *lease.Roster) []peer.SlotHolder {
	holders := make([]peer.SlotHolder, len(roster.Slots))
	for slot := range roster.Slots {
		member, epoch := roster.Holder(slot)
		holders[slot] = peer.SlotHolder{Instance: member.Instance, ControlAddr: member.Addr, Epoch: epoch}
	}
	return holders
}

// lenderLimit converts an accepted limit to the lender's type.
func lenderLimit(key config.LimitKey, limit config.Limit) limits.Limit {
	return limits.Limit{
		Key:  limits.Key{Team: key.Team, Service: key.Service, Unit: parseUnit(string(key.Unit))},
		Rate: float64(limit.Value),
	}
}
