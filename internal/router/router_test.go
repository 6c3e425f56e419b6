package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const streamURI = "/pufi791/2f"

func TestStreamOverSeveralServers(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 20, time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "whole")
	require.Equal(t, 200, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get(platform.HeaderSignature))
	requireCompleteStream(t, resp.Body, 20)
	require.Equal(t, 1, s.backends.Runs("whole"))
}

func TestStreamContinuesWhenServerOnPathHangs(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 60, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "moved")
	require.Equal(t, 200, resp.StatusCode)
	path := v.pathOf("moved")
	require.Greater(t, len(path), 2)
	for _, e := range engines {
		if e.Addr == path[1].Addr {
			e.Hang()
		}
	}
	requireCompleteStream(t, resp.Body, 60)
	require.Equal(t, 1, s.backends.Runs("moved"), "the path should change within the same run")
}

// Guards against refused path changes that nobody sees, and against a stream that gives up when
// the first server drawn for its layers is full and another one is not.
func TestRefusedPathChangesAreCounted(t *testing.T) {
	const streams = 10
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engine := standin.ServerConfig{Service: "huvo11a", Domain: "bergen-a", Accelerator: "a100", Events: 60, EventEvery: 10 * time.Millisecond}
	var engines []*standin.Server
	for i := range 4 { // a third model copy
		engine.ID = fmt.Sprint("spare-", i)
		engines = append(engines, s.server(engine))
	}
	engines = append(engines, s.engines(v, engine.Events, engine.EventEvery)...)
	v.awaitReady(t)
	var responses []*http.Response
	for i := range streams {
		responses = append(responses, v.call(t, "POST", streamURI, fmt.Sprint("refused-", i)))
		require.Equal(t, 200, responses[i].StatusCode)
	}
	path := v.pathOf("refused-0")
	last := path[len(path)-1]
	var lost *standin.Server
	var others []*standin.Server
	for _, e := range engines {
		switch {
		case e.Addr == last.Addr:
			lost = e
		case e.Held().Contains(last.Layers):
			others = append(others, e)
		}
	}
	require.Greater(t, len(others), 1, "the layers need two further copies")
	others[0].FillUp()
	refused := v.metrics.repathRefused.Get()
	lost.Hang()
	for i, resp := range responses {
		requireCompleteStream(t, resp.Body, engine.Events)
		require.Equal(t, 1, s.backends.Runs(fmt.Sprint("refused-", i)), "the path should change within the same run")
	}
	require.Greater(t, v.metrics.repathRefused.Get(), refused)
}

// Guards against a stream that is cut because all servers that could take over refused to: the
// next run was then left without a copy of the layers.
func TestStreamResumesAfterAllPathChangesAreRefused(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 60, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "resumed")
	require.Equal(t, 200, resp.StatusCode)
	path := v.pathOf("resumed")
	require.Greater(t, len(path), 2)
	for _, e := range engines {
		e.FillUp()
	}
	for _, e := range engines {
		if e.Addr == path[1].Addr {
			e.Hang()
		}
	}
	requireCompleteStream(t, resp.Body, 60)
	require.Equal(t, 2, s.backends.Runs("resumed"))
}

func TestStreamResumesWhenFirstServerHangs(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 60, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "resumed")
	path := v.pathOf("resumed")
	for _, e := range engines {
		if e.Addr == path[0].Addr {
			e.Hang() // it reports itself as the stalled server, so the run cannot continue
		}
	}
	requireCompleteStream(t, resp.Body, 60)
	require.Equal(t, 2, s.backends.Runs("resumed"))
}

// A stream in progress that finds no capacity for its next run must wait for it: an answer that
// breaks off halfway serves its caller nothing.
func TestStreamInProgressWaitsForCapacity(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 60, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "waits")
	first := serverAt(engines, v.pathOf("waits")[0].Addr)
	v.locked(func() {
		for _, id := range v.core.Backends.IDs() {
			v.core.Backends.Avoid(v.clock.now(), v.core.Backends.Get(id).Instance(), 700*time.Millisecond)
		}
	})
	first.Crash()
	requireCompleteStream(t, resp.Body, 60)
	require.Equal(t, 2, s.backends.Runs("waits"))
}

