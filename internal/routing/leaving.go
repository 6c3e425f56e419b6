package routing

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// leaving tracks whether a server is leaving. Lists lag behind, so a list that doesn't show
// it yet must not revert a report from another source.
type leaving struct {
	reported        bool // by a source other than a list
	reportedAt      time.Duration
	confirmedByList bool // a list has shown it since the report
	markedInList    bool // the last list shows it
}

// markLeaving records a report that a server is leaving, from the server or an observer.
func (r *Router) markLeaving(now time.Duration, id ident.BackendServer) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.leaving.reported = true
	s.leaving.reportedAt = now
	s.leaving.confirmedByList = s.leaving.markedInList
}

// applyListing updates a server from a list. If lists showed it as leaving and the new
// one doesn't, the server is back and starts with a ramp.
func (s *server) applyListing(now time.Duration, listed Server) {
	s.Server = listed
	s.leaving.markedInList = listed.Leaving
	switch {
	case listed.Leaving:
		s.leaving.confirmedByList = true
	case s.leaving.confirmedByList:
		s.leaving = leaving{}
		s.health = health{}
		s.rampStart = now
		s.slowStart = true
	}
}

// isLeaving reports whether a server must get no new work because it is leaving.
func (r *Router) isLeaving(now time.Duration, s *server) bool {
	reported := s.leaving.reported && now < s.leaving.reportedAt+r.cfg.ListLag
	return s.leaving.markedInList || reported
}
