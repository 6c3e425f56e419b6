package router

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// applyVerdict logs and counts a verdict and moves streams off a server that is gone.
func (r *Router) applyVerdict(v detector.Verdict) {
	r.metrics.verdicts[v.Result].Inc()
	event := r.log.Info()
	if v.Result == detector.Alive {
		event = r.log.Debug()
	}
	event.Str("server", string(v.Server.ID)).Str("addr", v.Server.Addr).Str("verdict", v.Result.String()).Str("evidence", v.Kind.String()).
		Bool("fromNeighbor", v.FromNeighbor).Dur("age", r.clock.now()-v.EvidenceAt).Str("witness", string(v.Witness)).Msg("backend server checked")
	switch {
	case v.Result.Gone():
		r.moveOffGone(v)
	case v.Result == detector.Undecided && v.FromNeighbor && r.linksUp(v.Server.Service):
		r.moveOffLost([]string{v.Server.Addr})
	}
}

// linksUp reports whether this VM is not cut off from the servers of a service.
func (r *Router) linksUp(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.core.Reach.CutOff(service)
}

// vainDelay is the time from a verdict of loss until the server is checked again. If it is healthy
// then, its streams were moved unnecessarily.
const vainDelay = time.Second

// moveOffGone moves all streams off a server that is gone, those with the least slack first, and
// looks later whether it was.
func (r *Router) moveOffGone(v detector.Verdict) {
	r.sendFindingsNow()
	moves := r.streams.leastSlackFirst(time.Now(), []string{v.Server.Addr})
	for _, m := range moves {
		err := r.workers.Submit(func() {
			m.stream.moveOffLost(m.addr)
			r.metrics.moved[v.Kind].Inc()
			r.metrics.evidenceToMove.Update((r.clock.now() - v.EvidenceAt).Seconds())
		})
		if err != nil {
			r.log.Warn().Err(err).Str("request", m.stream.x.req.ID).Msg("stream not moved off a lost server: all workers are busy; its stall timer will do it")
		}
	}
	if len(moves) > 0 && v.Result != detector.Stalled { // a connection does not show that a process hangs
		time.AfterFunc(vainDelay, func() {
			r.runGuarded("detector", string(v.Server.ID), func() { r.countMovedInVain(v.Server, len(moves)) })
		})
	}
}

// countMovedInVain counts the streams as moved unnecessarily if their server is healthy.
func (r *Router) countMovedInVain(s detector.Server, streams int) {
	conn, err := r.detector.dial(context.Background(), s.Addr, r.cfg.DialTimeout)
	if err != nil {
		return
	}
	_ = conn.Close() // nothing was sent on it
	well := false
	r.locked(func() {
		known := r.core.Backends.Get(s.ID)
		well = known != nil && known.Instance() == s.Instance && known.State == backend.Ready && known.Held.Len() > 0 && known.SlowdownFactor(r.clock.now()) <= 1
	})
	if well {
		r.metrics.movedInVain.Add(streams)
		r.log.Warn().Str("server", string(s.ID)).Str("addr", s.Addr).Int("streams", streams).Msg("streams were moved in vain: the server is well")
	}
}

// recordReportedLost records that a report showed a server to be lost, and reports whether
// this VM has to move its streams.
func (r *Router) recordReportedLost(s detector.Server) bool {
	d := r.detector
	d.mu.Lock()
	enabled := d.services[s.Service]
	isNew := enabled && d.core.Reported(r.clock.now(), s)
	d.mu.Unlock()
	if isNew {
		r.metrics.evidence[detector.Report].Inc()
		r.advanceDetector()
	}
	return isNew
}

// announceLost sends the loss of servers to all other VMs at once, in random order.
func (r *Router) announceLost(servers []detector.Server) {
	keys := make([]loads.Key, len(servers))
	for i, s := range servers {
		keys[i] = dispatch.LoadKey(s.Instance)
	}
	var m loads.Message
	var others []loads.Member
	r.locked(func() { m, others = r.core.Loads.LostMessage(keys), r.core.Loads.Others() })
	body, err := encodeMessage(m)
	if err != nil {
		r.log.Error().Err(err).Msg("encoding a message of lost servers failed")
		return
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	for _, other := range others {
		to, err := netip.ParseAddrPort(other.Addr)
		if err == nil {
			_, err = r.peerConn.WriteToUDPAddrPort(body, to)
		}
		if err != nil {
			r.metrics.loadSendErrors.Inc() // the load messages carry the finding as well
			continue
		}
		r.metrics.messagesSent.Inc()
	}
}

// checkNeighborsFindings starts checks of the servers that another VM has found lost, and
// returns those that the detector does not check. Those without streams of this VM need none:
// requests avoid them already.
func (r *Router) checkNeighborsFindings(m loads.Message, lostAddrs []string) (unchecked []string) {
	if len(lostAddrs) == 0 {
		return nil
	}
	if m.Scope != loads.ScopeFindings {
		r.sendFindingsNow()
	}
	var used []detector.Server
	for _, s := range r.serversAt(lostAddrs) {
		switch {
		case !r.detector.covers(s.Service):
			unchecked = append(unchecked, s.Addr)
		case len(r.streams.through(s.Addr)) > 0:
			used = append(used, s)
		}
	}
	r.observe(detector.Neighbor, used)
	return unchecked
}

// covers reports whether the detector moves streams of a service.
func (d *failureDetector) covers(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.services[service]
}
