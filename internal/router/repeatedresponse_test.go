package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
)

// startRepeater starts a replica that refuses the first request of each connection, and runs the
// others but writes the refusal once more before each response. The refusal names its request if
// named is set.
func (s *site) startRepeater(named bool) (addr string, runs *atomic.Int32) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int32{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, refusal := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := fmt.Sprintf("%s: %s\r\n", platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
			answer := ""
			if refusal == "" {
				refusal = "HTTP/1.1 503 Full\r\n" + platform.HeaderNotRun + ": 1\r\n" + platform.HeaderRetryAfter + ": 0.2\r\nContent-Length: 0\r\n"
				if named {
					refusal += id
				}
				refusal += "\r\n"
			} else {
				runs.Add(1)
				answer = "HTTP/1.1 200 OK\r\n" + id + platform.HeaderSignature + ": sig\r\nContent-Length: 4\r\n\r\ndone"
			}
			if _, err := io.WriteString(c, refusal+answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	s.store.Put(platform.ServersPrefix+"repeater", fmt.Appendf(nil, `{"service":"wuno96b","address":%q,"zone":"bergen-a","kind":"","slots":6,"state":"ready","born":%d}`,
		l.Addr(), time.Now().UnixMilli()))
	return l.Addr().String(), runs
}

// Guards against a refusal that a replica writes once more on a kept connection: its request, and
// what it says of pauses, must not be taken for those of the next request (REFUSED, TWICE).
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint("named ", named), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configure(7)
			addr, runs := s.startRepeater(named)
			v := s.vmWith("a1", func(cfg *Config) { cfg.ConnReuseTimeout = 5 * time.Second })
			v.awaitReady(t)
			resp := v.call(t, "POST", "/idempotent/x", "first")
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "not run")
			require.Zero(t, runs.Load())
			require.Eventually(t, func() bool { return !v.paused(addr) }, time.Second, time.Millisecond)
			resp = v.call(t, "POST", "/idempotent/x", "second")
			require.EqualValues(t, 1, runs.Load())
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it ran, so it must not be called not run")
			require.False(t, v.paused(addr), "the pause is that of the first request")

			before := runs.Load()
			resp = v.call(t, "POST", "/non_idempotent/x", "unsafe") // over a new connection
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, before, runs.Load())
		})
	}
}
