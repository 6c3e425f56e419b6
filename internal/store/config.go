package store

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config limits the use of the key-value service.
type Config struct {
	// Seed seeds the jitter of the backoff.
	Seed uint64 `json:"seed"`
	// FleetReadsPerSecond and FleetWritesPerSecond are the rates that all processes
	// together may use. Defaults 200 and 60.
	FleetReadsPerSecond  float64 `json:"fleet_reads_per_second"`
	FleetWritesPerSecond float64 `json:"fleet_writes_per_second"`
	// FleetBurst is the number of reads, and of writes, that all processes together may
	// send at once after an idle period. A process has its share of it, but at least
	// MinBurst. Defaults 400 and 8.
	FleetBurst float64 `json:"fleet_burst"`
	MinBurst   float64 `json:"min_burst"`
	// Reserve is the fraction of the burst, 0 to 1, that is reserved for urgent calls.
	// Default 0.25.
	Reserve float64 `json:"reserve"`
	// CallTimeout limits one call. A watch's Wait is added to it. Default 2 s.
	CallTimeout time.Duration `json:"call_timeout_ns"`
	// BackoffBase and BackoffMax are the initial and the maximum backoff after a failure,
	// before jitter. Defaults 100 ms and 5 s.
	BackoffBase time.Duration `json:"backoff_base_ns"`
	BackoffMax  time.Duration `json:"backoff_max_ns"`
	// The service counts as down after DownAfter without a success and at least
	// DownAfterFailures consecutive failures. Defaults 2 s and 3.
	DownAfter         time.Duration `json:"down_after_ns"`
	DownAfterFailures int           `json:"failures_down"`
	// MaxPending is the maximum number of calls that wait or are in flight. Default 256.
	MaxPending int `json:"max_pending"`
	// MaxCached is the maximum number of gets and lists whose last reply is cached. The
	// replies of further ones are not cached. Default 256.
	MaxCached int `json:"max_kept"`
}

// DefaultConfig returns the default configuration. Its rates are about a tenth of the reads
// and a fifth of the writes that the service handles (2000 and several hundred per second).
func DefaultConfig() Config {
	return Config{
		Seed:                 1,
		FleetReadsPerSecond:  200,
		FleetWritesPerSecond: 60,
		FleetBurst:           400,
		MinBurst:             8,
		Reserve:              0.25,
		CallTimeout:          2 * time.Second,
		BackoffBase:          100 * time.Millisecond,
		BackoffMax:           5 * time.Second,
		DownAfter:            2 * time.Second,
		DownAfterFailures:    3,
		MaxPending:           256,
		MaxCached:            256,
	}
}

// Validate returns one error that names every invalid field, or nil.
func (c Config) Validate() error {
	var err error
	positive := func(name string, v float64) {
		if v <= 0 {
			err = errors.Join(err, errors.Newf("%s is %g, must be positive", name, v))
		}
	}
	positive("fleet_reads_per_second", c.FleetReadsPerSecond)
	positive("fleet_writes_per_second", c.FleetWritesPerSecond)
	positive("call_timeout_ns", float64(c.CallTimeout))
	positive("backoff_base_ns", float64(c.BackoffBase))
	positive("down_after_ns", float64(c.DownAfter))
	positive("failures_down", float64(c.DownAfterFailures))
	positive("max_pending", float64(c.MaxPending))
	positive("max_kept", float64(c.MaxCached))
	if c.MinBurst < 1 {
		err = errors.Join(err, errors.Newf("min_burst is %g, must be at least 1", c.MinBurst))
	}
	if c.FleetBurst < c.MinBurst {
		err = errors.Join(err, errors.Newf("fleet_burst is %g, must be at least min_burst", c.FleetBurst))
	}
	if c.Reserve < 0 || c.Reserve >= 1 {
		err = errors.Join(err, errors.Newf("reserve is %g, must be at least 0 and below 1", c.Reserve))
	}
	if c.BackoffMax < c.BackoffBase {
		err = errors.Join(err, errors.Newf("backoff_max_ns is %d, must be at least backoff_base_ns", c.BackoffMax))
	}
	return err
}
