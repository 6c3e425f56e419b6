package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// A failed watcher must not count as a successful read of the store: the VM would report to its
// followers that nothing had changed although it cannot read the store itself.
func TestFailedWatcherIsNoReadOfTheStore(t *testing.T) {
	s := newSite(t)
	s.configure(7)
	v := s.vmWith("z1", func(cfg *Config) { cfg.Changefeed.MinVMs = 1 })
	v.awaitReady(t)
	s.store.SetFaults(standin.StoreFaults{Unavailable: true})
	v.locked(func() {
		for i, vm := range []string{"a1", "a2"} {
			v.members[vm] = member{VM: vm, Domain: "bergen-a", PeerAddr: fmt.Sprintf("127.0.0.1:%d", 1+i)}
		}
	})
	storeDown := func() (down bool) {
		v.locked(func() { down = v.storeDown })
		return down
	}
	require.Eventually(t, storeDown, waitTimeout, time.Millisecond)
	require.Never(t, func() bool { return !storeDown() }, 2*time.Second, time.Millisecond)
	v.locked(func() { require.NotEmpty(t, v.failedWatcher, "no watcher was asked") })
}
