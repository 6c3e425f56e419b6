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

func TestCoversWantsEveryLayerOnceInOrder(t *testing.T) {
	require.True(t, Covers([]Stage{{0, 4, "a"}, {4, 8, "b"}}, 8))
	require.False(t, Covers([]Stage{{0, 4, "a"}, {5, 8, "b"}}, 8), "a gap")
	require.False(t, Covers([]Stage{{0, 4, "a"}, {3, 8, "b"}}, 8), "a layer twice")
	require.False(t, Covers([]Stage{{4, 8, "b"}, {0, 4, "a"}}, 8), "out of order")
	require.False(t, Covers([]Stage{{0, 4, "a"}}, 8), "too few")
	require.False(t, Covers(nil, 0), "nothing")
}

func TestNotRunOnlyWhereNothingWasSent(t *testing.T) {
	w := newWorld(DefaultConfig(), 2, 0, 1)
	w.engines["s0.0"].dead = true
	w.open("a", 3)
	w.run(time.Minute)
	require.Equal(t, verdict.NotRun, w.cuts["a"].Refusal.Verdict)

	w = newWorld(DefaultConfig(), 2, 0, 1)
	w.engines["s1.0"].dead = true
	w.open("a", 3)
	w.run(time.Minute)
	require.Equal(t, verdict.MayHaveRun, w.cuts["a"].Refusal.Verdict)
	require.Empty(t, w.finished)
}

// TestAnswersSurviveFaults mixes stage deaths, leaving stages and lost, late,
// doubled and crossed answers: every request gets its whole answer or a cut.
func TestAnswersSurviveFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.IntRange(1, 4).Draw(t, "stages")
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		cfg := DefaultConfig()
		cfg.Resume = rapid.SampledFrom([][]Way{
			{WayImport, WayReplay, WayPrefill}, {WayImport, WayStartOver}, {WayReplay}, {WayPrefill}, {WayStartOver},
		}).Draw(t, "resume")
		cfg.CheckpointEvery = rapid.IntRange(0, 4).Draw(t, "checkpoint every")
		cfg.KeepBytesPerStream = rapid.SampledFrom([]int{0, 100, 1 << 20}).Draw(t, "keep")
		w := newWorld(cfg, stages, 3, rapid.Uint64().Draw(t, "seed"))
		w.faults = faults{
			lose:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lose"),
			duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate"),
			cross:     rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "cross"),
		}
		deaths := rapid.SliceOfN(rapid.IntRange(1, 80), 0, 5).Draw(t, "deaths at send")
		both := rapid.Bool().Draw(t, "two at once")
		w.onSend = func(w *world, a SendStep) {
			for i, at := range deaths {
				if at == w.sends {
					w.strike(a, i, both)
				}
			}
		}
		requests := []string{"a", "b", "c"}
		for _, request := range requests {
			w.open(request, tokens)
		}
		w.run(time.Hour)
		w.check(t, requests, stages, tokens)
	})
}

// strike kills the server a step goes to, lets it leave, restarts it without
// its caches or silences it; with both, a kill also
// kills the first living server of the next stage.
func (w *world) strike(a SendStep, i int, both bool) {
	switch i % 4 {
	case 1:
		w.engines[a.Server].leaving = true
		return
	case 2:
		w.engines[a.Server] = newFakeEngine()
		return
	case 3:
		w.engines[a.Server].silent = true
		return
	}
	w.engines[a.Server].dead = true
	if !both {
		return
	}
	for _, name := range w.spares[a.To%w.layers] {
		if !w.engines[name].dead {
			w.engines[name].dead = true
			return
		}
	}
}

func (w *world) check(t require.TestingT, requests []string, stages, tokens int) {
	require.Empty(t, w.faulty)
	require.Zero(t, w.table.Stats().KeptBytes)
	for _, request := range requests {
		want := expected(stages, tokens, request)
		got := strings.Join(w.text[request], "")
		_, finished := w.finished[request]
		_, cut := w.cuts[request]
		require.True(t, finished != cut, "%s must end once: finished %v, cut %v", request, finished, cut)
		if finished {
			require.Equal(t, want, got)
		} else {
			require.True(t, strings.HasPrefix(want, got), "%s: %q is no part of %q", request, got, want)
			if w.cuts[request].Refusal.Verdict == verdict.NotRun {
				require.False(t, w.ran(request), "%s ran", request)
			}
		}
	}
	for name, engine := range w.engines {
		for step, n := range engine.runs {
			require.Equal(t, 1, n, "%s ran %s more than once", name, step)
		}
	}
}

