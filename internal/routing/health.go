package routing

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// ejectJitter bounds the random extra time of an ejection, as a share of it.
const ejectJitter = 0.2

// health holds the failures and ejections of one server.
type health struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
}

// healthy reports whether a server is neither leaving nor ejected.
func (r *Router) healthy(now time.Duration, s *server) bool {
	return !r.isLeaving(now, s) && now >= s.health.ejectedUntil
}

// ready reports whether a server is healthy and below its ramp limit.
func (r *Router) ready(now time.Duration, s *server) bool {
	return r.healthy(now, s) && s.ownRequests < r.rampLimit(now, s)
}

// rampLimit returns the limit of own requests at a server that is new or was readmitted.
func (r *Router) rampLimit(now time.Duration, s *server) int {
	if !s.slowStart || now >= s.rampStart+r.cfg.Ramp {
		return math.MaxInt
	}
	share := float64(now-s.rampStart) / float64(r.cfg.Ramp)
	return max(1, int(share*float64(s.capacity)))
}

// recordFailure counts a failure and ejects the server after EjectAfter consecutive ones.
func (r *Router) recordFailure(now time.Duration, id ident.BackendServer) []Action {
	s, ok := r.servers[id]
	if !ok || now < s.health.ejectedUntil {
		return nil
	}
	s.health.consecutiveFailures++
	if s.health.consecutiveFailures < r.cfg.EjectAfter || !r.canEject(now, s.Service) {
		return nil
	}
	ejection := min(r.cfg.EjectMax, r.cfg.EjectBase<<min(s.health.ejections, 10))
	ejection += time.Duration(ejectJitter * r.rng.Float64() * float64(ejection))
	s.health.consecutiveFailures = r.cfg.EjectAfter - 1 // the next failure ejects again
	s.health.ejections++
	s.health.ejectedUntil = now + ejection
	s.rampStart = s.health.ejectedUntil
	s.slowStart = true
	r.stats.Ejections++
	return []Action{Ejected{Server: id, Until: s.health.ejectedUntil}}
}

// canEject reports whether one more server of a service may be ejected.
func (r *Router) canEject(now time.Duration, name ident.Service) bool {
	svc := r.services[name]
	ejected := 1
	for _, s := range svc.servers {
		if now < s.health.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) <= r.cfg.MaxEjected*float64(len(svc.servers))
}

// recordSuccess resets the failure count, and the ejection count once the ramp is over.
func (r *Router) recordSuccess(now time.Duration, id ident.BackendServer) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.health.consecutiveFailures = 0
	if now >= s.rampStart+r.cfg.Ramp {
		s.health.ejections = 0
	}
}
