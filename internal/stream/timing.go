package stream

import "time"

// stepTimeSmoothing is the weight of a new step time in the moving average.
const stepTimeSmoothing = 0.25

// recordStepTime records how long a step took at this stage.
func (st *stage) recordStepTime(token int, took time.Duration) {
	switch {
	case token == 0:
		st.prefillTime = took
	case st.stepTime == 0:
		st.stepTime = took
	default:
		st.stepTime += time.Duration(stepTimeSmoothing * float64(took-st.stepTime))
	}
}

// expectedGap returns the expected time until the frontier stage's new server, which
// starts without a cache, has reached the frontier.
func (t *Table) expectedGap(s *stream, method ResumeMethod) time.Duration {
	st := &s.stages[s.stageIndex]
	var gap time.Duration
	switch method {
	case ResumeImport:
		return st.timeForSteps(1 + s.token - st.checkpoint.position)
	case ResumeReplay:
		return st.prefillTime + st.timeForSteps(s.token-1)
	case ResumePrefill:
		for i := range s.stages {
			prefill := t.cfg.PrefillShare * float64(s.stages[i].timeForSteps(s.token))
			gap += s.stages[i].prefillTime + time.Duration(prefill)
		}
	case ResumeStartOver:
		for i := range s.stages {
			gap += s.stages[i].prefillTime + s.stages[i].timeForSteps(s.base+s.token-1)
		}
	}
	return gap
}

func (st *stage) timeForSteps(n int) time.Duration {
	return time.Duration(n) * st.stepTime
}

// slowStepFactor is the multiple of the average step time after which the reply to a
// step's first send counts as lost.
const slowStepFactor = 8

// stepTimeout returns the wait for the step that is about to be sent. The first send has
// a short timeout, since resending a step that is still running costs nothing. The last
// send has the full timeout, since its expiry leads to the server's replacement.
func (t *Table) stepTimeout(s *stream, st *stage) time.Duration {
	first := s.resends == 0 && t.cfg.Resends > 0
	switch {
	case s.stepToken == 0 && first:
		return t.cfg.PrefillTimeout / 4
	case s.stepToken == 0:
		return t.cfg.PrefillTimeout
	case first && st.stepTime > 0:
		return min(t.cfg.StepTimeout, max(t.cfg.MinStepTimeout, slowStepFactor*st.stepTime))
	default:
		return t.cfg.StepTimeout
	}
}
