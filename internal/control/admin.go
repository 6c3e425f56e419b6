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

// adminBackend implements the administration API on top of the core.
type adminBackend struct{ shell *Shell }

var _ adminapi.Controller = (*adminBackend)(nil)

// read runs fn on the core's goroutine.
func (a *adminBackend) read(ctx context.Context, fn func(now time.Duration, core *node.Control)) error {
	request := coreRead{read: fn, done: make(chan struct{})}
	a.shell.Send(request)
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Config implements adminapi.Controller.
func (a *adminBackend) Config(ctx context.Context) (config.Snapshot, error) {
	var snapshot config.Snapshot
	ready := false
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		snapshot = core.AcceptedConfig()
		ready = core.Ready()
	})
	if err == nil && !ready {
		err = errors.New("this VM has not received the accepted configuration yet: ask another VM")
	}
	return snapshot, err
}

// Apply implements adminapi.Controller.
func (a *adminBackend) Apply(ctx context.Context, sheet config.Sheet, operator string) (config.Outcome, error) {
	id := a.shell.waiters.nextID()
	event := node.ApplyAsked{ID: id, Sheet: sheet, Operator: operator}
	return awaitReply[config.Outcome](ctx, a.shell, idKey("apply", id), event)
}

// ConfigStatus implements adminapi.Controller. Versions are taken from the membership's
// records and from reports. Their age is known only for VMs that reported directly to
// this one.
func (a *adminBackend) ConfigStatus(ctx context.Context) (adminapi.ConfigStatus, error) {
	var status adminapi.ConfigStatus
	err := a.read(ctx, func(now time.Duration, core *node.Control) {
		head := core.AcceptedConfig().Head
		reports := core.VersionReports()
		status = adminapi.ConfigStatus{Newest: head.Version, Day: head.Day, Operator: head.Operator}
		for _, m := range core.Members() {
			if m.State == membership.Gone {
				continue
			}
			vm := adminapi.VMVersion{VM: m.Instance.VM, Version: m.ConfigVersion, AgeMS: ageUnknown}
			if report, ok := reports[vm.VM]; ok {
				vm.Version = max(vm.Version, report.Version)
				vm.AgeMS = (now - report.At).Milliseconds()
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

// ageUnknown stands for the age, in milliseconds, of a version that its VM has not
// reported directly to this one.
const ageUnknown = -1

// VMs implements adminapi.Controller.
func (a *adminBackend) VMs(ctx context.Context) ([]adminapi.VM, error) {
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

// lostMembers lists the members of the roster that are missing from known, with the state
// "lost". Their promises still count in deciding who holds the slots.
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

// BackendServers implements adminapi.Controller.
func (a *adminBackend) BackendServers(ctx context.Context) ([]adminapi.BackendServer, error) {
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

// Drain implements adminapi.Controller.
func (a *adminBackend) Drain(ctx context.Context, vm ident.VM, operator string) error {
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
		return errors.Newf("unknown VM %s: see the list of VMs", vm)
	}
	return a.shell.peers.Call(ctx, addr, methodDrain, peer.Retryable, drainRequest{VM: vm, Operator: operator}, &emptyReply{})
}

// MarkGone implements adminapi.Controller. It informs every VM that is alive, because each
// decides by itself which members of the roster it still needs promises from.
func (a *adminBackend) MarkGone(ctx context.Context, vms []ident.VM, operator string) error {
	request := node.GoneAsked{VMs: vms, Operator: operator}
	a.shell.Send(request)
	var others []string
	err := a.read(ctx, func(_ time.Duration, core *node.Control) {
		for _, m := range core.Members() {
			if m.State == membership.Alive && m.Instance != a.shell.cfg.Self {
				others = append(others, m.ControlAddr)
			}
		}
	})
	for _, addr := range others {
		err = errors.CombineErrors(err, a.shell.peers.Call(ctx, addr, methodGone, peer.Retryable, request, &emptyReply{}))
	}
	return err
}

// errNoOrders is returned by Orders. An empty list would mean that this version sends
// orders but has sent none.
var errNoOrders = errors.New("this version sends no orders to engines")

// Orders implements adminapi.Controller.
func (a *adminBackend) Orders(context.Context) ([]adminapi.Order, error) {
	return nil, errNoOrders
}

// Audit implements adminapi.Controller.
func (a *adminBackend) Audit(ctx context.Context, since time.Time, limit int) ([]audit.Record, error) {
	id := a.shell.waiters.nextID()
	listed, err := awaitReply[node.ListEnded](ctx, a.shell, idKey("list", id), node.ListAsked{ID: id, Prefix: "catkin/" + audit.Prefix})
	if err != nil {
		return nil, err
	}
	if !listed.OK {
		return nil, errors.New("the key-value service, which stores the audit trail, does not respond")
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
