package router

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// moveRoute writes a configuration in which the non-idempotent route goes to another service, which
// has no servers.
func (s *site) moveRoute(version int) {
	s.t.Helper()
	var doc map[string]any
	require.NoError(s.t, json.Unmarshal(s.store.Get(platform.ConfigKey), &doc))
	for _, r := range doc["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "non_idempotent" {
			route["service"], route["attempts"] = "wuno96b-2", 1
		}
	}
	doc["services"] = append(doc["services"].([]any), map[string]any{"name": "wuno96b-2", "healthPath": "/healthz", "maxConnections": 96})
	doc["version"] = version
	text, err := json.Marshal(doc)
	require.NoError(s.t, err)
	s.store.Put(platform.ConfigKey, text)
}

// leaveStore makes the VM lose the store, without a word to the others, and waits until a watch that
// was in progress has ended.
func (v *vm) leaveStore(t *testing.T, store string) {
	t.Helper()
	v.replaceInSettingsFile(t, store, "127.0.0.1:1")
	upAt := time.Now()
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.storeDown {
			upAt = time.Now()
		}
		return time.Since(upAt) > 5*v.cfg.WatchTimeout
	}, waitTimeout, 5*time.Millisecond)
}

// oldStateSite starts two VMs, whose records stay when they lose the store, and a replica.
func oldStateSite(t *testing.T) (s *site, vms []*vm) {
	s = newSite(t)
	s.configure(7)
	s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	keepsRecord := func(cfg *Config) { cfg.Leader.TTL, cfg.WatchTimeout = time.Minute, 100*time.Millisecond }
	vms = []*vm{s.vmWith("a1", keepsRecord), s.vmWith("a2", keepsRecord)}
	for _, v := range vms {
		v.awaitReady(t)
		require.Eventually(t, func() bool { return v.memberCount() == 2 }, waitTimeout, 5*time.Millisecond)
	}
	return s, vms
}

// Guards against a request that is passed on to a VM whose older configuration runs it elsewhere (CONFIG).
func TestRequestIsNotPassedOnToVMWithOlderConfiguration(t *testing.T) {
	t.Parallel()
	s, vms := oldStateSite(t)
	require.Equal(t, http.StatusOK, vms[0].call(t, "POST", "/non_idempotent/x", "before").StatusCode)
	vms[1].leaveStore(t, s.store.Addr)
	s.moveRoute(8)
	require.Eventually(t, func() bool { return vms[0].configVersion() == 8 }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, int64(7), vms[1].configVersion())
	for _, id := range []string{"first", "second"} {
		resp := vms[0].call(t, "POST", "/non_idempotent/x", id)
		require.Equal(t, 0, s.backends.Runs(id), "%s: run by the old service, status %d", id, resp.StatusCode)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, id)
		require.Empty(t, resp.Header.Get(platform.HeaderState), "for VMs only")
	}
	require.Eventually(t, func() bool { return vms[1].configVersion() == 8 }, waitTimeout, 5*time.Millisecond, "caught up without the store")
	require.Eventually(t, func() bool { return vms[0].takesRequests("a2") }, waitTimeout, 5*time.Millisecond, "asked again once it has caught up")
}

// takesRequests reports whether requests may be passed on to a VM, by what it said.
func (v *vm) takesRequests(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.core.PeerOlder(v.clock.now(), name)
}

// Guards against a VM that has seen an effect of a newer configuration and goes on by an older one (CONFIG).
func TestVMThatPassesRequestsOnCatchesUpWithOneThatKnowsMore(t *testing.T) {
	t.Parallel()
	s, vms := oldStateSite(t)
	s.moveRoute(8)
	require.Eventually(t, func() bool { return vms[0].configVersion() == 8 }, waitTimeout, 5*time.Millisecond)
	vms[0].leaveStore(t, s.store.Addr)
	s.configure(9)
	require.Eventually(t, func() bool { return vms[1].configVersion() == 9 }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, int64(8), vms[0].configVersion())
	resp := vms[0].call(t, "POST", "/non_idempotent/x", "first")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Empty(t, resp.Header.Get(platform.HeaderState), "for VMs only")
	require.Equal(t, 1, s.backends.Runs("first"))
	require.Eventually(t, func() bool { return vms[0].configVersion() == 9 }, waitTimeout, 5*time.Millisecond)
}
