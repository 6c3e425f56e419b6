package stream

import (
	"strconv"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// replaceServer assigns the frontier stage's layer range to a new server.
func (t *Table) replaceServer(ev Replacement) {
	s, ok := t.streams[ev.Stream]
	if !ok || s.phase != awaitingReplacement || ev.Stage != s.stageIndex {
		t.stats.Ignored++
		return
	}
	if ev.Server == "" {
		// Only servers that failed before are left; they may have recovered, so allow
		// them again.
		s.exclude = nil
		return
	}
	s.attempts++
	st := &s.stages[s.stageIndex]
	st.server = ev.Server
	st.attempt = s.attempts
	st.position = 0
	st.repositioned = false
	s.fullRefusals = 0
	t.stats.Replaced++
	t.resume(s, true)
}

// resume brings the frontier stage's new server up to the frontier by the method with the
// least expected time.
func (t *Table) resume(s *stream, mayImport bool) {
	if s.token == 0 {
		t.sendNextStep(s)
		return
	}
	best := ResumeMethod("")
	var bestCost time.Duration
	for _, method := range t.cfg.Resume {
		if !s.canResumeBy(method, mayImport) {
			continue
		}
		cost := t.expectedGap(s, method)
		if best == "" || cost < bestCost {
			best = method
			bestCost = cost
		}
	}
	if best == "" {
		t.cut(s, verdict.CauseBackendLost, "a lost stage could not be resumed")
		return
	}
	t.resumeBy(s, best)
}

// canResumeBy reports whether the data that a method needs is available.
func (s *stream) canResumeBy(method ResumeMethod, mayImport bool) bool {
	switch method {
	case ResumeImport:
		position := s.stages[s.stageIndex].checkpoint.position
		return mayImport && position > 0 && position <= s.token && s.canReplayFrom(position)
	case ResumeReplay:
		return s.canReplayFrom(0)
	default:
		return true
	}
}

func (t *Table) resumeBy(s *stream, method ResumeMethod) {
	switch method {
	case ResumeImport:
		t.importCache(s)
	case ResumeReplay:
		t.stats.Replayed++
		t.sendNextStep(s)
	case ResumePrefill:
		t.stats.Prefilled++
		s.prompt = s.open.Prompt + strings.Join(s.emitted, "")
		s.base = len(s.emitted)
		t.restart(s)
	case ResumeStartOver:
		t.stats.StartedOver++
		s.prompt = s.open.Prompt
		s.base = 0
		t.restart(s)
	}
}

// tryRestart restarts the stream by the first allowed method that does so, and reports
// whether there is one. A restart is needed if a server's cache is ahead of the stream and
// its outputs are lost.
func (t *Table) tryRestart(s *stream) bool {
	for _, method := range t.cfg.Resume {
		if method == ResumePrefill || method == ResumeStartOver {
			t.resumeBy(s, method)
			return true
		}
	}
	return false
}

// importCache starts the import of the frontier stage's last checkpoint.
func (t *Table) importCache(s *stream) {
	st := &s.stages[s.stageIndex]
	st.contacted = true
	s.phase = importing
	s.phaseEnd = t.now + t.cfg.PrefillTimeout
	t.emit(Import{
		Stream:  s.name,
		Stage:   s.stageIndex,
		Attempt: st.attempt,
		Server:  st.server,
		Blob:    st.checkpoint.blob,
	})
}

func (t *Table) importDone(ev ImportDone) {
	s := t.streamInPhase(ev.Stream, ev.Stage, ev.Attempt, importing)
	if s == nil {
		return
	}
	st := &s.stages[s.stageIndex]
	st.position = st.checkpoint.position
	t.stats.Imported++
	t.sendNextStep(s)
}

func (t *Table) importFailed(ev ImportFailed) {
	if s := t.streamInPhase(ev.Stream, ev.Stage, ev.Attempt, importing); s != nil {
		t.resume(s, false)
	}
}

// streamInPhase returns the stream if its frontier stage and attempt match and it is in
// the wanted phase; otherwise it counts the event as ignored.
func (t *Table) streamInPhase(name string, stage int, attempt uint32, want phase) *stream {
	s, ok := t.streams[name]
	if !ok || s.phase != want || stage != s.stageIndex || attempt != s.stages[s.stageIndex].attempt {
		t.stats.Ignored++
		return nil
	}
	return s
}

// exportDone stores a checkpoint. If the stream was waiting for the cache of a leaving
// server, the server is then replaced.
func (t *Table) exportDone(ev ExportDone) {
	s, ok := t.streams[ev.Stream]
	if !ok || ev.Stage < 0 || ev.Stage >= len(s.stages) || s.stages[ev.Stage].attempt != ev.Attempt {
		t.stats.Ignored++
		return
	}
	t.storeCheckpoint(s, &s.stages[ev.Stage], ev.Position, ev.Blob)
	if s.phase == exporting && ev.Stage == s.stageIndex {
		t.loseServer(s)
	}
}

func (t *Table) exportFailed(ev ExportFailed) {
	if s := t.streamInPhase(ev.Stream, ev.Stage, ev.Attempt, exporting); s != nil {
		t.loseServer(s)
	}
}

// restart runs the stream's prompt through all stages again, under a new name at the
// engines.
func (t *Table) restart(s *stream) {
	t.cancelStages(s)
	t.dropKept(s)
	delete(t.streams, s.name)
	s.restarts++
	s.name = s.open.Request + restartSeparator + strconv.Itoa(s.restarts)
	t.streams[s.name] = s
	t.engineNames[s.open.Request] = s.name
	for i := range s.stages {
		st := &s.stages[i]
		st.position = 0
		st.contacted = false
		st.repositioned = false
	}
	s.token = 0
	s.stageIndex = 0
	s.input = s.prompt
	t.sendNextStep(s)
}
