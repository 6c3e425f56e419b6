package router

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/routes"
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
