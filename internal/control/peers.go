package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// methodMember carries membership messages, methodDrain begins a planned stop.
const (
	methodMember = "Member"
	methodDrain  = "Drain"
	methodGone   = "Gone"
)

// empty is an answer without content.
type empty struct{}

// drainRequest asks a VM to begin its planned stop.
type drainRequest struct {
	VM       ident.VM `json:"vm"`
	Operator string   `json:"operator"`
}

func (s *Shell) handlePeers() {
	peer.Handle(s.server, methodMember, s.handleMember)
	peer.Handle(s.server, methodDrain, s.handleDrain)
	peer.Handle(s.server, methodGone, s.handleGone)
	peer.Handle(s.server, peer.MethodLease, s.handleLease)
	peer.Handle(s.server, peer.MethodConfig, s.handleConfig)
	peer.Handle(s.server, peer.MethodBorrow, s.handleBorrow)
	peer.Handle(s.server, peer.MethodSnapshot, s.handleSnapshot)
	peer.Handle(s.server, peer.MethodReport, s.handleReport)
}

// await asks the core by event and waits for the answer of type T under name.
func await[T any](ctx context.Context, s *Shell, name string, event any) (T, error) {
	var none T
	item, err := s.waiters.ask(ctx, name, func() { s.Send(event) })
	if err != nil {
		return none, err
	}
	answer, ok := item.(T)
	if !ok {
		return none, errors.Newf("answer under %s has type %T", name, item)
	}
	return answer, nil
}

func (s *Shell) handleMember(ctx context.Context, msg membership.Message) (membership.Message, error) {
	call := s.waiters.next()
	return await[membership.Message](ctx, s, memberWaiter(call), membership.Request{Call: call, Message: msg})
}

func (s *Shell) handleLease(ctx context.Context, ask lease.PromiseRequest) (lease.PromiseReply, error) {
	return await[lease.PromiseReply](ctx, s, leaseWaiter(ask.From, ask.SentAt), lease.PromiseAsked{Request: ask})
}

func (s *Shell) handleBorrow(ctx context.Context, ask limits.Ask) (limits.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowWait)
	defer cancel()
	return await[limits.Loan](ctx, s, loanWaiter(ask.From, ask.Seq), limits.AskReceived{Ask: ask})
}

func (s *Shell) handleConfig(_ context.Context, msg node.ConfigMessage) (empty, error) {
	s.Send(msg)
	return empty{}, nil
}

func (s *Shell) handleSnapshot(ctx context.Context, req peer.SnapshotRequest) (peer.SnapshotReply, error) {
	id := s.waiters.next()
	event := node.SnapshotAsked{ID: id, Held: req.Held, Until: s.Now() + req.Wait}
	return await[peer.SnapshotReply](ctx, s, idWaiter("snapshot", id), event)
}

func (s *Shell) handleReport(_ context.Context, req peer.ReportRequest) (peer.ReportReply, error) {
	s.lastEntry.Store(int64(s.Now()))
	if req.Leaving {
		s.entryLeaves.Store(true)
	}
	s.Send(node.Reported{Report: req})
	return peer.ReportReply{Drain: s.leaving.Load()}, nil
}

func (s *Shell) handleDrain(_ context.Context, req drainRequest) (empty, error) {
	if req.VM != s.cfg.Self.VM {
		return empty{}, errors.Newf("this is VM %s", s.cfg.Self.VM)
	}
	s.beginDrain(req.Operator)
	return empty{}, nil
}

// handleGone passes an operator's word on to the core.
func (s *Shell) handleGone(_ context.Context, req node.GoneAsked) (empty, error) {
	s.Send(req)
	return empty{}, nil
}

func (s *Shell) call(d time.Duration, addr, method string, mode peer.Mode, req, resp any) error {
	ctx, cancel := context.WithTimeout(s.Ctx, d)
	defer cancel()
	return s.peers.Call(ctx, addr, method, mode, req, resp)
}

func (s *Shell) askMember(a membership.Ask) {
	failed := membership.Answer{Call: a.Call}
	ok := s.Submit(func() {
		mode := peer.Once
		if a.NewConnection {
			mode = peer.NewConnection
		}
		answer := membership.Answer{Call: a.Call}
		answer.OK = s.call(a.Timeout, a.Addr, methodMember, mode, a.Message, &answer.Message) == nil
		s.Send(answer)
	})
	if !ok {
		s.TrySend(any(failed))
	}
}

func (s *Shell) askPromise(a lease.AskPromise) {
	s.Submit(func() {
		var answer lease.PromiseReply
		if err := s.call(leaseTimeout, a.Addr, peer.MethodLease, peer.Retryable, a.Request, &answer); err != nil {
			return
		}
		s.Send(lease.PromiseGiven{Reply: answer})
	})
}

func (s *Shell) sendConfig(a node.SendConfig) {
	s.Submit(func() {
		err := s.call(configTimeout, a.Addr, peer.MethodConfig, peer.Retryable, a.Message, &empty{})
		if err != nil {
			s.Log.Debug().Err(err).Str("peer", a.Addr).Msg("spread of the configuration")
		}
	})
}

// readListAfter reads the platform's VM list after a time.
func (s *Shell) readListAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		if s.Ctx.Err() == nil && !s.Submit(s.readList) {
			s.readListAfter(s.cfg.ListEvery)
		}
	})
}

func (s *Shell) readList() {
	vms, err := s.list.List(listTimeout)
	if err != nil {
		s.Log.Debug().Err(err).Msg("VM list")
		s.Send(node.ListFailed{})
		return
	}
	var listed node.ServersListed
	for _, vm := range vms {
		for _, server := range vm.Servers {
			listed.Servers = append(listed.Servers, serverOf(vm, server))
		}
	}
	s.Send(listed)
}

func serverOf(vm vmlist.VM, server vmlist.Server) peer.BackendServer {
	kind := peer.KindEngine
	if server.Kind == vmlist.App {
		kind = peer.KindApp
	}
	return peer.BackendServer{
		ID: server.ID, VM: vm.VM, Place: ident.Place{Region: vm.Region, FailureDomain: vm.FailureDomain},
		Kind: kind, Service: server.Service, Addr: server.Addr, Replica: server.Replica,
		LayerFrom: server.LayerFrom, LayerTo: server.LayerTo, LayersTotal: server.LayersTotal,
		Accelerator: server.Accelerator, ChecksOrders: server.ChecksOrders, AcceptsWork: vm.State == vmlist.Live,
	}
}
