package router

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinstair/catkinstair/internal/bodybudget"
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
)

const (
	// callerConnBytes is about what a caller's connection holds: the buffers of reading and
	// writing and a goroutine.
	callerConnBytes = maxHeaderBytes + 16<<10
	// defaultIdleTimeout closes abandoned connections while no configuration is known, and
	// those of others than callers.
	defaultIdleTimeout = 2 * time.Minute
	// stoppingReceiveTimeout is how long a request may take to arrive while the VM stops.
	stoppingReceiveTimeout = 2 * time.Second
)

// newBodies returns the budget of bodies of a VM with the given memory, 0 for unknown, and exports
// its counts.
func newBodies(cfg Config, memoryMB int, now func() time.Duration) *ingress.Bodies {
	limit := bodybudget.Limit(memoryMB, maxBodyBytes)
	if cfg.BodyMemoryMB > 0 {
		limit = int64(bytesPerMB * cfg.BodyMemoryMB)
	}
	b := ingress.NewBodies(bodybudget.DefaultConfig(limit), now)
	gauge := func(name string, value func(bodybudget.Stats) float64) {
		metrics.GetOrCreateGauge("catkin_router_bodies_"+name, func() float64 { return value(b.Stats()) })
	}
	gauge("bytes", func(s bodybudget.Stats) float64 { return float64(s.Held) })
	gauge("limit_bytes", func(bodybudget.Stats) float64 { return float64(limit) })
	gauge("moving", func(s bodybudget.Stats) float64 { return float64(s.Moving) })
	gauge("refused_total", func(s bodybudget.Stats) float64 { return float64(s.Refused) })
	gauge("given_up_total", func(s bodybudget.Stats) float64 { return float64(s.Evicted) })
	return b
}

// newTable returns the table of a duty and exports its counts.
func (r *Router) newTable(duty connbudget.Duty) *ingress.Table {
	t := ingress.NewTable(duty, r.connLimits[duty], r.clock.now, r.bodies)
	r.locked(func() { r.connTables = append(r.connTables, t) })
	gauge := func(name string, value func(connbudget.Stats) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("catkin_router_connections%s{duty=%q}", name, duty), func() float64 { return value(t.Stats()) })
	}
	gauge("", func(s connbudget.Stats) float64 { return float64(s.Open) })
	gauge("_idle", func(s connbudget.Stats) float64 { return float64(s.Idle) })
	gauge("_limit", func(connbudget.Stats) float64 { return float64(r.connLimits[duty]) })
	gauge("_refused_total", func(s connbudget.Stats) float64 { return float64(s.Refused) })
	gauge("_closed_early_total", func(s connbudget.Stats) float64 { return float64(s.Early) })
	gauge("_closed_idle_total", func(s connbudget.Stats) float64 { return float64(s.Expired) })
	gauge("_receiving", func(s connbudget.Stats) float64 { return float64(s.Receiving) })
	gauge("_closed_stalled_total", func(s connbudget.Stats) float64 { return float64(s.Stalled) })
	gauge("_closed_overdue_total", func(s connbudget.Stats) float64 { return float64(s.Overdue) })
	return t
}

// watchIdle closes connections at their idle limit until ctx ends.
func (r *Router) watchIdle(ctx context.Context) {
	tick := time.NewTicker(ingress.CheckInterval)
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
	var tables []*ingress.Table
	r.locked(func() { tables = r.connTables })
	for _, t := range tables {
		t.CloseDue(r.idleTimeout(t.Duty()), r.receiveTimeout())
		if s, changed := t.ChangedStats(); changed {
			r.log.Warn().Str("duty", string(t.Duty())).Int("open", s.Open).Int("idle", s.Idle).Int("limit", r.connLimits[t.Duty()]).
				Uint64("refused", s.Refused).Uint64("closedEarly", s.Early).Int("receiving", s.Receiving).Uint64("closedStalled", s.Stalled).Msg("connections near their limit")
		}
	}
}

// receiveTimeout returns how long a request may take to arrive. A planned stop waits for
// connections on which a request has begun.
func (r *Router) receiveTimeout() time.Duration {
	if r.stopping.Load() {
		return min(r.cfg.ReceiveTimeout, stoppingReceiveTimeout)
	}
	return r.cfg.ReceiveTimeout
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
