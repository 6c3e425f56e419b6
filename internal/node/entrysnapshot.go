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

// accepted is the configuration in force, as far as admission needs it.
type accepted struct {
	known   bool
	version uint64
	units   map[workKey][]limits.Unit
	// short is the limit that last refused a piece of work.
	short map[workKey]limits.Unit
}

// workKey names the work that limits bound.
type workKey struct {
	team    ident.Team
	service ident.Service
}

// unitOf reads the unit of an accepted limit, such as "requests/s".
func unitOf(text string) limits.Unit {
	return limits.Unit(strings.TrimSuffix(text, "/s"))
}

func (e *Entry) snapshot(now time.Duration, reply peer.SnapshotReply) {
	if reply.Config != nil {
		e.configSection(*reply.Config)
	}
	if reply.Members != nil {
		e.membersSection(now, *reply.Members)
	}
	if reply.Backends != nil {
		e.backendsSection(now, *reply.Backends)
	}
	if reply.Roster != nil {
		e.rosterSection(now, *reply.Roster)
	}
}

// configSection takes a configuration. An older version than the one held, or
// none after one was held, changes nothing: what was accepted never reverts.
func (e *Entry) configSection(cfg peer.AcceptedConfig) {
	if !cfg.Known || cfg.Version < e.accepted.version {
		return
	}
	units := make(map[workKey][]limits.Unit, len(cfg.Limits))
	for _, l := range cfg.Limits {
		key := workKey{team: l.Team, service: l.Service}
		units[key] = append(units[key], unitOf(l.Unit))
	}
	e.accepted = accepted{known: true, version: cfg.Version, units: units, short: map[workKey]limits.Unit{}}
}

func (e *Entry) membersSection(now time.Duration, section peer.MembersSection) {
	e.members = make(map[ident.VM]peer.EntryMember, len(section.Members))
	var peers []entrylist.Peer
	for _, m := range section.Members {
		e.members[m.Instance.VM] = m
		peers = append(peers, entrylist.Peer{Instance: m.Instance, Addr: m.EntryAddr,
			Domain: m.Place.FailureDomain, Leaving: m.Leaving || !m.Serving})
	}
	e.listEvent(now, entrylist.Peers{Peers: peers})
	for _, m := range section.Members {
		e.seeHome(now, m.Instance)
	}
}

// seeHome notes which life of an entry process runs on a VM. A VM that is
// missing, or whose entry is not known, may still run the old one: only the
// control process beside it may have ended. A home is over once another life is
// seen.
func (e *Entry) seeHome(now time.Duration, seen ident.Instance) {
	old, known := e.homes[seen.VM]
	if seen.Incarnation == 0 || seen == old {
		return
	}
	e.homes[seen.VM] = seen
	if known {
		e.callEvent(now, call.HomeGone{Home: old})
	}
}

func (e *Entry) backendsSection(now time.Duration, section peer.BackendsSection) {
	e.servers = make(map[ident.BackendServer]peer.BackendServer, len(section.Servers))
	e.models = map[ident.Service]bool{}
	list := make([]routing.Server, 0, len(section.Servers))
	for _, s := range section.Servers {
		e.servers[s.ID] = s
		e.models[s.Service] = s.Kind == peer.KindEngine
		list = append(list, routing.Server{ID: s.ID, VM: s.VM, Service: s.Service, Replica: s.Replica, Place: s.Place,
			Accelerator: s.Accelerator, LayerFrom: s.LayerFrom, LayerTo: s.LayerTo, LayersTotal: s.LayersTotal,
			Leaving: !s.AcceptsWork})
	}
	e.routeEvent(now, routing.Servers{List: list})
}

func (e *Entry) rosterSection(now time.Duration, roster peer.RosterSection) {
	holders := make([]limits.SlotHolder, 0, len(roster.Holders))
	for _, h := range roster.Holders {
		holders = append(holders, limits.SlotHolder{Holder: h.Instance, Addr: h.ControlAddr, Epoch: h.Epoch})
	}
	e.limitsDo(now, e.borrower.Step(now, limits.Holders{Slots: holders}))
}

