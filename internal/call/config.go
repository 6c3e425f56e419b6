package call

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Config holds the settings of a Core.
type Config struct {
	// Self is the current incarnation of this VM.
	Self ident.Instance `json:"self"`
	// StartUnix is the wall clock at time zero of this process, in Unix seconds.
	StartUnix int64 `json:"start_unix"`
	// MaxOpen bounds the requests in progress. Default 20,000.
	MaxOpen int `json:"max_open"`

	// MaxTries bounds the sends of one request. Default 3.
	MaxTries int `json:"max_tries"`
	// ReuseWithin is the maximum time since a connection's last answer for reusing it
	// for a call that must run at most once. Default 1 s.
	ReuseWithin time.Duration `json:"reuse_within_ns"`
	// RetryShare bounds retries and hedges as a share of the first sends. Default
	// 0.08.
	RetryShare float64 `json:"retry_share"`
	// RetryBurst bounds the unused retries and hedges that accumulate, in sends.
	// Default 20.
	RetryBurst float64 `json:"retry_burst"`
	// MinHedgeDelay is the minimum wait before an idempotent call is hedged. The
	// wait is otherwise twice the 95th percentile of the service's reply times.
	// Default 50 ms.
	MinHedgeDelay time.Duration `json:"min_hedge_ns"`

	// KeyTTL is the time after its issue within which a key must first be used.
	// Default 10 min.
	KeyTTL time.Duration `json:"key_life_ns"`
	// KeyRetention is the time after its issue for which a key's outcome is kept.
	// Default 15 min.
	KeyRetention time.Duration `json:"retention_ns"`
	// MaxKeys bounds the keys that a home keeps. Default 200,000.
	MaxKeys int `json:"max_keys"`
	// MaxReplyBytes bounds the replies that a home keeps, in bytes. Default 64 MiB.
	MaxReplyBytes int `json:"max_bytes"`
	// MaxAttemptAge is the maximum age of an attempt that a home still sends, and
	// therefore how long tombstones are kept. Default 60 s.
	MaxAttemptAge time.Duration `json:"max_age_ns"`
	// MaxTombstones bounds the tombstones. Default 50,000.
	MaxTombstones int `json:"max_tombstones"`
	// ClockReadingTTL is how long a reading of a home's clock is used. Default 10 s.
	ClockReadingTTL time.Duration `json:"reading_life_ns"`
	// MaxDrift is the maximum relative difference in speed between the clocks of two
	// VMs. Default 0.001.
	MaxDrift float64 `json:"max_drift"`
	// MaxForwards bounds the forwards of one request to its home. Default 3.
	MaxForwards int `json:"forward_tries"`
	// ForwardRetryInterval is the wait between two forwards. Default 100 ms.
	ForwardRetryInterval time.Duration `json:"forward_wait_ns"`

	// MaxClaimWrites bounds the writes that try to claim a key. Default 3.
	MaxClaimWrites int `json:"claim_tries"`
	// ClaimRetryInterval is the wait between two of these writes. Default 100 ms.
	ClaimRetryInterval time.Duration `json:"claim_wait_ns"`
	// CleanupTimeout is how long writes of a claimed key's outcome are retried after
	// the caller was answered. Default 10 min.
	CleanupTimeout time.Duration `json:"cleanup_for_ns"`
	// CleanupInterval is the wait before the first such retry. It doubles with each
	// retry, up to 16 times the first. Default 5 s.
	CleanupInterval time.Duration `json:"cleanup_wait_ns"`

	// StallThreshold is the gap between two Ticks from which the process counts as
	// having been stopped. It must be shorter than callers wait. Default 250 ms.
	StallThreshold time.Duration `json:"stall_after_ns"`
	// StallGrace is the time after a stop during which requests with a key are
	// assumed to have waited through it. Default 300 ms.
	StallGrace time.Duration `json:"stall_grace_ns"`

	// BusyRetryAfter is the Retry-After of refusals that a later attempt may avoid,
	// such as a key in use. Default 1 s.
	BusyRetryAfter time.Duration `json:"busy_retry_after_ns"`
}

