package stream

import (
	"strconv"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// replacement hands the frontier stage's range to a new holder.
func (t *Table) replacement(ev Replacement) {
	s, ok := t.streams[ev.Stream]
	if !ok || s.phase != looking || ev.Stage != s.at {
		t.stats.Ignored++
		return
	}
	if ev.Server == "" {
		// Nothing is left but what failed before: it may have come back.
		s.exclude = nil
		return
	}
	s.attempts++
	st := &s.stages[s.at]
	st.server = ev.Server
	st.attempt = s.attempts
	st.position = 0
	st.repositioned = false
	s.fulls = 0
	t.stats.Replaced++
	t.resume(s, true)
}

// resume brings the new holder of the frontier stage to the frontier by the
// cheapest way.
func (t *Table) resume(s *stream, mayImport bool) {
	if s.token == 0 {
		t.drive(s)
		return
	}
	best := Way("")
	var bestCost time.Duration
	for _, way := range t.cfg.Resume {
		if !s.canResumeBy(way, mayImport) {
			continue
		}
		cost := t.expectedGap(s, way)
		if best == "" || cost < bestCost {
			best = way
			bestCost = cost
		}
	}
	if best == "" {
		t.cut(s, verdict.CauseBackendLost, "a lost stage could not be resumed")
		return
	}
	t.resumeBy(s, best)
}

// canResumeBy reports whether what a way needs is there.
func (s *stream) canResumeBy(way Way, mayImport bool) bool {
	switch way {
	case WayImport:
		position := s.stages[s.at].cache.position
		return mayImport && position > 0 && position <= s.token && s.canReplayFrom(position)
	case WayReplay:
		return s.canReplayFrom(0)
	default:
		return true
	}
}

func (t *Table) resumeBy(s *stream, way Way) {
	switch way {
	case WayImport:
		t.importCache(s)
	case WayReplay:
		t.stats.Replayed++
		t.drive(s)
	case WayPrefill:
		t.stats.Prefilled++
		s.prompt = s.open.Prompt + strings.Join(s.emitted, "")
		s.base = len(s.emitted)
		t.startOver(s)
	case WayStartOver:
		t.stats.StartedOver++
		s.prompt = s.open.Prompt
		s.base = 0
		t.startOver(s)
	}
}

// restart begins all stages anew, if a way that does so is allowed. It helps
// where a cache ran ahead and what it gave is lost. It reports whether the
// stream is taken care of.
func (t *Table) restart(s *stream) bool {
	for _, way := range t.cfg.Resume {
		if way == WayPrefill || way == WayStartOver {
			t.resumeBy(s, way)
			return true
		}
	}
	return false
}

// importCache starts the import of the frontier stage's last checkpoint.
func (t *Table) importCache(s *stream) {
	st := &s.stages[s.at]
	st.touched = true
	s.phase = importing
	s.until = t.now + t.cfg.PrefillTimeout
	t.emit(Import{
		Stream:  s.name,
		Stage:   s.at,
		Attempt: st.attempt,
		Server:  st.server,
		Blob:    st.cache.blob,
	})
}

func (t *Table) importDone(ev ImportDone) {
	s := t.waiting(ev.Stream, ev.Stage, ev.Attempt, importing)
	if s == nil {
		return
	}
	st := &s.stages[s.at]
	st.position = st.cache.position
	t.stats.Imported++
	t.drive(s)
}

func (t *Table) importFailed(ev ImportFailed) {
	if s := t.waiting(ev.Stream, ev.Stage, ev.Attempt, importing); s != nil {
		t.resume(s, false)
	}
}

// waiting returns the stream if its frontier stage waits in the given phase.
func (t *Table) waiting(name string, stage int, attempt uint32, want phase) *stream {
	s, ok := t.streams[name]
	if !ok || s.phase != want || stage != s.at || attempt != s.stages[s.at].attempt {
		t.stats.Ignored++
		return nil
	}
	return s
}

// exportDone stores a checkpoint, and goes on with a stream that waited for
// the cache of a leaving stage.
func (t *Table) exportDone(ev ExportDone) {
	s, ok := t.streams[ev.Stream]
	if !ok || ev.Stage < 0 || ev.Stage >= len(s.stages) || s.stages[ev.Stage].attempt != ev.Attempt {
		t.stats.Ignored++
		return
	}
	t.storeCheckpoint(s, &s.stages[ev.Stage], ev.Position, ev.Blob)
	if s.phase == exporting && ev.Stage == s.at {
		t.lose(s)
	}
}

func (t *Table) exportFailed(ev ExportFailed) {
	if s := t.waiting(ev.Stream, ev.Stage, ev.Attempt, exporting); s != nil {
		t.lose(s)
	}
}

// startOver drives the stream's prompt through all stages again, under a new
// name at the engines.
func (t *Table) startOver(s *stream) {
	t.cancelStages(s)
	t.forgetKept(s)
	delete(t.streams, s.name)
	s.starts++
	s.name = s.open.Request + startMark + strconv.Itoa(s.starts)
	t.streams[s.name] = s
	t.names[s.open.Request] = s.name
	for i := range s.stages {
		st := &s.stages[i]
		st.position = 0
		st.touched = false
		st.repositioned = false
	}
	s.token = 0
	s.at = 0
	s.input = s.prompt
	t.drive(s)
}
