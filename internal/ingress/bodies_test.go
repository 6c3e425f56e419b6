package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const kib = 1 << 10

// testLimits are low enough for a few connections to reach them.
var testLimits = Limits{Conns: 100, BodyBytes: 256 * kib, MemoryBytes: 1024 * kib, IdleTimeout: time.Hour, ReceiveTimeout: time.Hour}

// limited is a server with a Limiter. Its responses name the error of a refused request.
type limited struct {
	*Limiter
	addr string
}

func newLimited(t *testing.T, limits Limits, handler fasthttp.RequestHandler) *limited {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &limited{NewLimiter(limits, "test", sinceStart()), l.Addr().String()}
	server := &fasthttp.Server{Handler: handler}
	s.Apply(server, func(ctx *fasthttp.RequestCtx, err error, ran bool) {
		ctx.Error(fmt.Sprintf("%v, ran %v", err, ran), fasthttp.StatusTeapot)
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.Listener(l)) }()
	ctx, cancel := context.WithCancel(t.Context())
	go s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		stop, cancelStop := context.WithTimeout(context.Background(), waitTimeout)
		defer cancelStop()
		_ = server.ShutdownWithContext(stop) // clients of the test may still be connected
		<-done
	})
	return s
}

func (s *limited) dial(t *testing.T) *client { return (&limitedServer{addr: s.addr}).dial(t) }

func (c *client) response(t *testing.T) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

func echo(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) }

func postHead(framing string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n"
}

func lengthHead(n int) string { return postHead(fmt.Sprintf("Content-Length: %d", n)) }

const chunkedHead = "Transfer-Encoding: chunked"

// chunked encodes a body in chunks of a size.
func chunked(body []byte, size int) string {
	var out strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.String() + "0\r\n\r\n"
}

func TestBodiesArriveWhole(t *testing.T) {
	s := newLimited(t, testLimits, echo)
	c := s.dial(t)
	for _, size := range []int{0, 1, 2, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 3 * firstBodyBytes, testLimits.BodyBytes - 1, testLimits.BodyBytes} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		for _, text := range []string{lengthHead(size) + string(body), postHead(chunkedHead) + chunked(body, size/3+1), postHead(chunkedHead) + chunked(body, 2)} {
			c.send(t, text)
			status, got := c.response(t)
			require.Equal(t, fasthttp.StatusOK, status)
			require.True(t, bytes.Equal(body, []byte(got)), "%d bytes", size)
		}
	}
	require.Eventually(t, func() bool { return s.bodies.Stats().Held == 0 }, waitTimeout, time.Millisecond, "memory is not returned")
}

// Guards against a body that reaches a backend server as whole although it was cut or is malformed.
func TestBodyThatIsCutOrMalformedReachesNobody(t *testing.T) {
	for name, text := range map[string]string{
		"length":                   lengthHead(1000) + strings.Repeat("x", 999),
		"length, nothing":          lengthHead(1000),
		"in a chunk":               postHead(chunkedHead) + "a\r\n123",
		"between chunks":           postHead(chunkedHead) + "3\r\n123\r\n",
		"last chunk, no end":       postHead(chunkedHead) + "3\r\n123\r\n0\r\n",
		"chunk longer than stated": postHead(chunkedHead) + "3\r\n1234\r\n0\r\n\r\n",
		"negative chunk":           postHead(chunkedHead) + "-3\r\n123\r\n0\r\n\r\n",
		"chunk beyond int64":       postHead(chunkedHead) + "ffffffffffffffffff\r\n123\r\n0\r\n\r\n",
		"no chunk size":            postHead(chunkedHead) + "\r\n123\r\n0\r\n\r\n",
		"bare LF":                  postHead(chunkedHead) + "3\n123\n0\n\n",
		"two lengths":              postHead("Content-Length: 5\r\nContent-Length: 3") + "12345",
		"another coding":           postHead("Transfer-Encoding: gzip, chunked") + "3\r\n123\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			s := newLimited(t, testLimits, func(*fasthttp.RequestCtx) { served.Add(1) })
			c := s.dial(t)
			c.send(t, text)
			require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, c.r) // a reset ends the connection as well
			require.Eventually(t, func() bool { return s.table.Stats().Open == 0 }, waitTimeout, time.Millisecond)
			require.Zero(t, served.Load())
			require.Zero(t, s.bodies.Stats().Held)
		})
	}
}

// Guards against a request whose body its backend server would delimit in another way: chunks go
// before a length, and the length that is passed on is that of the body as read.
func TestChunksGoBeforeLength(t *testing.T) {
	var length atomic.Int64
	s := newLimited(t, testLimits, func(ctx *fasthttp.RequestCtx) {
		length.Store(int64(ctx.Request.Header.ContentLength()))
		echo(ctx)
	})
	c := s.dial(t)
	c.send(t, postHead("Content-Length: 5\r\n"+chunkedHead)+"3\r\n123\r\n0\r\n\r\n")
	status, body := c.response(t)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "123", body)
	require.EqualValues(t, 3, length.Load())
}

// Guards against bodies over the limit that take memory, and whose clients get a reset in place of
// the response.
func TestBodyOverTheLimitIsRefusedWhileItIsSent(t *testing.T) {
	body := strings.Repeat("x", testLimits.BodyBytes+1)
	for name, text := range map[string]string{
		"announced": lengthHead(len(body)) + body,
		"sent":      postHead(chunkedHead) + chunked([]byte(body), 16*kib),
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimited(t, testLimits, echo)
			c := s.dial(t)
			c.send(t, text)
			status, got := c.response(t)
			require.Equal(t, fasthttp.StatusTeapot, status)
			require.Equal(t, ErrBodyTooLarge.Error()+", ran false", got)
			c.requireClosed(t)
			require.Eventually(t, func() bool { return s.table.Stats().Open == 0 }, waitTimeout, time.Millisecond)
			require.Zero(t, s.bodies.Stats().Held)
		})
	}
}

