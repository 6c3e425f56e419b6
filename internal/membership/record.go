package membership

import (
	"cmp"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// State is the liveness state of a VM. The order matters: of two records with the same
// incarnation and serial, the one with the larger state wins.
type State uint8

// The states.
const (
	// Alive VMs answer probes or have refuted a suspicion.
	Alive State = iota
	// Suspect VMs answered neither a direct probe nor one through helpers.
	Suspect
	// Unreachable VMs are presumably behind a network partition.
	Unreachable
	// Gone VMs were suspect until the suspicion timed out, unreachable for too long, or
	// announced that they left.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Unreachable:
		return "unreachable"
	case Gone:
		return "gone"
	default:
		return "invalid"
	}
}

// Member is the record of one entry VM.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Place    ident.Place    `json:"place"`
	// EntryAddr is the address for callers, ControlAddr the one for control processes
	// of other VMs.
	EntryAddr   string `json:"entry_addr"`
	ControlAddr string `json:"control_addr"`
	// EntryPeerAddr is the address for the entry processes of other VMs.
	EntryPeerAddr string `json:"entry_peer_addr"`
	// EntryIncarnation is the last known incarnation of the VM's entry process, which
	// may differ from that of its control process; zero if none is known.
	EntryIncarnation ident.Incarnation `json:"entry"`
	// EntryDown is set while the entry process is not running.
	EntryDown bool `json:"entry_down,omitempty"`
	// ConfigVersion is the configuration in force on the VM, RosterVersion the newest
	// lease roster it has received.
	ConfigVersion uint64 `json:"config_version"`
	RosterVersion uint64 `json:"roster_version"`
	// Leaving VMs finish their open requests and are not advertised to callers.
	Leaving bool `json:"leaving"`
	// Serial is raised only by the VM itself, to change its record or to refute a false
	// state.
	Serial uint64 `json:"serial"`
	State  State  `json:"state"`
}

// Update is the wire form of a record. The encoded names are short because updates are
// piggybacked on every message.
type Update struct {
	VM               ident.VM          `json:"v"`
	Incarnation      ident.Incarnation `json:"i"`
	Serial           uint64            `json:"n,omitempty"`
	State            State             `json:"s,omitempty"`
	Leaving          bool              `json:"l,omitempty"`
	ConfigVersion    uint64            `json:"c,omitempty"`
	RosterVersion    uint64            `json:"r,omitempty"`
	EntryIncarnation ident.Incarnation `json:"e,omitempty"`
	EntryDown        bool              `json:"d,omitempty"`
	// Confirmers are the VMs whose own probes of a suspect failed.
	Confirmers []ident.VM `json:"a,omitempty"`
	// Static holds the fields that never change within an incarnation. It is sent with
	// new members and omitted otherwise.
	Static *Static `json:"x,omitempty"`
}

// Static is the part of a record that is fixed for one incarnation.
type Static struct {
	Region        ident.Region        `json:"r"`
	FailureDomain ident.FailureDomain `json:"d"`
	EntryAddr     string              `json:"e"`
	EntryPeerAddr string              `json:"p"`
	ControlAddr   string              `json:"c"`
}

// memberEntry is a member with this VM's local bookkeeping.
type memberEntry struct {
	Member
	confirmers []ident.VM
	// suspectedHere is set while this VM's own probes of the member fail.
	suspectedHere bool
	// stateSince is when the state of this record last changed. For a suspect it is moved
	// forward by the length of each pause of this process.
	stateSince time.Duration
	// lastContact is when the member last answered or sent a request; -1 if never.
	lastContact time.Duration
	// reprobeAt is the earliest time of the next probe while the member is a suspect.
	reprobeAt time.Duration
}

func (e *memberEntry) toUpdate(withStatic bool) Update {
	u := Update{
		VM:               e.Instance.VM,
		Incarnation:      e.Instance.Incarnation,
		Serial:           e.Serial,
		State:            e.State,
		Leaving:          e.Leaving,
		ConfigVersion:    e.ConfigVersion,
		RosterVersion:    e.RosterVersion,
		EntryIncarnation: e.EntryIncarnation,
		EntryDown:        e.EntryDown,
	}
	if e.State == Suspect {
		u.Confirmers = e.confirmers
	}
	if withStatic {
		u.Static = &Static{
			Region:        e.Place.Region,
			FailureDomain: e.Place.FailureDomain,
			EntryAddr:     e.EntryAddr,
			EntryPeerAddr: e.EntryPeerAddr,
			ControlAddr:   e.ControlAddr,
		}
	}
	return u
}

// apply overwrites the record with u. If u is a new incarnation that is not gone,
// u.Static must be set.
func (e *memberEntry) apply(u Update) {
	e.Instance = ident.Instance{VM: u.VM, Incarnation: u.Incarnation}
	e.Serial = u.Serial
	e.State = u.State
	e.Leaving = u.Leaving
	e.ConfigVersion = u.ConfigVersion
	e.RosterVersion = u.RosterVersion
	e.EntryIncarnation = u.EntryIncarnation
	e.EntryDown = u.EntryDown
	if u.Static == nil {
		return
	}
	e.Place = ident.Place{Region: u.Static.Region, FailureDomain: u.Static.FailureDomain}
	e.EntryAddr = u.Static.EntryAddr
	e.EntryPeerAddr = u.Static.EntryPeerAddr
	e.ControlAddr = u.Static.ControlAddr
}

// compare returns a positive number if u is newer than the stored record, zero if both
// are the same, and a negative number if u is older.
func (e *memberEntry) compare(u Update) int {
	return cmp.Or(
		cmp.Compare(u.Incarnation, e.Instance.Incarnation),
		cmp.Compare(u.Serial, e.Serial),
		cmp.Compare(u.State, e.State),
	)
}
