package membership

import (
	"cmp"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// State is how a VM stands. The order matters: of two records of the same
// incarnation and serial, the one with the larger state wins.
type State uint8

// The states.
const (
	// Alive VMs answer, or have refuted what was said of them.
	Alive State = iota
	// Suspect VMs did not answer, directly or through helpers.
	Suspect
	// Unreachable VMs are behind what looks like a cut.
	Unreachable
	// Gone VMs were suspect for long enough, or said themselves that they left.
	Gone
)

// String names the state for people.
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

// Member is what is known of one entry VM.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Place    ident.Place    `json:"place"`
	// EntryAddr is where callers connect, ControlAddr where peers do.
	EntryAddr   string `json:"entry_addr"`
	ControlAddr string `json:"control_addr"`
	// EntryPeerAddr is where the entry processes of other VMs connect.
	EntryPeerAddr string `json:"entry_peer_addr"`
	// Entry is the last known life of the VM's entry process, which may differ
	// from that of its control process; zero while none is known.
	EntryIncarnation ident.Incarnation `json:"entry"`
	// EntryDown says that the entry process is not running.
	EntryDown bool `json:"entry_down,omitempty"`
	// ConfigVersion is the configuration in force on the VM, RosterVersion the
	// newest lease roster that it knows.
	ConfigVersion uint64 `json:"config_version"`
	RosterVersion uint64 `json:"roster_version"`
	// Leaving VMs serve what they have and are not named to callers.
	Leaving bool `json:"leaving"`
	// Serial is raised by the VM itself, to change its record or to refute.
	Serial uint64 `json:"serial"`
	State  State  `json:"state"`
}

// Update is a record on its way. Names are short because updates ride on every
// message.
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
	// Accusers are the VMs that had no answer themselves.
	Accusers []ident.VM `json:"a,omitempty"`
	// Static is what never changes within an incarnation; it is sent on with a
	// new member and left out otherwise.
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

// entry is a member with what this VM itself keeps of it.
type entry struct {
	Member
	accusers []ident.VM
	// accusing is set while this VM itself had no answer from the member.
	accusing bool
	// since is when the state last changed here.
	since time.Duration
	// contact is when the member last answered or asked; -1 for never.
	contact time.Duration
	// reprobe is when a suspect is probed next.
	reprobe time.Duration
}

func (e *entry) update(static bool) Update {
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
		u.Accusers = e.accusers
	}
	if static {
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

// apply takes over what u says. u.Static is set for a new incarnation.
func (e *entry) apply(u Update) {
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

// compare orders an update against the record held: above zero means newer.
func (e *entry) compare(u Update) int {
	return cmp.Or(
		cmp.Compare(u.Incarnation, e.Instance.Incarnation),
		cmp.Compare(u.Serial, e.Serial),
		cmp.Compare(u.State, e.State),
	)
}
