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

// pollSnapshot passes the control process's snapshots to the core. While the control
// process is unreachable, the core continues with its last snapshot.
func (s *Shell) pollSnapshot() {
	var held peer.SnapshotVersions
	for {
		reply, err := s.snapshot(held)
		if err == nil {
			held = reply.Versions
			s.Send(node.Snapshot{Reply: reply})
		} else {
			s.Log.Debug().Err(err).Msg("snapshot request failed")
		}
		if !s.waitForRetry(err) {
			return
		}
	}
}

func (s *Shell) snapshot(held peer.SnapshotVersions) (peer.SnapshotReply, error) {
	ctx, cancel := s.withTimeout(snapshotWait + time.Second)
	defer cancel()
	var reply peer.SnapshotReply
	req := peer.SnapshotRequest{Held: held, Wait: snapshotWait}
	err := s.peers.Call(ctx, s.cfg.Control, peer.MethodSnapshot, peer.Once, req, &reply)
	return reply, err
}

// waitForRetry waits for snapshotRetryDelay if err is not nil. It returns false once
// the shell stops.
func (s *Shell) waitForRetry(err error) bool {
	wait := time.Duration(0)
	if err != nil {
		wait = snapshotRetryDelay
	}
	select {
	case <-s.Ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// withTimeout returns a context that ends after d or when the shell stops.
func (s *Shell) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.Ctx, d)
}

// borrow asks a slot holder for a loan and passes the loan to the core. A lost reply
// needs no handling, because the lent amount expires.
func (s *Shell) borrow(a limits.SendAsk) {
	s.Submit(func() {
		ctx, cancel := s.withTimeout(borrowTimeout)
		defer cancel()
		var loan limits.Loan
		err := s.peers.Call(ctx, a.Addr, peer.MethodBorrow, peer.Once, a.Ask, &loan)
		if err != nil {
			s.Log.Debug().Err(err).Str("holder", a.To.String()).Msg("borrow request failed")
			return
		}
		s.Send(limits.LoanReceived{Loan: loan})
	})
}

// observations collects what the next report to the control process contains, one
// merged observation per backend server.
type observations struct {
	mu       sync.Mutex
	byServer map[ident.BackendServer]peer.BackendObservation
	leaving  bool
}

func (o *observations) init() { o.byServer = map[ident.BackendServer]peer.BackendObservation{} }

func (o *observations) add(observation peer.BackendObservation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	merged := o.byServer[observation.Server]
	merged.Server = observation.Server
	merged.Leaving = merged.Leaving || observation.Leaving
	merged.Unreachable = merged.Unreachable || observation.Unreachable
	merged.Answered = merged.Answered || observation.Answered
	o.byServer[observation.Server] = merged
}

func (o *observations) setLeaving() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// flush returns the collected observations and whether the entry is leaving, and
// resets the observations.
func (o *observations) flush() ([]peer.BackendObservation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]peer.BackendObservation, 0, len(o.byServer))
	for _, observation := range o.byServer {
		list = append(list, observation)
	}
	clear(o.byServer)
	return list, o.leaving
}

// sendReports sends observations to the control process every reportInterval. Without
// observations it sends a report only every maxReportInterval, as a heartbeat.
func (s *Shell) sendReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-s.Ctx.Done():
			return
		case now := <-ticker.C:
			list, leaving := s.observed.flush()
			if len(list) == 0 && now.Sub(last) < maxReportInterval {
				continue
			}
			last = now
			s.sendReport(list, leaving)
		}
	}
}

// sendReport sends one report. If it fails, the observations are kept for the next one.
func (s *Shell) sendReport(list []peer.BackendObservation, leaving bool) {
	req := peer.ReportRequest{Instance: s.cfg.Self, Observations: list, Leaving: leaving}
	if state := s.state.Load(); state != nil {
		req.Load = peer.EntryLoad{Running: state.Admission.Running, Waiting: state.Admission.Waiting}
	}
	ctx, cancel := s.withTimeout(time.Second)
	defer cancel()
	var reply peer.ReportReply
	if err := s.peers.Call(ctx, s.cfg.Control, peer.MethodReport, peer.Retryable, req, &reply); err != nil {
		for _, observation := range list {
			s.observed.add(observation)
		}
		return
	}
	if reply.Drain {
		s.Send(drainEvent)
	}
}

// setLoadTargets sets the backend servers that pollLoads reads.
func (s *Shell) setLoadTargets(a routing.Watch) {
	names := make([]string, 0, len(a.Servers))
	for _, id := range a.Servers {
		names = append(names, string(id))
	}
	s.loadTargets.Store(&names)
}

// pollLoads reads the load of the engines in use every loadPollInterval.
func (s *Shell) pollLoads() {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.Ctx.Done():
			return
		case <-ticker.C:
		}
		s.sendLinkDelays()
		names := s.loadTargets.Load()
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
	s.linkDelays.observe(server.Place.FailureDomain, time.Since(asked)/2)
	s.sendLoad(id, load)
	if server.LayerFrom == 0 {
		s.pollCacheEvents(server)
	}
}
