package call

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Config sets one entry's calls.
type Config struct {
	// Self is this life of this VM.
	Self ident.Instance `json:"self"`
	// StartUnix is the wall clock at time zero of this process, in seconds.
	StartUnix int64 `json:"start_unix"`
	// MaxOpen bounds the requests in progress. Default 20,000.
	MaxOpen int `json:"max_open"`

	// MaxTries bounds the sends of one request. Default 3.
	MaxTries int `json:"max_tries"`
	// ReuseWithin is the longest time since a connection's last answer at which
	// it may still carry a call that may run once. Default 1 s.
	ReuseWithin time.Duration `json:"reuse_within_ns"`
	// RetryShare is the share of extra sends that retries and hedges may add.
	// Default 0.08.
	RetryShare float64 `json:"retry_share"`
	// RetryBurst is how many extra sends may be saved up. Default 20.
	RetryBurst float64 `json:"retry_burst"`
	// MinHedge is the shortest wait before a late idempotent call is hedged; the
	// wait is otherwise twice the 95th percentile of the service's replies.
	// Default 50 ms.
	MinHedge time.Duration `json:"min_hedge_ns"`

	// KeyLife is for how long after its issue a key may first be used. Default
	// 10 min.
	KeyLife time.Duration `json:"key_life_ns"`
	// Retention is for how long after its issue a key's outcome is kept. Default
	// 15 min.
	Retention time.Duration `json:"retention_ns"`
	// MaxKeys bounds the keys kept by a home. Default 200,000.
	MaxKeys int `json:"max_keys"`
	// MaxBytes bounds the answers kept by a home, in bytes. Default 64 MB.
	MaxBytes int `json:"max_bytes"`
	// MaxAge bounds the age of an attempt that a home still sends, and so how
	// long tombstones are kept. Default 60 s.
	MaxAge time.Duration `json:"max_age_ns"`
	// MaxTombstones bounds the tombstones. Default 50,000.
	MaxTombstones int `json:"max_tombstones"`
	// ReadingLife is for how long a reading of a home's clock is used. Default
	// 10 s.
	ReadingLife time.Duration `json:"reading_life_ns"`
	// MaxDrift bounds how much two VMs' clocks differ in speed. Default 0.001.
	MaxDrift float64 `json:"max_drift"`
	// ForwardTries bounds the forwards of one request to its home. Default 3.
	ForwardTries int `json:"forward_tries"`
	// ForwardWait is the wait between two of them. Default 100 ms.
	ForwardWait time.Duration `json:"forward_wait_ns"`

	// ClaimTries bounds the writes that try to claim a key. Default 3.
	ClaimTries int `json:"claim_tries"`
	// ClaimWait is the wait between two of them. Default 100 ms.
	ClaimWait time.Duration `json:"claim_wait_ns"`
	// CleanupFor is for how long the outcome of a claimed key is still written
	// after its caller was answered. Default 10 min.
	CleanupFor time.Duration `json:"cleanup_for_ns"`
	// CleanupWait is the wait before the first such write; it doubles up to 16
	// times that. Default 5 s.
	CleanupWait time.Duration `json:"cleanup_wait_ns"`

	// StallAfter is the gap between two Ticks that shows that the process was
	// stopped; it is to be shorter than callers wait. Default 250 ms.
	StallAfter time.Duration `json:"stall_after_ns"`
	// StallGrace is for how long after a stop a request with a key is taken for
	// one that waited through it. Default 300 ms.
	StallGrace time.Duration `json:"stall_grace_ns"`

	// BusyRetryAfter is the Retry-After for a key in use. Default 1 s.
	BusyRetryAfter time.Duration `json:"busy_retry_after_ns"`
}

// DefaultConfig returns the defaults for one VM.
func DefaultConfig(self ident.Instance) Config {
	return Config{
		Self: self, MaxOpen: 20_000,
		MaxTries: 3, ReuseWithin: time.Second, RetryShare: 0.08, RetryBurst: 20, MinHedge: 50 * time.Millisecond,
		KeyLife: 10 * time.Minute, Retention: 15 * time.Minute, MaxKeys: 200_000, MaxBytes: 64 << 20,
		MaxAge: time.Minute, MaxTombstones: 50_000, ReadingLife: 10 * time.Second, MaxDrift: 0.001,
		ForwardTries: 3, ForwardWait: 100 * time.Millisecond,
		ClaimTries: 3, ClaimWait: 100 * time.Millisecond, CleanupFor: 10 * time.Minute, CleanupWait: 5 * time.Second,
		StallAfter: 250 * time.Millisecond, StallGrace: 300 * time.Millisecond, BusyRetryAfter: time.Second,
	}
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
	fault(c.MaxOpen < 1, "MaxOpen is %d, want 1 or more", c.MaxOpen)
	fault(c.MaxTries < 1, "MaxTries is %d, want 1 or more", c.MaxTries)
	fault(c.ReuseWithin < 0, "ReuseWithin is %s, want 0 or more", c.ReuseWithin)
	fault(c.RetryShare < 0 || c.RetryShare > 1, "RetryShare is %g, want 0 to 1", c.RetryShare)
	fault(c.RetryBurst < 0, "RetryBurst is %g, want 0 or more", c.RetryBurst)
	fault(c.MinHedge <= 0, "MinHedge is %s, want more than 0", c.MinHedge)
	fault(c.KeyLife <= 0, "KeyLife is %s, want more than 0", c.KeyLife)
	fault(c.Retention < c.KeyLife, "Retention is %s, want KeyLife (%s) or more", c.Retention, c.KeyLife)
	fault(c.MaxKeys < 1, "MaxKeys is %d, want 1 or more", c.MaxKeys)
	fault(c.MaxBytes < 1, "MaxBytes is %d, want 1 or more", c.MaxBytes)
	fault(c.MaxAge <= 0, "MaxAge is %s, want more than 0", c.MaxAge)
	fault(c.MaxTombstones < 1, "MaxTombstones is %d, want 1 or more", c.MaxTombstones)
	fault(c.ReadingLife <= 0, "ReadingLife is %s, want more than 0", c.ReadingLife)
	fault(c.MaxDrift < 0 || c.MaxDrift > 0.1, "MaxDrift is %g, want 0 to 0.1", c.MaxDrift)
	fault(c.ForwardTries < 1, "ForwardTries is %d, want 1 or more", c.ForwardTries)
	fault(c.ForwardWait <= 0, "ForwardWait is %s, want more than 0", c.ForwardWait)
	fault(c.ClaimTries < 1, "ClaimTries is %d, want 1 or more", c.ClaimTries)
	fault(c.ClaimWait <= 0, "ClaimWait is %s, want more than 0", c.ClaimWait)
	fault(c.CleanupFor < 0, "CleanupFor is %s, want 0 or more", c.CleanupFor)
	fault(c.CleanupWait <= 0, "CleanupWait is %s, want more than 0", c.CleanupWait)
	fault(c.StallAfter <= 0, "StallAfter is %s, want more than 0", c.StallAfter)
	fault(c.StallGrace < 0, "StallGrace is %s, want 0 or more", c.StallGrace)
	fault(c.BusyRetryAfter <= 0, "BusyRetryAfter is %s, want more than 0", c.BusyRetryAfter)
	return err
}
