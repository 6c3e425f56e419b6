package classes

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/routes"
)

// maxPriority is the largest valid priority of a route or team; 0 is the most urgent.
const maxPriority = 9

// Correction is an invalid value in a configuration. The requests concerned get the default
// class: the lowest priority that the service's routes have.
type Correction struct {
	// Route or Team is the name of the route or team with the invalid value.
	Route, Team string
	Reason      string
}

// priority orders requests: by the team's priority, or the route's if the team has none, and
// then by the route's. Where all teams have the same priority, the routes' still count.
type priority int

func newPriority(ofTeam, ofRoute int) priority { return priority(ofTeam*(maxPriority+1) + ofRoute) }

// serviceClasses holds the classes of one service: its different priorities, most urgent
// first.
type serviceClasses struct {
	priorities []priority
	// defaultRank is the class of requests with an invalid priority or objective.
	defaultRank int
}

func validPriority(p int) bool { return p >= 0 && p <= maxPriority }

// validObjective reports whether a route's objective can be met before its timeout.
func validObjective(r *routes.Route) bool { return r.Timeout <= 0 || r.TargetLatency <= r.Timeout }

// classesOf returns the classes of each service and the invalid values of a configuration.
func classesOf(cfg *routes.Config) (map[string]serviceClasses, []Correction) {
	var corrections []Correction
	var teamPriorities []int
	allTeamsHave := len(cfg.Teams) > 0
	for i := range cfg.Teams {
		t := &cfg.Teams[i]
		switch {
		case !t.HasPriority:
			allTeamsHave = false
		case !validPriority(t.Priority):
			corrections = append(corrections, Correction{Team: t.Name, Reason: "priority out of range"})
		default:
			teamPriorities = append(teamPriorities, t.Priority)
		}
	}
	slices.Sort(teamPriorities)
	teamPriorities = slices.Compact(teamPriorities)
	found := map[string][]priority{}
	lowestOfRoutes := map[string]int{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		valid := validPriority(r.Priority)
		if !valid {
			corrections = append(corrections, Correction{Route: r.Name, Reason: "priority out of range"})
		}
		if !validObjective(r) {
			corrections = append(corrections, Correction{Route: r.Name, Reason: "objective above the timeout"})
		}
		needsKey := len(cfg.Teams) > 0 && !r.Public
		for _, s := range r.Split {
			if s.Weight <= 0 {
				continue
			}
			if valid {
				lowest, seen := lowestOfRoutes[s.Service]
				lowestOfRoutes[s.Service] = r.Priority
				if seen {
					lowestOfRoutes[s.Service] = max(lowest, r.Priority)
				}
				if !needsKey || !allTeamsHave {
					found[s.Service] = append(found[s.Service], newPriority(r.Priority, r.Priority))
				}
				for _, ofTeam := range teamPriorities {
					if needsKey {
						found[s.Service] = append(found[s.Service], newPriority(ofTeam, r.Priority))
					}
				}
			}
		}
	}
	out := make(map[string]serviceClasses, len(found))
	for name, priorities := range found {
		slices.Sort(priorities)
		c := serviceClasses{priorities: slices.Compact(priorities)}
		c.defaultRank = len(c.priorities) - 1
		if lowest, ok := lowestOfRoutes[name]; ok {
			c.defaultRank = c.rank(newPriority(lowest, lowest))
		}
		out[name] = c
	}
	return out, corrections
}

// rank returns the rank of a valid priority: that of the first class that is not more
// urgent.
func (c serviceClasses) rank(p priority) int {
	i, _ := slices.BinarySearch(c.priorities, p)
	return min(i, len(c.priorities)-1)
}

// rankOf returns the rank of a request by its route and its team, which may be nil.
func (c serviceClasses) rankOf(r *routes.Route, team *routes.Team) int {
	ofTeam := routes.Priority(r, team)
	if !validPriority(ofTeam) || !validPriority(r.Priority) || !validObjective(r) {
		return c.defaultRank
	}
	return c.rank(newPriority(ofTeam, r.Priority))
}

// NewRequest returns the request of a caller, or nil if its service has only one class. left
// is the time that the caller stated to have left, or the route's timeout.
func (c *Core) NewRequest(now time.Duration, id string, route *routes.Route, team *routes.Team, service string, left time.Duration) *Request {
	classes := c.byService[service]
	if len(classes.priorities) < 2 {
		return nil
	}
	r := &Request{ID: id, Service: service, Route: route.Name, Rank: classes.rankOf(route, team), Classes: len(classes.priorities),
		ArrivedAt: now, Objective: route.TargetLatency, Deadline: now + left}
	if team != nil {
		r.Team = team.Name
	}
	if !validObjective(route) {
		r.Objective = 0
	}
	// Refused callers come back with less time left.
	r.mayBeReturn = route.Timeout-left >= c.cfg.MinRetryAfter
	return r
}
