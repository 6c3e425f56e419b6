package routing

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// ejectJitter is the share by which ejections are spread.
const ejectJitter = 0.2

// health is the failure evidence on one server.
type health struct {
	inRow     int
	ejections int
	until     time.Duration // ejected until
}

// healthy reports whether a server may get new work at all now.
func (r *Router) healthy(now time.Duration, s *server) bool {
	return !r.leaves(now, s) && now >= s.health.until
}

// ready reports whether a server is healthy and within its ramp.
func (r *Router) ready(now time.Duration, s *server) bool {
	return r.healthy(now, s) && s.own < r.rampCap(now, s)
}

// rampCap bounds the own requests at a server that is new or came back.
func (r *Router) rampCap(now time.Duration, s *server) int {
	if !s.slowStart || now >= s.since+r.cfg.Ramp {
		return math.MaxInt
	}
	share := float64(now-s.since) / float64(r.cfg.Ramp)
	return max(1, int(share*float64(s.capacity)))
}

// failed counts evidence against a server and ejects it when it is enough.
func (r *Router) failed(now time.Duration, id ident.BackendServer) []Action {
	s, ok := r.servers[id]
	if !ok || now < s.health.until {
		return nil
	}
	s.health.inRow++
	if s.health.inRow < r.cfg.EjectAfter || !r.mayEject(now, s.Service) {
		return nil
	}
	pause := min(r.cfg.EjectMax, r.cfg.EjectBase<<min(s.health.ejections, 10))
	pause += time.Duration(ejectJitter * r.rng.Float64() * float64(pause))
	s.health.inRow = r.cfg.EjectAfter - 1 // one more failure after the return is enough
	s.health.ejections++
	s.health.until = now + pause
	s.since = s.health.until
	s.slowStart = true
	r.stats.Ejections++
	return []Action{Ejected{Server: id, Until: s.health.until}}
}

// mayEject reports whether one more server of a service may be ejected.
func (r *Router) mayEject(now time.Duration, name ident.Service) bool {
	svc := r.services[name]
	ejected := 1
	for _, s := range svc.servers {
		if now < s.health.until {
			ejected++
		}
	}
	return float64(ejected) <= r.cfg.MaxEjected*float64(len(svc.servers))
}

// worked counts evidence for a server.
func (r *Router) worked(now time.Duration, id ident.BackendServer) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.health.inRow = 0
	if now >= s.since+r.cfg.Ramp {
		s.health.ejections = 0
	}
}
