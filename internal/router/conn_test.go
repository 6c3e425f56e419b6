package router

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns a callerConn and the caller's end of it.
func pair(t *testing.T) (*callerConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := callerListener{l}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return accepted.(*callerConn), caller
}

func TestWatchTellsThatTheCallerLeft(t *testing.T) {
	c, caller := pair(t)
	gone := make(chan struct{})
	c.watch(func() { close(gone) })
	require.NoError(t, caller.Close())
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the close was not told")
	}
	c.unwatch()
}

func TestUnwatchKeepsTheNextRequestsByte(t *testing.T) {
	c, caller := pair(t)
	c.watch(func() { t.Error("the caller is still there") })
	_, err := caller.Write([]byte("GET"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.byteIn
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

func TestUnwatchIsNoCloseOfTheCaller(t *testing.T) {
	c, caller := pair(t)
	c.watch(func() { t.Error("the caller is still there") })
	c.unwatch()
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	b := make([]byte, 1)
	n, err := c.Read(b)
	require.NoError(t, err, "the deadline that ended the watch is still set")
	require.Equal(t, 1, n)
}

// An answer takes as long as its events come: on a hunted day streams over 10 s were
// cut because one deadline stood for the whole answer (LOST).
func TestWritesAreBoundedEachByItself(t *testing.T) {
	c, caller := pair(t)
	require.NoError(t, c.SetWriteDeadline(time.Unix(1, 0)))
	_, err := c.Write([]byte("late event"))
	require.NoError(t, err)
	b := make([]byte, 10)
	_, err = caller.Read(b)
	require.NoError(t, err)
}
