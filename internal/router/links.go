package router

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/platform"
)

// linkInterval is the interval at which the links to the backend servers are judged.
const linkInterval = 50 * time.Millisecond

// cutSettleTime is the time from the verdict that this VM is cut off until it moves its
// streams: VMs that are cut off at the same moment must know of each other by then.
const cutSettleTime = 30 * time.Millisecond

// timerSlack keeps a timer from firing before its time on the router's clock.
const timerSlack = time.Millisecond

// watchLinks judges this VM's links to the backend servers until ctx ends.
func (r *Router) watchLinks(ctx context.Context) {
	tick := time.NewTicker(linkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.probeNow:
		}
		r.runGuarded("links", "probe", r.probeLinks)
	}
}

// wakeProbes makes watchLinks look for probes without waiting for the end of its interval.
func (r *Router) wakeProbes() {
	select {
	case r.probeNow <- struct{}{}:
	default: // already awake
	}
}

// probe is a request that shows whether a server can be reached.
type probe struct {
	service string
	server  backend.ID
	addr    string
	uri     string
}

func (r *Router) probeLinks() {
	for _, p := range r.dueProbes() {
		if err := r.workers.Submit(func() { r.runGuarded("links", string(p.server), func() { r.sendProbe(p) }) }); err != nil {
			r.log.Warn().Err(err).Str("server", string(p.server)).Msg("server not probed: all workers are busy")
		}
	}
}

// dueProbes returns the probes to send now.
func (r *Router) dueProbes() []probe {
	activity := r.streams.activity()
	var out []probe
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.core.Table()
	if table == nil {
		return nil
	}
	now := r.clock.now()
	services := table.Config().Services
	r.core.Reach.Forget(func(name string) bool { _, exists := services[name]; return exists })
	for name, svc := range services {
		a := activity[name]
		if a.runs > 0 {
			r.core.Reach.Heard(now-time.Since(a.lastRead), name)
		}
		uri := svc.HealthPath
		if svc.Engine != nil {
			uri = platform.ReportURI
		}
		for _, id := range r.core.Reach.Probes(now, name, func() []backend.ID { return r.readyServers(name) }, a.runs) {
			out = append(out, probe{name, id, r.core.Backends.Get(id).Addr, uri})
		}
	}
	return out
}

// readyServers returns the servers of a service that may be probed: those that leave or have
// asked for a pause want no requests. The caller holds mu.
func (r *Router) readyServers(service string) []backend.ID {
	var ids []backend.ID
	for _, s := range r.core.Backends.ByService(service) {
		if s.State == backend.Ready && !r.core.Paused(r.clock.now(), s.Instance()) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// sendProbe sends a request on a new connection. Any response shows that the links are up.
func (r *Router) sendProbe(p probe) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.addr + p.uri)
	r.recordControlCall(p.addr)
	err := r.controlClient.Do(p.addr, req, resp, httpcall.Within(r.cfg.Dispatch.Reach.ProbeTimeout).WithNewConnection())
	if err != nil {
		r.log.Info().Err(err).Str("service", p.service).Str("server", string(p.server)).Msg("server does not respond to a probe")
		r.recordServerFailed(p.service, p.server, err)
		return
	}
	r.recordControlResponse(p.addr, &resp.Header)
	restored := false
	var found poison.Result
	r.locked(func() {
		if restored = r.core.Reach.ProbeSucceeded(r.clock.now(), p.service); restored {
			r.core.Backends.ForgetFailures(p.service)
			r.updateFitness()
		}
		found = r.core.ConfirmCrashes(r.clock.now())
	})
	r.applyBlocks(found, r.settings.VM)
	if restored {
		r.log.Warn().Str("service", p.service).Str("server", string(p.server)).Msg("backend servers reached again")
	}
}

// updateFitness lets this VM lead only if it reaches the servers that a leader orders. The
// caller holds mu.
func (r *Router) updateFitness() {
	fit := true
	for name, svc := range r.core.Table().Config().Services {
		if svc.Engine != nil && r.core.Reach.CutOff(name) {
			fit = false
		}
	}
	r.election.SetFit(fit)
}

