// Package shutdown decides which requests a VM still serves during a planned stop. Those that
// its exit would cut are refused, so that their callers can send them to another VM.
package shutdown

import "time"

// Config holds the times of a stop, from the signal on.
type Config struct {
	// ListenFor is how long the VM still accepts connections: callers cache its address for the
	// lifetime of the directory's response. Default 3 s.
	ListenFor time.Duration
	// TakeStreamsFor is how long new streams are taken on open connections; later ones may not
	// end before the exit. Default 2.5 s.
	TakeStreamsFor time.Duration
	// Margin is how long before the end of its grace period, when the platform kills it, the
	// process exits at the latest. Default 500 ms.
	Margin time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{ListenFor: 3 * time.Second, TakeStreamsFor: 2500 * time.Millisecond, Margin: 500 * time.Millisecond}
}

// Schedule is the schedule of a stop. Its times are on the VM's clock.
type Schedule struct {
	// LastStreamAt is until when new streams are taken.
	LastStreamAt time.Duration
	// CloseAt is when the VM stops listening and closes idle connections.
	CloseAt time.Duration
	// ExitAt is when requests that are still in progress are cut.
	ExitAt time.Duration
	// LeaveAt is when calls that are still in progress are abandoned.
	LeaveAt time.Duration
}

// Plan returns the schedule of a stop that begins now, within a grace period.
func (c Config) Plan(now, grace time.Duration) Schedule {
	exitAt := now + grace - c.Margin
	return Schedule{LastStreamAt: now + c.TakeStreamsFor, CloseAt: now + c.ListenFor, ExitAt: exitAt, LeaveAt: exitAt + c.Margin/4}
}

// Takes reports whether a request that arrives now on an open connection is served.
func (s Schedule) Takes(now, deadline time.Duration, stream bool) bool {
	switch {
	case now >= s.ExitAt:
		return false
	case stream:
		return now < s.LastStreamAt
	default:
		return now < s.CloseAt || deadline <= s.ExitAt
	}
}
