package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/routes"
)

const (
	// serverViewInterval is the interval at which the detector gets the servers and VMs in
	// force. Watch connections to servers that drain end within it.
	serverViewInterval = 250 * time.Millisecond
	// vainDelay is how long after a verdict a server is looked at again: streams were moved in
	// vain if it is well.
	vainDelay = time.Second
)

// failureDetector is the state of the failure detector's shell. Its lock is taken before those
// of the streams, and never together with Router.mu.
type failureDetector struct {
	mu       sync.Mutex
	core     *detector.Core
	services map[string]bool // whose streams it moves
	vms      []string
	counted  detector.Stats // already in the metrics
	timer    *time.Timer    // for the next Advance
	timerAt  time.Duration
	watches  map[backend.Instance]*watchConn
	// dial opens a connection to a backend server; tests replace it.
	dial func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)
}

func newFailureDetector(cfg detector.Config, vm string, seed uint64) *failureDetector {
	return &failureDetector{core: detector.New(cfg, vm, seed), services: map[string]bool{}, watches: map[backend.Instance]*watchConn{}}
}

// paused drops the checks in progress: the process did not run, so their times mean nothing.
func (d *failureDetector) paused() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Paused()
}

// detectorMetrics holds the metrics of the failure detector.
type detectorMetrics struct {
	evidence, moved [6]*metrics.Counter // by detector.Kind; streams that were moved
	verdicts        [6]*metrics.Counter // by detector.Result
	checks, evidenceDropped, messagesSent, findingsNotSent,
	movedInVain *metrics.Counter
	messagesDropped map[string]*metrics.Counter // by reason
	evidenceToMove  *metrics.Histogram
}

func newDetectorMetrics() detectorMetrics {
	c := metrics.GetOrCreateCounter
	m := detectorMetrics{
		checks: c("catkin_router_detector_checks_total"), evidenceDropped: c("catkin_router_detector_evidence_dropped_total"),
		messagesSent: c("catkin_router_detector_messages_sent_total"), findingsNotSent: c("catkin_router_detector_findings_not_sent_total"),
		movedInVain: c("catkin_router_detector_moved_in_vain_total"), messagesDropped: map[string]*metrics.Counter{},
		evidenceToMove: metrics.GetOrCreateHistogram("catkin_router_detector_evidence_to_move_seconds"),
	}
	for _, k := range detector.Kinds() {
		m.evidence[k] = c(fmt.Sprintf("catkin_router_detector_evidence_total{kind=%q}", k))
		m.moved[k] = c(fmt.Sprintf("catkin_router_detector_moved_total{kind=%q}", k))
	}
	for _, res := range detector.Results() {
		m.verdicts[res] = c(fmt.Sprintf("catkin_router_detector_verdicts_total{verdict=%q}", res))
	}
	for _, reason := range []string{"malformed", "stale", "unknown"} {
		m.messagesDropped[reason] = c(fmt.Sprintf("catkin_router_detector_messages_dropped_total{reason=%q}", reason))
	}
	return m
}

// checkedServer returns what the detector needs of a server.
func checkedServer(s *backend.Server) detector.Server {
	return detector.Server{Instance: s.Instance(), Service: s.Service, Domain: s.Domain, Addr: s.Addr}
}

// detects reports whether the failure detector is enabled for the streams of a route.
func detects(route *routes.Route) bool { return route.MaxGap > 0 && route.Resumable }

// suspect records evidence about the server at addr.
func (r *Router) suspect(addr string, kind detector.Kind) {
	var servers []detector.Server
	r.locked(func() {
		if s := r.core.Backends.ByAddr(addr); s != nil {
			servers = suspectable(s)
		}
	})
	r.observe(kind, servers)
}

// suspectable returns a server unless it drains: it may refuse connections while its streams go
// on. Then only their silence is evidence.
func suspectable(s *backend.Server) []detector.Server {
	if s.State != backend.Ready {
		return nil
	}
	return []detector.Server{checkedServer(s)}
}

// suspectServer records evidence about the server id.
func (r *Router) suspectServer(id backend.ID, kind detector.Kind) {
	var servers []detector.Server
	r.locked(func() {
		if s := r.core.Backends.Get(id); s != nil {
			servers = suspectable(s)
		}
	})
	r.observe(kind, servers)
}

// serversAt returns the known servers at addresses.
func (r *Router) serversAt(addrs []string) []detector.Server {
	var out []detector.Server
	r.locked(func() {
		for _, addr := range addrs {
			if s := r.core.Backends.ByAddr(addr); s != nil {
				out = append(out, checkedServer(s))
			}
		}
	})
	return out
}

// observe records evidence about servers and does what follows from it.
func (r *Router) observe(kind detector.Kind, servers []detector.Server) {
	d := r.detector
	observed := false
	now := r.clock.now()
	d.mu.Lock()
	for _, s := range servers {
		if d.services[s.Service] {
			r.metrics.evidence[kind].Inc()
			d.core.Observe(now, detector.Evidence{Server: s, Kind: kind})
			observed = true
		}
	}
	d.mu.Unlock()
	if observed {
		r.advanceDetector()
	}
}

