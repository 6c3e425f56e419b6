package entry

import (
	"context"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
)

// pollSnapshot keeps the core up to date with the control process. While that
// process is away, the core goes on with what it holds.
func (s *Shell) pollSnapshot() {
	var held peer.SnapshotVersions
	for {
		reply, err := s.snapshot(held)
		if err == nil {
			held = reply.Versions
			s.Send(node.Snapshot{Reply: reply})
		} else {
			s.Log.Debug().Err(err).Msg("snapshot")
		}
		if !s.pause(err) {
			return
		}
	}
}

func (s *Shell) snapshot(held peer.SnapshotVersions) (peer.SnapshotReply, error) {
	ctx, cancel := s.context(snapshotWait + time.Second)
	defer cancel()
	var reply peer.SnapshotReply
	req := peer.SnapshotRequest{Held: held, Wait: snapshotWait}
	err := s.peers.Call(ctx, s.cfg.Control, peer.MethodSnapshot, peer.Once, req, &reply)
	return reply, err
}

// pause waits a little after a failure; it reports false once the shell ends.
func (s *Shell) pause(err error) bool {
	wait := time.Duration(0)
	if err != nil {
		wait = snapshotRetry
	}
	select {
	case <-s.Ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// context ends with the shell, or after d.
func (s *Shell) context(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.Ctx, d)
}

// borrow sends an ask to a holder of slots and hands its loan to the core. A lost
// answer only costs time: the amount expires.
func (s *Shell) borrow(a limits.SendAsk) {
	s.Submit(func() {
		ctx, cancel := s.context(borrowTimeout)
		defer cancel()
		var loan limits.Loan
		err := s.peers.Call(ctx, a.Addr, peer.MethodBorrow, peer.Once, a.Ask, &loan)
		if err != nil {
			s.Log.Debug().Err(err).Str("holder", a.To.String()).Msg("borrow")
			return
		}
		s.Send(limits.LoanReceived{Loan: loan})
	})
}

// observations gather what is to be reported to the control process.
type observations struct {
	mu       sync.Mutex
	byServer map[ident.BackendServer]peer.BackendObservation
	leaving  bool
}

func (o *observations) init() { o.byServer = map[ident.BackendServer]peer.BackendObservation{} }

func (o *observations) add(seen peer.BackendObservation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	merged := o.byServer[seen.Server]
	merged.Server = seen.Server
	merged.Leaving = merged.Leaving || seen.Leaving
	merged.Unreachable = merged.Unreachable || seen.Unreachable
	merged.Answered = merged.Answered || seen.Answered
	o.byServer[seen.Server] = merged
}

func (o *observations) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

func (o *observations) take() ([]peer.BackendObservation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]peer.BackendObservation, 0, len(o.byServer))
	for _, seen := range o.byServer {
		list = append(list, seen)
	}
	clear(o.byServer)
	return list, o.leaving
}

// sendReports tells the control process what was observed, and now and then
// that this process is there.
func (s *Shell) sendReports() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-s.Ctx.Done():
			return
		case now := <-ticker.C:
			list, leaving := s.observed.take()
			if len(list) == 0 && now.Sub(last) < quietReport {
				continue
			}
			last = now
			s.report(list, leaving)
		}
	}
}

func (s *Shell) report(list []peer.BackendObservation, leaving bool) {
	req := peer.ReportRequest{Instance: s.cfg.Self, Observations: list, Leaving: leaving}
	if state := s.state.Load(); state != nil {
		req.Load = peer.EntryLoad{Running: state.Admission.Running, Waiting: state.Admission.Waiting}
	}
	ctx, cancel := s.context(time.Second)
	defer cancel()
	var reply peer.ReportReply
	if err := s.peers.Call(ctx, s.cfg.Control, peer.MethodReport, peer.Retryable, req, &reply); err != nil {
		for _, seen := range list {
			s.observed.add(seen)
		}
		return
	}
	if reply.Drain {
		s.Send(drainEvent)
	}
}

// watch notes whose load is of use.
func (s *Shell) watch(a routing.Watch) {
	names := make([]string, 0, len(a.Servers))
	for _, id := range a.Servers {
		names = append(names, string(id))
	}
	s.watched.Store(&names)
}

// pollLoads reads the load reports of the engines in use.
func (s *Shell) pollLoads() {
	ticker := time.NewTicker(loadPollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.Ctx.Done():
			return
		case <-ticker.C:
		}
		s.sendLinks()
		names := s.watched.Load()
		if names == nil {
			continue
		}
		for _, name := range *names {
			s.Submit(func() { s.pollLoad(ident.BackendServer(name)) })
		}
	}
}

func (s *Shell) pollLoad(id ident.BackendServer) {
	server, ok := s.directory.server(id)
	if !ok || server.Kind != peer.KindEngine {
		return
	}
	asked := time.Now()
	load, err := s.engines.Load(server.Addr, httpcall.Within(loadPollTimeout))
	if err != nil {
		return
	}
	s.links.observe(server.Place.FailureDomain, time.Since(asked)/2)
	s.sendLoad(id, load)
	if server.LayerFrom == 0 {
		s.pollHints(server)
	}
}
