package stream

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

func TestCoversRequiresEveryLayerOnceInOrder(t *testing.T) {
	require.True(t, Covers([]Stage{{0, 4, "a"}, {4, 8, "b"}}, 8))
	require.False(t, Covers([]Stage{{0, 4, "a"}, {5, 8, "b"}}, 8), "gap between two stages")
	require.False(t, Covers([]Stage{{0, 4, "a"}, {3, 8, "b"}}, 8), "layer covered twice")
	require.False(t, Covers([]Stage{{4, 8, "b"}, {0, 4, "a"}}, 8), "stages out of order")
	require.False(t, Covers([]Stage{{0, 4, "a"}}, 8), "last layers missing")
	require.False(t, Covers(nil, 0), "no layers")
}

func TestNotRunOnlyIfNothingWasSent(t *testing.T) {
	s := newSim(DefaultConfig(), 2, 0, 1)
	s.engines["s0.0"].dead = true
	s.open("a", 3)
	s.run(time.Minute)
	require.Equal(t, verdict.NotRun, s.cuts["a"].Refusal.Verdict)

	s = newSim(DefaultConfig(), 2, 0, 1)
	s.engines["s1.0"].dead = true
	s.open("a", 3)
	s.run(time.Minute)
	require.Equal(t, verdict.MayHaveRun, s.cuts["a"].Refusal.Verdict)
	require.Empty(t, s.finished)
}

// TestAnswersSurviveFaults mixes dying and leaving servers with lost, late, duplicated
// and misdelivered answers: every request ends with its complete answer or a cut.
func TestAnswersSurviveFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.IntRange(1, 4).Draw(t, "stages")
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		cfg := DefaultConfig()
		cfg.Resume = rapid.SampledFrom([][]ResumeMethod{
			{ResumeImport, ResumeReplay, ResumePrefill}, {ResumeImport, ResumeStartOver}, {ResumeReplay}, {ResumePrefill}, {ResumeStartOver},
		}).Draw(t, "resume")
		cfg.CheckpointEvery = rapid.IntRange(0, 4).Draw(t, "checkpoint every")
		cfg.KeepBytesPerStream = rapid.SampledFrom([]int{0, 100, 1 << 20}).Draw(t, "keep")
		s := newSim(cfg, stages, 3, rapid.Uint64().Draw(t, "seed"))
		s.faults = faults{
			lose:       rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lose"),
			duplicate:  rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
			misdeliver: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "cross"),
		}
		faultSends := rapid.SliceOfN(rapid.IntRange(1, 80), 0, 5).Draw(t, "deaths at send")
		killNextStage := rapid.Bool().Draw(t, "two at once")
		s.onSend = func(s *sim, a SendStep) {
			for i, at := range faultSends {
				if at == s.sends {
					s.injectFault(a, i, killNextStage)
				}
			}
		}
		requests := []string{"a", "b", "c"}
		for _, request := range requests {
			s.open(request, tokens)
		}
		s.run(time.Hour)
		s.checkOutcomes(t, requests, stages, tokens)
	})
}

// injectFault makes the server of a step die, leave, restart without its caches or stop
// answering, depending on i. With killNextStage, a death also kills the first live server
// of the next stage.
func (s *sim) injectFault(a SendStep, i int, killNextStage bool) {
	switch i % 4 {
	case 1:
		s.engines[a.Server].leaving = true
		return
	case 2:
		s.engines[a.Server] = newFakeEngine()
		return
	case 3:
		s.engines[a.Server].silent = true
		return
	}
	s.engines[a.Server].dead = true
	if !killNextStage {
		return
	}
	for _, name := range s.spares[a.To%s.layers] {
		if !s.engines[name].dead {
			s.engines[name].dead = true
			return
		}
	}
}