// Guards against memory that is taken by announced bodies and chunks.
func TestAnnouncedBodiesHoldFirstBufferOnly(t *testing.T) {
	s := newLimited(t, testLimits, echo)
	const clients = 50
	for i := range clients {
		if i%2 == 0 {
			s.dial(t).send(t, lengthHead(testLimits.BodyBytes)+"x")
		} else {
			s.dial(t).send(t, postHead(chunkedHead)+fmt.Sprintf("%x\r\nx", testLimits.BodyBytes))
		}
	}
	require.Eventually(t, func() bool { return s.bodies.Stats().Moving == clients }, waitTimeout, time.Millisecond)
	require.LessOrEqual(t, s.bodies.Stats().Held, int64(clients*firstBodyBytes))
}

// Guards against clients that stop in the middle of bodies and keep the memory from others.
func TestStalledBodiesMakeRoomForOthers(t *testing.T) {
	s := newLimited(t, testLimits, echo)
	var stalled []*client
	for range 8 {
		c := s.dial(t)
		c.send(t, lengthHead(testLimits.BodyBytes)+strings.Repeat("x", 100*kib))
		stalled = append(stalled, c)
	}
	body := strings.Repeat("y", testLimits.BodyBytes)
	require.Eventually(t, func() bool {
		c := s.dial(t)
		c.send(t, lengthHead(len(body))+body)
		status, got := c.response(t)
		return status == fasthttp.StatusOK && got == body
	}, waitTimeout, 100*time.Millisecond)
	require.Positive(t, s.bodies.Stats().Evicted)
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if resp, err := http.ReadResponse(c.r, nil); err == nil {
			require.Equal(t, fasthttp.StatusTeapot, resp.StatusCode)
			refused++
		}
	}
	require.Positive(t, refused, "those given up are told")
}

func TestBodyThatTakesTooLongIsRefused(t *testing.T) {
	limits := testLimits
	limits.ReceiveTimeout = 100 * time.Millisecond
	s := newLimited(t, limits, echo)
	c := s.dial(t)
	c.send(t, lengthHead(10)+"x")
	status, got := c.response(t)
	require.Equal(t, fasthttp.StatusTeapot, status)
	require.Equal(t, ErrBodyTooSlow.Error()+", ran false", got)
	c.requireClosed(t)
}

func TestHeaderThatTakesTooLongIsRefused(t *testing.T) {
	limits := testLimits
	limits.ReceiveTimeout = 100 * time.Millisecond
	s := newLimited(t, limits, echo)
	c := s.dial(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: x\r\n")
	status, _ := c.response(t)
	require.Equal(t, fasthttp.StatusRequestTimeout, status)
	c.requireClosed(t)
}

// Guards against a client that keeps its connection for ever with the first byte of a second
// request, sent while the first was served.
func TestSecondRequestThatStopsIsOverdue(t *testing.T) {
	limits := testLimits
	limits.ReceiveTimeout = 100 * time.Millisecond
	watched := make(chan struct{})
	s := newLimited(t, limits, func(ctx *fasthttp.RequestCtx) {
		Watch(ctx, func() {})
		<-watched
		Unwatch(ctx)
	})
	c := s.dial(t)
	c.send(t, getRequest)
	c.send(t, "G")
	require.Eventually(t, func() bool {
		s.table.mu.Lock()
		defer s.table.mu.Unlock()
		st := s.table.budget.Stats()
		return st.Open == 1 && st.Receiving == 0 && st.Idle == 0
	}, waitTimeout, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // for the watch to read the byte; the test holds if it does not
	close(watched)
	c.receive(t)
	_, err := io.Copy(io.Discard, c.r) // a response that names the timeout, or none
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "still open")
}

// Guards against responses that nobody reads and that hold the memory of all.
func TestResponsesThatAreNotReadMakeRoomForOthers(t *testing.T) {
	large := make([]byte, 400*kib)
	s := newLimited(t, testLimits, func(ctx *fasthttp.RequestCtx) { ctx.Response.SetBodyRaw(large) })
	for range 10 {
		c := s.dial(t)
		require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4*kib))
		c.send(t, strings.Repeat(getRequest, 20))
	}
	require.Eventually(t, func() bool {
		c := s.dial(t)
		c.send(t, getRequest)
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == fasthttp.StatusOK && len(body) == len(large)
	}, waitTimeout, 100*time.Millisecond)
	require.LessOrEqual(t, s.bodies.Stats().Held, testLimits.MemoryBytes)
}

// Guards against a refusal that takes the next request on the connection for the rest of its body.
func TestDiscardedBodyLeavesTheNextRequest(t *testing.T) {
	s := newLimitedServer(t, 10, func(ctx *fasthttp.RequestCtx) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: StreamedPrefetch, ConnState: RecordState, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Error("refused", fasthttp.StatusNotFound)
		Discard(ctx)
	}}
	go func() { _ = server.Serve(Listener{l, s.table}) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{conn, bufio.NewReader(conn)}
	for _, body := range []string{lengthHead(5) + getRequest[:5], postHead(chunkedHead) + chunked([]byte(getRequest), 7)} {
		c.send(t, body)
		status, _ := c.response(t)
		require.Equal(t, fasthttp.StatusNotFound, status)
	}
	c.send(t, lengthHead(maxDiscardedBytes+1)+"x")
	status, _ := c.response(t)
	require.Equal(t, fasthttp.StatusNotFound, status)
	c.requireClosed(t)
}
