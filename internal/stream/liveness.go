package stream

import "github.com/catkinstair/catkinstair/internal/ident"

// maxAliveServers bounds the number of entries in Table.alive.
const maxAliveServers = 4096

// markAlive records that a backend server is alive now.
func (t *Table) markAlive(server ident.BackendServer) {
	if _, known := t.alive[server]; !known && len(t.alive) >= maxAliveServers {
		clear(t.alive)
	}
	t.alive[server] = t.now
}

// isSlow reports whether the server of the step in flight was known to be alive after the
// step was last sent. Such a server is slow, not dead, and replacing it would add the
// load of a resume to an overload. It gets more time, up to PrefillTimeout after the
// first send.
func (t *Table) isSlow(s *stream) bool {
	aliveAt, alive := t.alive[s.stages[s.stageIndex].server]
	return alive && aliveAt > s.sentAt && t.now < s.firstSentAt+t.cfg.PrefillTimeout
}

// stepTimedOut handles a step whose timeout has expired.
func (t *Table) stepTimedOut(s *stream) {
	if s.resends >= t.cfg.Resends && t.isSlow(s) {
		s.phaseEnd = t.now + t.cfg.StepTimeout
		return
	}
	t.replyLost(s)
}