// advanceDetector does what the detector wants done now.
func (r *Router) advanceDetector() {
	r.runGuarded("detector", "advance", func() {
		d := r.detector
		now := r.clock.now()
		d.mu.Lock()
		a := d.core.Advance(now, streamProgress{r})
		r.wakeDetectorAt(now, a.Wake)
		r.countChecks()
		d.mu.Unlock()
		for _, t := range a.Tries {
			go r.runGuarded("detector", string(t.Server.ID), func() { r.runTry(t) })
		}
		r.avoidFailing(a)
		for _, v := range a.Verdicts {
			r.applyVerdict(v)
		}
		if len(a.Announce) > 0 {
			r.announceLost(a.Announce)
		}
	})
}

// refusedAvoidTime is how long requests avoid a server that has refused one connection, a few
// times what its check takes.
const refusedAvoidTime = 50 * time.Millisecond

// avoidFailing makes paths avoid the servers that are gone, all of them before the first stream
// moves, and those that may be.
func (r *Router) avoidFailing(a detector.Actions) {
	if len(a.Avoid)+len(a.Verdicts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.now()
	for _, s := range a.Avoid {
		r.core.Backends.Avoid(now, s.Instance, refusedAvoidTime)
	}
	for _, v := range a.Verdicts {
		if v.Result.Gone() {
			r.core.RecordLost(now, v.Server.Instance)
		}
	}
}

// wakeDetectorAt makes advanceDetector run at a time on the router's clock, 0 for never. The
// caller holds the detector's lock.
func (r *Router) wakeDetectorAt(now, at time.Duration) {
	d := r.detector
	if at == 0 || d.timerAt > now && d.timerAt <= at {
		return
	}
	d.timerAt = at
	wait := max(0, at-now) + timerSlack/10
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, r.advanceDetector)
		return
	}
	d.timer.Reset(wait)
}

// countChecks adds the core's counters to the metrics. The caller holds the detector's lock.
func (r *Router) countChecks() {
	d := r.detector
	stats := d.core.Stats()
	r.metrics.checks.Add(stats.Checks - d.counted.Checks)
	r.metrics.evidenceDropped.Add(stats.DroppedEvidence - d.counted.DroppedEvidence)
	r.metrics.findingsNotSent.Add(stats.DroppedFindings - d.counted.DroppedFindings)
	d.counted = stats
}

// streamProgress tells the detector of this VM's streams.
type streamProgress struct{ r *Router }

// Progress implements detector.Streams.
func (p streamProgress) Progress(in backend.Instance) (at time.Duration, ok bool) {
	last := p.r.streams.lastEventThrough(in)
	if last.IsZero() {
		return 0, false
	}
	return p.r.clock.now() - time.Since(last), true
}

// Silent implements detector.Streams.
func (p streamProgress) Silent(in backend.Instance) bool {
	return p.r.streams.silentThrough(in, time.Now(), p.r.cfg.Detector.Pace)
}

// lastEventThrough returns when the last event of a stream arrived whose path includes a
// server; zero if there was none.
func (t *streamTable) lastEventThrough(in backend.Instance) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for st := range t.active {
		if at := st.lastEventOver(in); at.After(last) {
			last = at
		}
	}
	return last
}

// lastEventOver returns when the last event of the current run arrived if its path includes a
// server, otherwise zero.
func (st *stream) lastEventOver(in backend.Instance) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded || !st.runBegun || st.repathing || st.result.choice == nil {
		return time.Time{}
	}
	for _, stage := range st.result.choice.Stages {
		if stage.Instance == in {
			return st.lastProgress
		}
	}
	return time.Time{}
}

// dialServer opens a connection to a backend server within a time.
func (r *Router) dialServer(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	if r.cfg.BindOutgoing {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.settings.IP)}
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// outcomeOf returns what the error of a dial says of the server.
func outcomeOf(err error) detector.Outcome {
	var netErr net.Error
	switch {
	case err == nil:
		return detector.Opened
	case errors.Is(err, syscall.ECONNREFUSED):
		return detector.Refused
	case errors.As(err, &netErr) && netErr.Timeout():
		return detector.Unanswered
	default:
		return detector.Inconclusive
	}
}

// runTry opens a connection and closes it at once, unless it can serve as watch connection.
func (r *Router) runTry(t detector.Try) {
	d := r.detector
	conn, err := d.dial(context.Background(), t.Server.Addr, t.Timeout)
	now := r.clock.now()
	d.mu.Lock()
	d.core.Tried(now, t.ID, outcomeOf(err))
	watch := d.watches[t.Server.Instance]
	d.mu.Unlock()
	r.advanceDetector()
	if err == nil && (watch == nil || !watch.offer(conn)) {
		_ = conn.Close() // nothing was sent on it
	}
}

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

// countMovedInVain counts streams as moved in vain if their server is well.
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
	body, err := cbor.Marshal(m)
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

