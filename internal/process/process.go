// Package process is what the shells of the system's processes share: the ring
// into the core, the pool for blocking calls, the duties, the trace, and the
// settings that name a VM.
package process

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/queue"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// Config sizes a Process.
type Config struct {
	// Name is "entry" or "control"; it names the core in traces and metrics.
	Name string
	// VM is the name of the VM, for log lines.
	VM string
	// Inbox is the number of events that may wait for the core.
	InboxSize int
	// Workers bounds the blocking calls in progress.
	Workers int
	// Trace receives a trace of the core, "-" for standard output; empty records
	// none.
	Trace string
}

// Process is the frame of one shell. Its methods may be called from any
// goroutine, but for Record, which belongs to the core's.
type Process struct {
	Log    zerolog.Logger
	Health *obs.Health
	// Start is time zero of the core.
	Start time.Time
	// Ctx ends when the process does; End ends it.
	Ctx    context.Context
	Cancel context.CancelFunc

	cfg    Config
	inbox  *queue.Queue[any]
	pool   *ants.Pool
	full   *metrics.Counter
	record *trace.Recorder
	duties sync.WaitGroup
}

// New returns a frame whose process is alive and not ready.
func New(cfg Config, log zerolog.Logger) (*Process, error) {
	pool, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "pool of workers")
	}
	p := &Process{
		Log:    log.With().Str("vm", cfg.VM).Logger(),
		Health: &obs.Health{},
		Start:  time.Now(),
		cfg:    cfg,
		inbox:  queue.New[any](cfg.InboxSize),
		pool:   pool,
		full:   metrics.GetOrCreateCounter("catkin_" + cfg.Name + "_pool_full_total"),
	}
	p.Ctx, p.Cancel = context.WithCancel(context.Background())
	p.Health.SetReady(false, "no configuration yet")
	return p, nil
}

// Now is the core's time.
func (p *Process) Now() time.Duration { return time.Since(p.Start) }

// Send hands an event to the core. It waits for room in the ring: the core's
// loop never waits for anything, so nothing on that goroutine may call it.
func (p *Process) Send(event any) {
	p.inbox.Send(p.Ctx.Done(), event)
}

// TrySend hands an event to the core if there is room.
func (p *Process) TrySend(event any) bool { return p.inbox.TrySend(event) }

// Events is the core's side of the ring.
func (p *Process) Events() <-chan any { return p.inbox.Items() }

// Waiting is the number of events that wait for the core.
func (p *Process) PendingEvents() int { return p.inbox.Len() }

// Submit runs blocking work on the pool, or reports that it is full.
func (p *Process) Submit(work func()) bool {
	if err := p.pool.Submit(work); err != nil {
		p.full.Inc()
		return false
	}
	return true
}

// Duty runs one duty on a goroutine of its own; Close waits for it.
func (p *Process) Go(run func()) {
	p.duties.Add(1)
	go func() {
		defer p.duties.Done()
		run()
	}()
}

// LogEnd logs an error that ended something.
func (p *Process) LogExit(what string, err error) {
	if err != nil {
		p.Log.Error().Err(err).Msg(what + " ended")
	}
}

// Close waits for the duties and frees the pool.
func (p *Process) Close() {
	p.duties.Wait()
	p.pool.Release()
	p.Log.Info().Msg("stopped")
}

// StartTrace begins the trace of a core with the given configuration, if one is
// asked for.
func (p *Process) StartTrace(config any) error {
	if p.cfg.Trace == "" {
		return nil
	}
	out := io.Writer(os.Stdout)
	if p.cfg.Trace != "-" {
		file, err := os.OpenFile(p.cfg.Trace, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return errors.Wrap(err, "open the trace")
		}
		out = file
	}
	record, err := trace.NewRecorder(out, p.cfg.Name, config)
	p.record = record
	return err
}

// Record notes a step of the core in the trace, if there is one. A trace that
// can't be written ends; the process goes on.
func Record[A any](p *Process, now time.Duration, event any, actions []A) {
	if p.record == nil {
		return
	}
	if err := trace.Record(p.record, now, event, actions); err != nil {
		p.Log.Error().Err(err).Msg("trace ends")
		p.record = nil
	}
}