// recordServerFailed records that a server did not respond. If this VM counts as cut off
// since then, its silent streams go on through other VMs.
func (r *Router) recordServerFailed(service string, server backend.ID, err error) {
	how, isFailure := failureOf(err)
	if !isFailure {
		return
	}
	if how == reach.NoConnection {
		r.suspectServer(server, detector.Reset)
	}
	cutOff := false
	r.locked(func() {
		r.core.Reach.SetServers(r.clock.now(), service, len(r.core.Backends.ByService(service)))
		if cutOff = r.core.Reach.Failed(r.clock.now(), service, server, how); cutOff {
			r.updateFitness()
		}
	})
	if !cutOff {
		time.AfterFunc(r.cfg.Dispatch.Reach.DoubtDelay+timerSlack, r.wakeProbes)
		return
	}
	r.metrics.cutOff.Inc()
	r.log.Warn().Err(err).Str("service", service).Msg("cut off from all backend servers of a service: requests go through other VMs")
	r.sendFindingsNow()
	time.AfterFunc(cutSettleTime, func() {
		r.runGuarded("links", service, func() { r.moveSilentStreams(service) })
	})
}

// moveSilentStreams resumes the silent streams of a service through other VMs if this VM is
// still cut off.
func (r *Router) moveSilentStreams(service string) {
	cutOff := false
	r.locked(func() { cutOff = r.core.Reach.CutOff(service) })
	if !cutOff {
		return
	}
	for _, st := range r.streams.silent(service, r.cfg.Dispatch.Reach.MaxSilence) {
		st.leaveRun(st.choice().Target().Addr, "this VM is cut off from the servers")
	}
}

// failureOf returns how a server failed by the error of a call, false if the error says
// nothing of the links.
func failureOf(err error) (how reach.Failure, isFailure bool) {
	var e *httpcall.Error
	if !errors.As(err, &e) {
		reset := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
		return reach.NoConnection, reset
	}
	switch e.Kind {
	case httpcall.KindDial, httpcall.KindClosed:
		return reach.NoConnection, true
	case httpcall.KindTimeout:
		return reach.NoAnswer, true
	default:
		return reach.NoAnswer, false
	}
}

// recordUnreached records what a failed send says of the links to its server.
func (x *exchange) recordUnreached(s *sendResult) {
	if s.err == nil || s.cancelled {
		return
	}
	x.r.recordServerFailed(x.req.Service.Name, s.choice.Target().Instance.ID, s.err)
}

// recordReportFailed records that the server at addr did not send its report.
func (r *Router) recordReportFailed(addr string, err error) {
	var id backend.ID
	var service string
	r.locked(func() {
		if s := r.core.Backends.ByAddr(addr); s != nil {
			id, service = s.ID, s.Service
		}
	})
	if id != "" {
		r.recordServerFailed(service, id, err)
	}
}

// serviceActivity is what the streams of a service show of its servers.
type serviceActivity struct {
	runs     int       // that have begun to answer
	lastRead time.Time // when the last event of one arrived
}

// activity returns the activity of all services with runs in progress on backend servers.
func (t *streamTable) activity() map[string]serviceActivity {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]serviceActivity{}
	for st := range t.active {
		lastRead, reading := st.lastEventRead()
		if !reading {
			continue
		}
		a := out[st.x.req.Service.Name]
		a.runs++
		if lastRead.After(a.lastRead) {
			a.lastRead = lastRead
		}
		out[st.x.req.Service.Name] = a
	}
	return out
}

// silent returns the streams of a service whose runs on backend servers have sent nothing for
// a time.
func (t *streamTable) silent(service string, since time.Duration) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for st := range t.active {
		if st.x.req.Service.Name == service && st.silentFor() > since {
			out = append(out, st)
		}
	}
	return out
}

// lastEventRead returns when the last event of the current run arrived, false if there was
// none or the stream waits for its caller instead.
func (st *stream) lastEventRead() (at time.Time, reading bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded || st.result.choice == nil || st.result.choice.IsPeer() || !st.waiting || !st.runBegun {
		return time.Time{}, false
	}
	return st.lastRead, true
}

// silentFor returns how long the current run on a backend server has sent nothing, 0 if the
// stream waits for its caller instead.
func (st *stream) silentFor() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded || st.result.choice == nil || st.result.choice.IsPeer() || (st.runBegun && !st.waiting) {
		return 0
	}
	return time.Since(st.lastRead)
}
