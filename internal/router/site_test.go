package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const waitTimeout = 10 * time.Second

// site holds the stand-ins of one test: the store and the backend servers.
type site struct {
	t        *testing.T
	store    *standin.Store
	backends *standin.Backends
}

func newSite(t *testing.T) *site {
	t.Helper()
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return &site{t: t, store: store, backends: standin.NewBackends(store)}
}

// configure writes the configuration of the published example, with additional routes to
// the plain service.
func (s *site) configure(version int) { s.configureWithout(version, "") }

// configureWithout is configure without a route.
func (s *site) configureWithout(version int, route string) {
	s.t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(s.t, err)
	var doc map[string]any
	require.NoError(s.t, json.Unmarshal(text, &doc))
	routes := doc["routes"].([]any)
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		routes = append(routes, map[string]any{"name": kind, "host": "ficu95.example", "prefix": "/" + kind + "/", "kind": kind,
			"timeoutMs": 3000, "service": "wuno96b", "attempts": 2})
	}
	routes = append(routes, map[string]any{"name": "many-attempts", "host": "ficu95.example", "prefix": "/many_attempts/", "kind": "idempotent",
		"timeoutMs": 3000, "service": "wuno96b", "attempts": 4})
	routes = append(routes, map[string]any{"name": "resumable", "host": "ficu95.example", "prefix": "/resumable/", "kind": "streaming",
		"timeoutMs": 10000, "service": "wuno96b", "attempts": 4, "streamResume": true})
	routes = append(routes, map[string]any{"name": "unresumable", "host": "ficu95.example", "prefix": "/unresumable/", "kind": "streaming",
		"timeoutMs": 10000, "service": "wuno96b", "attempts": 2})
	for name, resumable := range map[string]bool{"once": false, "one_attempt": true} {
		routes = append(routes, map[string]any{"name": name, "host": "ficu95.example", "prefix": "/" + name + "/", "kind": "streaming",
			"timeoutMs": 20000, "service": "huvo11a", "attempts": 1, "streamResume": resumable, "gapAimMs": 250, "stickySessions": true})
	}
	routes = slices.DeleteFunc(routes, func(r any) bool { return r.(map[string]any)["name"] == route })
	doc["routes"], doc["version"] = routes, version
	text, err = json.Marshal(doc)
	require.NoError(s.t, err)
	s.store.Put(platform.ConfigKey, text)
}

func (s *site) server(cfg standin.ServerConfig) *standin.Server {
	s.t.Helper()
	srv, err := s.backends.Start(cfg)
	require.NoError(s.t, err)
	s.t.Cleanup(srv.Close)
	return srv
}

// engines starts enough fast engines for two model copies and waits until v has seen their
// layers placed.
func (s *site) engines(v *vm, events int, every time.Duration) []*standin.Server {
	return s.enginesWith(v, standin.ServerConfig{Events: events, EventEvery: every})
}

// enginesWith is engines with further settings of the servers.
func (s *site) enginesWith(v *vm, cfg standin.ServerConfig) []*standin.Server {
	var out []*standin.Server
	cfg.Service, cfg.Domain, cfg.Accelerator = "huvo11a", "bergen-a", "a100"
	for i := range 8 {
		cfg.ID = fmt.Sprintf("engine-%d", i)
		out = append(out, s.server(cfg))
	}
	require.Eventually(s.t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, e := range out {
			if known := v.core.Backends.ByAddr(e.Addr); known == nil || known.Held.Len() == 0 {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond, "layers were not placed")
	return out
}

var hostCounter atomic.Int32

// vm is a running router with its own loopback address, so that parallel tests do not
// interfere. done receives the result of Run; whoever reads it puts a value back for the
// cleanup.
type vm struct {
	*Router
	host string
	stop context.CancelFunc
	done chan error
}

func (s *site) vm(name string) *vm {
	s.t.Helper()
	return s.vmWith(name, func(*Config) {})
}

// boundVM is a VM whose connections come from its own address, so that its links to the
// servers can be cut.
func (s *site) boundVM(name string) *vm {
	s.t.Helper()
	return s.vmWith(name, func(cfg *Config) { cfg.BindOutgoing = true })
}

func (s *site) vmWith(name string, tune func(*Config)) *vm {
	s.t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 2+hostCounter.Add(1))
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = "bergen-a"
region = "vestland"
internalPorts = [17340,17355]
heartbeatMs = 1200
listen = { front = "%[2]s:18227", ready = "%[2]s:18220", directory = "%[2]s:18224" }
bounds = { drainMs = 2000, graceS = 8, configMs = 2000, retryBudgetRatio = 0.2, budgetWindowS = 10, budgetSlack = 196, stall_ms = 3000, ttl_max_s = 5 }
platform = { address = %q }
`, name, host, s.store.Addr)
	settings, err := platform.ParseSettings(text)
	require.NoError(s.t, err)
	cfg := DefaultConfig()
	cfg.SettleTime, cfg.PlanInterval, cfg.WatchPause = 100*time.Millisecond, 20*time.Millisecond, 10*time.Millisecond
	cfg.Shutdown.ListenFor, cfg.LogLevel = 300*time.Millisecond, "error"
	cfg.SettingsFile, cfg.SettingsInterval = filepath.Join(s.t.TempDir(), "node.toml"), 20*time.Millisecond
	tune(&cfg)
	require.NoError(s.t, os.WriteFile(cfg.SettingsFile, []byte(text), 0o600))
	r, err := New(cfg, settings)
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{Router: r, host: host, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- r.Run(ctx) }()
	s.t.Cleanup(func() { stop(); <-v.done; v.done <- nil })
	return v
}

// openPort reports whether the VM accepts connections of callers.
func (v *vm) openPort() bool {
	c, err := net.Dial("tcp", v.host+":18227")
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func (v *vm) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { ok, _ := v.ready(); return ok }, waitTimeout, 5*time.Millisecond)
}

const apiKey = "n2ctnfzs989anu6wsjnb"

func (v *vm) call(t *testing.T, method, uri, id string) *http.Response {
	t.Helper()
	resp, err := v.trySend(method, uri, id)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// trySend sends a request on a new connection.
func (v *vm) trySend(method, uri, id string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+v.host+":18227"+uri, nil)
	if err != nil {
		return nil, err
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// serves reports whether the VM knows a server of a service.
func (v *vm) serves(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.core.Backends.ByService(service)) > 0
}

// requireCompleteStream reads events 1 to n, each once and in order, to an explicit end.
func requireCompleteStream(t *testing.T, body io.Reader, n int) {
	t.Helper()
	lines, next := bufio.NewScanner(body), 1
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			require.Equal(t, fmt.Sprint(next), id)
			next++
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, n, next-1, "the response is not complete")
}
