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

// Peer methods between control processes: membership messages, the start of a planned
// stop, and an operator's statement that VMs have ended.
const (
	methodMember = "Member"
	methodDrain  = "Drain"
	methodGone   = "Gone"
)

// emptyReply is a reply without content.
type emptyReply struct{}

// drainRequest requests the planned stop of a VM.
type drainRequest struct {
	VM       ident.VM `json:"vm"`
	Operator string   `json:"operator"`
}

func (s *Shell) registerPeerHandlers() {
	peer.Handle(s.peerServer, methodMember, s.handleMember)
	peer.Handle(s.peerServer, methodDrain, s.handleDrain)
	peer.Handle(s.peerServer, methodGone, s.handleGone)
	peer.Handle(s.peerServer, peer.MethodLease, s.handleLease)
	peer.Handle(s.peerServer, peer.MethodConfig, s.handleConfig)
	peer.Handle(s.peerServer, peer.MethodBorrow, s.handleBorrow)
	peer.Handle(s.peerServer, peer.MethodSnapshot, s.handleSnapshot)
	peer.Handle(s.peerServer, peer.MethodReport, s.handleReport)
}

// awaitReply sends event to the core and waits for the reply of type T under key.
func awaitReply[T any](ctx context.Context, s *Shell, key string, event any) (T, error) {
	var zero T
	value, err := s.waiters.request(ctx, key, func() { s.Send(event) })
	if err != nil {
		return zero, err
	}
	reply, ok := value.(T)
	if !ok {
		return zero, errors.Newf("reply for %s has unexpected type %T", key, value)
	}
	return reply, nil
}

func (s *Shell) handleMember(ctx context.Context, msg membership.Message) (membership.Message, error) {
	call := s.waiters.nextID()
	return awaitReply[membership.Message](ctx, s, memberKey(call), membership.Request{Call: call, Message: msg})
}

func (s *Shell) handleLease(ctx context.Context, req lease.PromiseRequest) (lease.PromiseReply, error) {
	return awaitReply[lease.PromiseReply](ctx, s, leaseKey(req.From, req.SentAt), lease.PromiseAsked{Request: req})
}

func (s *Shell) handleBorrow(ctx context.Context, req limits.Ask) (limits.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return awaitReply[limits.Loan](ctx, s, loanKey(req.From, req.Seq), limits.AskReceived{Ask: req})
}

func (s *Shell) handleConfig(_ context.Context, msg node.ConfigMessage) (emptyReply, error) {
	s.Send(msg)
	return emptyReply{}, nil
}

func (s *Shell) handleSnapshot(ctx context.Context, req peer.SnapshotRequest) (peer.SnapshotReply, error) {
	id := s.waiters.nextID()
	event := node.SnapshotAsked{ID: id, Held: req.Held, Until: s.Now() + req.Wait}
	return awaitReply[peer.SnapshotReply](ctx, s, idKey("snapshot", id), event)
}

func (s *Shell) handleReport(_ context.Context, req peer.ReportRequest) (peer.ReportReply, error) {
	s.lastEntryReport.Store(int64(s.Now()))
	if req.Leaving {
		s.entryLeaving.Store(true)
	}
	s.Send(node.Reported{Report: req})
	return peer.ReportReply{Drain: s.leaving.Load()}, nil
}

func (s *Shell) handleDrain(_ context.Context, req drainRequest) (emptyReply, error) {
	if req.VM != s.cfg.Self.VM {
		return emptyReply{}, errors.Newf("drain request for another VM reached %s", s.cfg.Self.VM)
	}
	s.beginDrain(req.Operator)
	return emptyReply{}, nil
}

// handleGone passes an operator's statement that VMs have ended to the core.
func (s *Shell) handleGone(_ context.Context, req node.GoneAsked) (emptyReply, error) {
	s.Send(req)
	return emptyReply{}, nil
}

func (s *Shell) callPeer(timeout time.Duration, addr, method string, mode peer.Mode, req, resp any) error {
	ctx, cancel := context.WithTimeout(s.Ctx, timeout)
	defer cancel()
	return s.peers.Call(ctx, addr, method, mode, req, resp)
}

func (s *Shell) callMember(a membership.Ask) {
	failed := membership.Answer{Call: a.Call}
	ok := s.Submit(func() {
		mode := peer.Once
		if a.NewConnection {
			mode = peer.NewConnection
		}
		reply := membership.Answer{Call: a.Call}
		reply.OK = s.callPeer(a.Timeout, a.Addr, methodMember, mode, a.Message, &reply.Message) == nil
		s.Send(reply)
	})
	if !ok {
		s.TrySend(any(failed))
	}
}

func (s *Shell) requestPromise(a lease.AskPromise) {
	s.Submit(func() {
		var reply lease.PromiseReply
		if err := s.callPeer(leaseTimeout, a.Addr, peer.MethodLease, peer.Retryable, a.Request, &reply); err != nil {
			return
		}
		s.Send(lease.PromiseGiven{Reply: reply})
	})
}

func (s *Shell) sendConfig(a node.SendConfig) {
	s.Submit(func() {
		err := s.callPeer(configTimeout, a.Addr, peer.MethodConfig, peer.Retryable, a.Message, &emptyReply{})
		if err != nil {
			s.Log.Debug().Err(err).Str("peer", a.Addr).Msg("sending configuration failed")
		}
	})
}

// scheduleListRead reads the platform's VM list after delay.
func (s *Shell) scheduleListRead(delay time.Duration) {
	time.AfterFunc(delay, func() {
		if s.Ctx.Err() == nil && !s.Submit(s.readList) {
			s.scheduleListRead(s.cfg.ListEvery)
		}
	})
}

func (s *Shell) readList() {
	vms, err := s.vmList.List(listTimeout)
	if err != nil {
		s.Log.Debug().Err(err).Msg("reading the VM list failed")
		s.Send(node.ListFailed{})
		return
	}
	var listed node.ServersListed
	for _, vm := range vms {
		for _, server := range vm.Servers {
			listed.Servers = append(listed.Servers, toBackendServer(vm, server))
		}
	}
	s.Send(listed)
}

func toBackendServer(vm vmlist.VM, server vmlist.Server) peer.BackendServer {
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
