package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const (
	largeEntries    = 16
	largeEntryBytes = 1 << 20
)

// putLargeEntries writes large entries among the records of servers and elsewhere.
func (s *site) putLargeEntries(round int) {
	for i := range largeEntries {
		prefix := platform.ServersPrefix
		if i%4 == 0 {
			prefix = "another-writer/"
		}
		value := make([]byte, largeEntryBytes)
		value[0] = byte(round)
		s.store.Put(fmt.Sprintf("%slarge-%03d", prefix, i), value)
	}
}

func (v *vm) requireFollows(t *testing.T, version int64, server *standin.Server) {
	t.Helper()
	require.Eventually(t, func() bool { return v.version() == version && v.knows(server) }, 3*waitTimeout, 10*time.Millisecond, "the VM doesn't follow the store")
	v.awaitReady(t)
}

// Guards against one writer of large entries that stops all VMs from following the store, and
// those that start from becoming ready.
func TestLargeEntriesDoNotStopVMsFromFollowingTheStore(t *testing.T) {
	s := newSite(t)
	s.configure(7)
	app := s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
	limited := func(cfg *Config) { cfg.Changefeed.MinVMs = 2; cfg.Changefeed.Watchers = 1 }
	watcher := s.vmWith("a1", limited)
	watcher.awaitReady(t)
	follower := s.vmWith("b1", limited)
	follower.awaitReady(t)
	require.Eventually(t, func() bool {
		follower.mu.Lock()
		defer follower.mu.Unlock()
		return follower.assignedWatcher() != ""
	}, waitTimeout, time.Millisecond)
	s.putLargeEntries(1)
	s.configure(8)
	later := s.server(standin.ServerConfig{ID: "later", Service: "wuno96b", Domain: "bergen-a"})
	watcher.requireFollows(t, 8, later)
	follower.requireFollows(t, 8, later)
	started := s.vmWith("c1", limited)
	started.requireFollows(t, 8, later)
	require.True(t, started.knows(app))
	require.Equal(t, http.StatusOK, started.call(t, "POST", "/idempotent/x", "after").StatusCode)
	for _, v := range []*vm{watcher, started} {
		v.locked(func() { require.Len(t, v.refusedRecords, largeEntries, v.settings.VM) })
	}
}

// Guards against log lines at each read of a record that is refused.
func TestRefusedRecordIsNamedOnce(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	first := func(key string, revision uint64) (first bool) {
		v.locked(func() { first = v.firstRefusal(key, revision) })
		return first
	}
	require.True(t, first("k", 1))
	require.False(t, first("k", 1))
	require.True(t, first("k", 2))
	v.locked(func() { v.applyKey(platform.Item{Key: "k", Removed: true}) })
	require.True(t, first("k", 2))
}
