package configcheck_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/configcheck"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/platform"
)

func exampleText(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	return text
}

func example(t testing.TB) configcheck.Document {
	t.Helper()
	doc, err := platform.DecodeDocument(exampleText(t))
	require.NoError(t, err)
	return doc
}

// Guards against a fault that passes unseen, is shown at another place, or counts as another
// severity, which the exit code depends on.
func TestFindings(t *testing.T) {
	plain := routes.Route{Name: "new", Host: "h", Prefix: "/n/", Kind: routes.Idempotent, Timeout: time.Second, Split: []routes.Share{{Service: "wuno96b", Weight: 1}}}
	add := func(c *routes.Config, change func(*routes.Route)) {
		r := plain
		change(&r)
		c.Routes = append(c.Routes, r)
	}
	for _, test := range []struct {
		name   string
		change func(*routes.Config)
		want   []string
	}{
		{"example", func(*routes.Config) {}, nil},
		{"hidden route", func(c *routes.Config) {
			add(c, func(r *routes.Route) { r.Host, r.Prefix = c.Routes[1].Host, c.Routes[1].Prefix })
		}, []string{"warning routes[2]"}},
		{"longer prefix", func(c *routes.Config) {
			add(c, func(r *routes.Route) { r.Host, r.Prefix = c.Routes[1].Host, c.Routes[1].Prefix+"x" })
		}, nil},
		{"same name", func(c *routes.Config) { add(c, func(r *routes.Route) { r.Name = c.Routes[0].Name }) }, []string{"warning routes[2].name"}},
		{"upper case", func(c *routes.Config) { add(c, func(r *routes.Route) { r.Host = "H" }) }, []string{"warning routes[2].host"}},
		{"port", func(c *routes.Config) { add(c, func(r *routes.Route) { r.Host = "h:80" }) }, []string{"warning routes[2].host"}},
		{"no slash", func(c *routes.Config) { add(c, func(r *routes.Route) { r.Prefix = "n" }) }, []string{"warning routes[2].prefix"}},
		{"weight 0", func(c *routes.Config) { c.Routes[0].Split[1].Weight = 0 }, []string{"warning routes[0].trafficSplit[1]", "warning services[1]"}},
		{"negative weight", func(c *routes.Config) { c.Routes[0].Split[0].Weight = -1 }, []string{"error routes[0].trafficSplit[0]"}},
		{"no weight", func(c *routes.Config) { c.Routes[1].Split[0].Weight = 0 }, []string{"error routes[1].trafficSplit", "warning routes[1].trafficSplit"}},
		{"unknown service", func(c *routes.Config) { c.Routes[0].Split[1].Service = "other" }, []string{"error routes[0].trafficSplit[1]", "warning services[1]"}},
		{"no timeout", func(c *routes.Config) { c.Routes[0].Timeout = 0 }, []string{"error routes[0].timeoutMs"}},
		{"objective above timeout", func(c *routes.Config) { c.Routes[0].TargetLatency = time.Minute }, []string{"error routes[0].targetLatencyMs"}},
		{"pause above timeout", func(c *routes.Config) { c.Routes[0].MaxGap = time.Minute }, []string{"error routes[0].gapAimMs"}},
		{"negative times", func(c *routes.Config) { c.Routes[0].MaxGap, c.Routes[0].TargetLatency = -1, -1 }, []string{"error routes[0].targetLatencyMs", "error routes[0].gapAimMs"}},
		{"negative priority", func(c *routes.Config) { c.Routes[0].Priority, c.Teams[0].Priority = -1, -1 }, []string{"error routes[0].priority", "error tenants[0].priority"}},
		{"stream settings", func(c *routes.Config) { add(c, func(r *routes.Route) { r.Resumable, r.MaxGap = true, 1 }) }, []string{"warning routes[2].streamResume", "warning routes[2].gapAimMs"}},
		{"connections", func(c *routes.Config) { c.Services["wuno96b"] = routes.Service{Name: "wuno96b"} }, []string{"warning services[1].maxConnections"}},
		{"layer too large", func(c *routes.Config) { c.Services["huvo11a"].Engine.LayerMB = 1e6 }, []string{"error services[0].engine.kinds"}},
		{"key held twice", func(c *routes.Config) { c.Teams = append(c.Teams, routes.Team{Name: "b", Keys: c.Teams[0].Keys[1:]}) }, []string{"warning tenants[0].apiKeys[1]"}},
		{"key repeated", func(c *routes.Config) { c.Teams[0].Keys = append(c.Teams[0].Keys, c.Teams[0].Keys[0]) }, []string{"warning tenants[0].apiKeys[0]"}},
		{"empty key", func(c *routes.Config) { c.Teams[0].Keys = []string{""} }, []string{"warning tenants[0].apiKeys[0]"}},
		{"no key, name twice", func(c *routes.Config) { c.Teams = append(c.Teams, routes.Team{Name: c.Teams[0].Name}) }, []string{"warning tenants[1].name", "warning tenants[1].apiKeys"}},
		{"header limits", func(c *routes.Config) { c.MaxHeaderBytes, c.MaxBodyBytes = 1<<20, 0 }, []string{"error limits.maxHeaderBytes", "warning limits.maxBodyBytes"}},
		{"header timeout", func(c *routes.Config) { c.HeaderTimeout = time.Minute }, []string{"error limits.headerTimeoutMs"}},
		{"negative limit", func(c *routes.Config) { c.IdleTimeout = -1 }, []string{"error limits.headerTimeoutMs"}},
	} {
		doc := example(t)
		test.change(doc.Config)
		var got []string
		for _, f := range configcheck.Check(doc) {
			got = append(got, fmt.Sprint(f.Severity, " ", platform.FormatPlace(f.Place)))
			require.NotEmpty(t, f.Message, test.name)
			require.NotEmpty(t, f.Remedy, test.name)
		}
		require.Equal(t, test.want, got, test.name)
	}
	doc := example(t)
	doc.Services = append(doc.Services, "wuno96b")
	require.Len(t, configcheck.Check(doc), 1, "a service listed twice")
}