func serverAt(engines []*standin.Server, addr string) *standin.Server {
	for _, e := range engines {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// Servers that were ordered to hold other layers waited ten seconds and more for the
// streams on their old layers, and served nothing meanwhile.
func TestStreamMovesOffReleasedLayers(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 1000, 5*time.Millisecond) // 5 s
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "leaves")
	path := v.pathOf("leaves")
	require.Greater(t, len(path), 2)
	server := serverAt(engines, path[1].Addr)
	wanted := backend.Layers{From: 0, To: 5}
	body, err := platform.EncodePlaceOrder(wanted, 1, 1)
	require.NoError(t, err)
	status, _, err := v.postOrder(backend.ID(server.ID), server.Addr, body, nil)
	require.NoError(t, err)
	require.Equal(t, platform.StatusOrderAccepted, status)
	require.Eventually(t, func() bool { return server.Held() == wanted }, 2*time.Second, 5*time.Millisecond, "the stream was not moved off the released layers")
	requireCompleteStream(t, resp.Body, 1000)
	require.Equal(t, 1, s.backends.Runs("leaves"))
}

// Requests waited two seconds for their first events on servers with a slowdown factor of
// 12, until their callers left.
func TestWaitingStreamMovesOffSlowServer(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 20, time.Millisecond)
	v.awaitReady(t)
	requireCompleteStream(t, v.call(t, "POST", streamURI, "before").Body, 20)
	resp := v.call(t, "POST", streamURI, "path")
	path := v.pathOf("path")
	requireCompleteStream(t, resp.Body, 20)
	serverAt(engines, path[1].Addr).SetSlowdown(12)
	start := time.Now()
	requireCompleteStream(t, v.call(t, "POST", streamURI, "slow").Body, 20)
	require.Less(t, time.Since(start), 2*time.Second)
	require.Equal(t, 1, s.backends.Runs("slow"), "the path should change within the same run")
	serverAt(engines, path[0].Addr).SetSlowdown(12)
	start = time.Now()
	requireCompleteStream(t, v.call(t, "POST", streamURI, "first").Body, 20)
	require.Less(t, time.Since(start), 2*time.Second)
	require.Equal(t, 2, s.backends.Runs("first"), "another first server should have taken the request")
}

// A reset response does not mean that its server is gone: streams were resumed on a third
// server although their route allows two attempts.
func TestStreamAttemptsAreBoundedByRoute(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 200, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "twice")
	dead := ""
	for range 2 {
		var path []paths.Stage
		require.Eventually(t, func() bool {
			path = v.pathOf("twice")
			return len(path) > 0 && path[0].Addr != dead
		}, waitTimeout, time.Millisecond)
		dead = path[0].Addr
		for _, e := range engines {
			if e.Addr == dead {
				e.Hang()
			}
		}
	}
	_, err := io.ReadAll(resp.Body)
	require.Error(t, err, "a truncated response must not look complete")
	require.Equal(t, 2, s.backends.Runs("twice"))
}

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	app := s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.call(t, "GET", "/idempotent/x", "probe").StatusCode == 200 }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, 200, v.call(t, "POST", "/non_idempotent/x", "once").StatusCode)
	require.Equal(t, 1, s.backends.Runs("once"))

	app.RefuseRequests = true
	resp := v.call(t, "POST", "/non_idempotent/x", "refused")
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.backends.Runs("refused"), "503 means that the request did not run")

	app.RefuseRequests, app.FailRequests = false, true
	resp = v.call(t, "POST", "/non_idempotent/x", "failed")
	require.Equal(t, 500, resp.StatusCode)
	require.Equal(t, "sig-app", resp.Header.Get(platform.HeaderSignature))
	require.Equal(t, 1, s.backends.Runs("failed"))
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.host+":18227")
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	resp := v.call(t, "GET", "/idempotent/x", "early")
	require.Equal(t, 503, resp.StatusCode, "a request before the first configuration must get neither 401 nor 404")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	ready, err := http.Get("http://" + v.host + ":18220" + platform.ReadyURI)
	require.NoError(t, err)
	require.Equal(t, 503, ready.StatusCode)
	require.NoError(t, ready.Body.Close())
}

func TestUnknownKeysAndRoutesAreRefused(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	require.Equal(t, 404, v.call(t, "GET", "/nowhere/x", "r").StatusCode)
	req, err := http.NewRequest("GET", "http://"+v.host+":18227/idempotent/x", nil)
	require.NoError(t, err)
	req.Host = "ficu95.example"
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, 401, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

func (v *vm) replaceInSettingsFile(t *testing.T, old, with string) {
	t.Helper()
	text, err := os.ReadFile(v.cfg.SettingsFile)
	require.NoError(t, err)
	require.Contains(t, string(text), old)
	require.NoError(t, os.WriteFile(v.cfg.SettingsFile, []byte(strings.Replace(string(text), old, with, 1)), 0o600))
}

func TestChangedSettingsFileIsReloaded(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	v.replaceInSettingsFile(t, "graceS = 8", "graceS = ")
	require.Equal(t, *v.settings, v.reload(*v.settings), "an invalid file must not change the settings")
	require.Equal(t, 8*time.Second, v.bounds.Load().Grace)
	v.replaceInSettingsFile(t, "graceS = ", "graceS = 6")
	require.Eventually(t, func() bool { return v.bounds.Load().Grace == 6*time.Second }, waitTimeout, 5*time.Millisecond)
}

func TestInvalidConfigurationIsIgnored(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	s.store.Put(platform.ConfigKey, []byte(`{"version":`))
	s.configure(6)
	s.configure(9)
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.core.Table().Config().Version == 9
	}, waitTimeout, time.Millisecond)
}

