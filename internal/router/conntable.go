package router

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/connbudget"
)

const (
	// callerConnBytes is about what a caller's connection holds: the buffers of reading and
	// writing and a goroutine.
	callerConnBytes = maxHeaderBytes + 16<<10
	// defaultIdleTimeout closes abandoned connections while no configuration is known, and
	// those of others than callers.
	defaultIdleTimeout = 2 * time.Minute
	// idleCheckInterval is the interval at which connections are checked for their idle limit.
	idleCheckInterval = time.Second
	// lastLook is how long a connection that is to be closed is still read from, so that a
	// request that has arrived is served.
	lastLook = 2 * time.Millisecond
)

// connTable holds the open connections of one duty.
type connTable struct {
	duty connbudget.Duty
	now  func() time.Duration

	// mu guards the fields below and the slot of each connection. It is held while a read
	// deadline is set, which doesn't block.
	mu       sync.Mutex
	budget   *connbudget.Budget[*callerConn]
	reported connbudget.Stats // at the last log line
}

func newConnTable(duty connbudget.Duty, limit int, now func() time.Duration) *connTable {
	return &connTable{duty: duty, now: now, budget: connbudget.New[*callerConn](connbudget.DefaultConfig(limit))}
}

// take returns the connection, as idle, or closes it at the limit and returns nil.
func (t *connTable) take(raw net.Conn) *callerConn {
	c := newCallerConn(raw, t)
	t.mu.Lock()
	taken, spare := t.budget.Open(t.now(), &c.slot)
	t.stopReading(spare)
	t.mu.Unlock()
	if !taken {
		_ = raw.Close()
		return nil
	}
	return c
}

// stopReading makes an idle connection's read return. The caller holds mu.
func (t *connTable) stopReading(c *connbudget.Conn[*callerConn]) {
	if c != nil {
		_ = c.Owner.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeDue starts to close the connections that are due.
func (t *connTable) closeDue(idleTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.budget.Due(t.now(), idleTimeout) {
		t.stopReading(c)
	}
}

func (t *connTable) stats() connbudget.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Stats()
}

// changedStats returns the counts, and false if no connection was refused or closed early since
// the last call.
func (t *connTable) changedStats() (s connbudget.Stats, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = t.budget.Stats()
	changed = s.Refused != t.reported.Refused || s.Early != t.reported.Early
	t.reported = s
	return s, changed
}

// recordState is the ConnState of a server: it follows the requests on the connections.
func recordState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.beginRequest()
	case fasthttp.StateIdle:
		c.endRequest()
	}
}

// newTable returns the table of a duty and exports its counts.
func (r *Router) newTable(duty connbudget.Duty) *connTable {
	t := newConnTable(duty, r.connLimits[duty], r.clock.now)
	r.locked(func() { r.connTables = append(r.connTables, t) })
	gauge := func(name string, value func(connbudget.Stats) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("catkin_router_connections%s{duty=%q}", name, duty), func() float64 { return value(t.stats()) })
	}
	gauge("", func(s connbudget.Stats) float64 { return float64(s.Open) })
	gauge("_idle", func(s connbudget.Stats) float64 { return float64(s.Idle) })
	gauge("_limit", func(connbudget.Stats) float64 { return float64(r.connLimits[duty]) })
	gauge("_refused_total", func(s connbudget.Stats) float64 { return float64(s.Refused) })
	gauge("_closed_early_total", func(s connbudget.Stats) float64 { return float64(s.Early) })
	gauge("_closed_idle_total", func(s connbudget.Stats) float64 { return float64(s.Expired) })
	return t
}

// watchIdle closes connections at their idle limit until ctx ends.
func (r *Router) watchIdle(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.runGuarded("connections", "idle", r.closeIdle)
		}
	}
}

func (r *Router) closeIdle() {
	var tables []*connTable
	r.locked(func() { tables = r.connTables })
	for _, t := range tables {
		t.closeDue(r.idleTimeout(t.duty))
		if s, changed := t.changedStats(); changed {
			r.log.Warn().Str("duty", string(t.duty)).Int("open", s.Open).Int("idle", s.Idle).Int("limit", r.connLimits[t.duty]).
				Uint64("refused", s.Refused).Uint64("closedEarly", s.Early).Msg("connections near their limit")
		}
	}
}

// idleTimeout returns how long connections may be idle: callers', what the configuration says.
func (r *Router) idleTimeout(duty connbudget.Duty) time.Duration {
	if duty != connbudget.Callers {
		return defaultIdleTimeout
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if table := r.core.Table(); table != nil && table.Config().IdleTimeout > 0 {
		return table.Config().IdleTimeout
	}
	return defaultIdleTimeout
}
