//go:build review

package main

import (
	_ "embed"
	"encoding/json"

	"github.com/catkinstair/catkinstair/platform"
)

// manifestText is a manifest with an example of each kind of route, from which that of a case is made.
//
//go:embed manifest.json
var manifestText []byte

// route is a route of the manifest. A streaming one may be resumed.
type route struct {
	Name, Host, Prefix, Kind, Service    string
	TimeoutMs, TargetLatencyMs, Attempts int
}

// putManifest writes a version of the manifest, as the operator does.
func (w *world) putManifest(version int, r route) {
	var doc map[string]any
	if err := json.Unmarshal(manifestText, &doc); err != nil {
		panic(err) // the file is part of the program
	}
	var routes []any
	for _, example := range doc["routes"].([]any) {
		fields := example.(map[string]any)
		if fields["kind"] != r.Kind {
			continue
		}
		for name, value := range map[string]any{"name": r.Name, "host": r.Host, "prefix": r.Prefix, "service": r.Service,
			"timeoutMs": r.TimeoutMs, "targetLatencyMs": r.TargetLatencyMs, "attempts": r.Attempts} {
			fields[name] = value
		}
		routes = append(routes, fields)
	}
	doc["routes"] = routes
	doc["version"] = version
	doc["tenants"] = []any{map[string]any{"name": tenant, "apiKeys": []string{key}}}
	value, err := json.Marshal(doc)
	if err != nil {
		panic(err) // it consists of texts and numbers
	}
	w.store.Put(platform.ConfigKey, value)
	w.record.line("manifest %d is accepted", version)
}