func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 5, time.Millisecond)
	v.awaitReady(t)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	for i := range 20 {
		resp := v.call(t, "POST", streamURI, fmt.Sprint("outage-", i))
		require.Equal(t, 200, resp.StatusCode)
		requireCompleteStream(t, resp.Body, 5)
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.store.CompactHistory()
	s.configure(8)
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.core.Table().Config().Version == 8
	}, waitTimeout, time.Millisecond, "the recovery of the store was not detected")
}

// A record that vanishes soon after an outage of the store belongs to a server that leaves.
// When it was taken for an expired record, the server got work for 2.3 s, longer than the
// drain bound of 2 s.
func TestServerRemovedAfterStoreOutageGetsNoWork(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	app := s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	known := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.core.Backends.Get("app") != nil
	}
	storeDownIs := func(storeDown bool) func() bool {
		return func() bool {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.storeDown == storeDown
		}
	}
	require.Eventually(t, known, waitTimeout, time.Millisecond)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	require.Eventually(t, storeDownIs(true), waitTimeout, time.Millisecond)
	s.store.SetFaults(standin.StoreFaults{})
	require.Eventually(t, storeDownIs(false), waitTimeout, time.Millisecond)
	s.store.Put(platform.ServersPrefix+app.ID, nil)
	require.Eventually(t, func() bool { return !known() }, time.Second, time.Millisecond)
}

func TestGracefulStopCompletesStreams(t *testing.T) {
	s := newSite(t)
	v, other := s.vm("a1"), s.vm("a2")
	s.configure(7)
	s.engines(v, 100, 10*time.Millisecond)
	v.awaitReady(t)
	other.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "last")
	require.Equal(t, 200, resp.StatusCode)
	v.stop()
	require.Eventually(t, func() bool { return len(other.addresses("bergen-a")) == 1 }, waitTimeout, time.Millisecond)
	ok, _ := v.ready()
	require.False(t, ok)
	requireCompleteStream(t, resp.Body, 100)
	require.NoError(t, <-v.done)
	v.done <- nil
}

func TestNewLeaderPlacesLayersWhenLeaderStops(t *testing.T) {
	s := newSite(t)
	v, other := s.vm("a1"), s.vm("a2")
	s.configure(7)
	engines := s.engines(v, 5, time.Millisecond)
	oldLeader, newLeader := v, other
	if other.election.IsLeader(other.clock.now()) {
		oldLeader, newLeader = other, v
	}
	oldLeader.stop()
	require.NoError(t, <-oldLeader.done)
	oldLeader.done <- nil
	for _, e := range engines[:2] {
		s.store.Put(platform.ServersPrefix+e.ID, nil)
	}
	fresh := s.server(standin.ServerConfig{ID: "fresh", Service: "huvo11a", Domain: "bergen-a", Accelerator: "a100"})
	require.Eventually(t, func() bool { return fresh.Held().Len() > 0 }, waitTimeout, 5*time.Millisecond, "no VM sent placement orders")
	newLeader.awaitReady(t)
}

// Two VMs with different views of the membership asked each other for changes, and a
// stopping VM kept serving them: for seconds, longer than the configuration bound, neither
// served a newer version.
func TestOnlyWatchersServeChanges(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	s.configure(8)
	var revision uint64
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		_, asOf, ok := v.changeLog.Since(1 << 40)
		revision = asOf
		return ok && v.core.Table().Config().Version == 8
	}, waitTimeout, time.Millisecond)
	require.False(t, v.changesSince(revision, 0).Unavailable)
	v.mu.Lock()
	for i := range 9 { // lower names, so this VM is no longer a watcher
		name := fmt.Sprint("a0-", i)
		v.members[name] = member{VM: name, Domain: "bergen-a", PeerAddr: "127.0.0.1:1"}
	}
	v.watchStoreUntil = 0
	v.mu.Unlock()
	require.True(t, v.changesSince(revision, 0).Unavailable)
}

func TestStoppingVMServesNoChanges(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	v.stopping.Store(true)
	require.True(t, v.changesSince(1<<40, 0).Unavailable)
	v.stopping.Store(false)
}