func (s *sim) checkOutcomes(t require.TestingT, requests []string, stages, tokens int) {
	require.Empty(t, s.violations)
	require.Zero(t, s.table.Stats().KeptBytes)
	for _, request := range requests {
		want := expected(stages, tokens, request)
		got := strings.Join(s.text[request], "")
		_, finished := s.finished[request]
		_, cut := s.cuts[request]
		require.True(t, finished != cut, "%s: want exactly one end, got finished=%v cut=%v", request, finished, cut)
		if finished {
			require.Equal(t, want, got)
		} else {
			require.True(t, strings.HasPrefix(want, got), "%s: got %q, want a prefix of %q", request, got, want)
			if s.cuts[request].Refusal.Verdict == verdict.NotRun {
				require.False(t, s.anyStepRan(request), "%s ran despite its not-run verdict", request)
			}
		}
	}
	for name, engine := range s.engines {
		for step, n := range engine.runs {
			require.Equal(t, 1, n, "%s ran %s more than once", name, step)
		}
	}
}

// anyStepRan reports whether any engine ran any step of a request.
func (s *sim) anyStepRan(request string) bool {
	for _, engine := range s.engines {
		for step := range engine.runs {
			if strings.HasPrefix(step, request) {
				return true
			}
		}
	}
	return false
}

// TestStreamSurvivesShortOutage kills the only server of a stage and restarts it without
// its KV cache about 2 s later, within ReplacementWait: the stream must still finish with the
// right answer.
func TestStreamSurvivesShortOutage(t *testing.T) {
	s := newSim(DefaultConfig(), 2, 0, 1)
	s.onSend = func(s *sim, a SendStep) {
		if a.Token == 3 && s.engines["s1.0"].runs["a/0/2"] > 0 {
			s.engines["s1.0"].dead = true
		}
		if s.now > 2*time.Second {
			s.engines["s1.0"] = newFakeEngine()
			s.onSend = nil
		}
	}
	s.open("a", 6)
	s.run(time.Minute)
	require.Contains(t, s.finished, "a")
	require.Equal(t, expected(2, 6, "a"), strings.Join(s.text["a"], ""))
	require.Greater(t, s.now, 2*time.Second)
	require.Less(t, s.now, 3*time.Second)
}

// TestSlowServerIsNotReplaced lets a server take 3 s for one step, as behind a long
// prefill, while its load reports still arrive. Replacing it would add load to an
// overload.
func TestSlowServerIsNotReplaced(t *testing.T) {
	s := newSim(DefaultConfig(), 2, 1, 1)
	s.onSend = func(s *sim, a SendStep) {
		s.engines["s1.0"].stall = 0
		if a.Token == 3 && a.Server == "s1.0" && !a.NewConnection {
			s.engines["s1.0"].stall = 3 * time.Second
		}
		if a.NewConnection { // the resend of the step that is still running
			s.engines["s1.0"].stall = 2750 * time.Millisecond
		}
	}
	s.open("a", 6)
	s.run(time.Minute)
	require.Contains(t, s.finished, "a")
	require.Equal(t, expected(2, 6, "a"), strings.Join(s.text["a"], ""))
	require.Greater(t, s.now, 3*time.Second)
	require.Zero(t, s.table.Stats().Replaced)
}

func TestDuplicateOpenIsIgnored(t *testing.T) {
	s := newSim(DefaultConfig(), 1, 0, 1)
	s.open("a", 2)
	s.open("a", 2)
	s.run(time.Minute)
	require.Equal(t, Finish{Request: "a", Reason: FinishLength, Tokens: 2}, s.finished["a"])
	require.Empty(t, s.cuts)
}

