package orders

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config is the configuration of a Core.
type Config struct {
	// Slot is the lease slot whose holder issues orders. Default 0.
	Slot int `json:"slot"`
	// MaxOrderLatency is the longest time from the check before a send to the order's
	// effect on the engine. Default 5 s.
	MaxOrderLatency time.Duration `json:"longest_order_ns"`
	// MinRemainingLease is how much longer the lease must last for an order to be sent to
	// an engine that ignores fencing tokens. Default 500 ms.
	MinRemainingLease time.Duration `json:"stop_early_ns"`
	// ClockMargin is the fraction by which waits are lengthened, to allow for clocks that
	// run at different rates. Default 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// ReadInterval is the time between two reads of an engine's state. Default 10 s.
	ReadInterval time.Duration `json:"read_every_ns"`
	// AnswerTimeout is how long to wait for an answer before the engine is read back.
	// Default 2 s.
	AnswerTimeout time.Duration `json:"answer_within_ns"`
	// StabilizationWindow is how long a change of the desired state must persist before
	// it takes effect. Default 10 s.
	StabilizationWindow time.Duration `json:"stable_for_ns"`
	// WeightRate is the throughput of the weight store in bytes per second. Default 1
	// GB/s.
	WeightRate float64 `json:"weight_rate"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxOrderLatency:     5 * time.Second,
		MinRemainingLease:   500 * time.Millisecond,
		ClockMargin:         0.03,
		ReadInterval:        10 * time.Second,
		AnswerTimeout:       2 * time.Second,
		StabilizationWindow: 10 * time.Second,
		WeightRate:          1e9,
	}
}

// Validate returns one error that names every invalid field, or nil.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, text string) {
		if !ok {
			err = errors.Join(err, errors.New("orders: "+text))
		}
	}
	check(c.Slot >= 0, "slot must not be negative")
	check(c.MaxOrderLatency > 0, "longest_order must be positive")
	check(c.MinRemainingLease >= 0 && c.MinRemainingLease <= c.MaxOrderLatency, "stop_early must be from 0 to longest_order")
	check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be at least 0 and below 1")
	check(c.ReadInterval > 0, "read_every must be positive")
	check(c.AnswerTimeout > 0, "answer_within must be positive")
	check(c.StabilizationWindow >= 0, "stable_for must not be negative")
	check(c.WeightRate > 0, "weight_rate must be positive")
	return err
}

// TakeoverDelay is how long a new leader sends nothing to an engine that ignores fencing
// tokens.
func (c Config) TakeoverDelay() time.Duration {
	return c.withClockMargin(c.MaxOrderLatency - c.MinRemainingLease)
}

func (c Config) withClockMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockMargin)
}
