package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/bodybudget"
)

// limitedServer is a server with a table of its own, whose clock the test sets.
type limitedServer struct {
	table *Table
	addr  string
	clock atomic.Int64
}

func newLimitedServer(t *testing.T, limit int, handler fasthttp.RequestHandler) *limitedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &limitedServer{addr: l.Addr().String()}
	s.table = newTestTable(limit, func() time.Duration { return time.Duration(s.clock.Load()) })
	whole := func(ctx *fasthttp.RequestCtx) {
		ctx.Conn().(*Conn).received()
		handler(ctx)
	}
	server := &fasthttp.Server{Handler: whole, ConnState: RecordState}
	done := make(chan error, 1)
	go func() { done <- server.Serve(Listener{l, s.table}) }()
	t.Cleanup(func() { _ = server.Shutdown(); <-done })
	return s
}

// newTestTable returns a table with room for the bodies of all its connections.
func newTestTable(limit int, now func() time.Duration) *Table {
	return NewTable("test", limit, now, NewBodies(bodybudget.DefaultConfig(testBodyBytes), now))
}

const (
	testBodyBytes = 16 << 20
	waitTimeout   = 10 * time.Second
)

// sinceStart returns a clock that starts now.
func sinceStart() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// client is one connection to a limitedServer.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *limitedServer) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

func (c *client) receive(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

func (c *client) requireClosed(t *testing.T) {
	t.Helper()
	_, err := c.r.ReadByte()
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "still open")
}

const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func (s *limitedServer) awaitIdle(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return s.table.Stats().Idle == n }, waitTimeout, time.Millisecond)
}

// Guards against connections that are kept for minutes after their callers left them.
func TestIdleLimitOfTheConfigurationHolds(t *testing.T) {
	const limit = 15 * time.Second
	s := newLimitedServer(t, 100, func(*fasthttp.RequestCtx) {})
	used, unused := s.dial(t), s.dial(t)
	used.send(t, getRequest)
	used.receive(t)
	s.awaitIdle(t, 2)
	s.clock.Store(int64(limit - 1))
	s.table.CloseDue(limit, time.Hour)
	used.send(t, getRequest)
	used.receive(t)
	s.awaitIdle(t, 2)
	s.clock.Store(int64(limit))
	s.table.CloseDue(limit, time.Hour)
	unused.requireClosed(t)
	used.send(t, getRequest)
	used.receive(t)
}

// Guards against a VM whose descriptors are used up by connections that callers left open.
func TestNewConnectionsAreServedWhileOthersStayOpen(t *testing.T) {
	s := newLimitedServer(t, 20, func(*fasthttp.RequestCtx) {})
	for i := range 100 {
		s.clock.Add(int64(time.Second))
		require.Eventually(t, func() bool { return s.table.Stats().Open <= 18 }, waitTimeout, time.Millisecond, "no room is made")
		c := s.dial(t)
		c.send(t, getRequest)
		c.receive(t)
		require.LessOrEqual(t, s.table.Stats().Open, 20, "after %d connections", i+1)
	}
	require.Zero(t, s.table.Stats().Refused)
}

// Guards against new connections that wait in the kernel's queue, and against requests that are
// cut to take them.
func TestNewConnectionIsClosedAtOnceWhileAllServeRequests(t *testing.T) {
	release := make(chan struct{})
	s := newLimitedServer(t, 5, func(*fasthttp.RequestCtx) { <-release })
	var open []*client
	for range 5 {
		c := s.dial(t)
		c.send(t, getRequest)
		open = append(open, c)
	}
	require.Eventually(t, func() bool { st := s.table.Stats(); return st.Open == 5 && st.Idle == 0 && st.Receiving == 0 }, waitTimeout, time.Millisecond)
	s.clock.Store(int64(time.Hour))
	s.table.CloseDue(time.Second, time.Hour)
	s.dial(t).requireClosed(t)
	close(release)
	for _, c := range open {
		c.receive(t)
	}
}

// Guards against a request that is cut because its connection was closed while it arrived: it
// has run by then, or its caller gets part of a response.
func TestRequestsRacingWithTheCloseOfIdleConnectionsAreServedOrUntouched(t *testing.T) {
	var handled atomic.Int64
	s := newLimitedServer(t, 1000, func(ctx *fasthttp.RequestCtx) { handled.Add(1); ctx.SetBodyString("served") })
	stop := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.table.CloseDue(0, time.Hour)
				time.Sleep(50 * time.Microsecond)
			}
		}
	})
	var served atomic.Int64
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 300 {
				served.Add(int64(requestsUntilClosed(s.addr)))
			}
		})
	}
	clients.Wait()
	close(stop)
	closer.Wait()
	require.Positive(t, served.Load())
	require.Equal(t, handled.Load(), served.Load(), "requests ran whose callers got no response")
	require.Eventually(t, func() bool { return s.table.Stats().Open == 0 }, waitTimeout, time.Millisecond)
}

// requestsUntilClosed sends up to 20 requests on one connection, some in two pieces or two at
// once, and returns how many were answered.
func requestsUntilClosed(addr string) (answered int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := range 20 {
		pieces, requests := []string{getRequest}, 1
		switch i % 3 {
		case 1:
			pieces = []string{getRequest[:7], getRequest[7:]}
		case 2:
			pieces, requests = []string{getRequest + getRequest[:9], getRequest[9:]}, 2
		}
		for _, p := range pieces {
			if _, err := conn.Write([]byte(p)); err != nil {
				return answered
			}
		}
		for range requests {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return answered
			}
			_ = resp.Body.Close()
			answered++
		}
	}
	return answered
}

func BenchmarkRequestOnOpenConnection(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited ", limited), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
			served := l
			if limited {
				server.ConnState, served = RecordState, Listener{l, newTestTable(100, sinceStart())}
			}
			go func() { _ = server.Serve(served) }()
			defer func() { _ = server.Shutdown() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			r, resp := bufio.NewReader(conn), &fasthttp.Response{}
			for b.Loop() {
				_, _ = conn.Write([]byte(getRequest))
				require.NoError(b, resp.Read(r))
			}
		})
	}
}
