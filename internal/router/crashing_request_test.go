package router

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	s.backends.CrashOnPath("/idempotent/deadly", s.restartCrashed(300*time.Millisecond))
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
