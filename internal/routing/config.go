package routing

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Policy names the rule for choosing among the replicas of the subset.
type Policy string

// The policies.
const (
	// PolicyExpectedTime takes the replica with the least expected time in a
	// random sample.
	PolicyExpectedTime Policy = "expected-time"
	// PolicyRandom takes a random replica. Baseline for comparisons.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes the replicas in turn. Baseline for comparisons.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReported takes the replica with the least reported load. Baseline
	// for comparisons.
	PolicyLeastReported Policy = "least-reported"
)

// Config holds the settings of a Router.
type Config struct {
	// Self is this entry's VM. It determines the subset of replicas.
	Self ident.VM
	// Place is this entry's location; link times are measured from it.
	Place ident.Place
	// Seed seeds the random number generator.
	Seed uint64
	// Policy is the rule for choosing a replica. Default expected-time.
	Policy Policy
	// SubsetPerDomain bounds the replicas of one service that this entry uses per
	// failure domain; 0 means all. Default 16.
	SubsetPerDomain int
	// Choices is the size of the random sample that is compared; 0 means the whole
	// subset. Default 4.
	Choices int
	// Smoothing is the minimum time constant of the moving average of other
	// entries' load. Default 500 ms.
	Smoothing time.Duration
	// PeerGain, from 0 to 1, is how far the other entries are assumed to have
	// changed their load in the same proportion as this entry since the last
	// report: 0 not at all, 1 fully. Default 0.7.
	PeerGain float64
	// ReportMaxAge is the age above which a load report is ignored. Default 15 s.
	ReportMaxAge time.Duration
	// DefaultCapacity is the assumed capacity, in requests, of a server that has
	// not reported one. Default 16.
	DefaultCapacity int
	// TokenTime is the assumed time of one token through all stages at speed 1
	// without load, used until it is observed. Default 40 ms.
	TokenTime time.Duration
	// PrefillTime is the assumed time of one prompt token at speed 1, used until it
	// is observed. Default 1 ms.
	PrefillTime time.Duration
	// BatchSlowdown is the relative increase of the token time from an empty to a
	// full batch. Default 1 (twice the time).
	BatchSlowdown float64
	// ExpectedTokens is the assumed length of an answer, in tokens. Default 64.
	ExpectedTokens int
	// Speeds maps accelerator kinds to relative speeds, used until times are
	// observed. Default 1 for each kind.
	Speeds map[string]float64
	// LinkDefault is the assumed one-way time to another failure domain until Link
	// reports one. Default 1 ms.
	LinkDefault time.Duration
	// ListLag is the maximum delay until a list shows that a backend server is
	// leaving. Default 10 min.
	ListLag time.Duration
	// EjectAfter is the number of consecutive failures that ejects a backend
	// server. Default 3.
	EjectAfter int
	// EjectBase is the duration of the first ejection; it doubles with each further
	// one up to EjectMax. Defaults 1 s and 30 s.
	EjectBase time.Duration
	EjectMax  time.Duration
	// MaxEjected bounds the share of a service's backend servers that are ejected
	// at once. Default 0.5.
	MaxEjected float64
	// Ramp is the time over which the request limit of a new or readmitted backend
	// server grows to its capacity. Default 10 s.
	Ramp time.Duration
	// HintsPerServer bounds the prefix hashes kept per backend server. Default 2048.
	HintsPerServer int
}

// DefaultConfig returns the defaults. The caller sets Self, Place and Seed.
func DefaultConfig() Config {
	return Config{
		Policy:          PolicyExpectedTime,
		SubsetPerDomain: 16,
		Choices:         4,
		Smoothing:       500 * time.Millisecond,
		PeerGain:        0.7,
		ReportMaxAge:    15 * time.Second,
		DefaultCapacity: 16,
		TokenTime:       40 * time.Millisecond,
		PrefillTime:     time.Millisecond,
		BatchSlowdown:   1,
		ExpectedTokens:  64,
		LinkDefault:     time.Millisecond,
		ListLag:         10 * time.Minute,
		EjectAfter:      3,
		EjectBase:       time.Second,
		EjectMax:        30 * time.Second,
		MaxEjected:      0.5,
		Ramp:            10 * time.Second,
		HintsPerServer:  2048,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var errs error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = errors.Join(errs, errors.Newf(format, args...))
		}
	}
	valid := map[Policy]bool{PolicyExpectedTime: true, PolicyRandom: true, PolicyRoundRobin: true, PolicyLeastReported: true}
	check(valid[c.Policy], "Policy is %q, must be %q, %q, %q or %q", c.Policy,
		PolicyExpectedTime, PolicyRandom, PolicyRoundRobin, PolicyLeastReported)
	check(c.SubsetPerDomain >= 0, "SubsetPerDomain is %d, must be 0 (all) or more", c.SubsetPerDomain)
	check(c.Choices >= 0, "Choices is %d, must be 0 (all) or more", c.Choices)
	check(c.Smoothing > 0, "Smoothing is %s, must be positive", c.Smoothing)
	check(c.PeerGain >= 0 && c.PeerGain <= 1, "PeerGain is %g, must be between 0 and 1", c.PeerGain)
	check(c.ReportMaxAge > 0, "ReportMaxAge is %s, must be positive", c.ReportMaxAge)
	check(c.DefaultCapacity > 0, "DefaultCapacity is %d, must be at least 1", c.DefaultCapacity)
	check(c.TokenTime > 0, "TokenTime is %s, must be positive", c.TokenTime)
	check(c.PrefillTime > 0, "PrefillTime is %s, must be positive", c.PrefillTime)
	check(c.BatchSlowdown >= 0, "BatchSlowdown is %g, must be at least 0", c.BatchSlowdown)
	check(c.ExpectedTokens > 0, "ExpectedTokens is %d, must be at least 1", c.ExpectedTokens)
	check(c.LinkDefault >= 0, "LinkDefault is %s, must be at least 0", c.LinkDefault)
	check(c.ListLag > 0, "ListLag is %s, must be positive", c.ListLag)
	check(c.EjectAfter > 0, "EjectAfter is %d, must be at least 1", c.EjectAfter)
	check(c.EjectBase > 0, "EjectBase is %s, must be positive", c.EjectBase)
	check(c.EjectMax >= c.EjectBase, "EjectMax is %s, must be at least EjectBase", c.EjectMax)
	check(c.MaxEjected >= 0 && c.MaxEjected <= 1, "MaxEjected is %g, must be between 0 and 1", c.MaxEjected)
	check(c.Ramp >= 0, "Ramp is %s, must be at least 0", c.Ramp)
	check(c.HintsPerServer >= 0, "HintsPerServer is %d, must be at least 0", c.HintsPerServer)
	for accelerator, speed := range c.Speeds {
		check(speed > 0, "Speeds[%q] is %g, must be positive", accelerator, speed)
	}
	return errs
}