// countDropped counts the findings of a message that are not used.
func (r *Router) countDropped(m loads.Message, unknown int) {
	if m.Scope > loads.ScopeFindings {
		r.metrics.messagesDropped["unknown"].Inc() // its loads; its findings are used
	}
	if m.Scope != loads.ScopeFindings {
		return
	}
	r.metrics.messagesDropped["unknown"].Add(unknown)
	for _, age := range m.Lost {
		if age < 0 || age > r.cfg.Dispatch.Loads.FindingTTL {
			r.metrics.messagesDropped["stale"].Inc()
		}
	}
}

// watchServers gives the detector the servers and VMs in force and keeps the watch connections,
// until ctx ends.
func (r *Router) watchServers(ctx context.Context) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for ctx.Err() == nil {
		r.runGuarded("detector", "servers", func() { r.updateWatches(ctx, &conns) })
		pause(ctx, serverViewInterval)
	}
}

// updateWatches opens and closes watch connections as the servers and VMs in force require.
func (r *Router) updateWatches(ctx context.Context, conns *sync.WaitGroup) {
	services, servers, vms := r.checkedServers()
	now := r.clock.now()
	d := r.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = services
	if !slices.Equal(vms, d.vms) {
		d.vms = vms
		d.core.SetVMs(vms)
	}
	d.core.SetServers(now, servers)
	wanted := map[backend.Instance]bool{}
	for _, s := range d.core.Watched() {
		wanted[s.Instance] = true
		if d.watches[s.Instance] == nil {
			watchCtx, cancel := context.WithCancel(ctx)
			w := &watchConn{server: s, cancel: cancel, conns: make(chan net.Conn)}
			d.watches[s.Instance] = w
			conns.Go(func() { r.keepWatch(watchCtx, w) })
		}
	}
	for in, w := range d.watches {
		if !wanted[in] {
			w.cancel()
			delete(d.watches, in)
		}
	}
}

// checkedServers returns the services whose streams the detector moves, their servers that
// want connections, and the names of all VMs, sorted.
func (r *Router) checkedServers() (services map[string]bool, servers []detector.Server, vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services = map[string]bool{}
	table := r.core.Table()
	if table == nil {
		return services, nil, nil
	}
	cfg := table.Config()
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		for _, share := range route.Split {
			if detects(route) && cfg.Services[share.Service].Engine != nil {
				services[share.Service] = true
			}
		}
	}
	now := r.clock.now()
	for _, id := range r.core.Backends.IDs() {
		s := r.core.Backends.Get(id)
		if services[s.Service] && s.State == backend.Ready && s.Held.Len() > 0 && !r.core.Paused(now, s.Instance()) {
			servers = append(servers, checkedServer(s))
		}
	}
	for name := range r.members {
		vms = append(vms, name)
	}
	slices.Sort(vms)
	return services, servers, vms
}

const (
	// minWatchPause is the pause before a watch connection is opened again. It doubles with
	// each connection that ends within minWatchLife, up to maxWatchPause.
	minWatchPause = 100 * time.Millisecond
	maxWatchPause = 10 * time.Second
	minWatchLife  = time.Second
)

// watchConn is the watch connection to a server, while it is wanted.
type watchConn struct {
	server detector.Server
	cancel context.CancelFunc
	conns  chan net.Conn // open ones of checks
	open   atomic.Bool
}

// offer hands over an open connection, and reports false if it is not wanted.
func (w *watchConn) offer(conn net.Conn) bool {
	select {
	case w.conns <- conn:
		return true
	default:
		return false
	}
}

// keepWatch keeps a watch connection until ctx ends. Its end is evidence, which starts a check;
// the connection of the check becomes the next watch connection.
func (r *Router) keepWatch(ctx context.Context, w *watchConn) {
	wait := minWatchPause
	pause(ctx, minWatchPause)
	for ctx.Err() == nil {
		conn, err := r.detector.dial(ctx, w.server.Addr, r.cfg.DialTimeout)
		if outcomeOf(err) == detector.Refused {
			r.suspectServer(w.server.ID, detector.Reset)
		}
		for err == nil && conn != nil {
			openedAt := time.Now()
			w.open.Store(true)
			awaitEnd(ctx, conn)
			w.open.Store(false)
			if ctx.Err() != nil {
				return
			}
			conn = nil
			lived := time.Since(openedAt) >= minWatchLife
			if lived {
				wait = minWatchPause
			}
			offered := make(chan net.Conn, 1)
			go func() { offered <- w.accept(ctx, lived) }()
			r.suspectServer(w.server.ID, detector.WatchClosed)
			conn = <-offered
		}
		pause(ctx, wait)
		wait = min(2*wait, maxWatchPause)
	}
}

// accept waits for a connection of a check, nil if there is none in time. A server that has
// closed its last one soon gets a pause instead.
func (w *watchConn) accept(ctx context.Context, wanted bool) net.Conn {
	if !wanted {
		return nil
	}
	t := time.NewTimer(minWatchPause)
	defer t.Stop()
	select {
	case conn := <-w.conns:
		return conn
	case <-ctx.Done():
	case <-t.C:
	}
	return nil
}

// awaitEnd waits until the server or ctx ends a connection, and closes it. The server sends
// nothing, since it was asked nothing.
func awaitEnd(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var b [1]byte
	_, _ = conn.Read(b[:]) // any result ends the watch
}
