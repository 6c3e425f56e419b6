package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// SpreadConfig holds the parameters of Spread.
type SpreadConfig struct {
	// Self is the name of this VM, Domain its failure domain.
	Self   ident.VM            `json:"self"`
	Domain ident.FailureDomain `json:"domain"`
	// Seed seeds the random choice of peers.
	Seed uint64 `json:"seed"`
	// WatchersPerDomain is the number of VMs per failure domain that watch the head in
	// the service. Default 2.
	WatchersPerDomain int `json:"watchers_per_domain"`
	// Fanout is the number of peers that are notified at once of a newly adopted
	// version. Default 4.
	Fanout int `json:"fanout"`
	// GossipEvery is the interval at which the held version number is sent to one random
	// peer. Default 1 s.
	GossipEvery time.Duration `json:"gossip_every_ns"`
	// ReportEvery is the interval between two reports to the collectors. Default 10 s.
	ReportEvery time.Duration `json:"report_every_ns"`
	// Collectors is the number of VMs that receive the version reports of all VMs, from
	// which the fleet's status is shown. Default 2.
	Collectors int `json:"collectors"`
	// PullTimeout is the time to wait for a pulled version before another peer is
	// asked. Default 500 ms.
	PullTimeout time.Duration `json:"pull_timeout_ns"`
	// WatchRetry is the mean delay after a failed read of the service. Default 1 s.
	WatchRetry time.Duration `json:"watch_retry_ns"`
	// SeekDomains is the number of other failure domains that must report no version
	// newer than the adopted one before a starting VM is ready. Default 2.
	SeekDomains int `json:"seek_domains"`
	// SeekTimeout is how long after the first adopted version a starting VM waits for
	// SeekDomains. Default 2 s.
	SeekTimeout time.Duration `json:"seek_for_ns"`
	// WatchTimeout bounds the wait for the answer to a watch, which the service holds
	// open for up to 30 s. Default 40 s.
	WatchTimeout time.Duration `json:"watch_timeout_ns"`
}

// DefaultSpreadConfig returns the defaults for one VM.
func DefaultSpreadConfig(self ident.VM, domain ident.FailureDomain) SpreadConfig {
	return SpreadConfig{
		Self: self, Domain: domain, WatchersPerDomain: 2, Fanout: 4, GossipEvery: time.Second,
		ReportEvery: 10 * time.Second, Collectors: 2, PullTimeout: 500 * time.Millisecond,
		WatchRetry: time.Second, WatchTimeout: 40 * time.Second, SeekDomains: 2, SeekTimeout: 2 * time.Second,
	}
}

// Validate reports every invalid field.
func (c SpreadConfig) Validate() error {
	var err error
	if c.Self == "" {
		err = errors.Join(err, errors.New("Self must not be empty: set it to the VM's name"))
	}
	if c.WatchersPerDomain < 1 {
		err = errors.Join(err, errors.Newf("WatchersPerDomain is %d, must be positive", c.WatchersPerDomain))
	}
	if c.Fanout < 1 {
		err = errors.Join(err, errors.Newf("Fanout is %d, must be positive", c.Fanout))
	}
	for name, d := range map[string]time.Duration{
		"GossipEvery": c.GossipEvery, "ReportEvery": c.ReportEvery, "PullTimeout": c.PullTimeout,
		"WatchRetry": c.WatchRetry, "WatchTimeout": c.WatchTimeout, "SeekTimeout": c.SeekTimeout,
	} {
		if d <= 0 {
			err = errors.Join(err, errors.Newf("%s is %s, must be positive", name, d))
		}
	}
	return err
}

// Member is a live VM according to membership.
type Member struct {
	VM     ident.VM            `json:"vm"`
	Domain ident.FailureDomain `json:"domain"`
}

// VersionReport is the version number last reported by a VM.
type VersionReport struct {
	Version uint64 `json:"version"`
	// At is when the report was received, on this process's clock.
	At time.Duration `json:"at_ns"`
}

// rank returns a hash by which VMs are ordered; each salt yields another order.
func rank(vm ident.VM, salt string) uint64 {
	return xxhash.Sum64String(salt + "/" + string(vm))
}

// topRanked returns the n members with the lowest rank.
func topRanked(members []Member, salt string, n int) []ident.VM {
	vms := make([]ident.VM, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	slices.SortFunc(vms, func(a, b ident.VM) int {
		ra, rb := rank(a, salt), rank(b, salt)
		if ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return 0
	})
	return vms[:min(n, len(vms))]
}