// DefaultConfig returns the defaults for one VM.
func DefaultConfig(self ident.Instance) Config {
	return Config{
		Self: self, MaxOpen: 20_000,
		MaxTries: 3, ReuseWithin: time.Second, RetryShare: 0.08, RetryBurst: 20, MinHedgeDelay: 50 * time.Millisecond,
		KeyTTL: 10 * time.Minute, KeyRetention: 15 * time.Minute, MaxKeys: 200_000, MaxReplyBytes: 64 << 20,
		MaxAttemptAge: time.Minute, MaxTombstones: 50_000, ClockReadingTTL: 10 * time.Second, MaxDrift: 0.001,
		MaxForwards: 3, ForwardRetryInterval: 100 * time.Millisecond,
		MaxClaimWrites: 3, ClaimRetryInterval: 100 * time.Millisecond, CleanupTimeout: 10 * time.Minute, CleanupInterval: 5 * time.Second,
		StallThreshold: 250 * time.Millisecond, StallGrace: 300 * time.Millisecond, BusyRetryAfter: time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var err error
	check := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	check(c.Self.VM == "", "Self.VM must not be empty: set it to the VM's name")
	check(c.MaxOpen < 1, "MaxOpen is %d, must be at least 1", c.MaxOpen)
	check(c.MaxTries < 1, "MaxTries is %d, must be at least 1", c.MaxTries)
	check(c.ReuseWithin < 0, "ReuseWithin is %s, must be at least 0", c.ReuseWithin)
	check(c.RetryShare < 0 || c.RetryShare > 1, "RetryShare is %g, must be between 0 and 1", c.RetryShare)
	check(c.RetryBurst < 0, "RetryBurst is %g, must be at least 0", c.RetryBurst)
	check(c.MinHedgeDelay <= 0, "MinHedgeDelay is %s, must be positive", c.MinHedgeDelay)
	check(c.KeyTTL <= 0, "KeyTTL is %s, must be positive", c.KeyTTL)
	check(c.KeyRetention < c.KeyTTL, "KeyRetention is %s, must be at least KeyTTL (%s)", c.KeyRetention, c.KeyTTL)
	check(c.MaxKeys < 1, "MaxKeys is %d, must be at least 1", c.MaxKeys)
	check(c.MaxReplyBytes < 1, "MaxReplyBytes is %d, must be at least 1", c.MaxReplyBytes)
	check(c.MaxAttemptAge <= 0, "MaxAttemptAge is %s, must be positive", c.MaxAttemptAge)
	check(c.MaxTombstones < 1, "MaxTombstones is %d, must be at least 1", c.MaxTombstones)
	check(c.ClockReadingTTL <= 0, "ClockReadingTTL is %s, must be positive", c.ClockReadingTTL)
	check(c.MaxDrift < 0 || c.MaxDrift > 0.1, "MaxDrift is %g, must be between 0 and 0.1", c.MaxDrift)
	check(c.MaxForwards < 1, "MaxForwards is %d, must be at least 1", c.MaxForwards)
	check(c.ForwardRetryInterval <= 0, "ForwardRetryInterval is %s, must be positive", c.ForwardRetryInterval)
	check(c.MaxClaimWrites < 1, "MaxClaimWrites is %d, must be at least 1", c.MaxClaimWrites)
	check(c.ClaimRetryInterval <= 0, "ClaimRetryInterval is %s, must be positive", c.ClaimRetryInterval)
	check(c.CleanupTimeout < 0, "CleanupTimeout is %s, must be at least 0", c.CleanupTimeout)
	check(c.CleanupInterval <= 0, "CleanupInterval is %s, must be positive", c.CleanupInterval)
	check(c.StallThreshold <= 0, "StallThreshold is %s, must be positive", c.StallThreshold)
	check(c.StallGrace < 0, "StallGrace is %s, must be at least 0", c.StallGrace)
	check(c.BusyRetryAfter <= 0, "BusyRetryAfter is %s, must be positive", c.BusyRetryAfter)
	return err
}
