package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/store"
)

// Control is the core of one catkin-control process.
type Control struct {
	cfg      ControlConfig
	members  *membership.Membership
	backends *membership.Backends
	lease    *lease.Core
	lender   *limits.Lender
	spread   *config.Spread
	service  *store.Client
	trail    *audit.Trail

	listed        map[ident.BackendServer]peer.BackendServer
	listVersion   uint64
	memberVersion uint64
	configVersion uint64
	entry         entryWatch
	share         store.Fleet
	waiters       []SnapshotAsked
	apply         *applying
	applyQueue    []ApplyAsked
	work          serviceWork
	leaving       bool

	out []Action
}

// NewControl returns the core of a control process that knows nobody yet.
func NewControl(cfg ControlConfig) (*Control, error) {
	c := &Control{cfg: cfg, listed: map[ident.BackendServer]peer.BackendServer{}, work: newServiceWork()}
	var err error
	if c.members, err = membership.New(cfg.Membership); err != nil {
		return nil, errors.Wrap(err, "membership")
	}
	if c.backends, err = membership.NewBackends(cfg.Backends); err != nil {
		return nil, errors.Wrap(err, "backend servers")
	}
	if c.lease, err = lease.New(cfg.Lease); err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	if c.lender, err = limits.NewLender(cfg.Lender, c.lease); err != nil {
		return nil, errors.Wrap(err, "limits")
	}
	if c.spread, err = config.NewSpread(cfg.Spread); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if c.service, err = store.New(cfg.Platform); err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	if c.trail, err = audit.New(cfg.Audit); err != nil {
		return nil, errors.Wrap(err, "audit")
	}
	return c, nil
}

// Step takes one event at process time now and returns what is to be done. The
// slice is valid until the next Step. An event of a type that ControlEvents does
// not list is ignored.
func (c *Control) Step(now time.Duration, event Event) []Action {
	clear(c.out)
	c.out = c.out[:0]
	switch ev := event.(type) {
	case ControlTick:
		c.tick(now)
	case LenderTick:
		c.lend(c.lender.Step(now, limits.Tick{}))
	case ServersListed:
		c.serversListed(now, ev)
	case ListFailed:
		c.emit(ListNext{After: c.cfg.ListEvery})
	case Reported:
		c.reported(now, ev.Report)
	case SnapshotAsked:
		c.waiters = append(c.waiters, ev)
	case ApplyAsked:
		c.applyAsked(now, ev)
	case ListAsked:
		c.ask(now, store.Call{Op: store.OpList, Key: ev.Prefix}, c.listEnded(ev.ID))
	case HandOver:
		c.leaseEvent(now, lease.Leave{})
	case GoneAsked:
		c.gone(now, ev)
	case DrainAsked:
		c.drain(now, ev.Operator)
	case ConfigMessage:
		c.configMessage(now, ev)
	case membership.Event:
		c.membershipEvent(now, ev)
	case lease.Event:
		c.leaseEvent(now, ev)
	case limits.AskReceived:
		c.lend(c.lender.Step(now, ev))
		c.emit(Wake{After: c.cfg.Lender.DivideEvery})
	case store.Reply:
		c.serviceDo(now, c.service.Step(now, ev))
	}
	c.answerWaiters(now)
	return c.out
}

func (c *Control) emit(a Action) { c.out = append(c.out, a) }

func (c *Control) tick(now time.Duration) {
	c.watchEntry(now)
	c.membershipEvent(now, membership.Tick{})
	c.leaseEvent(now, lease.Tick{})
	c.lend(c.lender.Step(now, limits.Tick{}))
	c.spreadDo(now, c.spread.Step(now, config.SpreadTick{}))
	c.tickApply(now)
	c.trailDo(now, c.trail.Step(now, audit.Tick{}))
	c.serviceDo(now, c.service.Step(now, store.Tick{}))
}

