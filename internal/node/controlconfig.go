package node

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/platform"
)

// ControlConfig is the configuration of a Control.
type ControlConfig struct {
	// Self is this life of this VM.
	Self ident.Instance `json:"self"`
	// StartUnix is the wall clock at time zero of this process, in seconds; it
	// dates the audit trail.
	StartUnix int64 `json:"start_unix"`

	Membership membership.Config         `json:"membership"`
	Backends   membership.BackendsConfig `json:"backends"`
	Lease      lease.Config              `json:"lease"`
	Lender     limits.LenderConfig       `json:"lender"`
	Spread     config.SpreadConfig       `json:"spread"`
	Apply      config.ApplyConfig        `json:"apply"`
	Platform   platform.Config           `json:"platform"`
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
	// Seed fixes every random choice.
	Seed uint64
}

// DefaultControlConfig returns the defaults of every slice for one VM.
func DefaultControlConfig(s ControlSettings) ControlConfig {
	cfg := ControlConfig{
		Self:       s.Self,
		StartUnix:  s.StartUnix,
		Membership: membership.DefaultConfig(),
		Backends:   membership.DefaultBackendsConfig(),
		Lease:      lease.DefaultConfig(),
		Lender:     limits.DefaultLenderConfig(),
		Spread:     config.DefaultSpreadConfig(s.Self.VM, s.Place.FailureDomain),
		Apply:      config.DefaultApplyConfig(),
		Platform:   platform.DefaultConfig(),
		Audit:      audit.DefaultConfig(s.Self),
	}
	cfg.Membership.Seed = s.Seed
	cfg.Membership.Self = membership.Member{
		Instance: s.Self, Place: s.Place, EntryAddr: s.EntryAddr, EntryPeerAddr: s.EntryPeerAddr, ControlAddr: s.ControlAddr,
	}
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

// watchWait is how long the service holds a watch open.
const watchWait = 25 * time.Second
