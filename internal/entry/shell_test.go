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

// events splits a body of server-sent events into its data lines and tells
// whether it ended as a whole answer does.
func events(t *testing.T, body []byte) (text string, whole bool, failed bool) {
	t.Helper()
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		failed = failed || line == "event: error"
		switch {
		case !ok || failed:
			continue
		case data == "[DONE]":
			whole = true
		default:
			var chunk answerBody
			require.NoError(t, json.Unmarshal([]byte(data), &chunk))
			text += chunk.Choices[0].Text
		}
	}
	return text, whole, failed
}

func TestCompletionIsWholeAndExact(t *testing.T) {
	w := startWorld(t, 1)
	want, finish := model.ExpectedCompletion("restock notes", 5, 24, modelLayers)

	plain := w.do(0, "POST", "/v1/completions", "", completion("restock notes", false))
	require.Equal(t, 200, plain.status, string(plain.body))
	var body answerBody
	require.NoError(t, json.Unmarshal(plain.body, &body))
	require.Equal(t, want, body.Choices[0].Text)
	require.Equal(t, finish, *body.Choices[0].FinishReason)

	streamed := w.do(0, "POST", "/v1/completions", "", completion("restock notes", true))
	text, whole, failed := events(t, streamed.body)
	require.Equal(t, want, text)
	require.True(t, whole)
	require.False(t, failed)
}

func TestStageDiesMidstream(t *testing.T) {
	w := startWorld(t, 1)
	want, _ := model.ExpectedCompletion("fitting complaint", 5, 24, modelLayers)
	for _, s := range w.cluster.Servers() {
		if s.Replica == w.cluster.Servers()[0].Replica && s.LayerFrom == 2 {
			require.NoError(t, w.cluster.SetFault(standin.Fault{Target: string(s.ID), Kind: standin.DieMidstream, Count: 5}))
		}
	}
	for range 6 {
		got := w.do(0, "POST", "/v1/completions", "", completion("fitting complaint", true))
		text, whole, _ := events(t, got.body)
		require.True(t, whole, string(got.body))
		require.Equal(t, want, text)
	}
}

func TestKeyRunsOnceThroughAnyEntry(t *testing.T) {
	w := startWorld(t, 2)
	var addresses addressesBody
	require.NoError(t, json.Unmarshal(w.do(0, "GET", "/v1/addresses?team=herd", "", nil).body, &addresses))
	require.NotEmpty(t, addresses.KeyPrefix)
	for _, key := range []string{addresses.KeyPrefix + "glove-7", "callers-own-key"} {
		for entry := range 2 {
			got := w.do(entry, "POST", "/services/ordrebok/reservations", key, map[string]any{"pallets": 2})
			require.Equal(t, 200, got.status, "%s through %d: %s", key, entry, got.body)
		}
		other := w.do(1, "POST", "/services/ordrebok/reservations", key, map[string]any{"pallets": 3})
		require.Equal(t, 422, other.status, string(other.body))
	}
	runs := map[string]int{}
	for _, e := range w.cluster.Ledger().Calls {
		runs[e.Key] += e.Count
	}
	require.Equal(t, map[string]int{addresses.KeyPrefix + "glove-7": 1, "callers-own-key": 1}, runs)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	w := startWorld(t, 1)
	want, _ := model.ExpectedCompletion("long answer", 5, 24, modelLayers)
	for _, s := range w.cluster.Servers() {
		require.NoError(t, w.cluster.SetFault(standin.Fault{Target: string(s.ID), Kind: standin.Slow, DelayMillis: 5}))
	}
	got := make(chan answer, 1)
	go func() { got <- w.do(0, "POST", "/v1/completions", "", completion("long answer", true)) }()
	require.Eventually(t, func() bool { return w.entries[0].state.Load().OpenRequests > 0 }, 5*time.Second, time.Millisecond)
	w.stops[0]()
	<-w.ended[0]
	text, whole, _ := events(t, (<-got).body)
	require.True(t, whole)
	require.Equal(t, want, text)
}

func TestBadInputNamesPlaceAndRemedy(t *testing.T) {
	w := startWorld(t, 1)
	for path, body := range map[string]any{
		"/v1/completions": "no object",
		"/nowhere":        nil,
		"/services/":      nil,
	} {
		got := w.do(0, "POST", path, "", body)
		require.Equal(t, 400, got.status, path)
		require.Equal(t, "not-run", got.verdict, path)
	}
	none := w.do(0, "POST", "/services/unknown/x", "", nil)
	require.Equal(t, 403, none.status)
	require.Contains(t, string(none.body), "no limit is accepted for team herd on unknown")
}
