package router

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// restartCrashed returns a function that starts a crashed server again after downtime.
func (s *site) restartCrashed(downtime time.Duration) func(*standin.Server) {
	var restarts atomic.Int32
	return func(crashed *standin.Server) {
		time.AfterFunc(downtime, func() {
			s.store.Put("servers/"+crashed.ID, nil)
			cfg := crashed.ServerConfig
			cfg.ID = fmt.Sprintf("%s-restarted-%d", crashed.Service, restarts.Add(1))
			s.server(cfg)
		})
	}
}

// runsOf returns the number of runs of the requests with the given IDs.
func (s *site) runsOf(format string, n int) int {
	runs := 0
	for i := range n {
		runs += s.backends.Runs(fmt.Sprintf(format, i))
	}
	return runs
}

func TestRepeatedRequestThatCrashesReplicasIsStoppedOnAllVMs(t *testing.T) {
	t.Parallel()
	const repetitions = 30
	s := newSite(t)
	vms := []*vm{s.vm("a1"), s.vm("a2"), s.vm("a3")}
	s.configure(7)
	for i := range 3 {
		s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a", Work: 20 * time.Millisecond})
	}
	s.backends.CrashOnPath("/idempotent/deadly", standin.CrashReset, s.restartCrashed(300*time.Millisecond))
	for _, v := range vms {
		v.awaitReady(t)
	}
	var served, sent atomic.Int32
	var requests sync.WaitGroup
	for i := range repetitions {
		v := vms[i%len(vms)]
		requests.Go(func() { v.call(t, "GET", "/idempotent/deadly", fmt.Sprintf("deadly-%d", i)) })
		for n := range 4 { // of other requests, one repeated all the time
			uri := []string{"/idempotent/popular", fmt.Sprintf("/idempotent/own-%d-%d", i, n)}[n%2]
			requests.Go(func() {
				sent.Add(1)
				if v.call(t, "GET", uri, fmt.Sprintf("sound-%d-%d", i, n)).StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	}
	requests.Wait()
	t.Logf("%d replicas crashed in %d runs of %d repetitions; %d of %d other requests served", s.backends.Crashes(), s.runsOf("deadly-%d", repetitions), repetitions, served.Load(), sent.Load())
	require.LessOrEqual(t, s.backends.Crashes(), maxCrashes)
	require.GreaterOrEqual(t, 10*served.Load(), 9*sent.Load(), "other requests to the same service")
	for i, v := range vms {
		id := fmt.Sprintf("late-%d", i)
		start := time.Now()
		resp := v.call(t, "GET", "/idempotent/deadly", id)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Less(t, time.Since(start), 500*time.Millisecond)
		require.Zero(t, s.backends.Runs(id))
		require.Equal(t, http.StatusOK, v.call(t, "GET", "/idempotent/popular", "popular-"+id).StatusCode)
	}
}

// deadlySite starts VMs and replicas that crash on one path, and returns a function that
// sends the next repetition to the next VM.
func deadlySite(t *testing.T, method, uri string, kind standin.CrashKind) (s *site, vms []*vm, repeat func() int) {
	s = newSite(t)
	vms = []*vm{s.vm("a1"), s.vm("a2"), s.vm("a3")}
	s.configure(7)
	for i := range 6 {
		s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a", Work: 20 * time.Millisecond})
	}
	s.backends.CrashOnPath(uri, kind, s.restartCrashed(300*time.Millisecond))
	for _, v := range vms {
		v.awaitReady(t)
	}
	repetitions := 0
	return s, vms, func() int {
		repetitions++
		resp := vms[repetitions%len(vms)].call(t, method, uri, fmt.Sprintf("deadly-%d", repetitions))
		time.Sleep(50 * time.Millisecond)
		return resp.StatusCode
	}
}

// requireStopped repeats a request that crashes replicas and requires that few of them end.
func requireStopped(t *testing.T, s *site, repetitions int, repeat func() int) {
	t.Helper()
	for range repetitions {
		repeat()
	}
	require.LessOrEqual(t, s.backends.Crashes(), maxCrashes)
	require.Equal(t, http.StatusServiceUnavailable, repeat())
}

func TestRequestThatCrashesReplicasInTheMiddleOfAnswersIsStopped(t *testing.T) {
	t.Parallel()
	s, _, repeat := deadlySite(t, "GET", "/idempotent/deadly", standin.CrashHalfway)
	requireStopped(t, s, 8, repeat)
}

func TestAtMostOnceRequestThatCrashesReplicasIsStoppedWithoutRetries(t *testing.T) {
	t.Parallel()
	s, _, repeat := deadlySite(t, "POST", "/non_idempotent/deadly", standin.CrashReset)
	require.Equal(t, http.StatusBadGateway, repeat())
	require.Equal(t, 1, s.backends.Runs("deadly-1"))
	requireStopped(t, s, 8, repeat)
}

func TestRequestThatMakesReplicasDieSilentlyIsStopped(t *testing.T) {
	t.Parallel()
	s, _, repeat := deadlySite(t, "GET", "/idempotent/deadly", standin.CrashSilent)
	requireStopped(t, s, 6, repeat)
}

func TestOperatorLiftsBlockOnAllVMs(t *testing.T) {
	t.Parallel()
	s, vms, repeat := deadlySite(t, "GET", "/idempotent/deadly", standin.CrashReset)
	for range 4 {
		repeat()
	}
	require.Equal(t, http.StatusServiceUnavailable, repeat())
	s.backends.CrashOnPath("", standin.CrashReset, nil) // the service has been mended
	list, _ := vms[0].blockedList()
	require.Len(t, list, 1)
	var ctx fasthttp.RequestCtx
	ctx.QueryArgs().Set(liftPartParam, "unknown")
	vms[0].handleLiftBlock(&ctx)
	require.Equal(t, http.StatusNotFound, ctx.Response.StatusCode())
	ctx = fasthttp.RequestCtx{}
	ctx.QueryArgs().Set(liftPartParam, string(list[0].Part))
	vms[0].handleLiftBlock(&ctx)
	require.Equal(t, http.StatusOK, ctx.Response.StatusCode())
	for _, v := range vms {
		require.Eventually(t, func() bool { list, _ := v.blockedList(); return len(list) == 0 }, waitTimeout, 5*time.Millisecond)
	}
	require.Equal(t, http.StatusOK, repeat())
}
