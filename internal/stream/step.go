package stream

import (
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// sendNextStep sends the next step of the frontier stage: the frontier's token, or a kept
// input that the stage's server has not run yet.
func (t *Table) sendNextStep(s *stream) {
	s.resends = 0
	s.stepToken = s.stages[s.stageIndex].position
	t.sendStep(s, false)
}

// sendStep sends the step s.stepToken to the frontier stage.
func (t *Table) sendStep(s *stream, newConnection bool) {
	st := &s.stages[s.stageIndex]
	st.contacted = true
	s.phase = awaitingStep
	s.sentAt = t.now
	if s.resends == 0 {
		s.firstSentAt = t.now
	}
	s.phaseEnd = t.now + t.stepTimeout(s, st)
	t.emit(SendStep{
		Stream:        s.name,
		Attempt:       st.attempt,
		Token:         s.stepToken,
		From:          st.From,
		To:            st.To,
		Server:        st.server,
		Data:          s.inputOf(s.stageIndex, s.stepToken),
		Seed:          s.open.Seed,
		Priority:      s.open.Priority,
		NewConnection: newConnection,
	})
}

// inputOf returns the input of stage i for a token up to the frontier's.
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

// stepDone handles an answer if it matches the step in flight; otherwise the answer is
// dropped.
func (t *Table) stepDone(ev StepDone) {
	s := t.inFlight(ev.Stream, ev.Server, ev.Attempt, ev.Token, ev.From, ev.To)
	if s == nil {
		t.stats.Dropped++
		return
	}
	s.stepMayHaveRun = true
	s.fullRefusals = 0
	s.stalled = false
	st := &s.stages[s.stageIndex]
	t.markAlive(st.server)
	st.recordStepTime(ev.Token, t.now-s.sentAt)
	st.position++
	if ev.Token < s.token {
		t.replayedStepDone(s, ev)
		return
	}
	t.keepInput(s, st, s.input)
	s.input = ev.Data
	s.stageIndex++
	if s.stageIndex == len(s.stages) {
		t.tokenDone(s, ev)
		return
	}
	t.sendNextStep(s)
}

// inFlight returns the stream whose step in flight is the named one, or nil.
func (t *Table) inFlight(name string, server ident.BackendServer, attempt uint32, token, from, to int) *stream {
	s, ok := t.streams[name]
	if !ok || s.phase != awaitingStep || token != s.stepToken {
		return nil
	}
	st := &s.stages[s.stageIndex]
	if server != st.server || attempt != st.attempt || from != st.From || to != st.To {
		return nil
	}
	return s
}

// tokenDone handles the last stage's answer, which is the text of the frontier's token.
func (t *Table) tokenDone(s *stream, ev StepDone) {
	s.stageIndex = 0
	s.token++
	index := s.base + ev.Token
	if index < len(s.emitted) {
		t.tokenRepeated(s, index, ev)
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
		t.requestCheckpoints(s)
		t.sendNextStep(s)
	}
}

// tokenRepeated handles a token that the caller already has, after ResumeStartOver.
func (t *Table) tokenRepeated(s *stream, index int, ev StepDone) {
	if ev.EOS || ev.Data != s.emitted[index] {
		t.cut(s, verdict.CauseInternalFailure, "the model gave a different token when it was run again")
		return
	}
	t.sendNextStep(s)
}

// replayedStepDone handles the answer to a replayed step: it must equal the next stage's
// input, if that is still kept.
func (t *Table) replayedStepDone(s *stream, ev StepDone) {
	want, known := s.outputOf(s.stageIndex, ev.Token)
	if known && want != ev.Data {
		t.cut(s, verdict.CauseInternalFailure, "a replacement gave another output when it was run again")
		return
	}
	t.sendNextStep(s)
}

// outputOf returns the output of stage i for a token before the frontier's, if it is
// still kept.
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
