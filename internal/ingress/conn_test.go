package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newConnPair returns a Conn and the caller's end of the connection.
func newConnPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := Listener{l, newTestTable(10, sinceStart())}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return accepted.(*Conn), caller
}

func TestWatchDetectsClosedCaller(t *testing.T) {
	c, caller := newConnPair(t)
	gone := make(chan struct{})
	c.watch(func() { close(gone) })
	require.NoError(t, caller.Close())
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the close was not reported")
	}
	c.unwatch()
}

func TestUnwatchKeepsFirstByteOfNextRequest(t *testing.T) {
	c, caller := newConnPair(t)
	c.watch(func() { t.Error("the caller is still connected") })
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hasByte
	}, 5*time.Second, time.Millisecond)
	c.unwatch()
	var got []byte
	for len(got) < 3 {
		b := make([]byte, 8)
		n, err := c.Read(b)
		require.NoError(t, err)
		got = append(got, b[:n]...)
	}
	require.Equal(t, "GET", string(got))
}

func TestUnwatchIsNotReportedAsClose(t *testing.T) {
	c, caller := newConnPair(t)
	c.watch(func() { t.Error("the caller is still connected") })
	c.unwatch()
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	b := make([]byte, 1)
	n, err := c.Read(b)
	require.NoError(t, err, "the read deadline that ended the watch must be cleared")
	require.Equal(t, 1, n)
}

// Streams longer than 10 s were truncated because one write deadline applied to the whole
// response.
func TestWriteDeadlineIsPerWrite(t *testing.T) {
	c, caller := newConnPair(t)
	require.NoError(t, c.SetWriteDeadline(time.Unix(1, 0)))
	_, err := c.Write([]byte("late event"))
	require.NoError(t, err)
	b := make([]byte, 10)
	_, err = caller.Read(b)
	require.NoError(t, err)
}
