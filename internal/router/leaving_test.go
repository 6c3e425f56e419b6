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
	others  []*vm
	server  *standin.Server
	key     string
	ready   []byte // its record while it was ready
	earlier standin.StoreCopy
}

func newLeavingTest(t *testing.T, others ...string) *leavingTest {
	s := newSite(t)
	l := &leavingTest{site: s, v: s.vm("a1"), key: platform.ServersPrefix + "leaving"}
	for _, name := range others {
		l.others = append(l.others, s.vmWith(name, func(cfg *Config) { cfg.Shutdown.ListenFor, cfg.BindOutgoing = 3*time.Second, true }))
	}
	s.configure(7)
	l.server = s.server(standin.ServerConfig{ID: "leaving", Service: "wuno96b", Domain: "bergen-a"})
	s.server(standin.ServerConfig{ID: "staying", Service: "wuno96b", Domain: "bergen-a"})
	for _, v := range append([]*vm{l.v}, l.others...) {
		v.awaitReady(t)
		require.Eventually(t, func() bool {
			return v.serverState("leaving") == backend.Ready && v.serverState("staying") == backend.Ready && v.memberCount() == 1+len(others)
		}, waitTimeout, time.Millisecond)
	}
	return l
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
			l := newLeavingTest(t)
			s := l.site
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
			s.server(l.server.ServerConfig)
			require.Eventually(t, func() bool { return l.v.serverState("leaving") == backend.Ready }, waitTimeout, time.Millisecond, "a new start under the same ID is another server")
		})
	}
}

// findingsNew is the time after which findings are no longer new.
const findingsNew = 1100 * time.Millisecond

// missFindings makes the other VM lose the messages while the finding is new.
func (l *leavingTest) missFindings() {
	v := l.others[0]
	v.dropMessagesUntil.Store(int64(v.clock.now() + waitTimeout))
	l.sayInResponse()
	time.Sleep(findingsNew)
	v.dropMessagesUntil.Store(0)
}

// The record of the server stays ready all the while.
func TestVMThatWasNotThereSendsNothingToLeavingServer(t *testing.T) {
	t.Parallel()
	tests := map[string]func(l *leavingTest) *vm{
		"starts later": func(l *leavingTest) *vm {
			l.sayInResponse()
			time.Sleep(findingsNew)
			v := l.vm("a3")
			require.Eventually(l.t, v.openPort, waitTimeout, time.Millisecond)
			return v
		},
		"gets no messages": func(l *leavingTest) *vm {
			l.missFindings()
			require.Eventually(l.t, func() bool { return l.others[0].serverState("leaving") == backend.Draining }, time.Second, time.Millisecond)
			return l.others[0]
		},
		"paused": func(l *leavingTest) *vm {
			l.missFindings()
			l.others[0].simulatePause(10 * time.Second)
			return l.others[0]
		},
		"passes the response of another VM on": func(l *leavingTest) *vm {
			v := l.others[0]
			v.dropMessagesUntil.Store(int64(v.clock.now() + time.Minute))
			l.setLink(v, standin.LinkReset)
			l.server.Leave()
			require.Eventually(l.t, func() bool {
				resp := v.call(l.t, "GET", "/idempotent/x", fmt.Sprint("passed-", time.Now().UnixNano()))
				require.Empty(l.t, resp.Header.Get(platform.HeaderServedBy), "it is for VMs only")
				return resp.Header.Get(platform.HeaderServerLeaving) != ""
			}, waitTimeout, time.Millisecond)
			require.Equal(l.t, backend.Draining, v.serverState("leaving"))
			l.setLink(v, standin.LinkUp)
			return v
		},
		"stops": func(l *leavingTest) *vm {
			l.others[0].stop()
			require.Eventually(l.t, func() bool { return l.v.memberCount() == 1 }, waitTimeout, 5*time.Millisecond)
			l.sayInResponse()
			time.Sleep(findingsNew)
			return l.others[0]
		},
	}
	for name, absent := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLeavingTest(t, "a2")
			v := absent(l)
			require.Eventually(t, func() bool { return v.call(t, "GET", "/idempotent/x", "first").StatusCode == http.StatusOK }, waitTimeout, time.Millisecond)
			for i := range 20 {
				require.Equal(t, http.StatusOK, v.call(t, "GET", "/idempotent/x", fmt.Sprint("later-", i)).StatusCode)
			}
			for _, req := range l.server.Requests() {
				require.NotEqual(t, "first", req.ID)
				require.NotContains(t, req.ID, "later-")
			}
		})
	}
}
