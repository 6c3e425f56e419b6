package routing

import (
	"math"
	"time"
)

// historyStep is the resolution of the history of own requests.
const historyStep = 20 * time.Millisecond

// historySize bounds the samples in that history: 300 cover 6 s or more, and 4.5 s or
// more after the oldest quarter was dropped.
const historySize = 300

// ownSample is the number of own requests in flight from a point in time on.
type ownSample struct {
	at    time.Duration
	count int
}

// server is the state of one backend server. Own requests are this entry's requests in
// flight there; other requests are those of all other entries.
type server struct {
	Server
	ownRequests int
	ownHistory  []ownSample
	// report is the last load report; otherRequests is the moving average of the
	// other entries' requests.
	report        Load
	hasReport     bool
	otherRequests float64
	ownAtReport   float64 // the same for own requests at the times of measurement
	capacity      int
	rampStart     time.Duration // start of the ramp, or when the server was added
	slowStart     bool          // a ramp applies; not to servers of the initial list
	health        health
	leaving       leaving
	hints         hints
	observed      computeTimes
}

// addOwn adds n, which may be negative, to the own requests in flight.
func (s *server) addOwn(now time.Duration, n int) {
	s.ownRequests = max(0, s.ownRequests+n)
	last := len(s.ownHistory) - 1
	if last >= 0 && now-s.ownHistory[last].at < historyStep {
		s.ownHistory[last].count = s.ownRequests
		return
	}
	if len(s.ownHistory) == historySize {
		s.ownHistory = append(s.ownHistory[:0], s.ownHistory[historySize/4:]...)
	}
	s.ownHistory = append(s.ownHistory, ownSample{at: now, count: s.ownRequests})
}

// ownAt returns the own requests in flight at an earlier time.
func (s *server) ownAt(at time.Duration) int {
	for i := len(s.ownHistory) - 1; i >= 0; i-- {
		if s.ownHistory[i].at <= at {
			return s.ownHistory[i].count
		}
	}
	return 0
}

// recordLoad applies a load report, unless it is no newer than the last. The other
// entries' requests and the own requests at the time of measurement are averaged with
// the same time constant: the age of the report, but at least Config.Smoothing.
func (r *Router) recordLoad(now time.Duration, ev Load) {
	s, ok := r.servers[ev.Server]
	if !ok || s.hasReport && ev.MeasuredAt <= s.report.MeasuredAt {
		return
	}
	own := s.ownAt(ev.MeasuredAt)
	otherRequests := float64(max(0, ev.Running+ev.Waiting-own))
	oldWeight := 0.0
	if s.hasReport {
		tau := max(r.cfg.Smoothing, now-ev.MeasuredAt)
		oldWeight = math.Exp(-float64(ev.MeasuredAt-s.report.MeasuredAt) / float64(tau))
	}
	r.othersSum += (1 - oldWeight) * (otherRequests - s.otherRequests)
	r.ownSum += (1 - oldWeight) * (float64(own) - s.ownAtReport)
	s.otherRequests += (1 - oldWeight) * (otherRequests - s.otherRequests)
	s.ownAtReport += (1 - oldWeight) * (float64(own) - s.ownAtReport)
	s.report = ev
	s.hasReport = true
	if ev.Capacity > 0 {
		s.capacity = ev.Capacity
	}
}

// estimateLoad returns the expected requests at a server now: the own ones plus those of
// the other entries at the time of the reports, corrected by the change in own requests
// since. The other entries see the same reports and use the same rules, so they are
// assumed to have changed theirs in proportion.
func (r *Router) estimateLoad(now time.Duration, s *server) float64 {
	ownRequests := float64(s.ownRequests)
	if !s.hasReport || now-s.report.MeasuredAt > r.cfg.ReportMaxAge {
		return ownRequests
	}
	change := r.cfg.PeerGain * r.peerRatio() * (ownRequests - s.ownAtReport)
	return ownRequests + max(0, s.otherRequests+change)
}

// peerRatio returns how many requests the other entries have in flight per own request.
func (r *Router) peerRatio() float64 {
	if r.ownSum < 1 {
		return 0
	}
	return max(0, r.othersSum) / r.ownSum
}
