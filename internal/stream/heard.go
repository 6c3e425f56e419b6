package stream

import "github.com/catkinstair/catkinstair/internal/ident"

// maxHeard bounds the backend servers whose signs of life are remembered.
const maxHeard = 4096

// hear notes a sign of life of a backend server.
func (t *Table) hear(server ident.BackendServer) {
	if _, known := t.heard[server]; !known && len(t.heard) >= maxHeard {
		clear(t.heard)
	}
	t.heard[server] = t.now
}

// slow reports whether the stage of the step in flight was heard of since the
// step was last sent. It is slow then, not dead, and to replace it would add the
// load of a resume to an overload. It gets more time, up to PrefillTimeout.
func (t *Table) slow(s *stream) bool {
	heardAt, heard := t.heard[s.stages[s.at].server]
	return heard && heardAt > s.sentAt && t.now < s.firstSentAt+t.cfg.PrefillTimeout
}

// late handles a step whose wait is over.
func (t *Table) late(s *stream) {
	if s.resends >= t.cfg.Resends && t.slow(s) {
		s.until = t.now + t.cfg.StepTimeout
		return
	}
	t.lost(s)
}
