package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// never is longer than any test.
const never = time.Hour

// onlyDetector keeps the reports of first servers from moving streams.
func onlyDetector(cfg *Config) { cfg.StallTimeout = never }

// noSilence keeps silence from starting checks.
func noSilence(cfg *Config) {
	onlyDetector(cfg)
	cfg.Detector.Pace.GapShare, cfg.Detector.Pace.MinSilence, cfg.Detector.Pace.MinPauses = 1e6, never, 1<<30
}

// awaitWatches waits until a VM has the servers and watch connections to the given number.
func (v *vm) awaitWatches(t *testing.T, servers int) {
	t.Helper()
	require.Eventually(t, func() bool {
		v.detector.mu.Lock()
		defer v.detector.mu.Unlock()
		for _, w := range v.detector.watches {
			if !w.open.Load() {
				return false
			}
		}
		return len(v.detector.services) > 0 && len(v.detector.watches) == servers
	}, waitTimeout, 5*time.Millisecond)
}

// detected returns the server in the way the detector sees it.
func (v *vm) detected(t *testing.T, addr string) detector.Server {
	t.Helper()
	servers := v.serversAt([]string{addr})
	require.Len(t, servers, 1)
	return servers[0]
}

// startStreams starts streams whose paths have more than one stage.
func (v *vm) startStreams(t *testing.T, n int) []*http.Response {
	t.Helper()
	var out []*http.Response
	for i := range n {
		resp := v.call(t, "POST", streamURI, fmt.Sprint("stream-", i))
		require.Equal(t, 200, resp.StatusCode)
		require.Greater(t, len(v.pathOf(fmt.Sprint("stream-", i))), 1)
		out = append(out, resp)
	}
	return out
}

// A stream through a crashed server waited for its own silence of 300 ms and more, and then
// for the report of its first server.
func TestCrashMovesStreamsWithoutReport(t *testing.T) {
	s := newSite(t)
	v := s.vmWith("a1", onlyDetector)
	s.configure(7)
	engines := s.engines(v, 100, 10*time.Millisecond)
	v.awaitReady(t)
	v.awaitWatches(t, len(engines))
	responses := v.startStreams(t, 10)
	crashed := v.pathOf("stream-0")[1].Addr
	affected := len(v.streams.through(crashed))
	serverAt(engines, crashed).Crash()
	crashedAt := time.Now()
	require.Eventually(t, func() bool { return len(v.streams.through(crashed)) == 0 }, waitTimeout, time.Millisecond)
	t.Logf("%d streams left the server %v after its crash", affected, time.Since(crashedAt))
	for i, resp := range responses {
		requireCompleteStream(t, resp.Body, 100)
		require.LessOrEqual(t, s.backends.Runs(fmt.Sprint("stream-", i)), 2)
	}
	require.Equal(t, 1, s.backends.Runs("stream-0"), "the path should change within the same run")
}

// Servers that fail at the same moment are found one after the other, some of them while the
// path changes because of the first.
func TestStreamLeavesServersThatCrashTogether(t *testing.T) {
	s := newSite(t)
	v := s.vmWith("a1", func(cfg *Config) {
		noSilence(cfg)
		cfg.Detector.Watchers = 0
		cfg.Detector.SettleTime = 200 * time.Millisecond // for a busy machine
	})
	s.configure(7)
	engines := s.engines(v, 100, 10*time.Millisecond)
	v.awaitReady(t)
	v.awaitWatches(t, 0)
	responses := v.startStreams(t, 1)
	path := v.pathOf("stream-0")
	require.Greater(t, len(path), 2)
	var lost []detector.Server
	for _, stage := range path[1:3] {
		serverAt(engines, stage.Addr).Crash()
		lost = append(lost, v.detected(t, stage.Addr))
	}
	v.observe(detector.Reset, lost)
	requireCompleteStream(t, responses[0].Body, 100)
	require.Equal(t, 1, s.backends.Runs("stream-0"))
}

// timeoutError is the error of a connection request that nobody answers.
type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// dialErrors lets the dials of a VM's detector to some addresses fail, "" for all.
type dialErrors struct {
	mu     sync.Mutex
	byAddr map[string]error
}

func (e *dialErrors) set(addr string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byAddr[addr] = err
}

func (e *dialErrors) dial(r *Router) func(context.Context, string, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
		e.mu.Lock()
		err := e.byAddr[addr]
		if all := e.byAddr[""]; all != nil {
			err = all
		}
		e.mu.Unlock()
		if err == nil {
			return r.dialServer(ctx, addr, timeout)
		}
		if _, isTimeout := err.(timeoutError); isTimeout {
			time.Sleep(timeout)
		}
		return nil, &net.OpError{Op: "dial", Err: err}
	}
}

