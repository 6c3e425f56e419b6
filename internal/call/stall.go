package call

import "time"

// stallDetector detects that the process was stopped, by the gap between two Ticks.
//
// A request that waited in a socket buffer during the stop was sent long before this entry
// reads it, and its caller may have retried through another entry since. Such a request
// must not count as accepted now.
type stallDetector struct {
	threshold, grace time.Duration
	ticked           bool
	lastTick         time.Duration
	suspectUntil     time.Duration
}

func (s *stallDetector) tick(now time.Duration) {
	s.detectGap(now)
	s.ticked, s.lastTick = true, now
}

func (s *stallDetector) detectGap(now time.Duration) {
	if s.ticked && now-s.lastTick >= s.threshold {
		s.suspectUntil = now + s.grace
	}
}

// mayHaveWaited reports whether a request that is read now may have waited through a stop.
func (s *stallDetector) mayHaveWaited(now time.Duration) bool {
	s.detectGap(now)
	return now < s.suspectUntil
}
