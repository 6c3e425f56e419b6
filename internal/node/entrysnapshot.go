package node

import (
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// acceptedConfig is the part of the configuration in force that admission needs.
type acceptedConfig struct {
	known   bool
	version uint64
	units   map[teamService][]limits.Unit
	// insufficient is the unit of the limit that last refused a request.
	insufficient map[teamService]limits.Unit
}

// teamService identifies the requests that share a set of limits.
type teamService struct {
	team    ident.Team
	service ident.Service
}

// parseUnit converts the unit of an accepted limit: "requests/s" becomes "requests".
func parseUnit(text string) limits.Unit {
	return limits.Unit(strings.TrimSuffix(text, "/s"))
}

func (e *Entry) applySnapshot(now time.Duration, reply peer.SnapshotReply) {
	if reply.Config != nil {
		e.applyConfig(*reply.Config)
	}
	if reply.Members != nil {
		e.applyMembers(now, *reply.Members)
	}
	if reply.Backends != nil {
		e.applyBackends(now, *reply.Backends)
	}
	if reply.Roster != nil {
		e.applyRoster(now, *reply.Roster)
	}
}

// applyConfig puts a configuration in force. It ignores an unknown configuration and
// versions older than the current one: an accepted configuration is never reverted.
func (e *Entry) applyConfig(cfg peer.AcceptedConfig) {
	if !cfg.Known || cfg.Version < e.acceptedConfig.version {
		return
	}
	units := make(map[teamService][]limits.Unit, len(cfg.Limits))
	for _, l := range cfg.Limits {
		key := teamService{team: l.Team, service: l.Service}
		units[key] = append(units[key], parseUnit(l.Unit))
	}
	e.acceptedConfig = acceptedConfig{known: true, version: cfg.Version, units: units, insufficient: map[teamService]limits.Unit{}}
}

func (e *Entry) applyMembers(now time.Duration, section peer.MembersSection) {
	e.members = make(map[ident.VM]peer.EntryMember, len(section.Members))
	var peers []entrylist.Peer
	for _, m := range section.Members {
		e.members[m.Instance.VM] = m
		peers = append(peers, entrylist.Peer{Instance: m.Instance, Addr: m.EntryAddr,
			Domain: m.Place.FailureDomain, Leaving: m.Leaving || !m.Serving})
	}
	e.stepList(now, entrylist.Peers{Peers: peers})
	for _, m := range section.Members {
		e.observeHome(now, m.Instance)
	}
}

// observeHome records the incarnation of the entry process on a VM, which is the home of
// the idempotency keys that it issued. The home ends only when another incarnation is seen.
// A VM that is missing, or whose entry process is unknown, may still run the old one:
// perhaps only its control process has ended.
func (e *Entry) observeHome(now time.Duration, instance ident.Instance) {
	previous, known := e.homes[instance.VM]
	if instance.Incarnation == 0 || instance == previous {
		return
	}
	e.homes[instance.VM] = instance
	if known {
		e.stepCalls(now, call.HomeGone{Home: previous})
	}
}

func (e *Entry) applyBackends(now time.Duration, section peer.BackendsSection) {
	e.servers = make(map[ident.BackendServer]peer.BackendServer, len(section.Servers))
	e.serviceIsModel = map[ident.Service]bool{}
	list := make([]routing.Server, 0, len(section.Servers))
	for _, s := range section.Servers {
		e.servers[s.ID] = s
		e.serviceIsModel[s.Service] = s.Kind == peer.KindEngine
		list = append(list, routing.Server{ID: s.ID, VM: s.VM, Service: s.Service, Replica: s.Replica, Place: s.Place,
			Accelerator: s.Accelerator, LayerFrom: s.LayerFrom, LayerTo: s.LayerTo, LayersTotal: s.LayersTotal,
			Leaving: !s.AcceptsWork})
	}
	e.stepRouter(now, routing.Servers{List: list})
}

func (e *Entry) applyRoster(now time.Duration, roster peer.RosterSection) {
	holders := make([]limits.SlotHolder, 0, len(roster.Holders))
	for _, h := range roster.Holders {
		holders = append(holders, limits.SlotHolder{Holder: h.Instance, Addr: h.ControlAddr, Epoch: h.Epoch})
	}
	e.handleLimitActions(now, e.borrower.Step(now, limits.Holders{Slots: holders}))
}

// Server returns a known backend server.
func (e *Entry) Server(id ident.BackendServer) (peer.BackendServer, bool) {
	s, ok := e.servers[id]
	return s, ok
}

// Member returns a known entry VM.
func (e *Entry) Member(vm ident.VM) (peer.EntryMember, bool) {
	m, ok := e.members[vm]
	return m, ok
}

// refuseWithoutLimit returns a refusal, and true, if no configuration is known or the team
// has no limit on the service.
func (e *Entry) refuseWithoutLimit(team ident.Team, service ident.Service) (verdict.Refusal, bool) {
	refusal := verdict.Refusal{Verdict: verdict.NotRun}
	switch {
	case !e.acceptedConfig.known:
		refusal.Cause = verdict.CauseNoConfig
		refusal.RetryAfter = time.Second
		refusal.Detail = "this entry holds no accepted configuration yet"
	case len(e.acceptedConfig.units[teamService{team: team, service: service}]) == 0:
		refusal.Cause = verdict.CauseNoLimit
		refusal.Detail = "no limit is accepted for team " + string(team) + " on " + string(service)
	default:
		return verdict.Refusal{}, false
	}
	return refusal, true
}

// limiter implements admission.Limiter with the limits borrowed by this VM.
type limiter struct{ entry *Entry }

// Take implements admission.Limiter. It takes tokens from a limit in tokens per second and
// one request from a limit in requests per second; if one of the limits does not suffice,
// it takes nothing.
func (l limiter) Take(now time.Duration, team ident.Team, service ident.Service, tokens int) bool {
	units := l.entry.acceptedConfig.units[teamService{team: team, service: service}]
	if len(units) > 1 {
		units = l.insufficientFirst(now, team, service, units, tokens)
	}
	for i, unit := range units {
		key := limits.Key{Team: team, Service: service, Unit: unit}
		if l.entry.borrower.Take(now, key, amount(unit, tokens)) == limits.Granted {
			continue
		}
		l.entry.acceptedConfig.insufficient[teamService{team: team, service: service}] = unit
		l.refund(now, team, service, units[:i], tokens)
		return false
	}
	return len(units) > 0
}

// insufficientFirst moves a limit that does not cover the request to the front, so that
// Take fails before it takes units from the others. Those would become available again
// only through the lender.
func (l limiter) insufficientFirst(now time.Duration, team ident.Team, service ident.Service, units []limits.Unit, tokens int) []limits.Unit {
	for i, unit := range units {
		key := limits.Key{Team: team, Service: service, Unit: unit}
		if l.entry.borrower.CanTake(now, key, amount(unit, tokens)) {
			continue
		}
		first := append([]limits.Unit{unit}, units[:i]...)
		return append(first, units[i+1:]...)
	}
	return units
}

// RetryAfter implements admission.Limiter for the limit that refused last.
func (l limiter) RetryAfter(now time.Duration, team ident.Team, service ident.Service, requests, tokens int) time.Duration {
	unit, ok := l.entry.acceptedConfig.insufficient[teamService{team: team, service: service}]
	if !ok {
		return 0
	}
	needed := int64(requests)
	if unit == limits.UnitTokens {
		needed = int64(tokens)
	}
	return l.entry.borrower.RetryAfter(now, limits.Key{Team: team, Service: service, Unit: unit}, needed)
}

func (l limiter) refund(now time.Duration, team ident.Team, service ident.Service, units []limits.Unit, tokens int) {
	for _, unit := range units {
		l.entry.borrower.Settle(now, limits.Key{Team: team, Service: service, Unit: unit}, amount(unit, tokens), 0)
	}
}

func amount(unit limits.Unit, tokens int) int64 {
	if unit == limits.UnitTokens {
		return int64(tokens)
	}
	return 1
}

// settle replaces the reserved tokens of a finished request by the actual count.
func (e *Entry) settle(now time.Duration, key teamService, estimate, actual int) {
	for _, unit := range e.acceptedConfig.units[key] {
		if unit != limits.UnitTokens {
			continue
		}
		limit := limits.Key{Team: key.team, Service: key.service, Unit: unit}
		e.borrower.Settle(now, limit, int64(estimate), int64(actual))
	}
}

// refund returns all units taken for a request that did not run.
func (e *Entry) refund(now time.Duration, key teamService, estimate int) {
	limiter{entry: e}.refund(now, key.team, key.service, e.acceptedConfig.units[key], estimate)
}
