package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// Guards against an order for a server that crashed which reaches the next user of its address, of another
// service and with less memory (LIMIT).
func TestOrderDoesNotReachNextUserOfAnAddress(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 20, time.Millisecond)
	v.awaitReady(t)
	user := s.server(standin.ServerConfig{ID: "next-user", Service: "wuno96b", Domain: "bergen-a"})
	s.store.Put(platform.ServersPrefix+user.ID, nil) // it has not written its record yet
	ordered := v.metrics.orders.Get()
	s.server(standin.ServerConfig{ID: "crashed", Service: "huvo11a", Domain: "bergen-a", Accelerator: "a100", AdvertiseAddr: func(string) string { return user.Addr }})
	require.Eventually(t, func() bool { return v.metrics.orders.Get() > ordered }, waitTimeout, 5*time.Millisecond)
	time.Sleep(2 * orderRetryDelay) // it is asked for its report, and would be ordered again
	require.Zero(t, user.Held().Len())
	require.Zero(t, user.AcceptedOrders())
}

// Guards against a report of the next user of an address that is taken for the end of an order to the
// server before it: the order would be given again.
func TestReportOfNextUserDoesNotEndAnOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	user := s.server(standin.ServerConfig{ID: "next-user", Service: "wuno96b", Domain: "bergen-a"})
	crashed := backend.Instance{ID: "crashed", StartedMs: 1}
	v.locked(func() {
		v.pendingOrders[crashed] = pendingOrder{layers: backend.Layers{From: 0, To: 40}}
		v.checkPendingOrder(crashed, user.Addr)
	})
	time.Sleep(100 * time.Millisecond)
	_, err := v.cachedReport(user.Addr)
	require.NoError(t, err)
	v.locked(func() { require.Contains(t, v.pendingOrders, crashed) })
}
