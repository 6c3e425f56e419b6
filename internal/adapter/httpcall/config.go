package httpcall

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of a Client.
type Config struct {
	// DialTimeout bounds the opening of one connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Default 15 s.
	IdleTimeout time.Duration
	// MaxConnsPerAddr bounds the connections to one address, idle and in use.
	// Default 512.
	MaxConnsPerAddr int
	// MaxIdlePerAddr bounds the idle connections to one address. Default 64.
	MaxIdlePerAddr int
	// MaxBodyBytes bounds the body of an answer. Default 16 MiB.
	MaxBodyBytes int
	// KeepAlive is TCP's own probing, which shows a connection that went silent
	// for good. Default: after 1 s without a byte, each 500 ms, lost after 3.
	KeepAlive net.KeepAliveConfig
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{
		DialTimeout:     time.Second,
		IdleTimeout:     15 * time.Second,
		MaxConnsPerAddr: 512,
		MaxIdlePerAddr:  64,
		MaxBodyBytes:    16 << 20,
		KeepAlive:       net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
	}
}

// Validate names every faulty field at once.
func (c Config) Validate() error {
	var faults []string
	if c.DialTimeout <= 0 {
		faults = append(faults, "DialTimeout: want more than 0")
	}
	if c.IdleTimeout <= 0 {
		faults = append(faults, "IdleTimeout: want more than 0")
	}
	if c.MaxConnsPerAddr <= 0 {
		faults = append(faults, "MaxConnsPerAddr: want at least 1")
	}
	if c.MaxIdlePerAddr <= 0 {
		faults = append(faults, "MaxIdlePerAddr: want at least 1")
	}
	if c.MaxBodyBytes <= 0 {
		faults = append(faults, "MaxBodyBytes: want at least 1")
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

// Options are the demands of one call.
type Options struct {
	// Deadline is when the call gives up. Zero means DefaultTimeout from now.
	Deadline time.Time
	// Fresh demands a connection opened for this call. It is kept for later
	// calls when the call succeeds.
	NewConnection bool
	// MaxIdle, when positive, allows only a connection that is new or whose
	// last answer is at most this old.
	MaxIdleTime time.Duration
}

// DefaultTimeout bounds a call whose Options name no deadline.
const DefaultTimeout = 30 * time.Second

// Within returns Options with a deadline d from now.
func Within(d time.Duration) Options {
	return Options{Deadline: time.Now().Add(d)}
}

// OnFresh returns o with a fresh connection demanded.
func (o Options) WithNewConnection() Options {
	o.NewConnection = true
	return o
}

func (o Options) deadline(now time.Time) time.Time {
	if o.Deadline.IsZero() {
		return now.Add(DefaultTimeout)
	}
	return o.Deadline
}
