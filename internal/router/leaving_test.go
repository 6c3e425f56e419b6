package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// leavingTest is a VM that knows that the server "leaving" leaves, beside one that stays.
type leavingTest struct {
	*site
	v       *vm
	server  *standin.Server
	key     string
	ready   []byte // its record while it was ready
	earlier standin.StoreCopy
}

func (l *leavingTest) remove() {
	l.store.Put(l.key, nil)
	require.Eventually(l.t, func() bool { return l.v.serverState("leaving") == 0 }, waitTimeout, time.Millisecond)
}

func (l *leavingTest) sayInResponse() {
	l.server.Leave()
	require.Eventually(l.t, func() bool {
		l.v.call(l.t, "GET", "/idempotent/x", fmt.Sprint("until-", time.Now().UnixNano()))
		return l.v.serverState("leaving") == backend.Draining
	}, waitTimeout, time.Millisecond)
}

func (l *leavingTest) sayInRecord() {
	l.server.Drain()
	require.Eventually(l.t, func() bool { return l.v.serverState("leaving") == backend.Draining }, waitTimeout, time.Millisecond)
}

// goBack makes the store come back from its earlier copy, which the VM reads twice, because the
// history is gone before it can follow it.
func (l *leavingTest) goBack() {
	l.store.GoBack(l.earlier)
	time.Sleep(100 * time.Millisecond)
	l.store.SetFaults(standin.StoreFaults{Unavailable: true})
	l.store.Put("other", []byte("x"))
	l.store.CompactHistory()
	l.store.SetFaults(standin.StoreFaults{})
	time.Sleep(500 * time.Millisecond)
}

func TestLeavingServerGetsNoRequestsAfterItsRecordChanges(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ leave, change func(l *leavingTest) }{
		"response, record gone and back": {(*leavingTest).sayInResponse, func(l *leavingTest) { l.remove(); l.server.Register() }},
		"response, record unreadable and back": {(*leavingTest).sayInResponse, func(l *leavingTest) {
			l.store.Put(l.key, []byte("{"))
			time.Sleep(50 * time.Millisecond)
			l.server.Register()
		}},
		"response, record lost in an outage": {(*leavingTest).sayInResponse, func(l *leavingTest) {
			l.store.SetFaults(standin.StoreFaults{Unavailable: true})
			l.store.Put(l.key, nil)
			time.Sleep(2 * time.Second) // longer than a watch
			l.store.SetFaults(standin.StoreFaults{})
			require.Eventually(l.t, func() bool { return l.v.serverState("leaving") == 0 }, waitTimeout, time.Millisecond)
			l.server.Register()
		}},
		"response, address of another for a moment": {(*leavingTest).sayInResponse, func(l *leavingTest) {
			other := fmt.Sprintf(`{"service":"wuno96b","address":%q,"zone":"bergen-a","slots":1,"state":"ready","born":%d}`, l.server.Addr, time.Now().UnixMilli()+1)
			l.store.Put(platform.ServersPrefix+"other", []byte(other))
			require.Eventually(l.t, func() bool { return l.v.serverState("leaving") == 0 }, waitTimeout, time.Millisecond)
			l.store.Put(platform.ServersPrefix+"other", nil)
			time.Sleep(50 * time.Millisecond)
			l.server.Register()
		}},
		"record, a late write says ready":         {(*leavingTest).sayInRecord, func(l *leavingTest) { l.store.Put(l.key, l.ready) }},
		"record, gone and a late write":           {(*leavingTest).sayInRecord, func(l *leavingTest) { l.remove(); l.store.Put(l.key, l.ready) }},
		"record, store back from an older copy":   {(*leavingTest).sayInRecord, (*leavingTest).goBack},
		"gone, store back from an older copy":     {(*leavingTest).remove, (*leavingTest).goBack},
		"response, store back from an older copy": {(*leavingTest).sayInResponse, (*leavingTest).goBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			l := &leavingTest{site: s, v: s.vm("a1"), key: platform.ServersPrefix + "leaving"}
			s.configure(7)
			plain := standin.ServerConfig{ID: "leaving", Service: "wuno96b", Domain: "bergen-a"}
			l.server = s.server(plain)
			s.server(standin.ServerConfig{ID: "staying", Service: "wuno96b", Domain: "bergen-a"})
			l.v.awaitReady(t)
			require.Eventually(t, func() bool {
				return l.v.serverState("leaving") == backend.Ready && l.v.serverState("staying") == backend.Ready
			}, waitTimeout, time.Millisecond)
			l.ready, l.earlier = s.store.Get(l.key), s.store.Copy()
			test.leave(l)
			known := time.Now()
			test.change(l)
			for i := range 40 {
				require.Equal(t, http.StatusOK, l.v.call(t, "GET", "/idempotent/x", fmt.Sprint("after-", i)).StatusCode)
				time.Sleep(5 * time.Millisecond)
			}
			require.Zero(t, after(l.server.Arrivals(), known), "requests after the VM knew that the server leaves")

			l.server.Close()
			s.server(plain)
			require.Eventually(t, func() bool { return l.v.serverState("leaving") == backend.Ready }, waitTimeout, time.Millisecond, "a new start under the same ID is another server")
		})
	}
}
