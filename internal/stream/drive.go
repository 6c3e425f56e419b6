package stream

import (
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// drive sends the next step: the frontier's, or a kept one that the frontier
// stage's holder lacks.
func (t *Table) drive(s *stream) {
	s.resends = 0
	s.sent = s.stages[s.at].position
	t.send(s, false)
}

// send sends the step s.sent to the stage at the frontier.
func (t *Table) send(s *stream, newConnection bool) {
	st := &s.stages[s.at]
	st.touched = true
	s.phase = stepping
	s.sentAt = t.now
	if s.resends == 0 {
		s.firstSentAt = t.now
	}
	s.until = t.now + t.stepTimeout(s, st)
	t.emit(SendStep{
		Stream:        s.name,
		Attempt:       st.attempt,
		Token:         s.sent,
		From:          st.From,
		To:            st.To,
		Server:        st.server,
		Data:          s.inputOf(s.at, s.sent),
		Seed:          s.open.Seed,
		Priority:      s.open.Priority,
		NewConnection: newConnection,
	})
}

// inputOf returns what stage i takes for a token up to the frontier's.
func (s *stream) inputOf(i, token int) string {
	if token == s.token {
		return s.input
	}
	if i > 0 {
		return s.stages[i].kept.get(token)
	}
	if token == 0 {
		return s.prompt
	}
	return s.emitted[s.base+token-1]
}

// stepDone takes an answer if it belongs to the step in flight.
func (t *Table) stepDone(ev StepDone) {
	s := t.inFlight(ev.Stream, ev.Server, ev.Attempt, ev.Token, ev.From, ev.To)
	if s == nil {
		t.stats.Dropped++
		return
	}
	s.uncertain = true
	s.fulls = 0
	s.stalled = false
	st := &s.stages[s.at]
	t.hear(st.server)
	st.observe(ev.Token, t.now-s.sentAt)
	st.position++
	if ev.Token < s.token {
		t.replayed(s, ev)
		return
	}
	t.keep(s, st, s.input)
	s.input = ev.Data
	s.at++
	if s.at == len(s.stages) {
		t.tokenDone(s, ev)
		return
	}
	t.drive(s)
}

// inFlight returns the stream whose step in flight is the named one, or nil.
func (t *Table) inFlight(name string, server ident.BackendServer, attempt uint32, token, from, to int) *stream {
	s, ok := t.streams[name]
	if !ok || s.phase != stepping || token != s.sent {
		return nil
	}
	st := &s.stages[s.at]
	if server != st.server || attempt != st.attempt || from != st.From || to != st.To {
		return nil
	}
	return s
}

// tokenDone takes the last stage's answer: the text of the frontier's token.
func (t *Table) tokenDone(s *stream, ev StepDone) {
	s.at = 0
	s.token++
	index := s.base + ev.Token
	if index < len(s.emitted) {
		t.tokenAgain(s, index, ev)
		return
	}
	s.emitted = append(s.emitted, ev.Data)
	t.emit(EmitToken{Request: s.open.Request, Index: index, Text: ev.Data})
	switch {
	case ev.EOS:
		t.finish(s, FinishStop)
	case len(s.emitted) == s.open.MaxTokens:
		t.finish(s, FinishLength)
	default:
		t.askCheckpoints(s)
		t.drive(s)
	}
}

// tokenAgain takes a token that the caller already had, after a start over.
func (t *Table) tokenAgain(s *stream, index int, ev StepDone) {
	if ev.EOS || ev.Data != s.emitted[index] {
		t.cut(s, verdict.CauseInternalFailure, "the model gave another token when it was run again")
		return
	}
	t.drive(s)
}

// replayed takes the answer to a replayed step: it must equal what the next
// boundary had, where that is still known.
func (t *Table) replayed(s *stream, ev StepDone) {
	want, known := s.outputOf(s.at, ev.Token)
	if known && want != ev.Data {
		t.cut(s, verdict.CauseInternalFailure, "a replacement gave another output when it was run again")
		return
	}
	t.drive(s)
}

// outputOf returns what stage i gave for a token before the frontier's, if it
// is still kept.
func (s *stream) outputOf(i, token int) (string, bool) {
	if i == len(s.stages)-1 {
		return s.emitted[s.base+token], true
	}
	kept := &s.stages[i+1].kept
	if !kept.has(token) {
		return "", false
	}
	return kept.get(token), true
}
