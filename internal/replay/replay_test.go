package replay

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRecordedTraces replays traces that the processes recorded during injected failures.
// Each trace must produce the outcomes of its header, violate no rule, and exercise the
// rule listed for it here.
func TestRecordedTraces(t *testing.T) {
	ruleByTrace := map[string]string{
		"stage-dies":       "layers-once-in-order",
		"silent":           "whole-answers",
		"app-lost-replies": "at-most-once",
		"kv-lost-replies":  "at-most-once",
		"kv-down":          "whole-answers",
		"apps-leave":       "not-run-is-true",
		"entry-killed":     "at-most-once",
		"engine-leaves":    "leaving-gets-no-new-work",
		"planned-stop":     "planned-stop-cuts-nothing",
		"sheet-race":       "configuration-never-reverts",
	}
	files, err := filepath.Glob("testdata/*.jsonl.gz")
	require.NoError(t, err)
	replayed := map[string]bool{}
	for _, file := range files {
		name, _, _ := strings.Cut(filepath.Base(file), ".")
		replayed[name] = true
		t.Run(filepath.Base(file), func(t *testing.T) {
			header, result, err := RunFile(file)
			require.NoError(t, err)
			require.NotEmpty(t, header.Outcomes, "the trace has no expected outcomes")
			require.Empty(t, result.Failed)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Checked[ruleByTrace[name]], "rule %s was never checked", ruleByTrace[name])
		})
	}
	for name := range ruleByTrace {
		require.True(t, replayed[name], "no trace of %s", name)
	}
}
