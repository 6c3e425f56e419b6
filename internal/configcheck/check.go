// Package configcheck checks a configuration before it is sent: errors, entries that can never
// match, limits that contradict each other, and the difference from another version. It is
// pure, and shows no team's key.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/catkinstair/catkinstair/internal/routes"
)

// Document is a decoded configuration.
type Document struct {
	Config *routes.Config
	// Services are the names of all entries of services in order, of which Config keeps one for
	// each name.
	Services []string
}

// Severity is the severity of a Finding.
type Severity string

// The severities.
const (
	// Error is a fault: requests would fail or a limit can't hold.
	Error Severity = "error"
	// Warning is an entry without effect.
	Warning Severity = "warning"
)

// Section is a part of the configuration.
type Section string

// The sections.
const (
	Whole    Section = ""
	Routes   Section = "routes"
	Services Section = "services"
	Teams    Section = "teams"
	Limits   Section = "limits"
)

// Place is where something stands in the configuration.
type Place struct {
	Section Section
	// Index counts the entries of a section, and Name is the entry's name; -1 and "" for Whole
	// and Limits.
	Index int
	Name  string
	// Field is a name of this package; "" for the whole entry. Item counts the items of a list,
	// -1 for the whole field.
	Field string
	Item  int
}

// Finding is something that is wrong.
type Finding struct {
	Severity Severity
	Place    Place
	Message  string
	// Remedy says how to put it right.
	Remedy string
}

// checker collects the findings of one document.
type checker struct {
	doc      Document
	findings []Finding
}

func (c *checker) add(s Severity, p Place, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: p, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Check returns the findings of a document, errors first, each in the document's order.
func Check(doc Document) []Finding {
	c := &checker{doc: doc}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) })
	return c.findings
}

// CheckVersion returns the finding that the VMs would ignore the document, if they have before.
func CheckVersion(doc, before Document) []Finding {
	if doc.Config.Version > before.Config.Version || (doc.Config.Version == before.Config.Version && len(Diff(before, doc)) == 0) {
		return nil
	}
	c := &checker{}
	c.add(Error, Place{Index: -1, Field: FieldVersion, Item: -1}, "raise the version", "version %d is not above the version %d in force, so the VMs would ignore it", doc.Config.Version, before.Config.Version)
	return c.findings
}

func (c *checker) checkRoutes() {
	type match struct{ host, prefix string }
	first, names := map[match]int{}, map[string]int{}
	for i := range c.doc.Config.Routes {
		r := &c.doc.Config.Routes[i]
		at := func(field string) Place {
			return Place{Section: Routes, Index: i, Name: r.Name, Field: field, Item: -1}
		}
		if j, ok := first[match{r.Host, r.Prefix}]; ok {
			c.add(Warning, at(""), "remove it, or change its host or prefix", "never matches: route %d (%s) has the same host and prefix", j, c.doc.Config.Routes[j].Name)
		} else {
			first[match{r.Host, r.Prefix}] = i
		}
		if j, ok := names[r.Name]; ok {
			c.add(Warning, at(FieldName), "rename one of them", "has the name of route %d: logs don't tell them apart", j)
		} else {
			names[r.Name] = i
		}
		if r.Host != strings.ToLower(r.Host) || strings.Contains(r.Host, ":") {
			c.add(Warning, at(FieldHost), "write the host in lower case and without a port", "never matches: callers' hosts are compared in lower case and without their port")
		}
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			c.add(Warning, at(FieldPrefix), "begin the prefix with /", "never matches: a path begins with /")
		}
		c.checkSplit(r, at)
		c.checkTimes(r, at)
	}
}

func (c *checker) checkSplit(r *routes.Route, at func(string) Place) {
	total := 0.0
	for i, share := range r.Split {
		place := at(FieldSplit)
		if len(r.Split) > 1 {
			place.Item = i
		}
		total += max(0, share.Weight)
		_, known := c.doc.Config.Services[share.Service]
		switch {
		case share.Weight < 0:
			c.add(Error, place, "use a weight above 0, or remove the entry", "weight %g is negative", share.Weight)
		case share.Weight == 0:
			c.add(Warning, place, "remove the entry, or give it a weight", "never used: service %q has weight 0", share.Service)
		case !known:
			c.add(Error, place, "add the service, or correct the name", "service %q does not exist, so requests get status 404", share.Service)
		}
	}
	if total <= 0 {
		c.add(Error, at(FieldSplit), "give a service a weight above 0", "no service has a weight, so requests get status 404")
	}
}

