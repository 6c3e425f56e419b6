package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// BenchmarkCall reports, by message size, the time of a call over an open connection
// and its bytes on the wire without TCP and IP headers.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 50, 100, 400} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchCall(b, size) })
	}
}

func benchCall(b *testing.B, size int) {
	cfg := DefaultConfig()
	cfg.Metrics = metrics.NewSet()
	server, err := NewServer(DefaultConfig())
	require.NoError(b, err)
	Handle(server, "Probe", func(_ context.Context, req echo) (echo, error) { return req, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	client, err := NewClient(cfg)
	require.NoError(b, err)
	req := echo{Text: strings.Repeat("x", size)}
	call := func() {
		var resp echo
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(b, client.Call(ctx, listener.Addr().String(), "Probe", Once, req, &resp))
	}
	call()
	before := client.pool.traffic.wireIn.Get() + client.pool.traffic.wireOut.Get()
	calls := 0
	for b.Loop() {
		call()
		calls++
	}
	after := client.pool.traffic.wireIn.Get() + client.pool.traffic.wireOut.Get()
	b.ReportMetric(float64(after-before)/float64(calls), "wire-B/call")
	client.Close()
	server.Stop(time.Second)
	require.NoError(b, <-done)
}
