package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against exit codes, places or JSON fields that scripts can't rely on, and against keys
// in the output.
func TestCheck(t *testing.T) {
	raw, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	example := string(raw)
	edit := func(pairs ...string) string {
		out := strings.NewReplacer(pairs...).Replace(example)
		require.NotEqual(t, example, out)
		file := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(file, []byte(out), 0o600))
		return file
	}
	clean := "../../platform/testdata/config.json"
	const key = "n2ctnfzs989anu6wsjnb"
	renewed := edit(`"version": 7`, `"version": 8`, key, "anotherkeyofthesameteam", `"slots": 192`, `"slots": 96`)
	for _, c := range []struct {
		args   []string
		code   int
		output []string
	}{
		{args: []string{clean}, code: 0, output: []string{"version 7: 0 errors, 0 warnings"}},
		{args: []string{clean, "--against", clean}, code: 0},
		{args: []string{edit(`"weight": 10`, `"weight": 0`)}, code: 1, output: []string{"warning: routes[0].trafficSplit[1] (r-2yhvz3p): never used"}},
		{args: []string{edit(key, "anfqasnmgkcuyj8pjbvk")}, code: 1, output: []string{"warning: tenants[0].apiKeys[0] (hule930): never matches"}},
		{args: []string{edit(`"timeoutMs": 20000`, `"timeoutMs": 200`)}, code: 2, output: []string{"error: routes[0].targetLatencyMs (r-2yhvz3p): objective 500ms is above the timeout 200ms; lower"}},
		{args: []string{edit(`"kind": "streaming"`, `"kind": "other"`), "--json"}, code: 2, output: []string{`"place": ""`, `kind \"other\"`}},
		{args: []string{edit(`"slots": 192`, `"slots": 96`), "--against", clean}, code: 2, output: []string{"error: version: version 7 is not above"}},
		{args: []string{renewed, "--against", clean}, code: 0, output: []string{
			`changed: services huvo11a engine.slots: "192" -> "96"`, `changed: tenants hule930 apiKeys: "2 keys" -> "2 keys, 1 added, 1 removed"`}},
		{args: []string{renewed, "--against", clean, "--json"}, code: 0, output: []string{`{
      "section": "services",
      "name": "huvo11a",
      "kind": "changed",
      "field": "engine.slots",
      "before": "192",
      "after": "96"
    }`, `"findings": []`}},
		{args: []string{edit(`"weight": 10`, `"weight": 0`), "--json"}, code: 1, output: []string{`{
  "version": 7,
  "errors": 0,
  "warnings": 2,
  "findings": [
    {
      "severity": "warning",
      "place": "routes[0].trafficSplit[1]",
      "name": "r-2yhvz3p",
      "message": "never used: service \"wuno96b\" has weight 0",
      "remedy": "remove the entry, or give it a weight"
    },`, `"changes": []`}},
		{args: []string{"nowhere.json"}, code: 2, output: []string{"nowhere.json"}},
		{args: []string{clean, "--against", "nowhere.json"}, code: 2, output: []string{"nowhere.json"}},
		{args: []string{clean, "--against", edit(`"version": 7`, `"version": "7"`)}, code: 2, output: []string{"config.json: configuration document"}},
		{args: nil, code: 2},
	} {
		code, out := runCommand(append([]string{"check"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		for _, want := range c.output {
			require.Contains(t, out, want, "%v", c.args)
		}
		require.NotContains(t, out, key)
		require.NotContains(t, out, "anfqasnmgkcuyj8pjbvk")
		require.NotContains(t, out, "anotherkey")
	}
}
