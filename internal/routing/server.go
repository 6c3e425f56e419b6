package routing

import (
	"math"
	"time"
)

// historyStep is the resolution of the own requests' history.
const historyStep = 20 * time.Millisecond

// historySize bounds that history: more than five seconds.
const historySize = 300

// sample is the own requests in flight from a point in time on.
type sample struct {
	at    time.Duration
	count int
}

// server is what the Router knows of one backend server.
type server struct {
	Server
	own     int
	history []sample
	// report is the last load report; others is the smoothed load of others.
	report    Load
	reported  bool
	others    float64
	ownThen   float64 // own requests when others was true, smoothed alike
	capacity  int
	since     time.Duration // of its ramp
	slowStart bool
	health    health
	leaving   leaving
	hints     hints
	seen      times
}

// addOwn changes the own requests in flight.
func (s *server) addOwn(now time.Duration, n int) {
	s.own = max(0, s.own+n)
	last := len(s.history) - 1
	if last >= 0 && now-s.history[last].at < historyStep {
		s.history[last].count = s.own
		return
	}
	if len(s.history) == historySize {
		s.history = append(s.history[:0], s.history[historySize/4:]...)
	}
	s.history = append(s.history, sample{at: now, count: s.own})
}

// ownAt returns the own requests in flight at an earlier time.
func (s *server) ownAt(at time.Duration) int {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].at <= at {
			return s.history[i].count
		}
	}
	return 0
}

// load takes a report. An older one than the last says nothing new. What others
// have there is averaged over the age of the reports, and so is what this entry
// had at the same time.
func (r *Router) load(now time.Duration, ev Load) {
	s, ok := r.servers[ev.Server]
	if !ok || s.reported && ev.MeasuredAt <= s.report.MeasuredAt {
		return
	}
	own := s.ownAt(ev.MeasuredAt)
	others := float64(max(0, ev.Running+ev.Waiting-own))
	keep := 0.0
	if s.reported {
		tau := max(r.cfg.Smoothing, now-ev.MeasuredAt)
		keep = math.Exp(-float64(ev.MeasuredAt-s.report.MeasuredAt) / float64(tau))
	}
	r.othersSum += (1 - keep) * (others - s.others)
	r.ownSum += (1 - keep) * (float64(own) - s.ownThen)
	s.others += (1 - keep) * (others - s.others)
	s.ownThen += (1 - keep) * (float64(own) - s.ownThen)
	s.report = ev
	s.reported = true
	if ev.Capacity > 0 {
		s.capacity = ev.Capacity
	}
}

// estimate returns the expected requests at a server now: the own ones, and
// those of others when the reports were true, corrected by how the own ones
// changed since. The other entries see the same reports and decide by the same
// rules, so they are expected to have done the same, in proportion.
func (r *Router) estimate(now time.Duration, s *server) float64 {
	own := float64(s.own)
	if !s.reported || now-s.report.MeasuredAt > r.cfg.ReportMaxAge {
		return own
	}
	change := r.cfg.PeerGain * r.peerRatio() * (own - s.ownThen)
	return own + max(0, s.others+change)
}

// peerRatio is how many requests others have in flight for each own one.
func (r *Router) peerRatio() float64 {
	if r.ownSum < 1 {
		return 0
	}
	return max(0, r.othersSum) / r.ownSum
}
