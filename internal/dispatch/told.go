package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// Told takes in what a server says in an answer's header: how many requests that
// were sent to it run or wait there.
func (c *Core) RecordLoadReport(now time.Duration, in backend.Instance, requests int) {
	c.Backends.SetLoadReport(now, in, float64(requests))
}

// firsts estimates the requests that were sent to a server, by all VMs: its own
// word where that is fresh, with what the VMs are taken to have sent since.
func (c *Core) firsts(now time.Duration, s *backend.Server, others loads.Load) float64 {
	t := s.LastReport
	if t.At > 0 && now-t.At < c.cfg.LoadReportTTL {
		return max(0, t.Requests+(s.OwnWork.FirstStage-t.OwnFirstStage)*c.Loads.ChangeMultiplier())
	}
	return s.OwnWork.FirstStage + others.FirstStage
}