// TestHotPathAllocations checks the allocation budget: two per token and stage, for the
// action and its slice, and two more per token, for the token's own action and the growth
// of the kept data.
func TestHotPathAllocations(t *testing.T) {
	const stages, runs = 4, 1000
	table, err := New(DefaultConfig())
	require.NoError(t, err)
	pipeline := []Stage{{0, 1, "a"}, {1, 2, "b"}, {2, 3, "c"}, {3, 4, "d"}}
	table.Step(0, Open{Request: "r", MaxTokens: 30000, Layers: stages, Pipeline: pipeline})
	token := 0
	answers := make([]Event, stages)
	perToken := testing.AllocsPerRun(runs, func() {
		for i, st := range pipeline {
			answers[i] = StepDone{Stream: "r", Server: st.Server, Token: token, From: st.From, To: st.To, Data: "x"}
			table.Step(0, answers[i])
		}
		token++
	})
	const events = stages // passing an event as an interface allocates once
	t.Logf("%.1f allocations per token at %d stages, without the events", perToken-events, stages)
	require.LessOrEqual(t, perToken-events, float64(2*stages+2))
	require.EqualValues(t, 0, table.Stats().Dropped)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{Resume: []ResumeMethod{"magic"}}.Validate()
	for _, word := range []string{"MaxStreams", "MaxTokens", "StepTimeout", "Backoff"} {
		require.Contains(t, err.Error(), word)
	}
}

// TestArbitraryEventsKeepInvariants sends events in any order, most of which match no
// open stream: the Table must not panic, must emit tokens in order and must end each
// request once.
func TestArbitraryEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.CheckpointEvery = 1
		cfg.Resume = rapid.SampledFrom([][]ResumeMethod{nil, {ResumeImport, ResumeReplay}, {ResumePrefill}, {ResumeStartOver}}).Draw(t, "resume")
		cfg.MaxLosses = 3
		table, err := New(cfg)
		require.NoError(t, err)
		open := map[string]int{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			ev := drawEvent(t)
			actions := table.Step(now, ev)
			if o, ok := ev.(Open); ok && len(actions) > 0 {
				open[o.Request] = 0
			}
			for _, a := range actions {
				trackRequests(t, open, a)
			}
			require.Len(t, open, table.Stats().Open)
		}
	})
}

func trackRequests(t *rapid.T, open map[string]int, a Action) {
	switch a := a.(type) {
	case EmitToken:
		require.Equal(t, open[a.Request], a.Index)
		open[a.Request]++
	case Finish:
		require.Contains(t, open, a.Request)
		delete(open, a.Request)
	case Cut:
		require.Contains(t, open, a.Request)
		delete(open, a.Request)
	}
}

func drawEvent(t *rapid.T) Event {
	stream := rapid.SampledFrom([]string{"a", "b", "a~1", ""}).Draw(t, "stream")
	server := rapid.SampledFrom([]ident.BackendServer{"x", "y", "z", ""}).Draw(t, "server")
	attempt := uint32(rapid.IntRange(0, 2).Draw(t, "attempt"))
	n := rapid.IntRange(-1, 3).Draw(t, "n")
	from := rapid.SampledFrom([]int{0, 4}).Draw(t, "from")
	data := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "data")
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		return Open{Request: stream, Prompt: data, MaxTokens: n, Layers: 8, Pipeline: []Stage{{0, 4, "x"}, {4, 8, "y"}}}
	case 1:
		return Cancel{Request: stream}
	case 2:
		return Replacement{Stream: stream, Stage: n, Server: server}
	case 3:
		return ExportDone{Stream: stream, Stage: n, Attempt: attempt, Position: n, Blob: data}
	case 4:
		return ImportDone{Stream: stream, Stage: n, Attempt: attempt}
	case 5:
		return ImportFailed{Stream: stream, Stage: n, Attempt: attempt}
	case 6:
		return ExportFailed{Stream: stream, Stage: n, Attempt: attempt}
	case 7:
		return Tick{}
	case 8:
		kinds := []FailureKind{FailureLost, FailureFull, FailureLeaving, FailurePosition, FailureNotSent, FailureRefused, "?"}
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		return StepFailed{Stream: stream, Server: server, Attempt: attempt, Token: n, From: from, To: from + 4, Kind: kind, Position: n}
	default:
		return StepDone{Stream: stream, Server: server, Attempt: attempt, Token: n, From: from, To: from + 4, Data: data}
	}
}
