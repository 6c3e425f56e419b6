package ingress

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/bodybudget"
	"github.com/catkinstair/catkinstair/internal/connbudget"
)

// Conn is an accepted connection. It detects that the client closes it while its request is
// served, when fasthttp does not read from it. A byte read by the watch belongs to the next
// request and is returned by the next Read. Between requests its Table may close it; then
// Read looks for a last time for a request and otherwise returns io.EOF.
type Conn struct {
	net.Conn

	table *Table
	slot  connbudget.Conn[*Conn] // guarded by table.mu
	// request and response are the bodies that it holds, guarded by table.bodies.mu. givenUp is
	// set once one of them was given up.
	request, response bodybudget.Transfer[*Conn]
	givenUp           atomic.Bool
	// lingering is set if a request was refused before it was read whole.
	lingering atomic.Bool
	// resting is set between requests, used whether any byte was read. Only the goroutine that
	// serves the connection uses them.
	resting, used bool

	mu       sync.Mutex
	cond     *sync.Cond
	watching bool
	aborted  bool // the watch
	hasByte  bool
	buf      [1]byte
}

func newConn(c net.Conn, table *Table) *Conn {
	cc := &Conn{Conn: c, table: table, resting: true}
	cc.slot.Owner, cc.request.Owner, cc.response.Owner = cc, cc, cc
	cc.cond = sync.NewCond(&cc.mu)
	return cc
}

// Read returns the byte buffered by a watch, if any, or reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
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

func (c *Conn) takeByte(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasByte || len(b) == 0 {
		return false
	}
	b[0], c.hasByte = c.buf[0], false
	return true
}

// readLast returns what has arrived on a connection that is to be closed, or io.EOF.
func (c *Conn) readLast(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
		return 0, err
	}
	if n, err := c.Conn.Read(b); n > 0 {
		return n, err
	}
	return 0, io.EOF
}

func (c *Conn) isClosing() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.slot.Closing()
}

// beginRequest records that a request has begun, if a byte of it was read.
func (c *Conn) beginRequest() {
	if !c.resting || !c.used {
		return
	}
	c.resting = false
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.slot.Closing() {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.table.budget.Receive(c.table.now(), &c.slot)
}

// connOf returns the connection of a request, nil if its server has no Listener.
func connOf(ctx *fasthttp.RequestCtx) *Conn { return unwrap(ctx.Conn()) }

// unwrap returns the Conn below a connection of a server, which TLS may wrap, nil if there is none.
func unwrap(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// Received records that the request has been read whole, and reports false if its connection is
// closed because that took too long.
func Received(ctx *fasthttp.RequestCtx) bool {
	c := connOf(ctx)
	return c == nil || c.received()
}

// Watch calls gone if the client closes or resets the connection of a request before Unwatch.
func Watch(ctx *fasthttp.RequestCtx, gone func()) {
	if c := connOf(ctx); c != nil {
		c.watch(gone)
	}
}

// Unwatch ends a watch. It waits until the watch has stopped reading, so that the next request's
// Read is the only reader of the connection.
func Unwatch(ctx *fasthttp.RequestCtx) {
	if c := connOf(ctx); c != nil {
		c.unwatch()
	}
}

// received is Received for the connection's request.
func (c *Conn) received() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.slot.Closing() {
		return false
	}
	c.table.budget.Begin(&c.slot)
	return true
}

// endRequest records the end of a response. The next request may have begun.
func (c *Conn) endRequest() {
	c.table.bodies.release(&c.request, &c.response)
	c.mu.Lock()
	begun := c.hasByte
	c.mu.Unlock()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if begun {
		c.table.budget.Receive(c.table.now(), &c.slot)
		return
	}
	c.resting = true
	c.table.stopReading(c.table.budget.End(c.table.now(), &c.slot))
}

// giveUp ends what the connection reads or writes.
func (c *Conn) giveUp() {
	c.givenUp.Store(true)
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// SetReadDeadline leaves the deadline of a connection that is to be closed.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.slot.Closing() {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// Close closes the connection and frees its place in the table, and its bodies.
func (c *Conn) Close() error {
	if c.lingering.Load() && !c.givenUp.Load() && !c.table.crowded.Load() {
		c.linger()
	}
	err := c.Conn.Close()
	c.table.bodies.release(&c.request, &c.response)
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.budget.Close(&c.slot)
	return err
}

const (
	// lingerTime and lingerBytes bound what is read after the response to a request that was
	// refused before it was read whole.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// linger ends the response and reads on for a while: bytes that are not read would reset the
// connection, and the reset can take the response with it.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // any result ends the connection
}

// CloseUnread closes the connection after the response to a request that has not been read whole.
func CloseUnread(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if c := connOf(ctx); c != nil {
		c.lingering.Store(true)
	}
}

// writePiece is the most that is written with one deadline, in bytes.
const writePiece = 64 << 10

// Write sets a new write deadline for each piece, so that a caller is given up that takes nothing
// for a while, and not one that takes long for a large response.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		if err := c.SetWriteDeadline(time.Now().Add(c.table.writeTimeout())); err != nil {
			return written, err
		}
		if c.givenUp.Load() {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.table.bodies.move(&c.response, n)
	}
}

// watch is Watch for the connection's request.
func (c *Conn) watch(gone func()) {
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

// unwatch is Unwatch for the connection's request.
func (c *Conn) unwatch() {
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

// Listener wraps accepted connections in a Conn, and closes those for which its
// table has no room.
type Listener struct {
	net.Listener
	Table *Table
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.Table.take(raw); c != nil {
			return c, nil
		}
	}
}
