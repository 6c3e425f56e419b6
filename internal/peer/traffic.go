package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/stats"
)

// traffic counts messages and payload bytes per method, and all bytes on the wire. It
// implements stats.Handler.
type traffic struct {
	set      *metrics.Set
	side     string
	wireIn   *metrics.Counter
	wireOut  *metrics.Counter
	mu       sync.Mutex
	byMethod map[string]*methodCounters
}

// methodCounters counts the payloads of one method.
type methodCounters struct {
	messagesIn, messagesOut *metrics.Counter
	bytesIn, bytesOut       *metrics.Counter
}

type methodKey struct{}

// newTraffic registers the counters of one side, "client" or "server".
func newTraffic(set *metrics.Set, side string) *traffic {
	if set == nil {
		set = metrics.GetDefaultSet()
	}
	wire := func(direction string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`catkin_peer_wire_bytes_total{side=%q,direction=%q}`, side, direction))
	}
	return &traffic{
		set:      set,
		side:     side,
		wireIn:   wire("in"),
		wireOut:  wire("out"),
		byMethod: map[string]*methodCounters{},
	}
}

func (t *traffic) method(name string) *methodCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	counters, ok := t.byMethod[name]
	if !ok {
		counters = t.newMethodCounters(name)
		t.byMethod[name] = counters
	}
	return counters
}

func (t *traffic) newMethodCounters(name string) *methodCounters {
	counter := func(what, direction string) *metrics.Counter {
		return t.set.GetOrCreateCounter(fmt.Sprintf(
			`catkin_peer_%s_total{side=%q,direction=%q,method=%q}`, what, t.side, direction, name))
	}
	return &methodCounters{
		messagesIn:  counter("messages", "in"),
		messagesOut: counter("messages", "out"),
		bytesIn:     counter("payload_bytes", "in"),
		bytesOut:    counter("payload_bytes", "out"),
	}
}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	name := info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:]
	return context.WithValue(ctx, methodKey{}, t.method(name))
}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	counters, ok := ctx.Value(methodKey{}).(*methodCounters)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		counters.messagesIn.Inc()
		counters.bytesIn.Add(s.WireLength)
	case *stats.OutPayload:
		counters.messagesOut.Inc()
		counters.bytesOut.Add(s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.wireIn.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.wireOut.Add(n)
	return n, err
}

// countedListener counts the bytes of every accepted connection.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}
