package stream

import "github.com/catkinstair/catkinstair/internal/ident"

// maxAliveServers bounds the entries of Table.lastAlive. All are dropped when it is full.
const maxAliveServers = 4096

// markAlive records that a backend server is alive at the current time.
func (t *Table) markAlive(server ident.BackendServer) {
	if _, known := t.lastAlive[server]; !known && len(t.lastAlive) >= maxAliveServers {
		clear(t.lastAlive)
	}
	t.lastAlive[server] = t.now
}

// isSlow reports whether the server of the step in flight was known to be alive after the
// step was last sent. Such a server is slow, not dead, and replacing it would add the
// load of a resume to an overload. It gets more time, up to PrefillTimeout after the
// first send.
func (t *Table) isSlow(s *stream) bool {
	aliveAt, alive := t.lastAlive[s.stages[s.stageIndex].server]
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