// failDials makes the dials of a VM's detector replaceable, before its streams begin.
func (v *vm) failDials() *dialErrors {
	e := &dialErrors{byAddr: map[string]error{}}
	v.detector.mu.Lock()
	defer v.detector.mu.Unlock()
	v.detector.dial = e.dial(v.Router)
	return e
}

// A dark server closes no connection. Only the silence of its streams shows it.
func TestSilentStreamLeavesDarkServerWithoutReport(t *testing.T) {
	s := newSite(t)
	v := s.vmWith("a1", onlyDetector)
	s.configure(7)
	engines := s.engines(v, 100, 10*time.Millisecond)
	v.awaitReady(t)
	dials := v.failDials()
	v.awaitWatches(t, len(engines))
	responses := v.startStreams(t, 1)
	dark := v.pathOf("stream-0")[1].Addr
	dials.set(dark, timeoutError{})
	serverAt(engines, dark).Hang()
	requireCompleteStream(t, responses[0].Body, 100)
	require.Equal(t, 1, s.backends.Runs("stream-0"))
}

// A VM whose new connections were refused, or not answered, took every server for lost.
func TestVMWithCutLinksMovesNoStream(t *testing.T) {
	for name, err := range map[string]error{"refused": os.NewSyscallError("connect", syscall.ECONNREFUSED), "silent": timeoutError{}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			v := s.vm("a1")
			s.configure(7)
			engines := s.engines(v, 100, 10*time.Millisecond)
			v.awaitReady(t)
			dials := v.failDials()
			v.awaitWatches(t, len(engines))
			responses := v.startStreams(t, 3)
			dials.set("", err)
			for _, e := range engines {
				v.observe(detector.Reset, []detector.Server{v.detected(t, e.Addr)})
			}
			for i, resp := range responses {
				requireCompleteStream(t, resp.Body, 100)
				require.Equal(t, 1, s.backends.Runs(fmt.Sprint("stream-", i)))
			}
			v.locked(func() {
				for _, e := range engines {
					require.False(t, v.core.Backends.ByAddr(e.Addr).Suspect(v.clock.now()), e.ID)
				}
			})
		})
	}
}

// The finding of one VM took two intervals of the load messages to reach the others.
func TestLossReachesOtherVMsDirectly(t *testing.T) {
	s := newSite(t)
	tune := func(cfg *Config) {
		noSilence(cfg)
		cfg.Detector.Watchers = 0
		cfg.Dispatch.Loads.MinInterval = never // findings do not travel with the loads
	}
	first, second := s.vmWith("a1", tune), s.vmWith("a2", tune)
	s.configure(7)
	engines := s.engines(first, 150, 10*time.Millisecond)
	first.awaitReady(t)
	second.awaitReady(t)
	for _, v := range []*vm{first, second} {
		v.awaitWatches(t, 0)
		require.Eventually(t, func() bool {
			v.mu.Lock()
			defer v.mu.Unlock()
			return len(v.core.Loads.Others()) == 1
		}, waitTimeout, 5*time.Millisecond)
	}
	responses := second.startStreams(t, 1)
	crashed := serverAt(engines, second.pathOf("stream-0")[1].Addr)
	crashed.Crash()
	first.observe(detector.Refusal, []detector.Server{first.detected(t, crashed.Addr)})
	requireCompleteStream(t, responses[0].Body, 150)
	require.Equal(t, 1, s.backends.Runs("stream-0"))
}

// A VM that is wrong must not make the others move their streams.
func TestNeighborsWordAloneMovesNoStream(t *testing.T) {
	s := newSite(t)
	first, second := s.vm("a1"), s.vm("a2")
	s.configure(7)
	engines := s.engines(first, 100, 10*time.Millisecond)
	first.awaitReady(t)
	second.awaitReady(t)
	first.awaitWatches(t, len(engines))
	second.awaitWatches(t, len(engines))
	responses := second.startStreams(t, 1)
	path := second.pathOf("stream-0")
	first.announceLost([]detector.Server{first.detected(t, path[1].Addr)})
	require.Eventually(t, func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.core.Backends.ByAddr(path[1].Addr).Suspect(second.clock.now())
	}, waitTimeout, time.Millisecond, "new requests avoid the server")
	time.Sleep(200 * time.Millisecond) // far longer than a check
	require.Equal(t, path, second.pathOf("stream-0"))
	requireCompleteStream(t, responses[0].Body, 100)
}