func (c *Control) lend(actions []limits.Action) {
	for _, a := range actions {
		c.emit(a)
	}
}

// membershipEvent steps the membership and lets the other slices follow it.
func (c *Control) membershipEvent(now time.Duration, ev membership.Event) {
	changed := false
	for _, a := range slices.Clone(c.members.Step(now, ev)) {
		switch a := a.(type) {
		case membership.Changed:
			changed = true
			c.emit(MembersChanged{Member: a.Member})
		case membership.Heard:
			c.backendsDo(now, c.backends.Step(now, membership.NotesHeard(a)))
		default:
			c.emit(a)
		}
	}
	if changed || c.memberVersion == 0 {
		c.memberVersion++
		c.membersChanged(now)
	}
}

// membersChanged tells the slices who is there.
func (c *Control) membersChanged(now time.Duration) {
	var live []config.Member
	for _, m := range c.present() {
		live = append(live, config.Member{VM: m.Instance.VM, Domain: m.Place.FailureDomain})
	}
	c.spreadDo(now, c.spread.Step(now, config.MembersSeen{Members: live}))
	c.leaseEvent(now, lease.Candidates{Alive: c.candidates()})
	c.shareBudget(now)
}

// present lists the members that answer, this VM included, by name.
func (c *Control) present() []membership.Member {
	list := []membership.Member{}
	for _, m := range c.fleet() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			list = append(list, m)
		}
	}
	return list
}

// fleet lists every member that is known, this VM included, by name.
func (c *Control) fleet() []membership.Member {
	list := slices.Clone(c.members.Members())
	if !slices.ContainsFunc(list, func(m membership.Member) bool { return m.Instance.VM == c.cfg.Self.VM }) {
		list = append(list, c.members.Self())
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return cmp.Compare(a.Instance.VM, b.Instance.VM) })
	return list
}

func (c *Control) leaseEvent(now time.Duration, ev lease.Event) {
	for _, a := range slices.Clone(c.lease.Step(now, ev)) {
		switch a := a.(type) {
		case lease.ReadRoster:
			c.readRoster(now)
		case lease.WriteRoster:
			c.writeRoster(now, a)
		case lease.RosterChanged:
			c.tellVersions(now)
			c.membershipEvent(now, membership.Seeds{Addrs: c.seeds(a.Roster)})
			c.shareBudget(now)
		case lease.Left:
			c.emit(HandedOver{})
		default:
			c.emit(a)
		}
	}
}

// tellVersions lets the fleet know what this VM holds.
func (c *Control) tellVersions(now time.Duration) {
	c.membershipEvent(now, membership.Versions{Config: c.spread.Version(), Roster: c.rosterVersion()})
}

func (c *Control) rosterVersion() uint64 {
	if roster := c.lease.Roster(); roster != nil {
		return roster.Version
	}
	return 0
}

func (c *Control) backendsDo(now time.Duration, actions []membership.BackendAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Spread:
			c.membershipEvent(now, membership.Publish(a))
			c.membershipEvent(now, membership.Keep{Statuses: c.backends.Statuses()})
		case membership.WorkChanged:
			c.listVersion++
		}
	}
}

// serversListed takes the VM list in. What it says of a server that leaves is
// judged together with what others said.
func (c *Control) serversListed(now time.Duration, ev ServersListed) {
	next := make(map[ident.BackendServer]peer.BackendServer, len(ev.Servers))
	seen := make([]membership.ListedServer, 0, len(ev.Servers))
	for _, s := range ev.Servers {
		next[s.ID] = s
		seen = append(seen, membership.ListedServer{Server: s.ID, Addr: s.Addr, Leaving: !s.AcceptsWork})
	}
	if !sameServers(c.listed, next) {
		c.listVersion++
	}
	c.listed = next
	c.backendsDo(now, c.backends.Step(now, membership.ListSeen{Servers: seen}))
	c.emit(ListNext{After: c.listPeriod(len(next))})
}

