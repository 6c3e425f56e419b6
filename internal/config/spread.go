package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// SpreadConfig sets how versions reach this VM and go on from it.
type SpreadConfig struct {
	// Self is this VM, Domain its failure domain.
	Self   ident.VM            `json:"self"`
	Domain ident.FailureDomain `json:"domain"`
	// Seed fixes the choice of peers.
	Seed uint64 `json:"seed"`
	// WatchersPerDomain is how many VMs of a failure domain follow the head in
	// the service. Default 2.
	WatchersPerDomain int `json:"watchers_per_domain"`
	// Fanout is how many peers hear at once of a version that is new here.
	// Default 4.
	Fanout int `json:"fanout"`
	// GossipEvery is the time between two reminders of the version held, each to
	// one peer. Default 1 s.
	GossipEvery time.Duration `json:"gossip_every_ns"`
	// ReportEvery is the time between two reports to the collectors. Default
	// 10 s.
	ReportEvery time.Duration `json:"report_every_ns"`
	// Collectors is how many VMs hear everybody's version, for the status of
	// the fleet. Default 2.
	Collectors int `json:"collectors"`
	// PullTimeout is the wait for a pulled version before another peer is
	// asked. Default 500 ms.
	PullTimeout time.Duration `json:"pull_timeout_ns"`
	// WatchRetry is the wait after a failed read of the service. Default 1 s.
	WatchRetry time.Duration `json:"watch_retry_ns"`
	// SeekDomains is how many other failure domains a fresh VM hears from before
	// it trusts that no newer version is known than the one it took from them.
	// Default 2.
	SeekDomains int `json:"seek_domains"`
	// SeekFor ends that wait where so many do not answer. Default 2 s.
	SeekFor time.Duration `json:"seek_for_ns"`
	// WatchTimeout is the longest wait for the answer of a watch, which the
	// service holds open for up to 30 s. Default 40 s.
	WatchTimeout time.Duration `json:"watch_timeout_ns"`
}

// DefaultSpreadConfig returns the defaults for one VM.
func DefaultSpreadConfig(self ident.VM, domain ident.FailureDomain) SpreadConfig {
	return SpreadConfig{
		Self: self, Domain: domain, WatchersPerDomain: 2, Fanout: 4, GossipEvery: time.Second,
		ReportEvery: 10 * time.Second, Collectors: 2, PullTimeout: 500 * time.Millisecond,
		WatchRetry: time.Second, WatchTimeout: 40 * time.Second, SeekDomains: 2, SeekFor: 2 * time.Second,
	}
}

// Validate names every faulty field.
func (c SpreadConfig) Validate() error {
	var err error
	if c.Self == "" {
		err = errors.Join(err, errors.New("Self is empty, want the VM's name"))
	}
	if c.WatchersPerDomain < 1 {
		err = errors.Join(err, errors.Newf("WatchersPerDomain is %d, want 1 or more", c.WatchersPerDomain))
	}
	if c.Fanout < 1 {
		err = errors.Join(err, errors.Newf("Fanout is %d, want 1 or more", c.Fanout))
	}
	for name, d := range map[string]time.Duration{
		"GossipEvery": c.GossipEvery, "ReportEvery": c.ReportEvery, "PullTimeout": c.PullTimeout,
		"WatchRetry": c.WatchRetry, "WatchTimeout": c.WatchTimeout, "SeekFor": c.SeekFor,
	} {
		if d <= 0 {
			err = errors.Join(err, errors.Newf("%s is %s, want more than 0", name, d))
		}
	}
	return err
}

// Member is a live VM, as membership sees it.
type Member struct {
	VM     ident.VM            `json:"vm"`
	Domain ident.FailureDomain `json:"domain"`
}

// Seen is what a VM last told of itself.
type VersionReport struct {
	Version uint64 `json:"version"`
	// At is when it was told, on this process's clock.
	At time.Duration `json:"at_ns"`
}

// rank orders VMs by a hash that each salt shuffles anew.
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
