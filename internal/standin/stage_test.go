package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	_ "github.com/catkinstair/catkinstair/internal/proptest"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

func newTestStage(t require.TestingT) *stage {
	s := newStage(StageConfig{
		ID: "s", Layers: model.Range{From: 0, To: 2, Total: 4},
		Capacity: 2, MaxWaiting: 3, MaxStreams: 8, PrefixBlocks: 4,
	})
	s.resetConns, s.onDeath = func() {}, func() {}
	require.NotNil(t, s)
	return s
}

// TestStageRunsEachTokenOnceAndInOrder sends random correct, retried, stale and
// early steps of one stream. The results of the steps that ran must equal those
// of a stage that received only the correct steps.
func TestStageRunsEachTokenOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestStage(t)
		want, err := model.NewState(s.cfg.Layers)
		require.NoError(t, err)
		results := map[int]string{}
		var ran int64
		attempt, newest := 1, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			token := rapid.IntRange(0, 4).Draw(t, "token")
			attempt += rapid.IntRange(0, 1).Draw(t, "newer")
			stale := rapid.IntRange(0, 1).Draw(t, "stale")
			step := engine.Step{Stream: "a", Attempt: attempt - stale, Token: token, To: 2, Data: stepData(token)}
			got := s.runSteps([]engine.Step{step})[0]
			if got.Error != "" {
				require.True(t, got.NotRun(), got.Error)
				continue
			}
			if token == 0 && want.Position() > 1 {
				want, err = model.NewState(s.cfg.Layers)
				require.NoError(t, err)
			}
			if want.Position() == token {
				results[token], _, err = want.Run(token, step.Data)
				require.NoError(t, err)
				ran++
			}
			require.GreaterOrEqual(t, step.Attempt, newest, "a stale attempt was served")
			newest = step.Attempt
			require.Equal(t, results[token], got.Data)
			require.Equal(t, step.Attempt, got.Attempt)
		}
		_, executed := s.ledger()
		require.Equal(t, ran, executed)
	})
}

func stepData(token int) string {
	if token == 0 {
		return model.PrefillData("hello", 1)
	}
	return " w0001"
}

func TestStageBoundsQueueAndRunsHighPriorityFirst(t *testing.T) {
	s := newTestStage(t)
	s.loopRunning = true // no background loop: the test runs the batches itself
	prefill := func(stream string, priority int) *job {
		return s.admit(engine.Step{Stream: stream, Attempt: 1, To: 2, Priority: priority, Data: stepData(0)})
	}
	low, high := prefill("low", 0), prefill("high", 5)
	prefill("other", 0)
	full := prefill("more", 0)
	select {
	case <-full.done:
	case <-time.After(callTimeout):
		require.Fail(t, "a step was accepted into a full queue")
	}
	require.Equal(t, engine.ErrorFull, full.result.Error)
	batch, incarnation, _ := s.nextBatch()
	require.Equal(t, []*job{high, low}, batch)
	s.cancel("low", 1)
	s.runBatch(batch, incarnation)
	<-low.done
	require.Equal(t, engine.ErrorCancelled, low.result.Error)
	require.Empty(t, high.result.Error)
	s.reset()
	s.loopRunning = false
}

func FuzzEngineBodies(f *testing.F) {
	f.Add("/v1/steps", `{"steps":[{"stream":"a","attempt":1,"token":0,"from":0,"to":2,"data":"1\nx"}]}`)
	f.Add("/v1/import", `{"stream":"a","attempt":1,"blob":"0 2 4 1 1,2"}`)
	f.Add("/v1/orders", `{"order_id":"x","fence":1,"kind":"load"}`)
	f.Add("/v1/export", `{`)
	f.Fuzz(func(t *testing.T, path, body string) {
		s := newEngineServer(newTestStage(t).cfg)
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.SetRequestURI(path)
		ctx.Request.SetBodyString(body)
		s.serve(&ctx)
		require.GreaterOrEqual(t, ctx.Response.StatusCode(), 200)
	})
}
