package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a server's side of a connection that can go silent or be
// reset.
type trackedConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
	forget func(*trackedConn)
}

// Read blocks until the connection is closed once it is silent; what arrives
// after that is lost.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses b once the connection is silent.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent one stays open towards the other side
// until the stand-in stops.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.shut()
}

func (c *trackedConn) shut() error {
	c.once.Do(func() { close(c.closed) })
	c.forget(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.shut()
}

// connSet holds the open connections of one listener.
type connSet struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func (s *connSet) add(raw net.Conn) *trackedConn {
	c := &trackedConn{Conn: raw, closed: make(chan struct{}), forget: s.remove}
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

func (s *connSet) each(do func(*trackedConn)) {
	s.mu.Lock()
	all := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

// trackedListener hands out tracked connections.
type trackedListener struct {
	net.Listener
	set *connSet
}

func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.set.add(raw), nil
}
