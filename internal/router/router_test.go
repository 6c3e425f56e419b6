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
	requireWhole(t, resp.Body, 20)
	require.Equal(t, 1, s.fleet.Runs("whole"))
}

func TestServerOfThePathDiesAndTheStreamGoesOn(t *testing.T) {
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
	requireWhole(t, resp.Body, 60)
	require.Equal(t, 1, s.fleet.Runs("moved"), "the path was to change under the run")
}

func TestFirstServerDiesAndTheStreamIsResumed(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 60, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "resumed")
	path := v.pathOf("resumed")
	for _, e := range engines {
		if e.Addr == path[0].Addr {
			e.Hang() // its report names itself: nobody else can take over the run
		}
	}
	requireWhole(t, resp.Body, 60)
	require.Equal(t, 2, s.fleet.Runs("resumed"))
}

func at(engines []*standin.Server, addr string) *standin.Server {
	for _, e := range engines {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// On hunted days servers that were ordered to hold other layers waited ten seconds
// and more for the streams that passed the old ones, and served nothing meanwhile.
func TestStreamsLeaveLayersThatAServerGivesUp(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 1000, 5*time.Millisecond) // 5 s
	v.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "leaves")
	path := v.pathOf("leaves")
	require.Greater(t, len(path), 2)
	mover := at(engines, path[1].Addr)
	wanted := backend.Layers{From: 0, To: 5}
	body, err := platform.EncodePlaceOrder(wanted, 1, 1)
	require.NoError(t, err)
	status, _, err := v.order(mover.Addr, body)
	require.NoError(t, err)
	require.Equal(t, platform.StatusOrderAccepted, status)
	require.Eventually(t, func() bool { return mover.Held() == wanted }, 2*time.Second, 5*time.Millisecond, "the stream was not moved off")
	requireWhole(t, resp.Body, 1000)
	require.Equal(t, 1, s.fleet.Runs("leaves"))
}

// On a hunted day requests waited two seconds for first events at servers twelve times
// slower than their cards, until their callers left.
func TestStreamsThatWaitLeaveASlowServer(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, 20, time.Millisecond)
	v.awaitReady(t)
	requireWhole(t, v.call(t, "POST", streamURI, "before").Body, 20)
	resp := v.call(t, "POST", streamURI, "path")
	path := v.pathOf("path")
	requireWhole(t, resp.Body, 20)
	at(engines, path[1].Addr).SetSlowdown(12)
	began := time.Now()
	requireWhole(t, v.call(t, "POST", streamURI, "slow").Body, 20)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, 1, s.fleet.Runs("slow"), "the path was to change under the run")
	at(engines, path[0].Addr).SetSlowdown(12)
	began = time.Now()
	requireWhole(t, v.call(t, "POST", streamURI, "first").Body, 20)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, 2, s.fleet.Runs("first"), "another first server was to take it")
}

// A reset answer is no end of its server: on hunted days streams were resumed on a
// third server of two that their route allows (BUDGET).
func TestAStreamRunsOnNoMoreServersThanItsRouteAllows(t *testing.T) {
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
		}, patience, time.Millisecond)
		dead = path[0].Addr
		for _, e := range engines {
			if e.Addr == dead {
				e.Hang()
			}
		}
	}
	_, err := io.ReadAll(resp.Body)
	require.Error(t, err, "a cut answer must not look whole")
	require.Equal(t, 2, s.fleet.Runs("twice"))
}

func TestPlainCalls(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	app := s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.call(t, "GET", "/idempotent/x", "probe").StatusCode == 200 }, patience, 5*time.Millisecond)
	require.Equal(t, 200, v.call(t, "POST", "/non_idempotent/x", "once").StatusCode)
	require.Equal(t, 1, s.fleet.Runs("once"))

	app.RefuseRequests = true
	resp := v.call(t, "POST", "/non_idempotent/x", "refused")
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.fleet.Runs("refused"), "503 promises that it did not run")

	app.RefuseRequests, app.FailRequests = false, true
	resp = v.call(t, "POST", "/non_idempotent/x", "failed")
	require.Equal(t, 500, resp.StatusCode)
	require.Equal(t, "sig-app", resp.Header.Get(platform.HeaderSignature))
	require.Equal(t, 1, s.fleet.Runs("failed"))
}

func TestWithoutConfigurationNothingIsReady(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.host+":18227")
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, patience, time.Millisecond)
	resp := v.call(t, "GET", "/idempotent/x", "early")
	require.Equal(t, 503, resp.StatusCode, "neither 401 nor 404: the configuration is not known")
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

