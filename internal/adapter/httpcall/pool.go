package httpcall

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errAllInUse = errors.New("all connections allowed to this address are in use")

// conn is one open connection with its buffers.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// answered is when the last answer on it was whole; the time of opening
	// before the first answer.
	answered time.Time
	// idleRead, when positive, bounds each read of a streamed body.
	idleRead time.Duration
	// deadline bounds the whole call.
	deadline time.Time
	// used is set once an answer was read on it.
	used bool
}

// Read sets the deadline of a streamed body's next part.
func (c *conn) Read(b []byte) (int, error) {
	if c.idleRead > 0 {
		next := time.Now().Add(c.idleRead)
		if next.After(c.deadline) {
			next = c.deadline
		}
		if err := c.SetReadDeadline(next); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// pool holds the connections to one address. The connection that answered last
// is handed out first.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	open int
}

// take returns an idle connection that answered at or after notBefore, or nil.
func (p *pool) take(notBefore time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || p.idle[n-1].answered.Before(notBefore) {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// put gives a connection back after a whole answer. Of more than maxIdle the one
// that answered first is closed.
func (p *pool) put(c *conn, now time.Time, idleTimeout time.Duration, maxIdle int) {
	c.answered = now
	p.mu.Lock()
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		_ = p.idle[0].Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	p.mu.Unlock()
	p.dropBefore(now.Add(-idleTimeout))
}

// reserve counts a connection that is about to be opened.
func (p *pool) reserve(limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit && len(p.idle) == 0 {
		return errAllInUse
	}
	if p.open >= limit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		return nil
	}
	p.open++
	return nil
}

// release uncounts a connection that was closed or never opened.
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

// dropBefore closes the idle connections whose last answer is older than t.
func (p *pool) dropBefore(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.answered.Before(t) {
			_ = c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
