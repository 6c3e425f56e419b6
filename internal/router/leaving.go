package router

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/platform"
)

// recordLeaving records that a server leaves if a header of its response says so, and passes that
// on to the other VMs.
func (r *Router) recordLeaving(in backend.Instance, header string) {
	if !platform.ParseServerLeaving(header) {
		return
	}
	isNew := false
	r.locked(func() { isNew = r.core.RecordLeaving(r.clock.now(), in) })
	if isNew {
		r.log.Info().Str("server", string(in.ID)).Msg("backend server leaves, by its response")
		r.sendFindingsNow()
	}
}

// reportSentToLeaving logs a request that was sent at sentAt to a server that was known to leave.
func (r *Router) reportSentToLeaving(requestID string, in backend.Instance, sentAt time.Duration) {
	var since time.Duration
	known := false
	r.locked(func() { since, known = r.core.Backends.LeavingSince(r.clock.now(), in) })
	if known && since < sentAt {
		r.metrics.sentToLeaving.Inc()
		r.log.Warn().Str("request", requestID).Str("server", string(in.ID)).Dur("knownFor", sentAt-since).Msg("request was sent to a backend server that was known to leave")
	}
}

// hasLeft reports whether a server of a path leaves or is gone, which may have become known since
// it was chosen.
func (r *Router) hasLeft(ch *dispatch.Choice) bool {
	if ch.IsPeer() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, stage := range ch.Stages {
		s := r.core.Backends.Get(stage.Instance.ID)
		if s == nil || s.Instance() != stage.Instance || s.State != backend.Ready {
			return true
		}
	}
	return false
}
