package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// openRequest sends the header of a request and the first byte of its body of two bytes.
func (v *vm) openRequest(t *testing.T, uri, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", v.host+":18227")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nx", uri, id, apiKey)
	require.NoError(t, err)
	return conn
}

// endRequest sends the last byte of the body and returns the status.
func endRequest(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against requests that are served by a configuration that was replaced while their bodies
// arrived.
func TestRequestGoesByTheConfigurationAtTheEndOfItsBody(t *testing.T) {
	s := newSite(t)
	s.configure(7)
	s.server(standin.ServerConfig{ID: "i-1", Service: "wuno96b", Domain: "bergen-a"})
	v := s.vm("a1")
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.serves("wuno96b") }, waitTimeout, 5*time.Millisecond)
	before := v.table()
	kept, removed := v.openRequest(t, "/idempotent/x", "kept"), v.openRequest(t, "/many_attempts/x", "removed")
	require.Eventually(t, func() bool { return v.bodies.Stats().Moving == 2 }, waitTimeout, time.Millisecond)
	s.configureWithout(8, "many-attempts")
	require.Eventually(t, func() bool { return v.table() != before }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, endRequest(t, kept))
	require.Equal(t, http.StatusNotFound, endRequest(t, removed))
	require.Zero(t, s.backends.Runs("removed"))
}

// Guards against bodies that take a server's slot or a turn in a queue while they arrive.
func TestBodyThatArrivesHoldsNoServer(t *testing.T) {
	s := newSite(t)
	s.configure(7)
	server := s.server(standin.ServerConfig{ID: "i-1", Service: "wuno96b", Domain: "bergen-a"})
	v := s.vm("a1")
	v.awaitReady(t)
	require.Eventually(t, func() bool { return v.serves("wuno96b") }, waitTimeout, 5*time.Millisecond)
	slow := v.openRequest(t, "/idempotent/x", "slow")
	require.Eventually(t, func() bool { return v.bodies.Stats().Moving == 1 }, waitTimeout, time.Millisecond)
	require.Zero(t, v.openRequests.Load())
	require.Equal(t, http.StatusOK, v.call(t, http.MethodGet, "/idempotent/x", "other").StatusCode)
	require.Equal(t, "other", server.LastRequest().ID)
	require.Equal(t, http.StatusOK, endRequest(t, slow))
}
