package routing

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// leaving is what is known of a server's leaving. Lists lag, so a list that
// does not know of it yet can't revert what was heard elsewhere.
type leaving struct {
	heard     bool // by another way than a list
	heardAt   time.Duration
	listedSo  bool // a list has said it since
	listedNow bool // the last list says it
}

// hear notes that a server said itself, or somebody else saw, that it leaves.
func (r *Router) hear(now time.Duration, id ident.BackendServer) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.leaving.heard = true
	s.leaving.heardAt = now
	s.leaving.listedSo = s.leaving.listedNow
}

// take notes what a list says of a server. A list that said that it leaves and
// now says that it does not is believed: the server is back.
func (s *server) take(now time.Duration, listed Server) {
	s.Server = listed
	s.leaving.listedNow = listed.Leaving
	switch {
	case listed.Leaving:
		s.leaving.listedSo = true
	case s.leaving.listedSo:
		s.leaving = leaving{}
		s.health = health{}
		s.since = now
		s.slowStart = true
	}
}

// leaves reports whether a server must get no new work.
func (r *Router) leaves(now time.Duration, s *server) bool {
	heard := s.leaving.heard && now < s.leaving.heardAt+r.cfg.ListLag
	return s.leaving.listedNow || heard
}
