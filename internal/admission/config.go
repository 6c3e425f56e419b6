package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of a Queue.
type Config struct {
	// Slots is the number of requests that may run at once. Default 4096.
	Slots int
	// QueuePerTeam is the maximum number of waiting requests of one team on one
	// service in one priority. Default 64.
	QueuePerTeam int
	// QueueTotal is the maximum number of waiting requests. Default 4096.
	QueueTotal int
	// MaxWait is the maximum wait of one request. Default 500 ms.
	MaxWait time.Duration
	// Quantum is the cost that a team may start per round. Default 256.
	Quantum int
	// RetryAfterMin and RetryAfterMax bound Retry-After. Defaults 1 s and 30 s.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// Seed seeds the randomization of Retry-After.
	Seed uint64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Slots:         4096,
		QueuePerTeam:  64,
		QueueTotal:    4096,
		MaxWait:       500 * time.Millisecond,
		Quantum:       256,
		RetryAfterMin: time.Second,
		RetryAfterMax: 30 * time.Second,
	}
}

// Validate returns one error that names every invalid field, or nil.
func (c Config) Validate() error {
	var errs error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = errors.Join(errs, errors.Newf(format, args...))
		}
	}
	check(c.Slots > 0, "Slots is %d, must be positive", c.Slots)
	check(c.QueuePerTeam >= 0, "QueuePerTeam is %d, must not be negative", c.QueuePerTeam)
	check(c.QueueTotal >= 0, "QueueTotal is %d, must not be negative", c.QueueTotal)
	check(c.MaxWait >= 0, "MaxWait is %s, must not be negative", c.MaxWait)
	check(c.Quantum > 0, "Quantum is %d, must be positive", c.Quantum)
	check(c.RetryAfterMin > 0, "RetryAfterMin is %s, must be positive", c.RetryAfterMin)
	check(c.RetryAfterMax >= c.RetryAfterMin, "RetryAfterMax is %s, must be at least RetryAfterMin", c.RetryAfterMax)
	return errs
}
