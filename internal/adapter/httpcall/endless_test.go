package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// endless are responses that continue until the client closes the connection.
var endless = map[string]struct{ start, repeat string }{
	"head line":         {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa"},
	"head lines":        {"HTTP/1.1 200 OK\r\n", "X-Endless: aaaaaaaaaaaaaaaa\r\n"},
	"status line":       {"HTTP/1.1 200 ", "OKOKOKOKOKOKOKOK"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"no answer":         {"", "\x00\x01\x02 these bytes are no answer"},
	"body to the end":   {"HTTP/1.1 200 OK\r\n\r\n", "bbbbbbbbbbbbbbbb"},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\nbbbbbbbbbbbbbbbb\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;", "eeeeeeeeeeeeeeee"},
	"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Endless: aaaaaaaaaaaaaaaa\r\n"},
	"too long a length": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "bbbbbbbbbbbbbbbb"},
}

// serveEndless reads a request and writes an endless response until the connection is closed.
func serveEndless(c net.Conn, start, repeat string) {
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	block := bytes.Repeat([]byte(repeat), 1+4096/len(repeat))
	if _, err := c.Write([]byte(start)); err != nil {
		return
	}
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// open sends a GET and reads the whole response.
func open(c *Client, addr string, deadline time.Duration) error {
	x, err := c.Open(context.Background(), addr, "GET", []byte("GET /x HTTP/1.1\r\nHost: x\r\n\r\n"), nil, Within(deadline))
	if err != nil {
		return err
	}
	defer x.Close()
	_, err = x.ReadAll(16 << 20)
	return err
}

// Each kind of endless response is given up long before its deadline.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			addr := listen(t, func(_ int64, c net.Conn) { serveEndless(c, e.start, e.repeat) })
			c := NewDefault()
			start := time.Now()
			require.Error(t, open(c, addr, 20*time.Second))
			require.Less(t, time.Since(start), 5*time.Second)
			require.Zero(t, c.memory.used.Load())
			require.Zero(t, c.pool(addr).openCount())

			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/x")
			start = time.Now()
			require.Error(t, c.Do(addr, req, resp, Within(20*time.Second)))
			require.Less(t, time.Since(start), 5*time.Second)
			require.Zero(t, c.memory.used.Load())
		})
	}
}

// A smallest VM has 184 MB. Hundreds of endless responses at once must leave it room, and
// other servers' answers must still be read.
func TestHundredsOfEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		perKind  = 30
		vmBytes  = 184 << 20
		rounds   = 3
		goodSize = 800
	)
	cfg := DefaultConfig()
	cfg.MaxBufferedBytes = vmBytes / 8
	c, err := New(cfg)
	require.NoError(t, err)
	good := listen(t, func(_ int64, conn net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"+string(bytes.Repeat([]byte("g"), goodSize))); err != nil {
				return
			}
		}
	})
	var bad sync.WaitGroup
	for _, e := range endless {
		addr := listen(t, func(_ int64, conn net.Conn) { serveEndless(conn, e.start, e.repeat) })
		for range perKind {
			bad.Go(func() {
				for range rounds {
					if err := open(c, addr, 20*time.Second); err == nil {
						t.Error("an endless response was accepted")
					}
				}
			})
		}
	}
	done := make(chan struct{})
	go func() { bad.Wait(); close(done) }()
	var most uint64
	for served := 0; ; served++ {
		require.NoError(t, open(c, good, 10*time.Second))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse+m.StackInuse)
		select {
		case <-done:
			t.Logf("%d good answers meanwhile, %d MB at most, the stand-in servers' included", served, most>>20)
			require.Less(t, most, uint64(vmBytes))
			return
		default:
		}
	}
}

func TestBeforeSendWithdrawsCall(t *testing.T) {
	addr := listen(t, func(_ int64, c net.Conn) {
		for respond(c) {
		}
	})
	c := NewDefault()
	opt := Within(time.Second)
	opt.BeforeSend = func() error { return io.ErrClosedPipe }
	requireKind(t, get(c, addr, opt), KindWithdrawn, NotSent)
	_, err := c.Open(context.Background(), addr, "GET", nil, nil, opt)
	requireKind(t, err, KindWithdrawn, NotSent)
	require.Zero(t, c.pool(addr).openCount())
}

// A second copy of an answer that arrives between two calls must not be taken for the
// answer to the second.
func TestLateSecondAnswerIsNotReadByNextCall(t *testing.T) {
	addr := listen(t, func(number int64, c net.Conn) {
		for i := 0; respond(c); i++ {
			if number == 1 && i == 0 {
				if _, err := c.Write([]byte("HTTP/1.1 500 Late\r\nContent-Length: 2\r\n\r\n{}")); err != nil {
					return
				}
			}
		}
	})
	c := NewDefault()
	require.NoError(t, get(c, addr, Within(time.Second)))
	require.Eventually(t, func() bool {
		idle := c.pool(addr).idle[0]
		return idle.r.Buffered() > 0 || !hasNoPendingData(idle)
	}, time.Second, time.Millisecond)
	require.NoError(t, get(c, addr, Within(time.Second)), "the late copy was taken for the answer")
}

// Guards against memory that the kernel takes for the bytes of a response that is not read, such as a
// stream of events without end whose caller has stopped reading (LOST).
func TestUnreadResponseHoldsLittle(t *testing.T) {
	const most = 256 << 10
	addr := listen(t, func(_ int64, c net.Conn) { serveEndless(c, "HTTP/1.1 200 OK\r\n\r\n", "bbbbbbbbbbbbbbbb") })
	c := NewDefault()
	x, err := c.Open(context.Background(), addr, "GET", []byte("GET /x HTTP/1.1\r\nHost: x\r\n\r\n"), nil, Within(20*time.Second))
	require.NoError(t, err)
	defer x.Close()
	body := make([]byte, 64<<10)
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); { // the kernel lets the buffer grow for a fast reader
		_, err := x.Read(body)
		require.NoError(t, err)
	}
	time.Sleep(500 * time.Millisecond)
	require.LessOrEqual(t, unreadBytes(t, x.conn), most)
}

// unreadBytes returns the bytes of a connection that the kernel holds.
func unreadBytes(t *testing.T, c *conn) int {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	n := 0
	var ioctlErr error
	require.NoError(t, raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	require.NoError(t, ioctlErr)
	return n
}
