package router

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/connbudget"
)

// failingListener fails every accept while failing is set.
type failingListener struct {
	net.Listener
	failing atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	c, err := l.Listener.Accept()
	if err == nil && l.failing.Load() {
		_ = c.Close()
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return c, err
}

func newFailingListener(t *testing.T) *failingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &failingListener{Listener: l}
}

// Guards against a server that ends for good at the first failed accept while the VM says that
// it is ready.
func TestServerSurvivesFailedAccepts(t *testing.T) {
	v := newSite(t).vm("a1")
	l := newFailingListener(t)
	l.failing.Store(true)
	v.serve(connbudget.Metrics, l, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() }})
	named := func() string { v.mu.Lock(); defer v.mu.Unlock(); return v.notAccepting() }
	require.Eventually(t, func() bool { return named() == "metrics" }, waitTimeout, time.Millisecond)
	require.Never(t, func() bool { return named() != "metrics" }, 2*maxAcceptPause, time.Millisecond, "ready while nothing is accepted")
	l.failing.Store(false)
	require.Eventually(t, func() bool { return named() == "" }, waitTimeout, time.Millisecond, "not ready again without a connection")
	resp, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, l.Close())
}

// Guards against listeners of which readiness knows nothing.
func TestReadinessCoversEveryListener(t *testing.T) {
	s := newSite(t)
	v := s.vmWith("a1", func(cfg *Config) { cfg.MetricsPort = 19464 })
	s.configure(7)
	v.awaitReady(t)
	var names []string
	v.locked(func() {
		for _, l := range v.listeners {
			names = append(names, l.name)
		}
	})
	slices.Sort(names)
	require.Equal(t, []string{"callers", "directory", "metrics", "passed on", "peers", "readiness"}, names)
	for _, l := range v.listeners {
		l.failingUntil.Store(int64(v.clock.now() + time.Hour))
		ok, reason := v.ready()
		require.False(t, ok)
		require.Contains(t, reason, l.name)
		l.failingUntil.Store(0)
	}
}

func TestAcceptEndsWhenClosedWhileItPauses(t *testing.T) {
	l := newFailingListener(t)
	l.failing.Store(true)
	steady := newSteadyListener("test", l, newClock().now, zerolog.Nop())
	ended := make(chan error, 1)
	go func() { _, err := steady.Accept(); ended <- err }()
	require.Eventually(t, func() bool { return !steady.accepting() }, waitTimeout, time.Millisecond)
	require.NoError(t, steady.Close())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("Accept goes on after Close")
	}
}
