//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed model.json
var modelJSON []byte

// modelManifest has one streaming route to a model of 80 layers, of which a replica holds 40 at most.
func modelManifest(service string) m {
	var doc struct {
		Routes, Services []m
		Limits           m
	}
	must(json.Unmarshal(modelJSON, &doc))
	doc.Routes[0]["service"], doc.Services[0]["name"] = service, service
	doc.Services[0]["engine"] = m(doc.Services[0]["engine"].(map[string]any))
	return m{"version": 3, "routes": doc.Routes, "services": doc.Services, "limits": doc.Limits}
}
