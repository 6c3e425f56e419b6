package node

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
)

// EntryConfig is the configuration of an Entry.
type EntryConfig struct {
	// Self is this incarnation of this VM.
	Self ident.Instance `json:"self"`
	// Place is the region and failure domain of the VM.
	Place ident.Place `json:"place"`
	// TokenEstimate bounds the tokens reserved for one completion before its
	// actual count is known. Default 1024.
	TokenEstimate int `json:"token_estimate"`
	// TokenTime is the expected time per token, used to refuse completions that
	// cannot finish by their deadline. Default 20 ms.
	TokenTime time.Duration `json:"token_time_ns"`
	// CallTime is the expected duration of a call to an application. Default 20 ms.
	CallTime time.Duration `json:"call_need_ns"`

	Stream    stream.Config         `json:"stream"`
	Routing   routing.Config        `json:"routing"`
	Admission admission.Config      `json:"admission"`
	Limits    limits.BorrowerConfig `json:"limits"`
	Call      call.Config           `json:"call"`
	List      entrylist.Config      `json:"list"`
}

// EntrySettings are the settings of an entry process that an operator provides.
type EntrySettings struct {
	Self  ident.Instance
	Place ident.Place
	// Addr is the address for callers.
	Addr string
	// StartUnix is the wall-clock time at process time zero, in Unix seconds.
	StartUnix int64
	// Seed initializes every random number generator.
	Seed uint64
}

// DefaultEntryConfig returns the default configuration of a VM's entry process.
func DefaultEntryConfig(s EntrySettings) EntryConfig {
	cfg := EntryConfig{
		Self:          s.Self,
		Place:         s.Place,
		TokenEstimate: 1024,
		TokenTime:     20 * time.Millisecond,
		CallTime:      20 * time.Millisecond,
		Stream:        stream.DefaultConfig(),
		Routing:       routing.DefaultConfig(),
		Admission:     admission.DefaultConfig(),
		Limits:        limits.DefaultBorrowerConfig(),
		Call:          call.DefaultConfig(s.Self),
		List:          entrylist.DefaultConfig(s.Self, s.Addr, s.Place.FailureDomain),
	}
	cfg.Routing.Self = s.Self.VM
	cfg.Routing.Place = s.Place
	cfg.Routing.Seed = s.Seed
	cfg.Admission.Seed = s.Seed
	cfg.Limits.Self = s.Self
	cfg.Limits.Seed = s.Seed
	cfg.Call.StartUnix = s.StartUnix
	cfg.List.StartUnix = s.StartUnix
	return cfg
}

// Validate reports every invalid field, except in the configurations of the combined
// packages, which validate their own.
func (c EntryConfig) Validate() error {
	var faults error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = errors.Join(faults, errors.Newf(format, args...))
		}
	}
	check(c.Self.VM != "", "Self.VM must not be empty: set it to the VM's name")
	check(c.TokenEstimate > 0, "TokenEstimate is %d, must be positive", c.TokenEstimate)
	check(c.TokenTime > 0, "TokenTime is %s, must be positive", c.TokenTime)
	check(c.CallTime > 0, "CallTime is %s, must be positive", c.CallTime)
	return faults
}
