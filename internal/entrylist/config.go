package entrylist

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Config configures one VM's List.
type Config struct {
	// Self is this incarnation of this VM, Addr the address to which its callers
	// connect, such as 10.0.0.1:8080, and Domain its failure domain.
	Self   ident.Instance      `json:"self"`
	Addr   string              `json:"addr"`
	Domain ident.FailureDomain `json:"domain"`
	// StartUnix is the Unix time, in seconds, at time zero of this process. It makes the
	// issue times in key prefixes readable, and must equal call.Config's StartUnix.
	StartUnix int64 `json:"start_unix"`
	// Lifetime is how long a caller may use a list. Default 30 s.
	Lifetime time.Duration `json:"lifetime_ns"`
	// MinLifetime is the shortest remaining grant with which an address is listed.
	// Default 5 s.
	MinLifetime time.Duration `json:"min_lifetime_ns"`
	// GrantTerm is how long this VM grants a peer to stay open. A drain without open
	// streams takes at most about GrantTerm plus Slack. Default 60 s.
	GrantTerm time.Duration `json:"grant_term_ns"`
	// RefreshEvery is the interval at which a peer's grant is renewed. Default 20 s.
	RefreshEvery time.Duration `json:"refresh_every_ns"`
	// RetryEvery is the wait before a grant is requested again if no reply arrived.
	// Default 1 s.
	RetryEvery time.Duration `json:"retry_ask_ns"`
	// MaxPeers is the maximum number of peers whose grants this VM holds. Default 24.
	MaxPeers int `json:"peers"`
	// MaxAddresses is the maximum number of addresses in a list. Default 6.
	MaxAddresses int `json:"addresses"`
	// Slack is how long a leaving entry stays open after the last grant or list expired,
	// to cover requests in transit and clock drift. Default 2 s.
	Slack time.Duration `json:"slack_ns"`
}

// DefaultConfig returns the defaults with the given identity, address and domain.
func DefaultConfig(self ident.Instance, addr string, domain ident.FailureDomain) Config {
	return Config{
		Self: self, Addr: addr, Domain: domain,
		Lifetime: 30 * time.Second, MinLifetime: 5 * time.Second, GrantTerm: 60 * time.Second,
		RefreshEvery: 20 * time.Second, RetryEvery: time.Second, MaxPeers: 24, MaxAddresses: 6, Slack: 2 * time.Second,
	}
}

// WithLifetime returns c with lifetime d. MinLifetime, RefreshEvery and GrantTerm are
// scaled so that they keep the proportions of the defaults.
func (c Config) WithLifetime(d time.Duration) Config {
	c.Lifetime = d
	c.MinLifetime = d / 6
	c.RefreshEvery = d * 2 / 3
	c.GrantTerm = d * 2
	return c
}

// Validate returns one error that names every invalid field, or nil.
func (c Config) Validate() error {
	var err error
	check := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	check(c.Self.VM == "", "Self.VM must not be empty: set it to the VM's name")
	check(strings.Contains(string(c.Self.VM), "."), "Self.VM is %q, must not contain a dot: set a VM name without dots", c.Self.VM)
	check(c.Addr == "", "Addr must not be empty: set the address for callers, such as 10.0.0.1:8080")
	check(c.MinLifetime <= 0, "MinLifetime is %s, must be positive", c.MinLifetime)
	check(c.Lifetime < c.MinLifetime, "Lifetime is %s, must be at least MinLifetime (%s)", c.Lifetime, c.MinLifetime)
	check(c.GrantTerm < c.Lifetime+c.RefreshEvery, "GrantTerm is %s, must be at least Lifetime + RefreshEvery (%s)",
		c.GrantTerm, c.Lifetime+c.RefreshEvery)
	check(c.RefreshEvery <= 0, "RefreshEvery is %s, must be positive", c.RefreshEvery)
	check(c.RetryEvery <= 0, "RetryEvery is %s, must be positive", c.RetryEvery)
	check(c.MaxPeers < 1, "MaxPeers is %d, must be positive", c.MaxPeers)
	check(c.MaxAddresses < 1, "MaxAddresses is %d, must be positive", c.MaxAddresses)
	check(c.Slack < 0, "Slack is %s, must not be negative", c.Slack)
	return err
}
