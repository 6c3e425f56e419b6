package router

import (
	"net"
	"sync"
	"time"
)

// callerConn detects that the caller closes the connection while its request is served,
// when fasthttp does not read from it. A byte read by the watch belongs to the next
// request and is returned by the next Read.
type callerConn struct {
	net.Conn

	mu       sync.Mutex
	cond     *sync.Cond
	watching bool
	aborted  bool
	hasByte  bool
	buf      [1]byte
}

func newCallerConn(c net.Conn) *callerConn {
	cc := &callerConn{Conn: c}
	cc.cond = sync.NewCond(&cc.mu)
	return cc
}

// Read returns the byte buffered by a watch, if any, or reads from the connection.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasByte && len(b) > 0 {
		b[0], c.hasByte = c.buf[0], false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// Write sets a new write deadline for each write.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// watch calls gone if the caller closes or resets the connection before unwatch.
func (c *callerConn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasByte || c.watching {
		return // the caller has sent its next request, so it is still connected
	}
	c.watching, c.aborted = true, false
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		n, err := c.Conn.Read(c.buf[:])
		c.mu.Lock()
		c.hasByte = n == 1
		lost := err != nil && !c.aborted
		c.watching = false
		c.cond.Broadcast()
		c.mu.Unlock()
		if lost {
			gone()
		}
	}()
}

// unwatch ends a watch. It waits until the watch has stopped reading, so that the next
// request's Read is the only reader of the connection.
func (c *callerConn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching {
		return
	}
	c.aborted = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	for c.watching {
		c.cond.Wait()
	}
	_ = c.SetReadDeadline(time.Time{})
}

// callerListener wraps accepted connections in a callerConn.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c), nil
}
