package httpcall

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errConnLimit = errors.New("connection limit of this address reached")

// conn is an open connection with its buffers.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// lastAnswered is when the last response on it was complete, or when it was opened.
	lastAnswered time.Time
	// readTimeout, if positive, bounds each read of a streamed body.
	readTimeout time.Duration
	// deadline is the deadline of the call in progress.
	deadline time.Time
	// used is set once a complete response has been read on it.
	used bool
	// headBytesLeft, if limitHead is set, is how many more bytes may arrive for the head of
	// the response in progress.
	headBytesLeft int
	limitHead     bool
	// held, if not nil, counts the bytes that arrive for a buffered response.
	held *reservation
}

// errHeadTooLong is the cause of a call whose response has no end of its head within
// Config.MaxHeadBytes.
var errHeadTooLong = errors.New("head of the response is too long")

// Read implements net.Conn. Before each read of a streamed body it sets the read
// deadline. It fails once the response is larger than the limits allow.
func (c *conn) Read(b []byte) (int, error) {
	if c.limitHead && c.headBytesLeft <= 0 {
		return 0, errHeadTooLong
	}
	if c.readTimeout > 0 {
		next := time.Now().Add(c.readTimeout)
		if next.After(c.deadline) {
			next = c.deadline
		}
		if err := c.SetReadDeadline(next); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.headBytesLeft -= n
	if c.held != nil && err == nil {
		err = c.held.grow(n)
	}
	return n, err
}

// pool holds the connections to one address, the most recently used idle one last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	open int
}

// take returns the most recently used idle connection if its last response came at or
// after notBefore, otherwise nil.
func (p *pool) take(notBefore time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || p.idle[n-1].lastAnswered.Before(notBefore) {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// put returns a connection to the pool after a complete response. If more than maxIdle
// are idle, the least recently used one is closed.
func (p *pool) put(c *conn, now time.Time, idleTimeout time.Duration, maxIdle int) {
	c.lastAnswered = now
	p.mu.Lock()
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		_ = p.idle[0].Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	p.mu.Unlock()
	p.closeIdleBefore(now.Add(-idleTimeout))
}

// reserve counts a connection that is about to be opened. At the limit it closes an
// idle connection instead, or fails if none is idle.
func (p *pool) reserve(limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit && len(p.idle) == 0 {
		return errConnLimit
	}
	if p.open >= limit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		return nil
	}
	p.open++
	return nil
}

// release removes a closed or never opened connection from the count.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// openCount returns the number of connections, idle and in use.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// closeIdleBefore closes the idle connections whose last response is older than t.
func (p *pool) closeIdleBefore(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastAnswered.Before(t) {
			_ = c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
