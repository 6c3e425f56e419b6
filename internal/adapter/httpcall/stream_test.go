package httpcall

import (
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// readStream makes one streamed call and returns the part of the body that arrived.
func readStream(c *Client, addr string, opt Options, idle time.Duration) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + addr + "/")
	var got []byte
	err := c.DoStream(addr, &req, &resp, opt, idle, func(_ *fasthttp.Response, body io.Reader) error {
		raw, err := io.ReadAll(body)
		got = raw
		return err
	})
	return string(got), err
}

func TestStreamedBodyReusesConnection(t *testing.T) {
	var accepted atomic.Int64
	addr := listen(t, func(_ int64, c net.Conn) {
		accepted.Add(1)
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			_, _ = c.Write([]byte(chunkedHead + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
		}
	})
	c := NewDefault()
	defer c.Close()
	for range 3 {
		got, err := readStream(c, addr, Within(time.Second), time.Second)
		require.NoError(t, err)
		require.Equal(t, "abcde", got)
	}
	require.EqualValues(t, 1, accepted.Load())
}

func TestSilentOrCutStreamReturnsError(t *testing.T) {
	stalled := listen(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(chunkedHead + "3\r\nabc\r\n"))
		time.AfterFunc(shortTimeout/4, runtime.GC) // closes connections that nobody refers to
	})
	c := NewDefault()
	defer c.Close()
	started := time.Now()
	_, err := readStream(c, stalled, Within(time.Minute), shortTimeout)
	requireKind(t, err, KindTimeout, MayHaveArrived)
	require.Less(t, time.Since(started), 10*time.Second)

	cut := listen(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(chunkedHead + "3\r\nabc\r\n"))
		_ = c.Close()
	})
	_, err = readStream(c, cut, Within(time.Minute), time.Minute)
	requireKind(t, err, KindClosed, MayHaveArrived)
}

// TestSetMaxIdleConnsLimitsKeptConnections guards against idle connections using up a
// server's connection limit, as those of 77 callers did. The server reset further
// connections, some carrying calls that may not be retried.
func TestSetMaxIdleConnsLimitsKeptConnections(t *testing.T) {
	var accepted atomic.Int64
	addr := listen(t, func(_ int64, c net.Conn) {
		accepted.Add(1)
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			_, _ = c.Write([]byte(chunkedHead + "0\r\n\r\n"))
		}
	})
	c := NewDefault()
	defer c.Close()
	for _, keep := range []int{0, 0, 1, 1} {
		x, err := c.Open(t.Context(), addr, "GET", []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil, Within(time.Second))
		require.NoError(t, err)
		x.SetMaxIdleConns(keep)
		_, err = x.ReadAll(10)
		require.NoError(t, err)
		x.Close()
	}
	require.EqualValues(t, 3, accepted.Load(), "want the first two connections closed and the third reused")
}
