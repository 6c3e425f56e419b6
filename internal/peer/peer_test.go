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

// serve starts an echo server on loopback and returns its address and a count
// of the calls that reached it.
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

func within(t *testing.T, d time.Duration) context.Context {
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
	require.NoError(t, client.Call(within(t, 5*time.Second), addr, "Echo", Once, echo{Text: "hello"}, &got))
	require.Equal(t, "hello", got.Text)

	err := client.Call(within(t, 5*time.Second), addr, "Echo", Once, echo{Text: "refuse"}, &got)
	require.ErrorIs(t, err, ErrRefused)
	require.ErrorContains(t, err, "no such thing")

	require.ErrorIs(t, client.Call(within(t, 5*time.Second), addr, "Nothing", Once, echo{}, &got), ErrRefused)
	var page bytes.Buffer
	cfg.Metrics.WritePrometheus(&page)
	require.Contains(t, page.String(), `catkin_peer_messages_total{side="server",direction="in",method="Echo"} 2`)
	require.NotContains(t, page.String(), `catkin_peer_wire_bytes_total{side="client",direction="out"} 0`)
}

func TestMessageOverTheBoundIsRefused(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMessageBytes = 1 << 10
	addr, calls := serve(t, cfg)
	client := dial(t, cfg)
	var got echo
	err := client.Call(within(t, 5*time.Second), addr, "Echo", Once, echo{Text: strings.Repeat("x", 2<<10)}, &got)
	require.ErrorIs(t, err, ErrTooLarge)
	require.Zero(t, calls.Load())
}

func TestSilentConnectionIsSurvived(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TryTimeout = 200 * time.Millisecond
	addr, calls := serve(t, cfg)
	relay := newRelay(t, addr)
	client := dial(t, cfg)
	var got echo
	require.NoError(t, client.Call(within(t, 5*time.Second), relay.addr, "Echo", Once, echo{Text: "a"}, &got))

	relay.silenceOpen()
	require.NoError(t, client.Call(within(t, 5*time.Second), relay.addr, "Echo", Retryable, echo{Text: "b"}, &got))
	require.Equal(t, "b", got.Text)

	relay.silenceOpen()
	err := client.Call(within(t, 300*time.Millisecond), relay.addr, "Echo", Once, echo{Text: "c"}, &got)
	require.ErrorIs(t, err, ErrUnreachable)
	require.EqualValues(t, 2, calls.Load(), "a message sent once is not repeated")
	require.NoError(t, client.Call(within(t, 5*time.Second), relay.addr, "Echo", NewConnection, echo{Text: "d"}, &got))
}

func TestDeadPeerIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := dial(t, DefaultConfig())
	var got echo
	err = client.Call(within(t, 5*time.Second), addr, "Echo", Retryable, echo{}, &got)
	require.ErrorIs(t, err, ErrUnreachable)
}

func TestConnectionsAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxConnections = 2
	client := dial(t, cfg)
	for range 4 {
		addr, _ := serve(t, cfg)
		var got echo
		require.NoError(t, client.Call(within(t, 5*time.Second), addr, "Echo", Once, echo{Text: "x"}, &got))
		require.LessOrEqual(t, client.Connections(), 2)
	}
}

func TestValidateNamesEveryFault(t *testing.T) {
	err := Config{TLS: TLSFiles{CertFile: "a"}}.Validate()
	for _, name := range []string{"MaxMessageBytes", "MaxConnections", "IdleTimeout", "TryTimeout", "CAFile"} {
		require.ErrorContains(t, err, name)
	}
}

func FuzzUnmarshalProbe(f *testing.F) {
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

// relay passes bytes to a server and can make its open connections silent.
type relay struct {
	addr   string
	target string
	mu     sync.Mutex
	silent []*atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{addr: listener.Addr().String(), target: target}
	var wg sync.WaitGroup
	wg.Go(func() { r.accept(listener, &wg) })
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return r
}

func (r *relay) accept(listener net.Listener, wg *sync.WaitGroup) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.silent = append(r.silent, silent)
		r.mu.Unlock()
		wg.Go(func() { forward(far, near, silent) })
		wg.Go(func() { forward(near, far, silent) })
	}
}

func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
}

// forward copies until either end closes; a silent connection drops bytes.
func forward(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := io.Copy(to, bytes.NewReader(buf[:n])); err != nil {
			return
		}
	}
}
