package entrylist

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Config sets one VM's entry list.
type Config struct {
	// Self is this life of this VM; Addr is where its callers connect, and
	// Domain its failure domain.
	Self   ident.Instance      `json:"self"`
	Addr   string              `json:"addr"`
	Domain ident.FailureDomain `json:"domain"`
	// StartUnix is the wall clock at time zero of this process, in seconds. It
	// only gives issue seconds in key prefixes a readable form.
	StartUnix int64 `json:"start_unix"`
	// Lifetime is how long a caller may keep an answer. Default 30 s.
	Lifetime time.Duration `json:"lifetime_ns"`
	// MinLifetime is the shortest lifetime worth an address: one whose grant
	// ends sooner is left out. Default 5 s.
	MinLifetime time.Duration `json:"min_lifetime_ns"`
	// GrantTerm is for how long this VM promises a peer to stay open. The longest
	// drain without streams takes about as long. Default 60 s.
	GrantTerm time.Duration `json:"grant_term_ns"`
	// RefreshEvery is the time between two requests for one peer's grant.
	// Default 20 s.
	RefreshEvery time.Duration `json:"refresh_every_ns"`
	// RetryAsk is the wait before a request that brought no grant is repeated.
	// Default 1 s.
	RetryEvery time.Duration `json:"retry_ask_ns"`
	// Peers bounds the peers whose grants this VM holds. Default 24.
	MaxPeers int `json:"peers"`
	// Addresses bounds the addresses in one answer. Default 6.
	MaxAddresses int `json:"addresses"`
	// Slack is the time that a leaving entry stays open beyond the last promise,
	// for requests on their way and for drift between clocks. Default 2 s.
	Slack time.Duration `json:"slack_ns"`
}

// DefaultConfig returns the defaults for one VM.
func DefaultConfig(self ident.Instance, addr string, domain ident.FailureDomain) Config {
	return Config{
		Self: self, Addr: addr, Domain: domain,
		Lifetime: 30 * time.Second, MinLifetime: 5 * time.Second, GrantTerm: 60 * time.Second,
		RefreshEvery: 20 * time.Second, RetryEvery: time.Second, MaxPeers: 24, MaxAddresses: 6, Slack: 2 * time.Second,
	}
}

// WithLifetime returns c with another lifetime of answers, and with the times
// that depend on it in the proportions of the defaults.
func (c Config) WithLifetime(d time.Duration) Config {
	c.Lifetime = d
	c.MinLifetime = d / 6
	c.RefreshEvery = d * 2 / 3
	c.GrantTerm = d * 2
	return c
}

// Validate names every faulty field.
func (c Config) Validate() error {
	var err error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	fault(c.Self.VM == "", "Self.VM is empty, want the VM's name")
	fault(strings.Contains(string(c.Self.VM), "."), "Self.VM is %q, want a name without dots", c.Self.VM)
	fault(c.Addr == "", "Addr is empty, want an address such as 10.0.0.1:8080")
	fault(c.MinLifetime <= 0, "MinLifetime is %s, want more than 0", c.MinLifetime)
	fault(c.Lifetime < c.MinLifetime, "Lifetime is %s, want MinLifetime (%s) or more", c.Lifetime, c.MinLifetime)
	fault(c.GrantTerm < c.Lifetime+c.RefreshEvery, "GrantTerm is %s, want Lifetime + RefreshEvery (%s) or more",
		c.GrantTerm, c.Lifetime+c.RefreshEvery)
	fault(c.RefreshEvery <= 0, "RefreshEvery is %s, want more than 0", c.RefreshEvery)
	fault(c.RetryEvery <= 0, "RetryAsk is %s, want more than 0", c.RetryEvery)
	fault(c.MaxPeers < 1, "Peers is %d, want 1 or more", c.MaxPeers)
	fault(c.MaxAddresses < 1, "Addresses is %d, want 1 or more", c.MaxAddresses)
	fault(c.Slack < 0, "Slack is %s, want 0 or more", c.Slack)
	return err
}