// Server returns what is known of a backend server.
func (e *Entry) Server(id ident.BackendServer) (peer.BackendServer, bool) {
	s, ok := e.servers[id]
	return s, ok
}

// Member returns what is known of another entry VM.
func (e *Entry) Member(vm ident.VM) (peer.EntryMember, bool) {
	m, ok := e.members[vm]
	return m, ok
}

// refuseUnready says why work can't be judged, if so.
func (e *Entry) refuseUnready(team ident.Team, service ident.Service) (verdict.Refusal, bool) {
	refusal := verdict.Refusal{Verdict: verdict.NotRun}
	switch {
	case !e.accepted.known:
		refusal.Cause = verdict.CauseNoConfig
		refusal.RetryAfter = time.Second
		refusal.Detail = "this entry holds no accepted configuration yet"
	case len(e.accepted.units[workKey{team: team, service: service}]) == 0:
		refusal.Cause = verdict.CauseNoLimit
		refusal.Detail = "no limit is accepted for team " + string(team) + " on " + string(service)
	default:
		return verdict.Refusal{}, false
	}
	return refusal, true
}

// taker takes from every limit that bounds a piece of work, or from none.
type taker struct{ entry *Entry }

// Take implements admission.Taker. n is the number of tokens; each piece of work
// also counts as one request.
func (t taker) Take(now time.Duration, team ident.Team, service ident.Service, n int) bool {
	units := t.entry.accepted.units[workKey{team: team, service: service}]
	if len(units) > 1 {
		units = t.shortFirst(now, team, service, units, n)
	}
	for i, unit := range units {
		key := limits.Key{Team: team, Service: service, Unit: unit}
		if t.entry.borrower.Take(now, key, amount(unit, n)) == limits.Granted {
			continue
		}
		t.entry.accepted.short[workKey{team: team, service: service}] = unit
		t.giveBack(now, team, service, units[:i], n)
		return false
	}
	return len(units) > 0
}

// shortFirst puts a limit that does not cover the work before the others, so that
// nothing is taken of them in vain: it would only come back through the lender.
func (t taker) shortFirst(now time.Duration, team ident.Team, service ident.Service, units []limits.Unit, n int) []limits.Unit {
	for i, unit := range units {
		key := limits.Key{Team: team, Service: service, Unit: unit}
		if t.entry.borrower.CanTake(now, key, amount(unit, n)) {
			continue
		}
		first := append([]limits.Unit{unit}, units[:i]...)
		return append(first, units[i+1:]...)
	}
	return units
}

// RetryAfter implements admission.Taker, for the limit that was short last.
func (t taker) RetryAfter(now time.Duration, team ident.Team, service ident.Service, requests, n int) time.Duration {
	unit, ok := t.entry.accepted.short[workKey{team: team, service: service}]
	if !ok {
		return 0
	}
	units := int64(requests)
	if unit == limits.UnitTokens {
		units = int64(n)
	}
	return t.entry.borrower.RetryAfter(now, limits.Key{Team: team, Service: service, Unit: unit}, units)
}

func (t taker) giveBack(now time.Duration, team ident.Team, service ident.Service, units []limits.Unit, n int) {
	for _, unit := range units {
		t.entry.borrower.Settle(now, limits.Key{Team: team, Service: service, Unit: unit}, amount(unit, n), 0)
	}
}

func amount(unit limits.Unit, tokens int) int64 {
	if unit == limits.UnitTokens {
		return int64(tokens)
	}
	return 1
}

// settle corrects the reserved tokens of finished work by the true count.
func (e *Entry) settle(now time.Duration, key workKey, estimate, actual int) {
	for _, unit := range e.accepted.units[key] {
		if unit != limits.UnitTokens {
			continue
		}
		limit := limits.Key{Team: key.team, Service: key.service, Unit: unit}
		e.borrower.Settle(now, limit, int64(estimate), int64(actual))
	}
}

// giveBack returns all that was taken for work that did not start.
func (e *Entry) giveBack(now time.Duration, key workKey, estimate int) {
	taker{entry: e}.giveBack(now, key.team, key.service, e.accepted.units[key], estimate)
}
