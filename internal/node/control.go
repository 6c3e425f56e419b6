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
	kv       *store.Client
	trail    *audit.Trail

	listedServers   map[ident.BackendServer]peer.BackendServer
	backendsVersion uint64
	membersVersion  uint64
	configVersion   uint64
	entry           entryProcess
	kvShare         store.Fleet
	snapshotWaiters []SnapshotAsked
	apply           *applyRun
	applyQueue      []ApplyAsked
	kvCalls         pendingKVCalls
	leaving         bool

	out []Action
}

// NewControl returns the core of a control process whose fleet is only its own VM.
func NewControl(cfg ControlConfig) (*Control, error) {
	c := &Control{cfg: cfg, listedServers: map[ident.BackendServer]peer.BackendServer{}, kvCalls: newPendingKVCalls()}
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
	if c.kv, err = store.New(cfg.KV); err != nil {
		return nil, errors.Wrap(err, "key-value service")
	}
	if c.trail, err = audit.New(cfg.Audit); err != nil {
		return nil, errors.Wrap(err, "audit")
	}
	return c, nil
}

// Step handles one event at process time now and returns the resulting actions. The
// slice is valid until the next Step. Shells send the event types that ControlEvents
// lists; an unknown type is ignored.
func (c *Control) Step(now time.Duration, event Event) []Action {
	clear(c.out)
	c.out = c.out[:0]
	switch ev := event.(type) {
	case ControlTick:
		c.tick(now)
	case LenderTick:
		c.handleLenderActions(c.lender.Step(now, limits.Tick{}))
	case ServersListed:
		c.handleServerList(now, ev)
	case ListFailed:
		c.emit(ListNext{After: c.cfg.ListEvery})
	case Reported:
		c.handleReport(now, ev.Report)
	case SnapshotAsked:
		c.snapshotWaiters = append(c.snapshotWaiters, ev)
	case ApplyAsked:
		c.requestApply(now, ev)
	case ListAsked:
		c.callKV(now, store.Call{Op: store.OpList, Key: ev.Prefix}, c.onListDone(ev.ID))
	case HandOver:
		c.stepLease(now, lease.Leave{})
	case GoneAsked:
		c.markGone(now, ev)
	case DrainAsked:
		c.drain(now, ev.Operator)
	case ConfigMessage:
		c.handleConfigMessage(now, ev)
	case membership.Event:
		c.stepMembership(now, ev)
	case lease.Event:
		c.stepLease(now, ev)
	case limits.AskReceived:
		c.handleLenderActions(c.lender.Step(now, ev))
		c.emit(Wake{After: c.cfg.Lender.DivideEvery})
	case store.Reply:
		c.handleKVActions(now, c.kv.Step(now, ev))
	}
	c.answerSnapshotWaiters(now)
	return c.out
}

func (c *Control) emit(a Action) { c.out = append(c.out, a) }

func (c *Control) tick(now time.Duration) {
	c.checkEntry(now)
	c.stepMembership(now, membership.Tick{})
	c.stepLease(now, lease.Tick{})
	c.handleLenderActions(c.lender.Step(now, limits.Tick{}))
	c.handleSpreadActions(now, c.spread.Step(now, config.SpreadTick{}))
	c.tickApply(now)
	c.handleTrailActions(now, c.trail.Step(now, audit.Tick{}))
	c.handleKVActions(now, c.kv.Step(now, store.Tick{}))
}

func (c *Control) handleLenderActions(actions []limits.Action) {
	for _, a := range actions {
		c.emit(a)
	}
}

// stepMembership steps the membership and passes changes on to the other components.
func (c *Control) stepMembership(now time.Duration, ev membership.Event) {
	changed := false
	for _, a := range slices.Clone(c.members.Step(now, ev)) {
		switch a := a.(type) {
		case membership.Changed:
			changed = true
			c.emit(MembersChanged{Member: a.Member})
		case membership.Heard:
			c.handleBackendActions(now, c.backends.Step(now, membership.NotesHeard(a)))
		default:
			c.emit(a)
		}
	}
	if changed || c.membersVersion == 0 {
		c.membersVersion++
		c.propagateMembers(now)
	}
}

// propagateMembers passes the live members to the components that depend on them.
func (c *Control) propagateMembers(now time.Duration) {
	var live []config.Member
	for _, m := range c.liveMembers() {
		live = append(live, config.Member{VM: m.Instance.VM, Domain: m.Place.FailureDomain})
	}
	c.handleSpreadActions(now, c.spread.Step(now, config.MembersSeen{Members: live}))
	c.stepLease(now, lease.Candidates{Alive: c.candidates()})
	c.updateKVShare(now)
}

// liveMembers lists the members that are alive or suspect, this VM included, by name.
func (c *Control) liveMembers() []membership.Member {
	list := []membership.Member{}
	for _, m := range c.knownMembers() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			list = append(list, m)
		}
	}
	return list
}

// knownMembers lists every known member, this VM included, by name.
func (c *Control) knownMembers() []membership.Member {
	list := slices.Clone(c.members.Members())
	if !slices.ContainsFunc(list, func(m membership.Member) bool { return m.Instance.VM == c.cfg.Self.VM }) {
		list = append(list, c.members.Self())
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return cmp.Compare(a.Instance.VM, b.Instance.VM) })
	return list
}

