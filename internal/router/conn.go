package router

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/connbudget"
)

// callerConn detects that the caller closes the connection while its request is served,
// when fasthttp does not read from it. A byte read by the watch belongs to the next
// request and is returned by the next Read. Between requests its connTable may close it; then
// Read looks for a last time for a request and otherwise returns io.EOF.
type callerConn struct {
	net.Conn

	table *connTable
	slot  connbudget.Conn[*callerConn] // guarded by table.mu
	// resting is set between requests, used whether any byte was read. Only the goroutine that
	// serves the connection uses them.
	resting, used bool

	mu       sync.Mutex
	cond     *sync.Cond
	watching bool
	aborted  bool
	hasByte  bool
	buf      [1]byte
}

func newCallerConn(c net.Conn, table *connTable) *callerConn {
	cc := &callerConn{Conn: c, table: table, resting: true}
	cc.slot.Owner = cc
	cc.cond = sync.NewCond(&cc.mu)
	return cc
}

// Read returns the byte buffered by a watch, if any, or reads from the connection.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.takeByte(b) {
		return 1, nil
	}
	n, err := c.Conn.Read(b)
	if !c.resting {
		return n, err
	}
	if n == 0 && err != nil && c.isClosing() {
		n, err = c.readLast(b)
	}
	if n > 0 {
		c.used = true
		c.beginRequest()
	}
	return n, err
}

func (c *callerConn) takeByte(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasByte || len(b) == 0 {
		return false
	}
	b[0], c.hasByte = c.buf[0], false
	return true
}

// readLast returns what has arrived on a connection that is to be closed, or io.EOF.
func (c *callerConn) readLast(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	if n, err := c.Conn.Read(b); n > 0 {
		return n, err
	}
	return 0, io.EOF
}

func (c *callerConn) isClosing() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.slot.Closing()
}

// beginRequest records that a request has begun, if a byte of it was read.
func (c *callerConn) beginRequest() {
	if !c.resting || !c.used {
		return
	}
	c.resting = false
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.slot.Closing() {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.table.budget.Begin(&c.slot)
}

// endRequest records the end of a response, unless the next request has begun.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	begun := c.hasByte
	c.mu.Unlock()
	if begun {
		return
	}
	c.resting = true
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.stopReading(c.table.budget.End(c.table.now(), &c.slot))
}

// SetReadDeadline leaves the deadline of a connection that is to be closed.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.slot.Closing() {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// Close closes the connection and frees its place in the table.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.budget.Close(&c.slot)
	return err
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

// callerListener wraps accepted connections in a callerConn, and closes those for which its
// table has no room.
type callerListener struct {
	net.Listener
	table *connTable
}

func (l callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.table.take(raw); c != nil {
			return c, nil
		}
	}
}
