package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is the server side of a connection that can be made silent or
// reset.
type trackedConn struct {
	net.Conn
	silent  atomic.Bool
	closed  chan struct{}
	once    sync.Once
	onClose func(*trackedConn)
}

// Read discards incoming data once the connection is silent and blocks until it
// is closed.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards b once the connection is silent.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless it is silent. A silent connection stays open
// for the peer until the stand-in resets it.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.forceClose()
}

func (c *trackedConn) forceClose() error {
	c.once.Do(func() { close(c.closed) })
	c.onClose(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.forceClose()
}

// connSet tracks the open connections of one listener.
type connSet struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func (s *connSet) add(raw net.Conn) *trackedConn {
	c := &trackedConn{Conn: raw, closed: make(chan struct{}), onClose: s.remove}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *connSet) forEach(fn func(*trackedConn)) {
	s.mu.Lock()
	all := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		fn(c)
	}
}

// trackedListener wraps each accepted connection in a trackedConn.
type trackedListener struct {
	net.Listener
	conns *connSet
}

func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(raw), nil
}
