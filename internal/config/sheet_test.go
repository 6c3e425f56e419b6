package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestParseAndEvaluateSheets runs testdata/sheets: each sheet is parsed and evaluated
// against the state made by the sheets before it.
func TestParseAndEvaluateSheets(t *testing.T) {
	datadriven.Walk(t, "testdata/sheets", func(t *testing.T, path string) {
		var accepted State
		var day Day
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			sheet, faults := ParseSheet("morning.csv", []byte(strings.ReplaceAll(d.Input, "\\n", "\n")))
			if len(faults) > 0 {
				return formatFaults(faults)
			}
			if d.Cmd == "parse" {
				return fmt.Sprintf("%d rows for %s\n", len(sheet.Rows), sheet.Day)
			}
			next, faults := Evaluate(accepted, day, sheet)
			if len(faults) > 0 {
				return formatFaults(faults)
			}
			changes := Diff(accepted, next)
			accepted, day = next, max(day, sheet.Day)
			return formatChanges(changes)
		})
	})
}

func formatFaults(faults []Fault) string {
	var b strings.Builder
	for _, fault := range faults {
		fmt.Fprintln(&b, fault)
	}
	return b.String()
}

func formatChanges(changes []Change) string {
	if len(changes) == 0 {
		return "unchanged\n"
	}
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s: %d -> %d\n", c.Key, c.Before, c.After)
	}
	return b.String()
}

func FuzzParseSheet(f *testing.F) {
	f.Add([]byte("day,team,service,limit,unit\n2026-12-04,clubs,skrivar,40,tokens/s\n"))
	f.Add([]byte("\ufeffday,team,service,limit,unit\r\n2026-12-04,\"clubs\",skrivar,0,tokens/s\r\n"))
	f.Add([]byte("day,team,service,limit,unit\n2026-13-04,clubs,skrivar,40\n\"broken"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sheet, faults := ParseSheet("f.csv", data)
		if len(faults) > 0 {
			require.Empty(t, sheet.Rows)
			return
		}
		state, faults := Evaluate(State{}, "", sheet)
		require.Empty(t, faults)
		head := Head{Version: 1, Parts: state.Hashes()}
		texts := newSnapshot(head, state).Texts()
		decoded, err := Assemble(head, texts, State{})
		require.NoError(t, err)
		require.True(t, state.Equal(decoded.State))
		require.Equal(t, Diff(State{}, state), Diff(State{}, decoded.State))
	})
}
