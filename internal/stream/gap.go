package stream

import "time"

// observeShare is the weight of a new step time in the moving average.
const observeShare = 0.25

// observe learns how long steps take at a stage.
func (st *stage) observe(token int, took time.Duration) {
	switch {
	case token == 0:
		st.prefillTook = took
	case st.stepTook == 0:
		st.stepTook = took
	default:
		st.stepTook += time.Duration(observeShare * float64(took-st.stepTook))
	}
}

// expectedGap returns the expected time until the frontier stage's holder, new
// and empty, has reached the frontier.
func (t *Table) expectedGap(s *stream, way Way) time.Duration {
	st := &s.stages[s.at]
	var gap time.Duration
	switch way {
	case WayImport:
		return st.steps(1 + s.token - st.cache.position)
	case WayReplay:
		return st.prefillTook + st.steps(s.token-1)
	case WayPrefill:
		for i := range s.stages {
			prefill := t.cfg.PrefillShare * float64(s.stages[i].steps(s.token))
			gap += s.stages[i].prefillTook + time.Duration(prefill)
		}
	case WayStartOver:
		for i := range s.stages {
			gap += s.stages[i].prefillTook + s.stages[i].steps(s.base+s.token-1)
		}
	}
	return gap
}

func (st *stage) steps(n int) time.Duration {
	return time.Duration(n) * st.stepTook
}

// usualTimes is by how much a step may be slower than usual before its reply
// counts as lost.
const usualTimes = 8

// stepTimeout returns the wait for the step that is about to be sent. A first
// send waits shortly, since sending a step again costs nothing where it runs
// still; the last wait decides that a stage is dead and is the full one.
func (t *Table) stepTimeout(s *stream, st *stage) time.Duration {
	first := s.resends == 0 && t.cfg.Resends > 0
	switch {
	case s.sent == 0 && first:
		return t.cfg.PrefillTimeout / 4
	case s.sent == 0:
		return t.cfg.PrefillTimeout
	case first && st.stepTook > 0:
		return min(t.cfg.StepTimeout, max(t.cfg.MinStepTimeout, usualTimes*st.stepTook))
	default:
		return t.cfg.StepTimeout
	}
}
