package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// RecordLoadReport records the load that a server reports in the header of an answer: the
// number of running and waiting requests whose first stage it is.
func (c *Core) RecordLoadReport(now time.Duration, in backend.Instance, requests int) {
	c.Backends.SetLoadReport(now, in, float64(requests))
}

// firstStageStreams estimates the streams of all VMs whose first stage is s. If s has
// reported its load within LoadReportTTL, that is the report plus the estimated change
// since; otherwise it is the sum of the VMs' loads.
func (c *Core) firstStageStreams(now time.Duration, s *backend.Server, others loads.Load) float64 {
	report := s.LastLoadReport
	if report.At > 0 && now-report.At < c.cfg.LoadReportTTL {
		return max(0, report.Requests+(s.OwnWork.FirstStage-report.OwnFirstStage)*c.Loads.ChangeMultiplier())
	}
	return s.OwnWork.FirstStage + others.FirstStage
}
