package orders

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config is the configuration of a Core.
type Config struct {
	// Slot is the lease's slot whose holder gives orders. Default 0.
	Slot int `json:"slot"`
	// LongestOrder is the longest time from the check before a send up to the
	// order's effect on the engine. Default 5 s.
	LongestOrder time.Duration `json:"longest_order_ns"`
	// StopEarly is how much longer the lease must last for an order to an
	// engine that ignores fencing numbers. Default 500 ms.
	StopEarly time.Duration `json:"stop_early_ns"`
	// ClockMargin is the share by which waits are lengthened, for clocks that
	// differ in rate. Default 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// ReadEvery is the time between two read-backs of an engine. Default 10 s.
	ReadEvery time.Duration `json:"read_every_ns"`
	// AnswerWithin is how long an answer is waited for before the order is read
	// back. Default 2 s.
	AnswerWithin time.Duration `json:"answer_within_ns"`
	// StableFor is how long a change of the desired state must be wanted.
	// Default 10 s.
	StableFor time.Duration `json:"stable_for_ns"`
	// WeightRate is what the weight store gives, in bytes per second. Default
	// 1 GB/s.
	WeightRate float64 `json:"weight_rate"`
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		LongestOrder: 5 * time.Second,
		StopEarly:    500 * time.Millisecond,
		ClockMargin:  0.03,
		ReadEvery:    10 * time.Second,
		AnswerWithin: 2 * time.Second,
		StableFor:    10 * time.Second,
		WeightRate:   1e9,
	}
}

// Validate returns one error that names every faulty field.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, text string) {
		if !ok {
			err = errors.Join(err, errors.New("orders: "+text))
		}
	}
	check(c.Slot >= 0, "slot must not be negative")
	check(c.LongestOrder > 0, "longest_order must be above zero")
	check(c.StopEarly >= 0 && c.StopEarly <= c.LongestOrder, "stop_early must be from 0 to longest_order")
	check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be from 0 up to 1")
	check(c.ReadEvery > 0, "read_every must be above zero")
	check(c.AnswerWithin > 0, "answer_within must be above zero")
	check(c.StableFor >= 0, "stable_for must not be negative")
	check(c.WeightRate > 0, "weight_rate must be above zero")
	return err
}

// SuccessorWait is how long a new holder sends nothing to an engine that
// ignores fencing numbers.
func (c Config) SuccessorWait() time.Duration {
	return c.lengthen(c.LongestOrder - c.StopEarly)
}

func (c Config) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockMargin)
}
