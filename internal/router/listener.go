package router

import (
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
)

const (
	// minAcceptPause is the pause after a failed accept. It doubles with each further failure,
	// up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
	// acceptSettle is how long an accept must wait for connections without failing until the
	// listener counts as accepting again.
	acceptSettle = 50 * time.Millisecond
)

// steadyListener accepts until it is closed: a server ends for good at the first error of
// Accept, and descriptors that are used up are free again later.
type steadyListener struct {
	net.Listener
	name   string
	now    func() time.Duration
	log    zerolog.Logger
	failed *metrics.Counter

	closed    chan struct{}
	closeOnce sync.Once
	// failingUntil is the time of now, in nanoseconds, until which the listener does not count
	// as accepting, unless it accepts a connection before.
	failingUntil atomic.Int64
}

func newSteadyListener(name string, l net.Listener, now func() time.Duration, log zerolog.Logger) *steadyListener {
	return &steadyListener{
		Listener: l, name: name, now: now, closed: make(chan struct{}), log: log.With().Str("listener", name).Str("addr", l.Addr().String()).Logger(),
		failed: metrics.GetOrCreateCounter(fmt.Sprintf("catkin_router_accept_errors_total{listener=%q}", name)),
	}
}

// Accept returns the next connection, or an error once the listener is closed.
func (l *steadyListener) Accept() (net.Conn, error) {
	delay := minAcceptPause
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil {
			l.accepted(failures)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) || l.isClosed() {
			return nil, err
		}
		l.recordFailure(err, failures)
		l.pause(delay)
		l.failingUntil.Store(int64(l.now() + acceptSettle))
		delay = min(2*delay, maxAcceptPause)
	}
}

// Close ends Accept, also while it pauses.
func (l *steadyListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// accepting reports whether the listener takes new connections.
func (l *steadyListener) accepting() bool { return int64(l.now()) >= l.failingUntil.Load() }

func (l *steadyListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *steadyListener) accepted(failures int) {
	if failures == 0 {
		return
	}
	l.failingUntil.Store(0)
	l.log.Info().Int("failures", failures).Msg("accepting connections again")
}

// recordFailure logs only the first failure of a series.
func (l *steadyListener) recordFailure(err error, earlier int) {
	l.failed.Inc()
	l.failingUntil.Store(math.MaxInt64)
	if earlier == 0 {
		l.log.Error().Err(err).Msg("accepting a connection failed; trying again until it succeeds")
	}
}

func (l *steadyListener) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.closed:
	case <-t.C:
	}
}

// serve lets s serve l until l is closed, within the limit of a duty. The VM is ready only while
// l accepts connections.
func (r *Router) serve(duty connbudget.Duty, l net.Listener, s *fasthttp.Server) {
	steady := newSteadyListener(string(duty), l, r.clock.now, r.log)
	r.locked(func() { r.listeners = append(r.listeners, steady) })
	s.ConnState = ingress.RecordState
	limited := ingress.Listener{Listener: steady, Table: r.newTable(duty)}
	go func() {
		if err := s.Serve(limited); err != nil && !steady.isClosed() {
			steady.failingUntil.Store(math.MaxInt64)
			steady.log.Error().Err(err).Msg("server stopped")
		}
	}()
}

// notAccepting returns the name of a listener that does not take new connections, "" if all
// do. The caller holds mu.
func (r *Router) notAccepting() string {
	for _, l := range r.listeners {
		if !l.accepting() {
			return l.name
		}
	}
	return ""
}