// Guards against changes that are missed or that show a key.
func TestDiff(t *testing.T) {
	before, after := example(t), example(t)
	require.Empty(t, configcheck.Diff(before, after))
	require.Empty(t, configcheck.CheckVersion(after, before))
	cfg := after.Config
	cfg.Routes[1].Timeout = time.Second
	cfg.Routes = append(cfg.Routes[1:], routes.Route{Name: "new"})
	cfg.Teams[0].Keys = []string{cfg.Teams[0].Keys[0], "secret-1", "secret-2"}
	cfg.Teams[0].HasPriority = false
	cfg.IdleTimeout = time.Minute
	cfg.Services["huvo11a"].Engine.Slots = 5
	plain := cfg.Services["wuno96b"]
	plain.Engine = &engine.Spec{}
	cfg.Services["wuno96b"] = plain
	changes := configcheck.Diff(before, after)
	require.NotContains(t, fmt.Sprint(changes), "secret")
	var got []string
	for _, c := range changes {
		if c.Name != "wuno96b" {
			got = append(got, fmt.Sprintf("%s %s %s %s: %s -> %s", c.Kind, c.Section, c.Name, c.Field, c.Before, c.After))
			continue
		}
		require.Contains(t, c.Field, configcheck.FieldEngine, "an engine is new")
	}
	require.Equal(t, []string{
		"removed routes r-2yhvz3p :  -> ",
		"changed routes r-fi6y7z5 timeout: 20s -> 1s",
		"added routes new :  -> ",
		"changed services huvo11a engine.Slots: 192 -> 5",
		"changed teams hule930 priority: 1 -> the route's",
		"changed teams hule930 keys: 2 keys -> 3 keys, 2 added, 1 removed",
		"changed limits  idle timeout: 15s -> 1m0s",
	}, got)
	require.Len(t, configcheck.CheckVersion(after, before), 1, "VMs ignore a version that is not higher")
	cfg.Version++
	require.Empty(t, configcheck.CheckVersion(after, before))
}

// Guards against a crash on a document that DecodeConfig accepts, and against findings that
// depend on the text of keys and so might show it.
func FuzzCheck(f *testing.F) {
	f.Add(exampleText(f))
	f.Add([]byte(`{"version":1,"routes":[{"kind":"streaming"},{"kind":"idempotent","service":"s","trafficSplit":[{"weight":-1}]}],"services":[{"name":"s"},{"name":"s"}],"tenants":[{"apiKeys":["a","a",""]},{"apiKeys":["a"]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := platform.DecodeDocument(text)
		if err != nil {
			return
		}
		findings := configcheck.Check(doc)
		require.Empty(t, configcheck.Diff(doc, doc))
		other, err := platform.DecodeDocument(text)
		require.NoError(t, err)
		renamed := map[string]string{"": ""}
		for _, team := range other.Config.Teams {
			for i, key := range team.Keys {
				if renamed[key] == "" && key != "" {
					renamed[key] = fmt.Sprint("renamed", len(renamed))
				}
				team.Keys[i] = renamed[key]
			}
		}
		require.Equal(t, findings, configcheck.Check(other))
		for _, finding := range findings {
			require.NotEmpty(t, platform.FormatPlace(finding.Place))
		}
	})
}