func (c *Control) stepLease(now time.Duration, ev lease.Event) {
	for _, a := range slices.Clone(c.lease.Step(now, ev)) {
		switch a := a.(type) {
		case lease.ReadRoster:
			c.readRoster(now)
		case lease.WriteRoster:
			c.writeRoster(now, a)
		case lease.RosterChanged:
			c.publishVersions(now)
			c.stepMembership(now, membership.Seeds{Addrs: c.seeds(a.Roster)})
			c.updateKVShare(now)
		case lease.Left:
			c.emit(HandedOver{})
		default:
			c.emit(a)
		}
	}
}

// publishVersions announces the versions of this VM's configuration and roster to the
// fleet.
func (c *Control) publishVersions(now time.Duration) {
	c.stepMembership(now, membership.Versions{Config: c.spread.Version(), Roster: c.rosterVersion()})
}

func (c *Control) rosterVersion() uint64 {
	if roster := c.lease.Roster(); roster != nil {
		return roster.Version
	}
	return 0
}

func (c *Control) handleBackendActions(now time.Duration, actions []membership.BackendAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Spread:
			c.stepMembership(now, membership.Publish(a))
			c.stepMembership(now, membership.Keep{Statuses: c.backends.Statuses()})
		case membership.WorkChanged:
			c.backendsVersion++
		}
	}
}

// handleServerList applies a new VM list. Whether a server accepts work depends on the
// list and on the reports of all VMs.
func (c *Control) handleServerList(now time.Duration, ev ServersListed) {
	servers := make(map[ident.BackendServer]peer.BackendServer, len(ev.Servers))
	listed := make([]membership.ListedServer, 0, len(ev.Servers))
	for _, s := range ev.Servers {
		servers[s.ID] = s
		listed = append(listed, membership.ListedServer{Server: s.ID, Addr: s.Addr, Leaving: !s.AcceptsWork})
	}
	if !sameServers(c.listedServers, servers) {
		c.backendsVersion++
	}
	c.listedServers = servers
	c.handleBackendActions(now, c.backends.Step(now, membership.ListSeen{Servers: listed}))
	c.emit(ListNext{After: c.listInterval(len(servers))})
}

// listInterval returns the time until the next read of the VM list. It grows with the
// list to bound the bytes read per second.
func (c *Control) listInterval(servers int) time.Duration {
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

// handleReport applies a report of this VM's entry process.
func (c *Control) handleReport(now time.Duration, report peer.ReportRequest) {
	c.recordEntryReport(now, report.Instance.Incarnation)
	for _, observation := range report.Observations {
		if observation.Leaving {
			c.handleBackendActions(now, c.backends.Step(now, membership.Refused{Server: observation.Server}))
		}
	}
	if report.Leaving {
		c.leave(now)
	}
}

// drain begins the planned stop of this VM. The entry process is informed in the reply to
// its next report.
func (c *Control) drain(now time.Duration, operator string) {
	c.audit(now, audit.Record{Who: operator, What: "vm.drain", Object: string(c.cfg.Self.VM), Verdict: "accepted"})
	c.leave(now)
}

func (c *Control) leave(now time.Duration) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.stepMembership(now, membership.Leave{})
	c.stepLease(now, lease.Leave{})
}

// markGone applies an operator's statement that VMs have ended. It skips roster members
// that are alive in the incarnation that the roster names.
func (c *Control) markGone(now time.Duration, ev GoneAsked) {
	var ended []ident.Instance
	for _, m := range c.RosterMembers() {
		if !slices.Contains(ev.VMs, m.Instance.VM) {
			continue
		}
		if known, ok := c.members.Lookup(m.Instance.VM); ok && known.State == membership.Alive && known.Instance == m.Instance {
			continue
		}
		ended = append(ended, m.Instance)
		c.audit(now, audit.Record{Who: ev.Operator, What: "vm.gone", Object: m.Instance.String(), Verdict: "accepted"})
	}
	c.stepLease(now, lease.Gone{Instances: ended})
}

// RosterMembers lists the members of the newest known roster and of the one before it.
// Their promises decide who holds the slots.
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

// Holds returns the epoch of a slot and whether this VM holds the slot at process time now.
func (c *Control) Holds(now time.Duration, slot int) (uint64, bool) {
	return c.lease.Holds(now, slot)
}

// Members lists every known entry VM.
func (c *Control) Members() []membership.Member { return c.knownMembers() }

// AcceptedConfig returns the configuration in force on this VM.
func (c *Control) AcceptedConfig() config.Snapshot { return c.spread.Snapshot() }

// VersionReports returns the configuration version that each VM last reported directly
// to this one.
func (c *Control) VersionReports() map[ident.VM]config.VersionReport {
	return c.spread.VersionReports()
}

// Ready reports whether the accepted configuration, which may be none yet, is in force on
// this VM.
func (c *Control) Ready() bool { return c.spread.Ready() }

// ServiceUp reports whether the key-value service responds.
func (c *Control) ServiceUp() bool { return c.kv.Up() }

// Servers lists the backend servers, by name, and whether they accept new work.
func (c *Control) Servers() []peer.BackendServer {
	list := make([]peer.BackendServer, 0, len(c.listedServers))
	for _, s := range c.listedServers {
		s.AcceptsWork = c.backends.AcceptsWork(s.ID)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b peer.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
