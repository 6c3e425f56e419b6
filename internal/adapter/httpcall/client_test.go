package httpcall

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

const shortTimeout = 200 * time.Millisecond

// listen calls serve for each accepted connection, numbered from 1.
func listen(t *testing.T, serve func(number int64, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	var mu sync.Mutex
	var conns []net.Conn // open until the test ends: the collector closes those that nobody refers to
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close() // an error if the test has closed it
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go serve(accepted.Add(1), c)
		}
	}()
	return l.Addr().String()
}

// respond reads one request and writes a response.
func respond(c net.Conn) bool {
	buf := make([]byte, 4096)
	if _, err := c.Read(buf); err != nil {
		return false
	}
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	return err == nil
}

func get(c *Client, addr string, opt Options) error {
	return c.JSON(addr, "GET", "/x", nil, nil, opt)
}

func requireKind(t *testing.T, err error, kind Kind, sent Sent) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, kind, e.Kind, e.Error())
	require.Equal(t, sent, SentOf(err))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	err = get(NewDefault(), addr, Within(time.Second))
	requireKind(t, err, KindDial, NotSent)
	require.Equal(t, verdict.NotRun, SentOf(err).Verdict())
}

func TestResetAfterRequestMayHaveArrivedAndIsNotRetried(t *testing.T) {
	var requests atomic.Int64
	addr := listen(t, func(_ int64, c net.Conn) {
		buf := make([]byte, 4096)
		if n, _ := c.Read(buf); n > 0 {
			requests.Add(1)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	err := get(NewDefault(), addr, Within(time.Second))
	requireKind(t, err, KindClosed, MayHaveArrived)
	require.EqualValues(t, 1, requests.Load(), "an idempotent request was retried")
}

func TestSilentConnectionTimesOutAndNewOneWorks(t *testing.T) {
	addr := listen(t, func(number int64, c net.Conn) {
		for respond(c) && number > 1 {
		}
	})
	c := NewDefault()
	defer c.Close()
	require.NoError(t, get(c, addr, Within(time.Second)))
	requireKind(t, get(c, addr, Within(shortTimeout)), KindTimeout, MayHaveArrived)
	require.NoError(t, get(c, addr, Within(time.Second).WithNewConnection()))
}

func TestTimeoutClosesOtherIdleConnections(t *testing.T) {
	addr := listen(t, func(number int64, c net.Conn) {
		for respond(c) && number > 2 {
		}
	})
	c := NewDefault()
	defer c.Close()
	require.NoError(t, get(c, addr, Within(time.Second)))
	require.NoError(t, get(c, addr, Within(time.Second).WithNewConnection()))
	requireKind(t, get(c, addr, Within(shortTimeout)), KindTimeout, MayHaveArrived)
	require.NoError(t, get(c, addr, Within(shortTimeout)), "the other idle connection was used")
}

func TestMaxIdleTimeSkipsOlderConnection(t *testing.T) {
	var accepted atomic.Int64
	addr := listen(t, func(_ int64, c net.Conn) {
		accepted.Add(1)
		for respond(c) {
		}
	})
	c := NewDefault()
	defer c.Close()
	opt := Within(time.Second)
	require.NoError(t, get(c, addr, opt))
	require.NoError(t, get(c, addr, opt))
	require.EqualValues(t, 1, accepted.Load())
	opt.MaxIdleTime = time.Nanosecond
	require.NoError(t, get(c, addr, opt))
	require.EqualValues(t, 2, accepted.Load())
}

func TestConnectionsPerAddressAreLimited(t *testing.T) {
	addr := listen(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
	})
	cfg := DefaultConfig()
	cfg.MaxConnsPerAddr = 1
	c, err := New(cfg)
	require.NoError(t, err)
	defer c.Close()
	first := make(chan error, 1)
	go func() { first <- get(c, addr, Within(time.Second)) }()
	require.Eventually(t, func() bool { return c.pool(addr).openCount() == 1 }, time.Second, time.Millisecond)
	requireKind(t, get(c, addr, Within(time.Second)), KindNoConnection, NotSent)
	requireKind(t, <-first, KindTimeout, MayHaveArrived)
	require.Zero(t, c.pool(addr).openCount())
}

func TestNewConnectionsRespectMaxIdlePerAddr(t *testing.T) {
	addr := listen(t, func(_ int64, c net.Conn) {
		for respond(c) {
		}
	})
	cfg := DefaultConfig()
	cfg.MaxIdlePerAddr = 2
	c, err := New(cfg)
	require.NoError(t, err)
	defer c.Close()
	for range 10 {
		require.NoError(t, get(c, addr, Within(time.Second).WithNewConnection()))
	}
	require.Equal(t, 2, c.pool(addr).openCount())
}

func TestStatusAndMalformedResponses(t *testing.T) {
	addr := listen(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte("HTTP/1.1 429 Too Many\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nslow"))
	})
	err := get(NewDefault(), addr, Within(time.Second))
	requireKind(t, err, KindStatus, MayHaveArrived)
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, 1500*time.Millisecond, e.RetryAfter)
	require.Equal(t, 429, StatusOf(err))

	var out []int
	ok := listen(t, func(_ int64, c net.Conn) { respond(c) })
	err = NewDefault().JSON(ok, "GET", "/", nil, &out, Within(time.Second))
	requireKind(t, err, KindMalformed, MayHaveArrived)
	err = NewDefault().JSON(ok, "POST", "/", func() {}, nil, Within(time.Second))
	requireKind(t, err, KindInvalid, NotSent)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	_, err := New(Config{})
	for _, field := range []string{"DialTimeout", "IdleTimeout", "MaxConnsPerAddr", "MaxIdlePerAddr", "MaxBodyBytes"} {
		require.Contains(t, err.Error(), field)
	}
}

func FuzzRetryAfter(f *testing.F) {
	f.Add("1")
	f.Add("Wed, 21 Oct 2026 07:28:00 GMT")
	f.Fuzz(func(t *testing.T, text string) {
		var h fasthttp.ResponseHeader
		h.Set("Retry-After", text)
		got := RetryAfter(&h)
		require.GreaterOrEqual(t, got, time.Duration(0))
		require.LessOrEqual(t, got, 24*time.Hour)
	})
}
