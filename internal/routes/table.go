package routes

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes a Config for look-ups. It is safe for concurrent use.
type Table struct {
	cfg    *Config
	byHost map[string][]*Route
	byKey  map[string]*Team
}

// NewTable returns the Table of cfg. The routes of a host are sorted by descending length
// of their prefix, so that the first match is the longest.
func NewTable(cfg *Config) *Table {
	t := &Table{cfg: cfg, byHost: map[string][]*Route{}, byKey: map[string]*Team{}}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(a, b int) bool { return len(hostRoutes[a].Prefix) > len(hostRoutes[b].Prefix) })
	}
	for i := range cfg.Teams {
		for _, key := range cfg.Teams[i].Keys {
			t.byKey[key] = &cfg.Teams[i]
		}
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.cfg }

// Newer reports whether t may replace old: its version is higher, or old is nil.
func (t *Table) Newer(old *Table) bool { return old == nil || t.cfg.Version > old.cfg.Version }

// Route returns the route of host with the longest prefix of path, or nil. A port in
// host is ignored.
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

// NeedsKey reports whether a request of r must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.cfg.Teams) > 0 && !r.Public }

// Team returns the team that key belongs to, or nil.
func (t *Table) Team(key string) *Team { return t.byKey[key] }

// Service picks the service of a request by the route's weights, or returns false if there
// is none. The choice depends only on the request ID, so that a retry goes to the same
// service.
func (t *Table) Service(r *Route, requestID string) (Service, bool) {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total <= 0 {
		return Service{}, false
	}
	// 53 bits of the hash, because a float64 represents larger integers inexactly.
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range r.Split {
		point -= max(0, s.Weight)
		if point < 0 {
			service, ok := t.cfg.Services[s.Service]
			return service, ok
		}
	}
	service, ok := t.cfg.Services[r.Split[len(r.Split)-1].Service]
	return service, ok
}

// Priority returns the priority of a request: the team's if it has one, else the route's.
func Priority(r *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return r.Priority
}
