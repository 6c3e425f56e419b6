package trace

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type added struct{ N int }

type total struct{ Sum int }

type adder struct{ sum int }

func (a *adder) Step(_ time.Duration, event any) []any {
	a.sum += event.(added).N
	return []any{total{Sum: a.sum}}
}

func recordTrace(t *testing.T, outcomes ...ExpectedOutcome) string {
	t.Helper()
	var out bytes.Buffer
	r, err := NewRecorder(&out, "adder", struct{}{})
	require.NoError(t, err)
	core := &adder{}
	for i := 1; i <= 3; i++ {
		now := time.Duration(i) * time.Second
		require.NoError(t, Record(r, now, added{N: i}, core.Step(now, added{N: i})))
	}
	headerLine, rest, _ := strings.Cut(out.String(), "\n")
	var h Header
	require.NoError(t, json.Unmarshal([]byte(headerLine), &h))
	h.Outcomes = outcomes
	line, err := json.Marshal(h)
	require.NoError(t, err)
	return string(line) + "\n" + rest
}

func replayTrace(t *testing.T, text string, core Stepper) Result {
	t.Helper()
	r, err := NewReader(strings.NewReader(text))
	require.NoError(t, err)
	res, err := Replay(r, NewRegistry(added{}), core, nil)
	require.NoError(t, err)
	return res
}

func TestReplayReproducesTrace(t *testing.T) {
	text := recordTrace(t, ExpectedOutcome{Kind: "trace.total", Count: 3},
		ExpectedOutcome{Kind: "trace.total", Where: map[string]any{"Sum": float64(6)}, Count: 1})
	res := replayTrace(t, text, &adder{})
	require.Equal(t, 3, res.Steps)
	require.Zero(t, res.Diverged)
	require.Empty(t, res.Failed)
}

func TestReplayReportsDivergence(t *testing.T) {
	text := recordTrace(t, ExpectedOutcome{Kind: "trace.total", Where: map[string]any{"Sum": float64(6)}, Count: 1})
	res := replayTrace(t, text, &adder{sum: 10})
	require.Equal(t, 3, res.Diverged)
	require.Contains(t, res.FirstDivergence, "line 2")
	require.Len(t, res.Failed, 1)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte(`{"format":1,"core":"adder","config":{}}` + "\n" + `{"at":1,"event":{"kind":"trace.added","body":{"N":1}}}`))
	f.Add([]byte(`{"format":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := NewReader(bytes.NewReader(data))
		if err != nil {
			return
		}
		_, _ = Replay(r, NewRegistry(added{}), &adder{}, nil)
	})
}
