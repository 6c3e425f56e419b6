package router

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// putOddRecords writes records that no server of the given one's kind could have.
func (s *site) putOddRecords(sound *standin.Server) {
	const record = `{"service":%q,"address":%q,"zone":"bergen-a","kind":%q,"slots":%s,"state":"ready","born":%d,"sequence":1,"layers":%s}`
	for i, service := range []string{"huvo11a", "wuno96b", "", "no-such-service"} {
		for j, odd := range []struct {
			addr, slots string
			born        int64
			layers      string
		}{
			{"127.0.0.1:99999", "192", 1, `{"from":0,"target":80}`},
			{"127.0.0.1:0", "192", 1, `{"from":0,"target":80}`},
			{"nowhere", "192", 1, `{"from":0,"target":80}`},
			{"127.0.0.1:1", "0", 1, `{"from":0,"target":80}`},
			{"127.0.0.1:1", "1e300", 1, `{"from":0,"target":80}`},
			{"127.0.0.1:1", "192", 1, `{"from":-5,"target":80}`},
			{"127.0.0.1:1", "192", 1, `{"from":70,"target":9000}`},
			{"127.0.0.1:1", "192", 1, `{"from":70,"target":9000000000000000000}`},
			{"127.0.0.1:1", "192", 1, strings.Repeat(`{"from":`, 100_000)},
			{sound.Addr, "192", 9_000_000_000_000_000_000, `{"from":0,"target":0}`},
		} {
			kind := ""
			if service == "huvo11a" {
				kind = "a100"
			}
			s.store.Put(fmt.Sprintf("%sodd-%d-%d", platform.ServersPrefix, i, j), fmt.Appendf(nil, record, service, odd.addr, kind, odd.slots, odd.born, odd.layers))
		}
		s.store.Put(fmt.Sprintf("%sodd-%d\r\nX-Tenant: other", platform.ServersPrefix, i), fmt.Appendf(nil, record, service, "127.0.0.1:1", "a100", "192", 1, `{"from":0,"target":80}`))
	}
}

// Guards against records of another writer that end the process, hide sound servers, or stop it
// from following the store.
func TestOddRecordsNameNoServer(t *testing.T) {
	for _, configuredFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("configured first ", configuredFirst), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			if configuredFirst {
				s.configure(7)
			}
			app := s.server(standin.ServerConfig{ID: "app", Service: "wuno96b", Domain: "bergen-a"})
			s.putOddRecords(app)
			app.Register()
			v := s.vm("a1")
			if !configuredFirst {
				require.Eventually(t, func() bool { return v.knows(app) }, waitTimeout, 5*time.Millisecond)
				s.configure(7)
			}
			s.engines(v, 20, time.Millisecond)
			v.awaitReady(t)
			s.putOddRecords(app)
			app.Register()
			s.configure(8) // read after all records
			require.Eventually(t, func() bool { return v.version() == 8 }, waitTimeout, 5*time.Millisecond)
			require.True(t, v.knows(app), "a sound server is not used")
			for i := range 10 {
				id := fmt.Sprint("call-", i)
				require.Equal(t, http.StatusOK, v.call(t, "POST", "/non_idempotent/x", id).StatusCode)
				require.Equal(t, 1, s.backends.Runs(id))
			}
			resp := v.call(t, "POST", streamURI, "stream")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			requireCompleteStream(t, resp.Body, 20)
			require.Zero(t, v.metrics.panics.Get())
			v.locked(func() {
				for _, service := range []string{"huvo11a", "wuno96b"} {
					for _, known := range v.core.Backends.ByService(service) {
						require.NotContains(t, string(known.ID), "odd", "used: %+v", known.Record)
					}
				}
			})
		})
	}
}

func (v *vm) knows(s *standin.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.core.Backends.ByAddr(s.Addr)
	return known != nil && string(known.ID) == s.ID
}

func (v *vm) version() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if table := v.core.Table(); table != nil {
		return table.Config().Version
	}
	return 0
}
