package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/connbudget"
)

const (
	// CheckInterval is the interval at which a Table is checked for connections to close.
	CheckInterval = time.Second
	// lastLook is how long a connection that is to be closed is still read from, so that a
	// request that has arrived is served.
	lastLook = 2 * time.Millisecond
	// writeTimeout disconnects a client that does not read. It bounds each write, because a
	// stream as a whole lasts as long as its events keep coming. crowdedWriteTimeout takes its
	// place while connections are short.
	writeTimeout        = 10 * time.Second
	crowdedWriteTimeout = time.Second
)

// Table holds the open connections of one duty.
type Table struct {
	duty   connbudget.Duty
	now    func() time.Duration
	bodies *Bodies
	// crowded is set while more connections are open than the near limit allows.
	crowded atomic.Bool

	// mu guards the fields below and the slot of each connection. It is held while a read
	// deadline is set, which doesn't block.
	mu       sync.Mutex
	budget   *connbudget.Budget[*Conn]
	reported connbudget.Stats // at the last log line
}

// NewTable returns a table for a number of connections. Times are on the clock now.
func NewTable(duty connbudget.Duty, limit int, now func() time.Duration, bodies *Bodies) *Table {
	return &Table{duty: duty, now: now, bodies: bodies, budget: connbudget.New[*Conn](connbudget.DefaultConfig(limit))}
}

// take returns the connection, as idle, or closes it at the limit and returns nil.
func (t *Table) take(raw net.Conn) *Conn {
	c := newConn(raw, t)
	t.mu.Lock()
	taken, spare := t.budget.Open(t.now(), &c.slot)
	t.stopReading(spare)
	t.crowded.Store(t.budget.Near())
	t.mu.Unlock()
	if !taken {
		_ = raw.Close()
		return nil
	}
	return c
}

// stopReading makes an idle connection's read return. The caller holds mu.
func (t *Table) stopReading(c *connbudget.Conn[*Conn]) {
	if c != nil {
		_ = c.Owner.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Duty returns what the connections are for.
func (t *Table) Duty() connbudget.Duty { return t.duty }

// CloseDue starts to close the connections that are due: those that have been idle or have been
// receiving a request for too long, and those that are closed near the limit. It is to be called
// at CheckInterval.
func (t *Table) CloseDue(idleTimeout, receiveTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.budget.Overdue(t.now(), receiveTimeout) {
		t.stopReading(c)
	}
	for _, c := range t.budget.Due(t.now(), idleTimeout) {
		t.stopReading(c)
	}
	t.crowded.Store(t.budget.Near())
}

// writeTimeout returns how long a client may take none of a response. While connections are short,
// clients that read nothing must not keep others out.
func (t *Table) writeTimeout() time.Duration {
	if t.crowded.Load() {
		return crowdedWriteTimeout
	}
	return writeTimeout
}

// Stats returns the counts.
func (t *Table) Stats() connbudget.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Stats()
}

// ChangedStats returns the counts, and false if no connection was refused or closed early since
// the last call.
func (t *Table) ChangedStats() (s connbudget.Stats, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = t.budget.Stats()
	changed = s.Refused != t.reported.Refused || s.Early != t.reported.Early || s.Stalled != t.reported.Stalled
	t.reported = s
	return s, changed
}

// RecordState is the ConnState of a server: it follows the requests on the connections.
func RecordState(conn net.Conn, state fasthttp.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.beginRequest()
	case fasthttp.StateIdle:
		c.endRequest()
	}
}