func (v *vm) rewriteSettings(t *testing.T, old, with string) {
	t.Helper()
	text, err := os.ReadFile(v.cfg.SettingsFile)
	require.NoError(t, err)
	require.Contains(t, string(text), old)
	require.NoError(t, os.WriteFile(v.cfg.SettingsFile, []byte(strings.Replace(string(text), old, with, 1)), 0o600))
}

func TestChangedSettingsFileIsTakenIn(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	v.rewriteSettings(t, "graceS = 8", "graceS = ")
	require.Equal(t, *v.set, v.reload(*v.set), "a broken file changes nothing")
	require.Equal(t, 8*time.Second, v.bounds.Load().Grace)
	v.rewriteSettings(t, "graceS = ", "graceS = 6")
	require.Eventually(t, func() bool { return v.bounds.Load().Grace == 6*time.Second }, patience, 5*time.Millisecond)
}

func TestUnreadableConfigurationChangesNothing(t *testing.T) {
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
	}, patience, time.Millisecond)
}

func TestOutageOfTheStoreChangesNothingServed(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 5, time.Millisecond)
	v.awaitReady(t)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	for i := range 20 {
		resp := v.call(t, "POST", streamURI, fmt.Sprint("outage-", i))
		require.Equal(t, 200, resp.StatusCode)
		requireWhole(t, resp.Body, 5)
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.store.CompactHistory()
	s.configure(8)
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.core.Table().Config().Version == 8
	}, patience, time.Millisecond, "the store's return was not noticed")
}

// A record that vanishes soon after an outage is a server that leaves; taken for a
// lapsed one it got work for 2.3 s on a hunted day (DRAIN).
func TestAServerThatLeavesAfterAnOutageGetsNoWork(t *testing.T) {
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
	store := func(away bool) func() bool {
		return func() bool {
			v.mu.Lock()
			defer v.mu.Unlock()
			return v.away == away
		}
	}
	require.Eventually(t, known, patience, time.Millisecond)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	require.Eventually(t, store(true), patience, time.Millisecond)
	s.store.SetFaults(standin.StoreFaults{})
	require.Eventually(t, store(false), patience, time.Millisecond)
	s.store.Put(platform.ServersPrefix+app.ID, nil)
	require.Eventually(t, func() bool { return !known() }, time.Second, time.Millisecond)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	s := newSite(t)
	v, other := s.vm("a1"), s.vm("a2")
	s.configure(7)
	s.engines(v, 100, 10*time.Millisecond)
	v.awaitReady(t)
	other.awaitReady(t)
	resp := v.call(t, "POST", streamURI, "last")
	require.Equal(t, 200, resp.StatusCode)
	v.stop()
	require.Eventually(t, func() bool { return len(other.addresses("bergen-a")) == 1 }, patience, time.Millisecond)
	ok, _ := v.ready()
	require.False(t, ok)
	requireWhole(t, resp.Body, 100)
	require.NoError(t, <-v.done)
	v.done <- nil
}

func TestOrdersGoOnWhenTheirGiverIsGone(t *testing.T) {
	s := newSite(t)
	v, other := s.vm("a1"), s.vm("a2")
	s.configure(7)
	engines := s.engines(v, 5, time.Millisecond)
	giver, next := v, other
	if other.duty.IsLeader(other.clock.now()) {
		giver, next = other, v
	}
	giver.stop()
	require.NoError(t, <-giver.done)
	giver.done <- nil
	for _, e := range engines[:2] {
		s.store.Put(platform.ServersPrefix+e.ID, nil)
	}
	fresh := s.server(standin.ServerConfig{ID: "fresh", Service: "huvo11a", Domain: "bergen-a", Accelerator: "a100"})
	require.Eventually(t, func() bool { return fresh.Held().Len() > 0 }, patience, 5*time.Millisecond, "nobody gave orders")
	next.awaitReady(t)
}

// On drawn days two VMs that saw different members asked each other, and one that
// was leaving answered on: both told of no newer version for seconds (CONFIG).
func TestOnlyAVMThatWatchesTheStoreTellsOfChanges(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	s.configure(8)
	var known uint64
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		_, asOf, ok := v.changed.Since(1 << 40)
		known = asOf
		return ok && v.core.Table().Config().Version == 8
	}, patience, time.Millisecond)
	require.False(t, v.changesSince(known).Missing)
	v.mu.Lock()
	for i := range 9 { // lower names: this VM is no reader any more
		name := fmt.Sprint("a0-", i)
		v.members[name] = member{VM: name, Domain: "bergen-a", Peers: "127.0.0.1:1"}
	}
	v.directUntil = 0
	v.mu.Unlock()
	require.True(t, v.changesSince(known).Missing)
}

func TestALeavingVMTellsOfNoChanges(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	v.stopping.Store(true)
	require.True(t, v.changesSince(1<<40).Missing)
	v.stopping.Store(false)
}
