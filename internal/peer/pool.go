package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
)

const (
	minConnectTimeout = time.Second
	baseRedialDelay   = 100 * time.Millisecond
	maxRedialDelay    = time.Second
)

// pool holds at most one connection per address and at most max connections in total.
type pool struct {
	options []grpc.DialOption
	max     int
	traffic *traffic

	mu       sync.Mutex
	conns    map[string]*conn
	useCount uint64
	closed   bool
}

// conn is a connection with the number of calls that use it.
type conn struct {
	addr string
	grpc *grpc.ClientConn
	// hasAnswered is set after the peer's first response over this connection.
	hasAnswered atomic.Bool

	// The fields below are guarded by pool.mu.
	calls    int
	lastUsed uint64
	retired  bool
}

func newPool(cfg Config, creds credentials.TransportCredentials) *pool {
	stats := newTraffic(cfg.Metrics, "client")
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, traffic: stats}, nil
	}
	redial := backoff.Config{BaseDelay: baseRedialDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay}
	return &pool{
		max:     cfg.MaxConnections,
		traffic: stats,
		conns:   map[string]*conn{},
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithContextDialer(dial),
			grpc.WithIdleTimeout(cfg.IdleTimeout),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: minConnectTimeout}),
			grpc.WithDefaultCallOptions(
				grpc.MaxCallRecvMsgSize(cfg.MaxMessageBytes),
				grpc.MaxCallSendMsgSize(cfg.MaxMessageBytes)),
			grpc.WithReadBufferSize(connBufferBytes),
			grpc.WithWriteBufferSize(connBufferBytes),
			grpc.WithDisableServiceConfig(),
			grpc.WithDisableRetry(),
			grpc.WithNoProxy(),
			grpc.WithStatsHandler(stats),
		},
	}
}

// acquire returns a connection to addr for one call. With newConnection, it first retires
// the pooled connection, so that the call uses a new one.
func (p *pool) acquire(addr string, newConnection bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrUnreachable, "client closed")
	}
	if newConnection {
		p.retireLocked(p.conns[addr])
	}
	c, ok := p.conns[addr]
	if !ok {
		p.evictIfFull()
		cc, err := grpc.NewClient("passthrough:///"+addr, p.options...)
		if err != nil {
			return nil, errors.Wrapf(err, "create connection to %s", addr)
		}
		c = &conn{addr: addr, grpc: cc}
		p.conns[addr] = c
	}
	p.useCount++
	c.lastUsed = p.useCount
	c.calls++
	return c, nil
}

// evictIfFull retires the least recently used connection if the pool is full. A retired
// connection stays open until its calls have ended.
func (p *pool) evictIfFull() {
	if len(p.conns) < p.max {
		return
	}
	var oldest *conn
	for _, c := range p.conns {
		if oldest == nil || c.lastUsed < oldest.lastUsed {
			oldest = c
		}
	}
	p.retireLocked(oldest)
}

func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	p.closeIfIdle(c)
}

func (p *pool) retire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(c)
}

func (p *pool) retireAddr(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retireLocked(p.conns[addr])
}

// retireLocked removes c from the pool, so that the next call dials a new connection.
func (p *pool) retireLocked(c *conn) {
	if c == nil || c.retired {
		return
	}
	c.retired = true
	delete(p.conns, c.addr)
	p.closeIfIdle(c)
}

func (p *pool) closeIfIdle(c *conn) {
	if c.retired && c.calls == 0 {
		_ = c.grpc.Close()
	}
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.grpc.Close()
	}
	p.conns = map[string]*conn{}
}