func (c *checker) checkTimes(r *routes.Route, at func(string) Place) {
	switch {
	case r.Timeout <= 0:
		c.add(Error, at(FieldTimeout), "set a timeout above 0", "timeout %v: requests have no time for an answer", r.Timeout)
	case r.TargetLatency > r.Timeout:
		c.add(Error, at(FieldTargetLatency), "lower the objective or raise the timeout", "objective %v is above the timeout %v", r.TargetLatency, r.Timeout)
	case r.MaxGap > r.Timeout:
		c.add(Error, at(FieldMaxGap), "lower the pause or raise the timeout", "pause %v is above the timeout %v", r.MaxGap, r.Timeout)
	}
	if r.TargetLatency < 0 {
		c.add(Error, at(FieldTargetLatency), "use 0 for no objective", "objective %v is negative", r.TargetLatency)
	}
	if r.MaxGap < 0 {
		c.add(Error, at(FieldMaxGap), "use 0 for no limit", "pause %v is negative", r.MaxGap)
	}
	if r.Priority < 0 {
		c.add(Error, at(FieldPriority), "use 0 for the highest priority", "priority %d is negative", r.Priority)
	}
	if r.Kind != routes.Stream && r.Resumable {
		c.add(Warning, at(FieldResumable), "remove it, or change the kind", "has no effect: the route is not streaming")
	}
	if r.Kind != routes.Stream && r.MaxGap > 0 {
		c.add(Warning, at(FieldMaxGap), "remove it, or change the kind", "has no effect: the route is not streaming")
	}
}

// usedServices returns the services that requests can reach.
func (c *checker) usedServices() map[string]bool {
	used := map[string]bool{}
	for i := range c.doc.Config.Routes {
		for _, share := range c.doc.Config.Routes[i].Split {
			if share.Weight > 0 {
				used[share.Service] = true
			}
		}
	}
	return used
}

func (c *checker) checkServices() {
	used, last := c.usedServices(), map[string]int{}
	for i, name := range c.doc.Services {
		last[name] = i
	}
	for i, name := range c.doc.Services {
		at := func(field string) Place {
			return Place{Section: Services, Index: i, Name: name, Field: field, Item: -1}
		}
		if last[name] != i {
			c.add(Warning, at(""), "remove one of them", "never used: service %d has the same name", last[name])
			continue
		}
		if !used[name] {
			c.add(Warning, at(""), "remove it, or name it in a route", "no route uses it")
		}
		s := c.doc.Config.Services[name]
		if s.MaxConns <= 0 {
			c.add(Warning, at(FieldMaxConns), "set the number of connections that a server accepts", "is %d: no connection is kept for further requests", s.MaxConns)
		}
		if s.Engine == nil {
			continue
		}
		fits := false
		for _, accelerator := range s.Engine.Accelerators {
			fits = fits || s.Engine.MaxLayers(accelerator, 0) > 0
		}
		if !fits {
			c.add(Error, at(FieldEngine+"Accelerators"), "correct the memory of the accelerators or the size of a layer", "no accelerator has memory for one layer of %g MB", s.Engine.LayerMB)
		}
	}
}

func (c *checker) checkTeams() {
	type holder struct{ team, item int }
	teams := c.doc.Config.Teams
	lastHolder, names := map[string]holder{}, map[string]int{}
	for i, t := range teams {
		for j, key := range t.Keys {
			lastHolder[key] = holder{i, j}
		}
	}
	for i, t := range teams {
		at := func(field string, item int) Place {
			return Place{Section: Teams, Index: i, Name: t.Name, Field: field, Item: item}
		}
		if j, ok := names[t.Name]; ok {
			c.add(Warning, at(FieldName, -1), "rename one of them, or join them", "has the name of team %d", j)
		} else {
			names[t.Name] = i
		}
		if len(t.Keys) == 0 {
			c.add(Warning, at(FieldKeys, -1), "add a key, or remove the team", "never matches: the team has no key")
		}
		for j, key := range t.Keys {
			if h := lastHolder[key]; key == "" {
				c.add(Warning, at(FieldKeys, j), "remove it", "never matches: the key is empty")
			} else if h != (holder{i, j}) {
				c.add(Warning, at(FieldKeys, j), "remove one of them; replace the key if both teams know it", "never matches: team %d (%s) holds the same key", h.team, teams[h.team].Name)
			}
		}
		if t.HasPriority && t.Priority < 0 {
			c.add(Error, at(FieldPriority, -1), "use 0 for the highest priority", "priority %d is negative", t.Priority)
		}
	}
}

func (c *checker) checkLimits() {
	cfg := c.doc.Config
	at := func(field string) Place { return Place{Section: Limits, Index: -1, Field: field, Item: -1} }
	check := func(field string, value, most int) {
		switch {
		case value <= 0:
			c.add(Warning, at(field), "set a limit above 0", "is %d: only the %d bytes that VMs accept limit requests", value, most)
		case value > most:
			c.add(Error, at(field), fmt.Sprintf("use %d or less", most), "%d bytes are above the %d that VMs accept", value, most)
		}
	}
	check(FieldMaxHeaderBytes, cfg.MaxHeaderBytes, routes.MaxHeaderBytes)
	check(FieldMaxBodyBytes, cfg.MaxBodyBytes, routes.MaxBodyBytes)
	if cfg.HeaderTimeout < 0 || cfg.IdleTimeout < 0 {
		c.add(Error, at(FieldHeaderTimeout), "use times of 0 or more", "a time is negative: header %v, idle %v", cfg.HeaderTimeout, cfg.IdleTimeout)
	}
	if cfg.IdleTimeout > 0 && cfg.HeaderTimeout > cfg.IdleTimeout {
		c.add(Error, at(FieldHeaderTimeout), "lower it, or raise the idle timeout", "header timeout %v is above the idle timeout %v, which ends the connection before", cfg.HeaderTimeout, cfg.IdleTimeout)
	}
}