// A process that hangs accepts connections, so the check of its server says nothing. The report
// that one VM has read serves the others as well.
func TestReportOfOneVMMovesStreamsOfOthers(t *testing.T) {
	s := newSite(t)
	first, second := s.vm("a1"), s.vmWith("a2", onlyDetector)
	s.configure(7)
	engines := s.engines(first, 150, 10*time.Millisecond)
	first.awaitReady(t)
	second.awaitReady(t)
	first.awaitWatches(t, len(engines))
	second.awaitWatches(t, len(engines))
	responses := append(first.startStreams(t, 1), second.call(t, "POST", streamURI, "second"))
	hangs := second.pathOf("second")[1].Addr
	for tries := 0; first.pathOf("stream-0")[1].Addr != hangs; tries++ {
		require.Less(t, tries, 20)
		responses = append(responses, second.call(t, "POST", streamURI, fmt.Sprint("second-", tries)))
		hangs = second.pathOf(fmt.Sprint("second-", tries))[1].Addr
	}
	serverAt(engines, hangs).Hang()
	for _, resp := range responses {
		requireCompleteStream(t, resp.Body, 150)
	}
}

// A server that drains refuses new connections while its streams go on. They were moved.
func TestDrainingServerKeepsItsStreams(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 200, 10*time.Millisecond)
	v.awaitReady(t)
	dials := v.failDials()
	v.awaitWatches(t, len(engines))
	responses := v.startStreams(t, 1)
	path := v.pathOf("stream-0")
	drains := serverAt(engines, path[1].Addr)
	drains.Drain()
	v.awaitWatches(t, len(engines)-1)
	dials.set(drains.Addr, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	v.suspect(drains.Addr, detector.Refusal)
	v.suspectServer(backend.ID(drains.ID), detector.Reset)
	time.Sleep(50 * time.Millisecond) // far longer than a check
	require.Equal(t, path, v.pathOf("stream-0"))
	requireCompleteStream(t, responses[0].Body, 200)
}

// A server that drains must not be kept by connections.
func TestWatchConnectionsEndWithTheirReason(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 5, time.Millisecond)
	v.awaitWatches(t, len(engines))
	watched := func(e *standin.Server) bool {
		in := backend.Instance{}
		v.locked(func() { in = v.core.Backends.ByAddr(e.Addr).Instance() })
		v.detector.mu.Lock()
		defer v.detector.mu.Unlock()
		return v.detector.watches[in] != nil
	}
	require.True(t, watched(engines[0]))
	engines[0].Drain()
	require.Eventually(t, func() bool { return !watched(engines[0]) }, 2*time.Second, 5*time.Millisecond)
	v.locked(func() {
		v.core.RecordPause(v.clock.now(), v.core.Backends.ByAddr(engines[1].Addr).Instance(), 3*time.Second)
	})
	require.Eventually(t, func() bool { return !watched(engines[1]) }, 2*time.Second, 5*time.Millisecond)
}

// Findings that cannot be used are counted, whatever sent them.
func TestUnusedFindingsAreCounted(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	dropped := func(reason string) uint64 { return v.metrics.messagesDropped[reason].Get() }
	stale, unknown, malformed := dropped("stale"), dropped("unknown"), dropped("malformed")
	v.handleLoads(loads.Message{From: "a2", Scope: loads.ScopeFindings, Lost: map[loads.Key]time.Duration{1: time.Hour, 2: 0}})
	v.handleLoads(loads.Message{From: "a2", Scope: loads.ScopeFindings + 1})
	require.GreaterOrEqual(t, dropped("stale"), stale+1)
	require.GreaterOrEqual(t, dropped("unknown"), unknown+2)
	conn, err := net.Dial("udp4", v.settings.Listen.Datagrams)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("no message"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return dropped("malformed") > malformed }, waitTimeout, time.Millisecond)
}

// A fault of the network may reset all connections at once while new ones work. No server is
// lost then, and the watch connections come back.
func TestResetOfAllConnectionsFindsNoServerLost(t *testing.T) {
	s := newSite(t)
	v := s.boundVM("a1")
	s.configure(7)
	engines := s.engines(v, 5, time.Millisecond)
	v.awaitReady(t)
	v.awaitWatches(t, len(engines))
	time.Sleep(minWatchLife) // a connection that ends sooner is opened again after a pause
	gone := func() uint64 {
		return v.metrics.verdicts[detector.Lost].Get() + v.metrics.verdicts[detector.Dark].Get()
	}
	alive, before := v.metrics.verdicts[detector.Alive].Get(), gone()
	s.backends.SetLink(v.host, standin.LinkReset)
	s.backends.SetLink(v.host, standin.LinkUp)
	require.Eventually(t, func() bool { return v.metrics.verdicts[detector.Alive].Get() >= alive+uint64(len(engines)) }, waitTimeout, time.Millisecond)
	v.awaitWatches(t, len(engines))
	require.Equal(t, before, gone())
}
