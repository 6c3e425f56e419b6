package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// administration answers operators from the core.
type administration struct{ shell *Shell }

var _ adminapi.Controller = (*administration)(nil)

// read runs f on the core's own goroutine.
func (a *administration) read(ctx context.Context, f func(now time.Duration, core *node.Control)) error {
	q := query{read: f, done: make(chan struct{})}
	a.shell.Send(q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Config implements adminapi.Backend.
func (a *administration) Config(ctx context.Context) (config.Snapshot, error) {
	var snapshot config.Snapshot
	ready := false
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		snapshot = core.AcceptedConfig()
		ready = core.Ready()
	})
	if err == nil && !ready {
		err = errors.New("this VM does not know yet what was accepted: ask another")
	}
	return snapshot, err
}

// Apply implements adminapi.Backend.
func (a *administration) Apply(ctx context.Context, sheet config.Sheet, operator string) (config.Outcome, error) {
	id := a.shell.waiters.next()
	event := node.ApplyAsked{ID: id, Sheet: sheet, Operator: operator}
	return await[config.Outcome](ctx, a.shell, idWaiter("apply", id), event)
}

// ConfigStatus implements adminapi.Backend. Versions come with the membership's
// records; how old that word is, is known of VMs that told this one directly.
func (a *administration) ConfigStatus(ctx context.Context) (adminapi.ConfigStatus, error) {
	var status adminapi.ConfigStatus
	err := a.read(ctx, func(now time.Duration, core *node.Control) {
		head := core.AcceptedConfig().Head
		told := core.VersionReports()
		status = adminapi.ConfigStatus{Newest: head.Version, Day: head.Day, Operator: head.Operator}
		for _, m := range core.Members() {
			if m.State == membership.Gone {
				continue
			}
			vm := adminapi.VMVersion{VM: m.Instance.VM, Version: m.ConfigVersion, AgeMS: neverTold}
			if seen, ok := told[vm.VM]; ok {
				vm.Version = max(vm.Version, seen.Version)
				vm.AgeMS = (now - seen.At).Milliseconds()
			}
			if m.Instance == a.shell.cfg.Self {
				vm.Version, vm.AgeMS = head.Version, 0
			}
			status.Newest = max(status.Newest, vm.Version)
			status.VMs = append(status.VMs, vm)
		}
	})
	return status, err
}

// neverTold is the age of the word of a VM that never told this one directly.
const neverTold = -1

// VMs implements adminapi.Backend.
func (a *administration) VMs(ctx context.Context) ([]adminapi.VM, error) {
	list := []adminapi.VM{}
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		for _, m := range core.Members() {
			state := m.State.String()
			if m.Leaving && m.State != membership.Gone {
				state = "leaving"
			}
			list = append(list, adminapi.VM{VM: m.Instance.VM, Incarnation: m.Instance.Incarnation,
				FailureDomain: m.Place.FailureDomain, Addr: m.EntryAddr, State: state})
		}
		list = append(list, lostMembers(core, list)...)
	})
	return list, err
}

// lostMembers lists the VMs that have a say in who holds the slots though nobody
// knows them any more.
func lostMembers(core *node.Control, known []adminapi.VM) []adminapi.VM {
	var lost []adminapi.VM
	for _, m := range core.RosterMembers() {
		vm := adminapi.VM{VM: m.Instance.VM, Incarnation: m.Instance.Incarnation, FailureDomain: m.Place.FailureDomain, State: "lost"}
		if !slices.ContainsFunc(known, func(k adminapi.VM) bool { return k.VM == vm.VM }) {
			lost = append(lost, vm)
		}
	}
	return lost
}

// Backends implements adminapi.Backend.
func (a *administration) BackendServers(ctx context.Context) ([]adminapi.BackendServer, error) {
	list := []adminapi.BackendServer{}
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		for _, s := range core.Servers() {
			state := "live"
			if !s.AcceptsWork {
				state = "leaving"
			}
			list = append(list, adminapi.BackendServer{ID: s.ID, Kind: string(s.Kind), Service: s.Service, Addr: s.Addr,
				FailureDomain: s.Place.FailureDomain, Replica: s.Replica, LayerFrom: s.LayerFrom, LayerTo: s.LayerTo, State: state})
		}
	})
	return list, err
}

// Drain implements adminapi.Backend.
func (a *administration) Drain(ctx context.Context, vm ident.VM, operator string) error {
	if vm == a.shell.cfg.Self.VM {
		a.shell.beginDrain(operator)
		return nil
	}
	addr := ""
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		for _, m := range core.Members() {
			if m.Instance.VM == vm && m.State != membership.Gone {
				addr = m.ControlAddr
			}
		}
	})
	if err != nil {
		return err
	}
	if addr == "" {
		return errors.Newf("no VM %s is known: see the list of VMs", vm)
	}
	return a.shell.peers.Call(ctx, addr, methodDrain, peer.Retryable, drainRequest{VM: vm, Operator: operator}, &empty{})
}

// Gone implements adminapi.Backend. Every VM that is there has to know: each
// judges for itself whom it still has to ask.
func (a *administration) MarkGone(ctx context.Context, vms []ident.VM, operator string) error {
	asked := node.GoneAsked{VMs: vms, Operator: operator}
	a.shell.Send(asked)
	var others []string
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		for _, m := range core.Members() {
			if m.State == membership.Alive && m.Instance != a.shell.cfg.Self {
				others = append(others, m.ControlAddr)
			}
		}
	})
	for _, addr := range others {
		err = errors.CombineErrors(err, a.shell.peers.Call(ctx, addr, methodGone, peer.Retryable, asked, &empty{}))
	}
	return err
}

// errNoOrders says that there is nothing to list, rather than that nothing was
// ordered.
var errNoOrders = errors.New("this version gives no orders to engines")

// Orders implements adminapi.Backend.
func (a *administration) Orders(context.Context) ([]adminapi.Order, error) {
	return nil, errNoOrders
}

// Audit implements adminapi.Backend.
func (a *administration) Audit(ctx context.Context, since time.Time, limit int) ([]audit.Record, error) {
	id := a.shell.waiters.next()
	listed, err := await[node.ListEnded](ctx, a.shell, idWaiter("list", id), node.ListAsked{ID: id, Prefix: "catkin/" + audit.Prefix})
	if err != nil {
		return nil, err
	}
	if !listed.OK {
		return nil, errors.New("the key-value service, which keeps the trail, does not answer")
	}
	records := []audit.Record{}
	for _, entry := range listed.Entries {
		batch, err := audit.Parse(string(entry.Value))
		if err != nil {
			return nil, err
		}
		for _, r := range batch {
			if !r.When.Before(since) {
				records = append(records, r)
			}
		}
	}
	return records[max(0, len(records)-limit):], nil
}