// ran reports whether any engine ran any step of a request.
func (w *world) ran(request string) bool {
	for _, engine := range w.engines {
		for step := range engine.runs {
			if strings.HasPrefix(step, request) {
				return true
			}
		}
	}
	return false
}

// TestStreamOutlivesAShortOutage restarts the only server of a stage.
func TestStreamOutlivesAShortOutage(t *testing.T) {
	w := newWorld(DefaultConfig(), 2, 0, 1)
	w.onSend = func(w *world, a SendStep) {
		if a.Token == 3 && w.engines["s1.0"].runs["a/0/2"] > 0 {
			w.engines["s1.0"].dead = true
		}
		if w.now > 2*time.Second {
			w.engines["s1.0"] = newFakeEngine()
			w.onSend = nil
		}
	}
	w.open("a", 6)
	w.run(time.Minute)
	require.Contains(t, w.finished, "a")
	require.Equal(t, expected(2, 6, "a"), strings.Join(w.text["a"], ""))
	require.Greater(t, w.now, 2*time.Second)
	require.Less(t, w.now, 3*time.Second)
}

// TestSlowStageIsNotReplaced lets a stage take 3 s for one step, as behind a
// long prefill, while its load can be read.
func TestSlowStageIsNotReplaced(t *testing.T) {
	w := newWorld(DefaultConfig(), 2, 1, 1)
	w.onSend = func(w *world, a SendStep) {
		w.engines["s1.0"].stall = 0
		if a.Token == 3 && a.Server == "s1.0" && !a.NewConnection {
			w.engines["s1.0"].stall = 3 * time.Second
		}
		if a.NewConnection { // the same step, still running
			w.engines["s1.0"].stall = 2750 * time.Millisecond
		}
	}
	w.open("a", 6)
	w.run(time.Minute)
	require.Contains(t, w.finished, "a")
	require.Equal(t, expected(2, 6, "a"), strings.Join(w.text["a"], ""))
	require.Greater(t, w.now, 3*time.Second)
	require.Zero(t, w.table.Stats().Replaced)
}

func TestDuplicateOpenLeavesTheFirstAlone(t *testing.T) {
	w := newWorld(DefaultConfig(), 1, 0, 1)
	w.open("a", 2)
	w.open("a", 2)
	w.run(time.Minute)
	require.Equal(t, Finish{Request: "a", Reason: FinishLength, Tokens: 2}, w.finished["a"])
	require.Empty(t, w.cuts)
}

// TestHotPathAllocations holds the budget: two allocations per token and stage,
// for the action and its slice, and two more per token, for the token's own
// action and the growth of what is kept.
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
	const events = stages // one allocation each to pass an event as an interface
	t.Logf("%.1f allocations per token at %d stages, without the events", perToken-events, stages)
	require.LessOrEqual(t, perToken-events, float64(2*stages+2))
	require.EqualValues(t, 0, table.Stats().Dropped)
}

func TestConfigNamesEveryFault(t *testing.T) {
	err := Config{Resume: []Way{"magic"}}.Validate()
	for _, word := range []string{"MaxStreams", "MaxTokens", "StepTimeout", "Backoff"} {
		require.Contains(t, err.Error(), word)
	}
}

// TestAnyEventsAreSafe feeds events that belong to nothing, in any order: no
// panic, tokens in order, and one end per request.
func TestAnyEventsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.CheckpointEvery = 1
		cfg.Resume = rapid.SampledFrom([][]Way{nil, {WayImport, WayReplay}, {WayPrefill}, {WayStartOver}}).Draw(t, "resume")
		cfg.MaxLosses = 3
		table, err := New(cfg)
		require.NoError(t, err)
		open := map[string]int{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			ev := anyEvent(t)
			actions := table.Step(now, ev)
			if o, ok := ev.(Open); ok && len(actions) > 0 {
				open[o.Request] = 0
			}
			for _, a := range actions {
				countEnd(t, open, a)
			}
			require.Len(t, open, table.Stats().Open)
		}
	})
}

func countEnd(t *rapid.T, open map[string]int, a Action) {
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

func anyEvent(t *rapid.T) Event {
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
