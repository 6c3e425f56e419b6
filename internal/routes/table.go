// Package routes holds one version of the operators' configuration as a table
// that a request is looked up in: host, longest path prefix, split between
// services, the team of a key. A table is immutable; a new version replaces it
// whole, and an older one never does.
package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a Config prepared for look-ups. It is safe for concurrent use.
type Table struct {
	cfg    *Config
	byHost map[string][]*Route
	byKey  map[string]*Team
}

// NewTable prepares cfg. The longest prefix of a host comes first.
func NewTable(cfg *Config) *Table {
	t := &Table{cfg: cfg, byHost: map[string][]*Route{}, byKey: map[string]*Team{}}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	for i := range cfg.Teams {
		for _, key := range cfg.Teams[i].Keys {
			t.byKey[key] = &cfg.Teams[i]
		}
	}
	return t
}

// Config returns the version that the table was made from.
func (t *Table) Config() *Config { return t.cfg }

// Newer reports whether t may replace old. Versions only rise.
func (t *Table) Newer(old *Table) bool { return old == nil || t.cfg.Version > old.cfg.Version }

// Route returns the route with the longest prefix of path at host, or nil. A
// port in host does not count.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether a request of r has to carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.cfg.Teams) > 0 && !r.Public }

// Team returns the holder of key, or nil.
func (t *Table) Team(key string) *Team { return t.byKey[key] }

// Service picks the service of one request by the route's weights: the same id
// always takes the same side, so that a repeat does not change it.
func (t *Table) Service(r *Route, requestID string) (Service, bool) {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total <= 0 {
		return Service{}, false
	}
	// 53 bits are what a float64 holds exactly.
	at := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range r.Split {
		at -= max(0, s.Weight)
		if at < 0 {
			svc, ok := t.cfg.Services[s.Service]
			return svc, ok
		}
	}
	svc, ok := t.cfg.Services[r.Split[len(r.Split)-1].Service]
	return svc, ok
}

// Priority is the rank of a request: the team's goes before the route's.
func Priority(r *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return r.Priority
}
