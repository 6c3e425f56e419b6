//go:build review

package main

import (
	"encoding/json"

	"github.com/catkinstair/catkinstair/platform"
)

// route is a route of the manifest.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Attempts        int    `json:"attempts"`
	StreamResume    bool   `json:"streamResume,omitempty"`
	GapAimMs        int    `json:"gapAimMs,omitempty"`
	StickySessions  bool   `json:"stickySessions,omitempty"`
}

// putManifest writes a version of the manifest, as the operator does.
func (w *world) putManifest(version int, routes ...route) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "ordrebok", "healthPath": "/healthz", "maxConnections": 96}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}}},
	})
	w.store.Put(platform.ConfigKey, value)
	w.record.line("manifest %d is accepted", version)
}
