package router

import (
	"net"
	"sync"
	"time"
)

// callerConn tells while a request is served whether its caller has closed the
// connection: fasthttp reads nothing meanwhile. A byte that arrives then belongs to
// the next request and is handed to the next Read.
type callerConn struct {
	net.Conn

	mu      sync.Mutex
	cond    *sync.Cond
	reading bool
	aborted bool
	byteIn  bool
	buf     [1]byte
}

func newCallerConn(c net.Conn) *callerConn {
	cc := &callerConn{Conn: c}
	cc.cond = sync.NewCond(&cc.mu)
	return cc
}

// Read gives out the byte that a watch has read, if any.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.byteIn && len(b) > 0 {
		b[0], c.byteIn = c.buf[0], false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// Write bounds each write by itself.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// watch calls gone when the caller closes or resets the connection before
// unwatch.
func (c *callerConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byteIn || c.reading {
		return // the caller has sent on: it is there
	}
	c.reading, c.aborted = true, false
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		n, err := c.Conn.Read(c.buf[:])
		c.mu.Lock()
		c.byteIn = n == 1
		lost := err != nil && !c.aborted
		c.reading = false
		c.cond.Broadcast()
		c.mu.Unlock()
		if lost {
			gone()
		}
	}()
}

// unwatch ends a watch. The reader has returned when unwatch does, so the next
// request's Read is alone on the connection.
func (c *callerConn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	c.aborted = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	for c.reading {
		c.cond.Wait()
	}
	_ = c.SetReadDeadline(time.Time{})
}

// callerListener wraps what it accepts.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c), nil
}
