package router

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// detectorMetrics holds the metrics of the failure detector.
type detectorMetrics struct {
	evidence, moved [6]*metrics.Counter // by detector.Kind; streams that were moved
	verdicts        [6]*metrics.Counter // by detector.Result
	checks, evidenceDropped, messagesSent, findingsNotSent,
	movedInVain *metrics.Counter
	messagesDropped map[string]*metrics.Counter // by reason
	evidenceToMove  *metrics.Histogram
}

func newDetectorMetrics() detectorMetrics {
	c := metrics.GetOrCreateCounter
	m := detectorMetrics{
		checks: c("catkin_router_detector_checks_total"), evidenceDropped: c("catkin_router_detector_evidence_dropped_total"),
		messagesSent: c("catkin_router_detector_messages_sent_total"), findingsNotSent: c("catkin_router_detector_findings_not_sent_total"),
		movedInVain: c("catkin_router_detector_moved_in_vain_total"), messagesDropped: map[string]*metrics.Counter{},
		evidenceToMove: metrics.GetOrCreateHistogram("catkin_router_detector_evidence_to_move_seconds"),
	}
	for _, k := range detector.Kinds() {
		m.evidence[k] = c(fmt.Sprintf("catkin_router_detector_evidence_total{kind=%q}", k))
		m.moved[k] = c(fmt.Sprintf("catkin_router_detector_moved_total{kind=%q}", k))
	}
	for _, res := range detector.Results() {
		m.verdicts[res] = c(fmt.Sprintf("catkin_router_detector_verdicts_total{verdict=%q}", res))
	}
	for _, reason := range []string{"malformed", "stale", "unknown"} {
		m.messagesDropped[reason] = c(fmt.Sprintf("catkin_router_detector_messages_dropped_total{reason=%q}", reason))
	}
	return m
}

// countChecks adds the core's counters to the metrics. The caller holds the detector's lock.
func (r *Router) countChecks() {
	d := r.detector
	stats := d.core.Stats()
	r.metrics.checks.Add(stats.Checks - d.counted.Checks)
	r.metrics.evidenceDropped.Add(stats.DroppedEvidence - d.counted.DroppedEvidence)
	r.metrics.findingsNotSent.Add(stats.DroppedFindings - d.counted.DroppedFindings)
	d.counted = stats
}

// countDropped counts the findings of a message that are not used.
func (r *Router) countDropped(m loads.Message, unknown int) {
	if m.Scope > loads.ScopeFindings {
		r.metrics.messagesDropped["unknown"].Inc() // its loads; its findings are used
	}
	if m.Scope != loads.ScopeFindings {
		return
	}
	r.metrics.messagesDropped["unknown"].Add(unknown)
	for _, age := range m.Lost {
		if age < 0 || age > r.cfg.Dispatch.Loads.FindingTTL {
			r.metrics.messagesDropped["stale"].Inc()
		}
	}
}
