package membership

import (
	"time"

	"github.com/cockroachdb/errors"
)

// TickPeriod is the interval between two Tick events.
const TickPeriod = 100 * time.Millisecond

// Config holds the parameters of Membership.
type Config struct {
	// Seed seeds the random choice of probe targets. Default 1.
	Seed uint64 `json:"seed"`
	// Self is this VM's own record; State and Serial are ignored.
	Self Member `json:"self"`
	// Peers bounds the number of VMs that this one probes, and so its connections.
	// Default 8.
	Peers int `json:"peers"`
	// ProbePeriod is the interval between two probes. Default 1 s.
	ProbePeriod time.Duration `json:"probe_period_ns"`
	// ProbeTimeout bounds a direct probe; the second attempt (new connection and
	// helpers) takes up to twice as long. Default 300 ms.
	ProbeTimeout time.Duration `json:"probe_timeout_ns"`
	// Helpers is the number of peers asked for an indirect probe. Default 3.
	Helpers int `json:"helpers"`
	// SuspicionMin and SuspicionMax bound the time from suspect to gone or unreachable:
	// SuspicionMax if no other VM confirms the suspicion, SuspicionMin if at least
	// Confirmations other VMs do. Defaults 2 s, 6 s and 3.
	SuspicionMin  time.Duration `json:"suspicion_min_ns"`
	SuspicionMax  time.Duration `json:"suspicion_max_ns"`
	Confirmations int           `json:"confirmations"`
	// ReprobePeriod is the interval between probes of a suspect. Default 500 ms.
	ReprobePeriod time.Duration `json:"reprobe_period_ns"`
	// GossipPeriod is the interval between messages that carry only updates; none is
	// sent while the queue is empty. Default 200 ms.
	GossipPeriod time.Duration `json:"gossip_period_ns"`
	// MaxUpdates bounds the updates in one message. Default 12.
	MaxUpdates int `json:"max_updates"`
	// RetransmitFactor times log2 of the fleet size is the number of times one VM
	// sends an update. Default 1.5.
	RetransmitFactor float64 `json:"retransmit_factor"`
	// SyncPeriod is the mean interval between comparisons of state digests with a
	// peer; the full state is sent only when the digests differ. Default 30 s.
	SyncPeriod time.Duration `json:"sync_period_ns"`
	// PauseLimit is the time between two steps above which this process assumes that
	// it was paused. Default 700 ms.
	PauseLimit time.Duration `json:"pause_limit_ns"`
	// UnreachableTimeout is how long a VM stays unreachable before it counts as gone.
	// Default 30 min.
	UnreachableTimeout time.Duration `json:"unreachable_for_ns"`
	// GoneRetention is how long the record of a gone VM is kept, so that late updates
	// do not bring it back. Default 10 min.
	GoneRetention time.Duration `json:"gone_for_ns"`
	// MaxLocalHealth bounds LocalHealth; probe timeouts are multiplied by
	// 1+LocalHealth. Default 4.
	MaxLocalHealth int `json:"max_local_health"`
}

// DefaultConfig returns the defaults; the caller sets Self.
func DefaultConfig() Config {
	return Config{
		Seed:               1,
		Peers:              8,
		ProbePeriod:        time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		Helpers:            3,
		SuspicionMin:       2 * time.Second,
		SuspicionMax:       6 * time.Second,
		Confirmations:      3,
		ReprobePeriod:      500 * time.Millisecond,
		GossipPeriod:       200 * time.Millisecond,
		MaxUpdates:         12,
		RetransmitFactor:   1.5,
		SyncPeriod:         30 * time.Second,
		PauseLimit:         700 * time.Millisecond,
		UnreachableTimeout: 30 * time.Minute,
		GoneRetention:      10 * time.Minute,
		MaxLocalHealth:     4,
	}
}

// Validate reports every invalid field.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	check(c.Self.Instance.VM != "", "self.instance.vm must not be empty: set it to the VM's name")
	check(c.Self.Place.FailureDomain != "", "self.place.failure_domain must not be empty: set it to the VM's failure domain")
	check(c.Self.ControlAddr != "", "self.control_addr must not be empty: set the address that peers connect to")
	check(c.Peers > 0, "peers is %d, must be positive", c.Peers)
	check(c.ProbePeriod >= TickPeriod, "probe_period_ns is %s, must be at least %s", c.ProbePeriod, TickPeriod)
	check(c.ProbeTimeout > 0 && c.ProbeTimeout < c.ProbePeriod, "probe_timeout_ns is %s, must be positive and less than probe_period_ns", c.ProbeTimeout)
	check(c.Helpers >= 0, "helpers is %d, must be at least 0", c.Helpers)
	check(c.SuspicionMin > 0, "suspicion_min_ns is %s, must be positive", c.SuspicionMin)
	check(c.SuspicionMax >= c.SuspicionMin, "suspicion_max_ns is %s, must be at least suspicion_min_ns", c.SuspicionMax)
	check(c.Confirmations > 0, "confirmations is %d, must be positive", c.Confirmations)
	check(c.ReprobePeriod >= TickPeriod, "reprobe_period_ns is %s, must be at least %s", c.ReprobePeriod, TickPeriod)
	check(c.GossipPeriod >= TickPeriod, "gossip_period_ns is %s, must be at least %s", c.GossipPeriod, TickPeriod)
	check(c.MaxUpdates > 0, "max_updates is %d, must be positive", c.MaxUpdates)
	check(c.RetransmitFactor > 0, "retransmit_factor is %g, must be positive", c.RetransmitFactor)
	check(c.SyncPeriod >= c.ProbePeriod, "sync_period_ns is %s, must be at least probe_period_ns", c.SyncPeriod)
	check(c.PauseLimit > TickPeriod, "pause_limit_ns is %s, must be greater than %s", c.PauseLimit, TickPeriod)
	check(c.UnreachableTimeout > 0, "unreachable_for_ns is %s, must be positive", c.UnreachableTimeout)
	check(c.GoneRetention > 0, "gone_for_ns is %s, must be positive", c.GoneRetention)
	check(c.MaxLocalHealth >= 0, "max_local_health is %d, must be at least 0", c.MaxLocalHealth)
	return err
}
