package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

type echo struct {
	Text string `json:"text"`
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts an echo server on loopback. It returns the server's address and a
// counter of the calls that reached it.
func serve(t *testing.T, cfg Config) (string, *atomic.Int64) {
	t.Helper()
	server, err := NewServer(cfg)
	require.NoError(t, err)
	var calls atomic.Int64
	Handle(server, "Echo", func(_ context.Context, req echo) (echo, error) {
		calls.Add(1)
		if req.Text == "refuse" {
			return echo{}, errors.New("no such thing")
		}
		return req, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop(time.Second)
		require.NoError(t, <-done)
	})
	return listener.Addr().String(), &calls
}

func dial(t *testing.T, cfg Config) *Client {
	t.Helper()
	client, err := NewClient(cfg)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallCarriesTypedMessagesAndCountsBytes(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Metrics = metrics.NewSet()
	addr, _ := serve(t, cfg)
	client := dial(t, cfg)
	var got echo
	require.NoError(t, client.Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "hello"}, &got))
	require.Equal(t, "hello", got.Text)

	err := client.Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "refuse"}, &got)
	require.ErrorIs(t, err, ErrRefused)
	require.ErrorContains(t, err, "no such thing")

	require.ErrorIs(t, client.Call(withTimeout(t, 5*time.Second), addr, "Nothing", Once, echo{}, &got), ErrRefused)
	var exposition bytes.Buffer
	cfg.Metrics.WritePrometheus(&exposition)
	require.Contains(t, exposition.String(), `catkin_peer_messages_total{side="server",direction="in",method="Echo"} 2`)
	require.NotContains(t, exposition.String(), `catkin_peer_wire_bytes_total{side="client",direction="out"} 0`)
}

func TestOversizedMessageIsRefused(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMessageBytes = 1 << 10
	addr, calls := serve(t, cfg)
	client := dial(t, cfg)
	var got echo
	err := client.Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: strings.Repeat("x", 2<<10)}, &got)
	require.ErrorIs(t, err, ErrTooLarge)
	require.Zero(t, calls.Load())
}

func TestRetryReplacesSilentConnection(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TryTimeout = 200 * time.Millisecond
	addr, calls := serve(t, cfg)
	proxy := newProxy(t, addr)
	client := dial(t, cfg)
	var got echo
	require.NoError(t, client.Call(withTimeout(t, 5*time.Second), proxy.addr, "Echo", Once, echo{Text: "a"}, &got))

	proxy.blackholeOpen()
	require.NoError(t, client.Call(withTimeout(t, 5*time.Second), proxy.addr, "Echo", Retryable, echo{Text: "b"}, &got))
	require.Equal(t, "b", got.Text)

	proxy.blackholeOpen()
	err := client.Call(withTimeout(t, 300*time.Millisecond), proxy.addr, "Echo", Once, echo{Text: "c"}, &got)
	require.ErrorIs(t, err, ErrUnreachable)
	require.EqualValues(t, 2, calls.Load(), "a call in mode Once was retried")
	require.NoError(t, client.Call(withTimeout(t, 5*time.Second), proxy.addr, "Echo", NewConnection, echo{Text: "d"}, &got))
}

func TestStoppedPeerIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := dial(t, DefaultConfig())
	var got echo
	err = client.Call(withTimeout(t, 5*time.Second), addr, "Echo", Retryable, echo{}, &got)
	require.ErrorIs(t, err, ErrUnreachable)
}

func TestConnectionsAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxConnections = 2
	client := dial(t, cfg)
	for range 4 {
		addr, _ := serve(t, cfg)
		var got echo
		require.NoError(t, client.Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "x"}, &got))
		require.LessOrEqual(t, client.Connections(), 2)
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{TLS: TLSFiles{CertFile: "a"}}.Validate()
	for _, name := range []string{"MaxMessageBytes", "MaxConnections", "IdleTimeout", "TryTimeout", "CAFile"} {
		require.ErrorContains(t, err, name)
	}
}

func FuzzUnmarshal(f *testing.F) {
	seed, err := Marshal(echo{Text: "x"})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var reply SnapshotReply
		_ = Unmarshal(data, &reply)
		var report ReportRequest
		_ = Unmarshal(data, &report)
	})
}

// proxy forwards bytes to a server. blackholeOpen makes it drop all further bytes of the
// open connections without closing them.
type proxy struct {
	addr       string
	target     string
	mu         sync.Mutex
	blackholed []*atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{addr: listener.Addr().String(), target: target}
	var wg sync.WaitGroup
	wg.Go(func() { p.accept(listener, &wg) })
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return p
}

func (p *proxy) accept(listener net.Listener, wg *sync.WaitGroup) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		blackholed := &atomic.Bool{}
		p.mu.Lock()
		p.blackholed = append(p.blackholed, blackholed)
		p.mu.Unlock()
		wg.Go(func() { forward(server, client, blackholed) })
		wg.Go(func() { forward(client, server, blackholed) })
	}
}

func (p *proxy) blackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.blackholed {
		b.Store(true)
	}
}

// forward copies bytes until either end closes. It drops them while blackholed is set.
func forward(to, from net.Conn, blackholed *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if blackholed.Load() {
			continue
		}
		if _, err := io.Copy(to, bytes.NewReader(buf[:n])); err != nil {
			return
		}
	}
}