// listPeriod is the time until the VM list is read again: longer for a long
// list, so that its bytes a second stay bounded.
func (c *Control) listPeriod(servers int) time.Duration {
	bytes := float64(servers * listedServerBytes)
	return max(c.cfg.ListEvery, time.Duration(bytes/c.cfg.ListBytesPerSecond*float64(time.Second)))
}

func sameServers(a, b map[ident.BackendServer]peer.BackendServer) bool {
	if len(a) != len(b) {
		return false
	}
	for id, server := range a {
		if b[id] != server {
			return false
		}
	}
	return true
}

// reported takes in what the entry process saw.
func (c *Control) reported(now time.Duration, report peer.ReportRequest) {
	c.entrySeen(now, report.Instance.Incarnation)
	for _, seen := range report.Observations {
		if seen.Leaving {
			c.backendsDo(now, c.backends.Step(now, membership.Refused{Server: seen.Server}))
		}
	}
	if report.Leaving {
		c.leave(now)
	}
}

// drain begins the planned stop of this VM: its entry learns it with its next
// report.
func (c *Control) drain(now time.Duration, operator string) {
	c.audit(now, audit.Record{Who: operator, What: "vm.drain", Object: string(c.cfg.Self.VM), Verdict: "accepted"})
	c.leave(now)
}

func (c *Control) leave(now time.Duration) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.membershipEvent(now, membership.Leave{})
	c.leaseEvent(now, lease.Leave{})
}

// gone takes an operator's word that VMs ended. One that answers has not.
func (c *Control) gone(now time.Duration, ev GoneAsked) {
	var ended []ident.Instance
	for _, m := range c.RosterMembers() {
		if !slices.Contains(ev.VMs, m.Instance.VM) {
			continue
		}
		if seen, ok := c.members.Lookup(m.Instance.VM); ok && seen.State == membership.Alive && seen.Instance == m.Instance {
			continue
		}
		ended = append(ended, m.Instance)
		c.audit(now, audit.Record{Who: ev.Operator, What: "vm.gone", Object: m.Instance.String(), Verdict: "accepted"})
	}
	c.leaseEvent(now, lease.Gone{Instances: ended})
}

// RosterMembers lists the members of the newest roster known and of the one
// before it: those that have a say in who holds the slots.
func (c *Control) RosterMembers() []lease.Member {
	roster := c.lease.Roster()
	if roster == nil {
		return nil
	}
	list := slices.Clone(roster.Members)
	for _, m := range roster.Prev {
		if roster.Index(m.Instance) < 0 {
			list = append(list, m)
		}
	}
	return list
}

// Leaving reports whether the planned stop of this VM has begun.
func (c *Control) Leaving() bool { return c.leaving }

// Holds reports whether this VM holds a slot, and its epoch.
func (c *Control) Holds(now time.Duration, slot int) (uint64, bool) {
	return c.lease.Holds(now, slot)
}

// Members lists every entry VM that is known.
func (c *Control) Members() []membership.Member { return c.fleet() }

// Accepted is the configuration in force on this VM.
func (c *Control) AcceptedConfig() config.Snapshot { return c.spread.Snapshot() }

// Told returns what each VM itself last told this one of its version.
func (c *Control) VersionReports() map[ident.VM]config.VersionReport {
	return c.spread.VersionReports()
}

// Ready reports whether this VM knows what was accepted.
func (c *Control) Ready() bool { return c.spread.Ready() }

// ServiceUp reports whether the key-value service answers.
func (c *Control) ServiceUp() bool { return c.service.Up() }

// Servers lists the backend servers and whether they take new work, by name.
func (c *Control) Servers() []peer.BackendServer {
	list := make([]peer.BackendServer, 0, len(c.listed))
	for _, s := range c.listed {
		s.AcceptsWork = c.backends.AcceptsWork(s.ID)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b peer.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
