package node

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/store"
)

// ControlConfig is the configuration of a Control.
type ControlConfig struct {
	// Self is this life of this VM.
	Self ident.Instance `json:"self"`
	// StartUnix is the wall clock at time zero of this process, in seconds; it
	// dates the audit trail.
	StartUnix int64 `json:"start_unix"`

	// Seeds are control addresses at which the fleet may be found.
	Seeds []string `json:"seeds,omitempty"`
	// ListEvery is the least time between two reads of the VM list, and
	// ListBytesPerSecond bounds the bytes of those reads. Defaults 2 s, 2 KB/s.
	ListEvery          time.Duration `json:"list_every_ns"`
	ListBytesPerSecond float64       `json:"list_bytes_per_second"`
	// EntryQuiet is how long the VM's entry process may be silent before it
	// counts as down. Default 1.5 s.
	EntryTimeout time.Duration `json:"entry_quiet_ns"`

	Membership membership.Config         `json:"membership"`
	Backends   membership.BackendsConfig `json:"backends"`
	Lease      lease.Config              `json:"lease"`
	Lender     limits.LenderConfig       `json:"lender"`
	Spread     config.SpreadConfig       `json:"spread"`
	Apply      config.ApplyConfig        `json:"apply"`
	Platform   store.Config              `json:"platform"`
	Audit      audit.Config              `json:"audit"`
}

// ControlSettings are what an operator sets of a control process.
type ControlSettings struct {
	Self  ident.Instance
	Place ident.Place
	// EntryAddr is where callers connect, EntryPeerAddr where other entries do,
	// ControlAddr where the control processes do.
	EntryAddr     string
	EntryPeerAddr string
	ControlAddr   string
	// StartUnix is the wall clock at time zero, in seconds.
	StartUnix int64
	// Seeds are control addresses of other VMs.
	Seeds []string
	// ListEvery is the least time between two reads of the VM list.
	ListEvery time.Duration
	// Seed fixes every random choice.
	Seed uint64
}

// DefaultControlConfig returns the defaults of every slice for one VM.
func DefaultControlConfig(s ControlSettings) ControlConfig {
	cfg := ControlConfig{
		Self:         s.Self,
		Seeds:        s.Seeds,
		ListEvery:    s.ListEvery,
		EntryTimeout: 1500 * time.Millisecond,

		ListBytesPerSecond: 2 << 10,

		StartUnix:  s.StartUnix,
		Membership: membership.DefaultConfig(),
		Backends:   membership.DefaultBackendsConfig(),
		Lease:      lease.DefaultConfig(),
		Lender:     limits.DefaultLenderConfig(),
		Spread:     config.DefaultSpreadConfig(s.Self.VM, s.Place.FailureDomain),
		Apply:      config.DefaultApplyConfig(),
		Platform:   store.DefaultConfig(),
		Audit:      audit.DefaultConfig(s.Self),
	}
	cfg.Membership.Seed = s.Seed
	cfg.Membership.Self = membership.Member{
		Instance: s.Self, Place: s.Place, EntryAddr: s.EntryAddr, EntryPeerAddr: s.EntryPeerAddr, ControlAddr: s.ControlAddr,
	}
	cfg.Lease.AskEvery = leaseAskEvery
	cfg.Lease.MaxMembers = leaseMembers
	cfg.Lease.ReadEvery = leaseReadEvery
	cfg.Lease.PullEvery = leasePullEvery
	cfg.Lease.Self = s.Self
	cfg.Lease.Addr = s.ControlAddr
	cfg.Lease.Place = s.Place
	cfg.Lease.Seed = s.Seed
	cfg.Spread.Seed = s.Seed
	cfg.Platform.Seed = s.Seed
	return cfg
}

// Names of records in the key-value service.
const (
	keyRoster     = "catkin/roster"
	keyHead       = "catkin/config/head"
	keyPartPrefix = "catkin/config/parts/"
	keyTrail      = "catkin/"
)

// Bounds of the lease, from the bytes that its members spend on promises: a
// member asks each other one every leaseAskEvery.
const (
	leaseAskEvery = 600 * time.Millisecond
	leaseMembers  = 7
	// leaseReadEvery is how often a member reads the roster; a change reaches it
	// with the peers' promises before.
	leaseReadEvery = 4 * time.Second
	// leasePullEvery is how often a VM that is no member asks one for the roster.
	leasePullEvery = 2 * time.Second
	// candidatesPerDomain bounds the VMs of a failure domain that may become
	// members: members ask all of them now and then.
	candidatesPerDomain = 3
	// The first roster waits for foundingMembers, for at most foundingWait after
	// the start: the slots of a roster with one member die with it.
	foundingMembers = 3
	foundingWait    = 5 * time.Second
)

// listedServerBytes is about what one backend server takes in the VM list.
const listedServerBytes = 220

// watchWait is how long the service holds a watch open.
const watchWait = 25 * time.Second
