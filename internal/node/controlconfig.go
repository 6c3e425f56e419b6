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
	// Self is this incarnation of this VM.
	Self ident.Instance `json:"self"`
	// StartUnix is the wall-clock time at process time zero, in Unix seconds. It
	// dates the records of the audit trail.
	StartUnix int64 `json:"start_unix"`

	// Seeds are control addresses of other VMs, contacted to join the fleet.
	Seeds []string `json:"seeds,omitempty"`
	// ListEvery is the shortest time between two reads of the VM list. For a long list
	// the time grows, so that reads take at most about ListBytesPerSecond. ListEvery
	// comes from the settings; ListBytesPerSecond defaults to 2 KiB/s.
	ListEvery          time.Duration `json:"list_every_ns"`
	ListBytesPerSecond float64       `json:"list_bytes_per_second"`
	// EntryTimeout is the time without a report after which the VM's entry process
	// counts as down. Default 1.5 s.
	EntryTimeout time.Duration `json:"entry_quiet_ns"`

	Membership membership.Config         `json:"membership"`
	Backends   membership.BackendsConfig `json:"backends"`
	Lease      lease.Config              `json:"lease"`
	Lender     limits.LenderConfig       `json:"lender"`
	Spread     config.SpreadConfig       `json:"spread"`
	Apply      config.ApplyConfig        `json:"apply"`
	KV         store.Config              `json:"platform"`
	Audit      audit.Config              `json:"audit"`
}

// ControlSettings are the settings of a control process that an operator provides.
type ControlSettings struct {
	Self  ident.Instance
	Place ident.Place
	// EntryAddr is the address for callers, EntryPeerAddr for other entry processes,
	// ControlAddr for control processes.
	EntryAddr     string
	EntryPeerAddr string
	ControlAddr   string
	// StartUnix is the wall-clock time at process time zero, in Unix seconds.
	StartUnix int64
	// Seeds are control addresses of other VMs.
	Seeds []string
	// ListEvery is the shortest time between two reads of the VM list.
	ListEvery time.Duration
	// Seed initializes every random number generator.
	Seed uint64
}

// DefaultControlConfig returns the default configuration of a VM's control process.
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
		KV:         store.DefaultConfig(),
		Audit:      audit.DefaultConfig(s.Self),
	}
	cfg.Membership.Seed = s.Seed
	cfg.Membership.Self = membership.Member{
		Instance: s.Self, Place: s.Place, EntryAddr: s.EntryAddr, EntryPeerAddr: s.EntryPeerAddr, ControlAddr: s.ControlAddr,
	}
	cfg.Lease.AskEvery = leaseAskEvery
	cfg.Lease.MaxMembers = leaseMaxMembers
	cfg.Lease.ReadEvery = leaseReadEvery
	cfg.Lease.PullEvery = leasePullEvery
	cfg.Lease.Self = s.Self
	cfg.Lease.Addr = s.ControlAddr
	cfg.Lease.Place = s.Place
	cfg.Lease.Seed = s.Seed
	cfg.Spread.Seed = s.Seed
	cfg.KV.Seed = s.Seed
	return cfg
}

// Keys and key prefixes in the key-value service.
const (
	keyRoster      = "catkin/roster"
	keyHead        = "catkin/config/head"
	keyPartPrefix  = "catkin/config/parts/"
	keyTrailPrefix = "catkin/"
)

// Settings that bound the lease's network traffic: every leaseAskEvery each member asks
// every other member for a promise.
const (
	leaseAskEvery   = 600 * time.Millisecond
	leaseMaxMembers = 7
	// leaseReadEvery is the time between a member's reads of the roster. Changes
	// usually arrive earlier, with the peers' promises.
	leaseReadEvery = 4 * time.Second
	// leasePullEvery is the time between two requests for the roster by a VM that is
	// not a member.
	leasePullEvery = 2 * time.Second
	// candidatesPerDomain bounds the VMs per failure domain that may become members,
	// because members periodically send requests to all candidates.
	candidatesPerDomain = 3
	// The first roster is written once bootstrapMembers are live, or bootstrapWait
	// after the start. A roster with one member loses its slots when that VM dies.
	bootstrapMembers = 3
	bootstrapWait    = 5 * time.Second
)

// listedServerBytes is the approximate size of one backend server in the VM list.
const listedServerBytes = 220

// watchWait is how long the key-value service may hold a watch of the head open.
const watchWait = 25 * time.Second
