package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/standin"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

const modelLayers = 6

func completion(prompt string, streamed bool) map[string]any {
	return map[string]any{"model": "skrivar", "prompt": prompt, "max_tokens": 24, "seed": 5, "stream": streamed}
}

// parseEvents joins the text of a body of server-sent events. It returns whether the
// body ended with [DONE] and whether it holds an error event.
func parseEvents(t *testing.T, body []byte) (text string, complete bool, failed bool) {
	t.Helper()
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		failed = failed || line == "event: error"
		switch {
		case !ok || failed:
			continue
		case data == "[DONE]":
			complete = true
		default:
			var chunk completionResponse
			require.NoError(t, json.Unmarshal([]byte(data), &chunk))
			text += chunk.Choices[0].Text
		}
	}
	return text, complete, failed
}

func TestCompletionMatchesModelAnswer(t *testing.T) {
	env := startEnv(t, 1)
	want, finish := model.ExpectedCompletion("restock notes", 5, 24, modelLayers)

	plain := env.request(0, "POST", "/v1/completions", "", completion("restock notes", false))
	require.Equal(t, 200, plain.status, string(plain.body))
	var body completionResponse
	require.NoError(t, json.Unmarshal(plain.body, &body))
	require.Equal(t, want, body.Choices[0].Text)
	require.Equal(t, finish, *body.Choices[0].FinishReason)

	streamed := env.request(0, "POST", "/v1/completions", "", completion("restock notes", true))
	text, complete, failed := parseEvents(t, streamed.body)
	require.Equal(t, want, text)
	require.True(t, complete)
	require.False(t, failed)
}

func TestStreamSurvivesStageFailure(t *testing.T) {
	env := startEnv(t, 1)
	want, _ := model.ExpectedCompletion("fitting complaint", 5, 24, modelLayers)
	for _, s := range env.cluster.Servers() {
		if s.Replica == env.cluster.Servers()[0].Replica && s.LayerFrom == 2 {
			require.NoError(t, env.cluster.SetFault(standin.Fault{Target: string(s.ID), Kind: standin.DieMidstream, Count: 5}))
		}
	}
	for range 6 {
		got := env.request(0, "POST", "/v1/completions", "", completion("fitting complaint", true))
		text, complete, _ := parseEvents(t, got.body)
		require.True(t, complete, string(got.body))
		require.Equal(t, want, text)
	}
}

func TestKeyedCallRunsOnceAcrossEntries(t *testing.T) {
	env := startEnv(t, 2)
	var addresses addressesResponse
	require.NoError(t, json.Unmarshal(env.request(0, "GET", "/v1/addresses?team=herd", "", nil).body, &addresses))
	require.NotEmpty(t, addresses.KeyPrefix)
	for _, key := range []string{addresses.KeyPrefix + "glove-7", "callers-own-key"} {
		for entry := range 2 {
			got := env.requestUntilRecorded(entry, "POST", "/services/ordrebok/reservations", key, map[string]any{"pallets": 2})
			require.Equal(t, 200, got.status, "%s through %d: %s", key, entry, got.body)
		}
		other := env.request(1, "POST", "/services/ordrebok/reservations", key, map[string]any{"pallets": 3})
		require.Equal(t, 422, other.status, string(other.body))
	}
	runs := map[string]int{}
	for _, e := range env.cluster.Ledger().Calls {
		runs[e.Key] += e.Count
	}
	require.Equal(t, map[string]int{addresses.KeyPrefix + "glove-7": 1, "callers-own-key": 1}, runs)
}

func TestPlannedStopFinishesOpenStream(t *testing.T) {
	env := startEnv(t, 1)
	want, _ := model.ExpectedCompletion("long answer", 5, 24, modelLayers)
	for _, s := range env.cluster.Servers() {
		require.NoError(t, env.cluster.SetFault(standin.Fault{Target: string(s.ID), Kind: standin.Slow, DelayMillis: 5}))
	}
	got := make(chan response, 1)
	go func() { got <- env.request(0, "POST", "/v1/completions", "", completion("long answer", true)) }()
	require.Eventually(t, func() bool { return env.entries[0].state.Load().OpenRequests > 0 }, 5*time.Second, time.Millisecond)
	env.stops[0]()
	<-env.ended[0]
	text, complete, _ := parseEvents(t, (<-got).body)
	require.True(t, complete)
	require.Equal(t, want, text)
}

func TestInvalidRequestIsRefusedWithReason(t *testing.T) {
	env := startEnv(t, 1)
	for path, body := range map[string]any{
		"/v1/completions": "no object",
		"/nowhere":        nil,
		"/services/":      nil,
	} {
		got := env.request(0, "POST", path, "", body)
		require.Equal(t, 400, got.status, path)
		require.Equal(t, "not-run", got.verdict, path)
	}
	none := env.request(0, "POST", "/services/unknown/x", "", nil)
	require.Equal(t, 403, none.status)
	require.Contains(t, string(none.body), "no limit is accepted for team herd on unknown")
}
