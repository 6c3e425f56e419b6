package call

import "time"

// stall notices that the process was stopped, by the gap between two Ticks.
//
// A request that lay in a socket's buffer all that time was begun before the
// moment at which this entry reads it, and its caller may have gone on to
// another entry since. Such a request must not count as accepted now.
type stall struct {
	after, grace time.Duration
	ticked       bool
	last         time.Duration
	until        time.Duration
}

func (s *stall) tick(now time.Duration) {
	s.notice(now)
	s.ticked, s.last = true, now
}

func (s *stall) notice(now time.Duration) {
	if s.ticked && now-s.last >= s.after {
		s.until = now + s.grace
	}
}

// suspects reports whether a request that is read now may have waited through a
// stop.
func (s *stall) suspects(now time.Duration) bool {
	s.notice(now)
	return now < s.until
}
