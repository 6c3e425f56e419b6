package replay

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRecordedFailures replays what the processes recorded while failures were
// made. Each trace's header states the outcomes; each rule that a trace is about
// must have been judged in it.
func TestRecordedFailures(t *testing.T) {
	about := map[string]string{
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
	seen := map[string]bool{}
	for _, file := range files {
		name, _, _ := strings.Cut(filepath.Base(file), ".")
		seen[name] = true
		t.Run(filepath.Base(file), func(t *testing.T) {
			header, result, err := RunFile(file)
			require.NoError(t, err)
			require.NotEmpty(t, header.Outcomes, "a trace states its outcomes")
			require.Empty(t, result.Failed)
			require.Empty(t, result.Violations)
			require.Positive(t, result.Checked[about[name]], "nothing was judged by %s", about[name])
		})
	}
	for name := range about {
		require.True(t, seen[name], "no trace of %s", name)
	}
}
