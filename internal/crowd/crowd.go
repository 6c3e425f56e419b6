// Package crowd plays clients that do not behave: many connections that each begin a request,
// stop in the middle of it and stay open. It sends to loopback and to test systems only; nothing
// of the product uses it.
package crowd

import (
	"context"
	"net"
	"sync"
	"time"
)

// Config holds the settings of a Crowd.
type Config struct {
	// Addr is the address to connect to.
	Addr string
	// Conns is the number of connections.
	Conns int
	// Header is the request line and the headers of each request, without those that frame the
	// body and without the blank line. Each line ends with CRLF.
	Header string
	// BodyBytes is the largest body that the server allows, in bytes.
	BodyBytes int
	// Reopen opens each connection again that the server closes.
	Reopen bool
}

const (
	dialTimeout = 5 * time.Second
	// reopenPause is the pause before a connection is opened again.
	reopenPause = 50 * time.Millisecond
)

// Crowd is a number of open connections.
type Crowd struct {
	cfg    Config
	kind   Kind
	cancel context.CancelFunc

	sending sync.WaitGroup // connections that have not sent everything for the first time
	open    sync.WaitGroup // goroutines
}

// Open opens the connections, each of which sends what kind says. They stay open until Close.
func Open(cfg Config, kind Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cfg: cfg, kind: kind, cancel: cancel}
	for range cfg.Conns {
		c.sending.Add(1)
		c.open.Go(func() { c.keepOpen(ctx) })
	}
	return c
}

// Settle waits until each connection has sent everything once, or was refused or closed by the
// server, and reports whether that is so within a time.
func (c *Crowd) Settle(within time.Duration) bool {
	done := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.cancel()
	c.open.Wait()
}

// keepOpen keeps one connection open until ctx ends.
func (c *Crowd) keepOpen(ctx context.Context) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	for ctx.Err() == nil {
		c.play(ctx, sent)
		if !c.cfg.Reopen {
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

// play sends what the kind says on one connection, and returns when the server closes it or ctx
// ends. It reads nothing, but for the end, unless the kind does.
func (c *Crowd) play(ctx context.Context, sent func()) {
	defer sent()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.cfg.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := c.kind.send(conn, c.cfg); err != nil {
		return
	}
	sent()
	if c.kind.unread {
		<-ctx.Done()
		return
	}
	var buf [4096]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}
