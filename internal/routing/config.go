package routing

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Policy names a way to choose among the replicas in sight.
type Policy string

// The policies.
const (
	// PolicyExpectedTime takes the least expected time of a few random
	// replicas.
	PolicyExpectedTime Policy = "expected-time"
	// PolicyRandom is a baseline: any replica.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin is a baseline: one after the other.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReported is a baseline: the least reported load.
	PolicyLeastReported Policy = "least-reported"
)

// Config holds the settings of a Router.
type Config struct {
	// Self is this entry's VM: it seeds the subset of replicas.
	Self ident.VM
	// Place is where this entry stands: link costs count from here.
	Place ident.Place
	// Seed feeds the random choices.
	Seed uint64
	// Policy is the way to choose. Default expected-time.
	Policy Policy
	// SubsetPerDomain bounds the replicas of one service that are in sight
	// per failure domain; 0 means all. Default 16.
	SubsetPerDomain int
	// Choices is the number of random replicas that are compared; 0 means all
	// in sight. Default 4.
	Choices int
	// Smoothing is the least time constant with which others' load is
	// averaged. Default 500 ms.
	Smoothing time.Duration
	// PeerGain is how much the other entries are expected to follow what this
	// one did since the last report, 0 to 1. Default 0.7.
	PeerGain float64
	// ReportMaxAge is the age from which a load report says nothing any more.
	// Default 15 s.
	ReportMaxAge time.Duration
	// DefaultCapacity stands for a capacity that was never reported, in
	// requests. Default 16.
	DefaultCapacity int
	// TokenTime is the time of one token through all stages at speed 1 and no
	// load, until it is observed. Default 40 ms.
	TokenTime time.Duration
	// PrefillTime is the time of one prompt token at speed 1, until it is
	// observed. Default 1 ms.
	PrefillTime time.Duration
	// BatchSlowdown is by how much a full batch is slower than an empty one,
	// as a share. Default 1.
	BatchSlowdown float64
	// ExpectedTokens stands for the length of an answer. Default 64.
	ExpectedTokens int
	// Speeds gives the relative speed of accelerator kinds, until it is
	// observed. Default 1 for each.
	Speeds map[string]float64
	// LinkDefault is the one-way time to another failure domain whose link
	// was never measured. Default 1 ms.
	LinkDefault time.Duration
	// ListLag is the longest time by which a list is late in saying that a
	// backend server leaves. Default 10 min.
	ListLag time.Duration
	// EjectAfter is the number of failures in a row that ejects a backend
	// server. Default 3.
	EjectAfter int
	// EjectBase is the first ejection's time; it doubles with each further
	// one up to EjectMax. Defaults 1 s and 30 s.
	EjectBase time.Duration
	EjectMax  time.Duration
	// MaxEjected is the share of a service's backend servers above which
	// nothing further is ejected. Default 0.5.
	MaxEjected float64
	// Ramp is the time in which a backend server that is new or came back
	// grows to its full share. Default 10 s.
	Ramp time.Duration
	// HintsPerServer bounds the prefix hashes kept per backend server.
	// Default 2048.
	HintsPerServer int
}

// DefaultConfig returns the defaults; Self, Place and Seed are the caller's.
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

// Validate names every faulty field at once.
func (c Config) Validate() error {
	var faults error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = errors.Join(faults, errors.Newf(format, args...))
		}
	}
	known := map[Policy]bool{PolicyExpectedTime: true, PolicyRandom: true, PolicyRoundRobin: true, PolicyLeastReported: true}
	check(known[c.Policy], "Policy is %q: want %q, %q, %q or %q", c.Policy,
		PolicyExpectedTime, PolicyRandom, PolicyRoundRobin, PolicyLeastReported)
	check(c.SubsetPerDomain >= 0, "SubsetPerDomain is %d: want 0 (all) or more", c.SubsetPerDomain)
	check(c.Choices >= 0, "Choices is %d: want 0 (all) or more", c.Choices)
	check(c.Smoothing > 0, "Smoothing is %s: want more than 0", c.Smoothing)
	check(c.PeerGain >= 0 && c.PeerGain <= 1, "PeerGain is %g: want 0 to 1", c.PeerGain)
	check(c.ReportMaxAge > 0, "ReportMaxAge is %s: want more than 0", c.ReportMaxAge)
	check(c.DefaultCapacity > 0, "DefaultCapacity is %d: want at least 1", c.DefaultCapacity)
	check(c.TokenTime > 0, "TokenTime is %s: want more than 0", c.TokenTime)
	check(c.PrefillTime > 0, "PrefillTime is %s: want more than 0", c.PrefillTime)
	check(c.BatchSlowdown >= 0, "BatchSlowdown is %g: want 0 or more", c.BatchSlowdown)
	check(c.ExpectedTokens > 0, "ExpectedTokens is %d: want at least 1", c.ExpectedTokens)
	check(c.LinkDefault >= 0, "LinkDefault is %s: want 0 or more", c.LinkDefault)
	check(c.ListLag > 0, "ListLag is %s: want more than 0", c.ListLag)
	check(c.EjectAfter > 0, "EjectAfter is %d: want at least 1", c.EjectAfter)
	check(c.EjectBase > 0, "EjectBase is %s: want more than 0", c.EjectBase)
	check(c.EjectMax >= c.EjectBase, "EjectMax is %s: want at least EjectBase", c.EjectMax)
	check(c.MaxEjected >= 0 && c.MaxEjected <= 1, "MaxEjected is %g: want 0 to 1", c.MaxEjected)
	check(c.Ramp >= 0, "Ramp is %s: want 0 or more", c.Ramp)
	check(c.HintsPerServer >= 0, "HintsPerServer is %d: want 0 or more", c.HintsPerServer)
	for kind, speed := range c.Speeds {
		check(speed > 0, "Speeds[%q] is %g: want more than 0", kind, speed)
	}
	return faults
}
