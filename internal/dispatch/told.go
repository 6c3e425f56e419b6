package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/fleet"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// Told takes in what a server says in an answer's header: how many requests that
// were sent to it run or wait there.
func (c *Core) Told(now time.Duration, in fleet.Instance, requests int) {
	c.Fleet.Told(now, in, float64(requests))
}

// firsts estimates the requests that were sent to a server, by all VMs: its own
// word where that is fresh, with what the VMs are taken to have sent since.
func (c *Core) firsts(now time.Duration, s *fleet.Server, others loads.Load) float64 {
	t := s.LastTold
	if t.At > 0 && now-t.At < c.cfg.ToldFor {
		return max(0, t.Requests+(s.Own.Firsts-t.OwnFirsts)*c.Loads.Alike())
	}
	return s.Own.Firsts + others.Firsts
}
