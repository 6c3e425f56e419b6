package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of a Queue.
type Config struct {
	// Slots is the number of requests that may run at once. Default 4096.
	Slots int
	// QueuePerTeam bounds the requests of one team on one service that wait in
	// one priority.
	// Default 64.
	QueuePerTeam int
	// QueueTotal bounds the requests that wait. Default 4096.
	QueueTotal int
	// MaxWait bounds the wait of one request. Default 500 ms.
	MaxWait time.Duration
	// Quantum is the cost that a team may start per round. Default 256.
	Quantum int
	// RetryAfterMin and RetryAfterMax bound the advice when to come back.
	// Defaults 1 s and 30 s.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// Seed spreads the advice.
	Seed uint64
}

// DefaultConfig returns the defaults.
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

// Validate names every faulty field at once.
func (c Config) Validate() error {
	var faults error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = errors.Join(faults, errors.Newf(format, args...))
		}
	}
	check(c.Slots > 0, "Slots is %d: want at least 1", c.Slots)
	check(c.QueuePerTeam >= 0, "QueuePerTeam is %d: want 0 or more", c.QueuePerTeam)
	check(c.QueueTotal >= 0, "QueueTotal is %d: want 0 or more", c.QueueTotal)
	check(c.MaxWait >= 0, "MaxWait is %s: want 0 or more", c.MaxWait)
	check(c.Quantum > 0, "Quantum is %d: want at least 1", c.Quantum)
	check(c.RetryAfterMin > 0, "RetryAfterMin is %s: want more than 0", c.RetryAfterMin)
	check(c.RetryAfterMax >= c.RetryAfterMin, "RetryAfterMax is %s: want at least RetryAfterMin", c.RetryAfterMax)
	return faults
}
