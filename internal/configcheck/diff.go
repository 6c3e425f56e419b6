package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/routes"
)

// Fields of the configuration, as Place and Change name them.
const (
	FieldVersion        = "version"
	FieldName           = "name"
	FieldHost           = "host"
	FieldPrefix         = "prefix"
	FieldKind           = "kind"
	FieldTimeout        = "timeout"
	FieldTargetLatency  = "target latency"
	FieldPriority       = "priority"
	FieldSplit          = "split"
	FieldMaxAttempts    = "attempts"
	FieldPublic         = "public"
	FieldResumable      = "resumable"
	FieldMaxGap         = "pause"
	FieldHealthPath     = "health path"
	FieldMaxConns       = "connections"
	FieldKeys           = "keys"
	FieldMaxHeaderBytes = "header bytes"
	FieldMaxBodyBytes   = "body bytes"
	FieldHeaderTimeout  = "header timeout"
	FieldIdleTimeout    = "idle timeout"
	// FieldEngine begins the names of the fields of engine.Spec.
	FieldEngine = "engine."
)

// ChangeKind says what became of an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference between two versions. Entries are matched by section and name; of those with the
// same name, the first with the first.
type Change struct {
	Section Section
	Name    string
	Kind    ChangeKind
	// Field, Before and After are set for Changed. Keys are given by their numbers only.
	Field, Before, After string
}

// field is a field of an entry as text.
type field struct{ name, value string }

// entry is an entry of a section.
type entry struct {
	name   string
	fields []field
	keys   []string
}

// Diff returns the differences from before to after, by section, in the order of before's
// entries; added entries follow in the order of after's.
func Diff(before, after Document) []Change {
	var out []Change
	for _, section := range []Section{Routes, Services, Teams, Limits} {
		out = append(out, diffSection(section, entries(before, section), entries(after, section))...)
	}
	return out
}

func diffSection(section Section, before, after []entry) []Change {
	byName := map[string][]entry{}
	for _, e := range after {
		byName[e.name] = append(byName[e.name], e)
	}
	var out []Change
	for _, old := range before {
		same := byName[old.name]
		if len(same) == 0 {
			out = append(out, Change{Section: section, Name: old.name, Kind: Removed})
			continue
		}
		byName[old.name] = same[1:]
		out = append(out, diffEntry(section, old, same[0])...)
	}
	for i := range after {
		name := after[i].name
		// The entries that are left over are the last ones of their name.
		if rest := len(byName[name]); rest > 0 && countName(after[i:], name) <= rest {
			out = append(out, Change{Section: section, Name: name, Kind: Added})
		}
	}
	return out
}

func countName(entries []entry, name string) int {
	n := 0
	for i := range entries {
		if entries[i].name == name {
			n++
		}
	}
	return n
}

func diffEntry(section Section, before, after entry) []Change {
	var out []Change
	add := func(name, old, next string) {
		if old != next {
			out = append(out, Change{Section: section, Name: before.name, Kind: Changed, Field: name, Before: old, After: next})
		}
	}
	// The fields of an engine are missing if there is none.
	values := map[string]string{}
	for _, f := range after.fields {
		values[f.name] = f.value
	}
	for _, f := range before.fields {
		add(f.name, f.value, values[f.name])
		delete(values, f.name)
	}
	for _, f := range after.fields {
		if value, ok := values[f.name]; ok {
			add(f.name, "", value)
		}
	}
	added, removed := missing(after.keys, before.keys), missing(before.keys, after.keys)
	if added+removed > 0 || len(before.keys) != len(after.keys) {
		add(FieldKeys, fmt.Sprintf("%d keys", len(before.keys)), fmt.Sprintf("%d keys, %d added, %d removed", len(after.keys), added, removed))
	}
	return out
}

// missing counts the keys of a that b lacks.
func missing(a, b []string) int {
	n := 0
	for _, key := range a {
		if !slices.Contains(b, key) {
			n++
		}
	}
	return n
}

func entries(doc Document, section Section) []entry {
	var out []entry
	cfg := doc.Config
	switch section {
	case Routes:
		for i := range cfg.Routes {
			out = append(out, routeEntry(&cfg.Routes[i]))
		}
	case Services:
		for i, name := range doc.Services {
			if !slices.Contains(doc.Services[:i], name) {
				out = append(out, serviceEntry(cfg.Services[name]))
			}
		}
	case Teams:
		for _, t := range cfg.Teams {
			priority := "the route's"
			if t.HasPriority {
				priority = fmt.Sprint(t.Priority)
			}
			out = append(out, entry{name: t.Name, fields: []field{{FieldPriority, priority}}, keys: t.Keys})
		}
	case Limits:
		out = append(out, entry{fields: []field{{FieldMaxHeaderBytes, fmt.Sprint(cfg.MaxHeaderBytes)}, {FieldMaxBodyBytes, fmt.Sprint(cfg.MaxBodyBytes)},
			{FieldHeaderTimeout, cfg.HeaderTimeout.String()}, {FieldIdleTimeout, cfg.IdleTimeout.String()}}})
	}
	return out
}

var kindNames = map[routes.Kind]string{routes.Idempotent: "idempotent", routes.AtMostOnce: "at most once", routes.Stream: "stream"}

func routeEntry(r *routes.Route) entry {
	var split []string
	for _, s := range r.Split {
		split = append(split, fmt.Sprintf("%s %g", s.Service, s.Weight))
	}
	return entry{name: r.Name, fields: []field{{FieldHost, r.Host}, {FieldPrefix, r.Prefix}, {FieldKind, kindNames[r.Kind]}, {FieldTimeout, r.Timeout.String()},
		{FieldTargetLatency, r.TargetLatency.String()}, {FieldPriority, fmt.Sprint(r.Priority)}, {FieldSplit, strings.Join(split, ", ")},
		{FieldMaxAttempts, fmt.Sprint(r.MaxAttempts)}, {FieldPublic, fmt.Sprint(r.Public)}, {FieldResumable, fmt.Sprint(r.Resumable)}, {FieldMaxGap, r.MaxGap.String()}}}
}

func serviceEntry(s routes.Service) entry {
	e := entry{name: s.Name, fields: []field{{FieldHealthPath, s.HealthPath}, {FieldMaxConns, fmt.Sprint(s.MaxConns)}}}
	if s.Engine == nil {
		return e
	}
	spec, types := reflect.ValueOf(*s.Engine), reflect.TypeFor[engine.Spec]()
	for i := range types.NumField() {
		e.fields = append(e.fields, field{FieldEngine + types.Field(i).Name, fmt.Sprint(spec.Field(i).Interface())}) // fmt sorts maps
	}
	return e
}
