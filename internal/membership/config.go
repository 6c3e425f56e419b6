package membership

import (
	"time"

	"github.com/cockroachdb/errors"
)

// TickPeriod is how often the shell ticks the machine.
const TickPeriod = 100 * time.Millisecond

// Config holds the machine's bounds.
type Config struct {
	// Seed fixes the choice of peers to probe.
	Seed uint64 `json:"seed"`
	// Self is this VM's own record; State and Serial are ignored.
	Self Member `json:"self"`
	// Peers bounds the VMs that this one probes, and thus its connections.
	Peers int `json:"peers"`
	// ProbePeriod is the time from one probe to the next.
	ProbePeriod time.Duration `json:"probe_period_ns"`
	// ProbeTimeout bounds a direct probe; a wide probe (new connection and
	// helpers) has twice as long.
	ProbeTimeout time.Duration `json:"probe_timeout_ns"`
	// Helpers is the number of peers asked to probe in one's place.
	Helpers int `json:"helpers"`
	// SuspicionMin and SuspicionMax bound the time from suspect to gone: the
	// larger with no confirmation, the smaller with Confirmations of them.
	SuspicionMin  time.Duration `json:"suspicion_min_ns"`
	SuspicionMax  time.Duration `json:"suspicion_max_ns"`
	Confirmations int           `json:"confirmations"`
	// ReprobePeriod is the time between probes of a suspect.
	ReprobePeriod time.Duration `json:"reprobe_period_ns"`
	// GossipPeriod is the time between messages that only spread updates; none
	// is sent while there is nothing to spread.
	GossipPeriod time.Duration `json:"gossip_period_ns"`
	// MaxUpdates bounds the updates in one message.
	MaxUpdates int `json:"max_updates"`
	// RetransmitFactor times log2 of the fleet is how often one VM sends an
	// update on.
	RetransmitFactor float64 `json:"retransmit_factor"`
	// SyncPeriod is the time between comparisons of the whole state with a
	// peer; the state itself is sent only when digests differ.
	SyncPeriod time.Duration `json:"sync_period_ns"`
	// PauseLimit is the time between two steps above which this process takes
	// itself to have been paused.
	PauseLimit time.Duration `json:"pause_limit_ns"`
	// UnreachableFor is how long a cut may last before its VMs count as gone.
	UnreachableTimeout time.Duration `json:"unreachable_for_ns"`
	// GoneFor is how long a gone VM's record is kept against late updates.
	GoneRetention time.Duration `json:"gone_for_ns"`
	// MaxLocalHealth bounds the factor by which a process that doubts itself
	// lengthens its timeouts.
	MaxLocalHealth int `json:"max_local_health"`
}

// DefaultConfig returns the bounds; Self has to be filled in.
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

// Validate names every faulty field.
func (c Config) Validate() error {
	var err error
	need := func(ok bool, format string, args ...any) {
		if !ok {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	need(c.Self.Instance.VM != "", "self.instance.vm is empty: want the VM's name")
	need(c.Self.Place.FailureDomain != "", "self.place.failure_domain is empty: want the VM's failure domain")
	need(c.Self.ControlAddr != "", "self.control_addr is empty: want the address that peers connect to")
	need(c.Peers > 0, "peers is %d: want at least 1", c.Peers)
	need(c.ProbePeriod >= TickPeriod, "probe_period_ns is %s: want at least %s", c.ProbePeriod, TickPeriod)
	need(c.ProbeTimeout > 0 && c.ProbeTimeout < c.ProbePeriod, "probe_timeout_ns is %s: want above 0 and under probe_period_ns", c.ProbeTimeout)
	need(c.Helpers >= 0, "helpers is %d: want 0 or more", c.Helpers)
	need(c.SuspicionMin > 0, "suspicion_min_ns is %s: want above 0", c.SuspicionMin)
	need(c.SuspicionMax >= c.SuspicionMin, "suspicion_max_ns is %s: want at least suspicion_min_ns", c.SuspicionMax)
	need(c.Confirmations > 0, "confirmations is %d: want at least 1", c.Confirmations)
	need(c.ReprobePeriod >= TickPeriod, "reprobe_period_ns is %s: want at least %s", c.ReprobePeriod, TickPeriod)
	need(c.GossipPeriod >= TickPeriod, "gossip_period_ns is %s: want at least %s", c.GossipPeriod, TickPeriod)
	need(c.MaxUpdates > 0, "max_updates is %d: want at least 1", c.MaxUpdates)
	need(c.RetransmitFactor > 0, "retransmit_factor is %g: want above 0", c.RetransmitFactor)
	need(c.SyncPeriod >= c.ProbePeriod, "sync_period_ns is %s: want at least probe_period_ns", c.SyncPeriod)
	need(c.PauseLimit > TickPeriod, "pause_limit_ns is %s: want above %s", c.PauseLimit, TickPeriod)
	need(c.UnreachableTimeout > 0, "unreachable_for_ns is %s: want above 0", c.UnreachableTimeout)
	need(c.GoneRetention > 0, "gone_for_ns is %s: want above 0", c.GoneRetention)
	need(c.MaxLocalHealth >= 0, "max_local_health is %d: want 0 or more", c.MaxLocalHealth)
	return err
}
