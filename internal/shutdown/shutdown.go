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
	// process gives up what is still in progress. Default 500 ms, at most an eighth of the period.
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
	// ExitAt is when requests that are still in progress are given up: each that has no response
	// yet gets its final one.
	ExitAt time.Duration
	// LeaveAt is when these responses must have been written.
	LeaveAt time.Duration
	// GoneAt is when the process ends at the latest.
	GoneAt time.Duration
}

// maxDelayShare is the divisor of the grace period that a stop may count as begun before its signal was
// handled, together with the margin: what is cut in the last sixth is excused.
const maxDelayShare = 6

// Plan returns the schedule of a stop whose signal is handled now and was sent up to delay earlier,
// within a grace period. In a short grace period, the VM listens for half of the time until its exit.
func (c Config) Plan(now, delay, grace time.Duration) Schedule {
	margin := min(c.Margin, grace/8)
	begun := now - min(delay, grace/maxDelayShare-margin)
	serveFor := grace - margin
	listenFor := min(c.ListenFor, serveFor/2)
	exitAt := begun + serveFor
	return Schedule{
		LastStreamAt: begun + min(c.TakeStreamsFor, listenFor), CloseAt: begun + listenFor,
		ExitAt: exitAt, LeaveAt: exitAt + margin/4, GoneAt: exitAt + margin*3/4,
	}
}

// Arrival is a request that arrives on an open connection during a stop.
type Arrival struct {
	// Deadline is the end of its time budget, on the VM's clock.
	Deadline time.Duration
	Stream   bool
	// Duration is how long the stream is expected to last, 0 for unknown.
	Duration time.Duration
}

// Takes reports whether a request that arrives now is served.
func (s Schedule) Takes(now time.Duration, a Arrival) bool {
	switch {
	case now >= s.ExitAt:
		return false
	case a.Stream:
		return now < s.LastStreamAt && min(a.Deadline, now+a.Duration) <= s.ExitAt
	default:
		return now < s.CloseAt || a.Deadline <= s.ExitAt
	}
}
