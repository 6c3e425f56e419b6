package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const urgentURI, batchURI = "/urgent/x", "/batch/x"

// configureClasses writes a configuration with routes of the priorities 0 and 6 to the model
// service.
func (s *site) configureClasses() {
	s.t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(s.t, err)
	var doc map[string]any
	require.NoError(s.t, json.Unmarshal(text, &doc))
	var routes []any
	for name, priority := range map[string]int{"urgent": 0, "batch": 6} {
		routes = append(routes, map[string]any{"name": name, "host": "ficu95.example", "prefix": "/" + name + "/", "kind": "streaming", "priority": priority,
			"timeoutMs": 20000, "targetLatencyMs": 500, "service": "huvo11a", "attempts": 2, "streamResume": true, "gapAimMs": 250})
	}
	for _, tenant := range doc["tenants"].([]any) {
		delete(tenant.(map[string]any), "priority") // it would go before the routes'
	}
	doc["routes"], doc["version"] = routes, 7
	text, err = json.Marshal(doc)
	require.NoError(s.t, err)
	s.store.Put(platform.ConfigKey, text)
}

// fill adds or removes work that takes the KV cache of all servers.
func (v *vm) fill(servers []*standin.Server, add bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range servers {
		in := v.core.Backends.ByAddr(e.Addr).Instance()
		work := backend.Work{Streams: 1, TokenLayers: 1e9}
		if add {
			v.core.Backends.AddWork(in, work)
		} else {
			v.core.Backends.RemoveWork(in, work)
		}
	}
}

// Servers must get the urgency of the configuration, whatever the caller states.
func TestServersGetUrgencyOfTheClass(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configureClasses()
	engines := s.engines(v, 3, time.Millisecond)
	v.awaitReady(t)
	urgencies := func(uri, id string) map[string]bool {
		before := map[string]int{}
		for _, e := range engines {
			before[e.ID] = len(e.Urgencies())
		}
		req, err := http.NewRequest("POST", "http://"+v.host+":18227"+uri, nil)
		require.NoError(t, err)
		req.Host = "ficu95.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("Authorization", "Bearer "+apiKey)
		req.Header.Set(platform.HeaderUrgency, "0") // the caller's own
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		requireCompleteStream(t, resp.Body, 3)
		_ = resp.Body.Close()
		seen := map[string]bool{}
		for _, e := range engines {
			for _, u := range e.Urgencies()[before[e.ID]:] {
				seen[u] = true
			}
		}
		return seen
	}
	for u := range urgencies(urgentURI, "u") {
		n, err := strconv.Atoi(u)
		require.NoError(t, err)
		require.Less(t, n, 5)
	}
	for u := range urgencies(batchURI, "b") {
		n, err := strconv.Atoi(u)
		require.NoError(t, err)
		require.Greater(t, n, 5)
	}
}

// While all servers are full, requests wait within their slack, are then refused as not run
// with a Retry-After, and those that still wait when capacity comes free are served.
func TestRequestsWaitWithinTheirSlack(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configureClasses()
	engines := s.engines(v, 3, time.Millisecond)
	v.awaitReady(t)
	// Right after a start, requests without capacity wait for records instead.
	require.Eventually(t, func() bool { return !v.recordsMayReturn() }, waitTimeout, 10*time.Millisecond)
	v.fill(engines, true)
	start := time.Now()
	resp := v.call(t, "POST", urgentURI, "refused")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Less(t, time.Since(start), 500*time.Millisecond, "objective")
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, retryAfter)
	require.Zero(t, s.backends.Runs("refused"))

	var calls sync.WaitGroup
	for i, uri := range []string{batchURI, urgentURI, batchURI, urgentURI} {
		calls.Go(func() {
			resp := v.call(t, "POST", uri, fmt.Sprint("waits-", i))
			if resp.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d", uri, resp.StatusCode)
			}
		})
	}
	require.Eventually(t, func() bool { v.mu.Lock(); defer v.mu.Unlock(); return v.core.Classes.Waiting() == 4 }, time.Second, time.Millisecond)
	v.fill(engines, false)
	calls.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	require.Zero(t, v.core.Classes.Waiting())
}
