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

// ControlTick lets time pass in every slice of a Control. The shell sends one
// every 100 ms.
type ControlTick struct{}

// LenderTick lets time pass in the lender alone; Wake asks for it.
type LenderTick struct{}

// ServersListed is the platform's VM list as it was fetched just now.
type ServersListed struct {
	Servers []peer.BackendServer `json:"servers"`
}

// ListFailed says that the VM list could not be read.
type ListFailed struct{}

// ListNext asks the shell to read the VM list again after a time.
type ListNext struct {
	After time.Duration `json:"after_ns"`
}

// Reported is what the VM's own entry process observed.
type Reported struct {
	Report peer.ReportRequest `json:"report"`
}

// SnapshotAsked is the entry process's question what changed. It is answered at
// once if something did, else when something does, or at Until.
type SnapshotAsked struct {
	ID    uint64                `json:"id"`
	Held  peer.SnapshotVersions `json:"held"`
	Until time.Duration         `json:"until_ns"`
}

// ApplyAsked is an operator's sheet to be accepted.
type ApplyAsked struct {
	ID       uint64       `json:"id"`
	Sheet    config.Sheet `json:"sheet"`
	Operator string       `json:"operator"`
}

// ListAsked asks for the records of the service under a prefix.
type ListAsked struct {
	ID     uint64 `json:"id"`
	Prefix string `json:"prefix"`
}

// DrainAsked begins the planned stop of this VM.
type DrainAsked struct {
	Operator string `json:"operator"`
}

// HandOver hands over the slots that this process holds, because it is going to
// be replaced. The VM stays in service.
type HandOver struct{}

// GoneAsked is an operator's word that VMs have ended for good and will never
// run again. It frees what they hold when too few of them are left to be asked.
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

// ListEnded answers ListAsked. OK is false when the service did not answer.
type ListEnded struct {
	ID      uint64        `json:"id"`
	OK      bool          `json:"ok"`
	Entries []store.Entry `json:"entries,omitempty"`
}

// Wake asks for a LenderTick after a time.
type Wake struct {
	After time.Duration `json:"after_ns"`
}

// SendConfig carries a message of the configuration's spread to a peer's control
// address. It needs no answer.
type SendConfig struct {
	Addr    string        `json:"addr"`
	Message ConfigMessage `json:"message"`
}

// ConfigMessage is one message of the configuration's spread; one part is set.
type ConfigMessage struct {
	Version *config.PeerVersion `json:"version,omitempty"`
	Pull    *config.PeerPull    `json:"pull,omitempty"`
	Parts   *config.PeerParts   `json:"parts,omitempty"`
}

// Log is a change worth a log line.
type Log struct {
	Record audit.Record `json:"record"`
}

// MembersChanged says that a member is new or changed.
type MembersChanged struct {
	Member membership.Member `json:"member"`
}

// HandedOver says that the planned stop's hand-over of slots is complete.
type HandedOver struct{}

// ControlEvents has a sample of every event that a Control takes.
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

// holderOf names the holder of every slot for the borrowers.
func holdersOf(roster *lease.Roster) []peer.SlotHolder {
	holders := make([]peer.SlotHolder, len(roster.Slots))
	for slot := range roster.Slots {
		member, epoch := roster.Holder(slot)
		holders[slot] = peer.SlotHolder{Instance: member.Instance, ControlAddr: member.Addr, Epoch: epoch}
	}
	return holders
}

// limitOf translates an accepted limit for the lender.
func limitOf(key config.LimitKey, limit config.Limit) limits.Limit {
	return limits.Limit{
		Key:  limits.Key{Team: key.Team, Service: key.Service, Unit: unitOf(string(key.Unit))},
		Rate: float64(limit.Value),
	}
}
