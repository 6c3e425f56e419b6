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

// Config configures a Process.
type Config struct {
	// Name is the core's name in traces and metrics: "entry" or "control".
	Name string
	// VM is the VM's name in log lines.
	VM string
	// InboxSize is the capacity of the core's event queue.
	InboxSize int
	// Workers is the maximum number of concurrent blocking calls.
	Workers int
	// Trace is the file for a trace of the core, or "-" for standard output; empty records
	// no trace.
	Trace string
}

// Process holds the common parts of one shell. Its methods are safe for concurrent use,
// except StartTrace, which must be called before the core starts. The function Record must
// be called from the core's goroutine only.
type Process struct {
	Log    zerolog.Logger
	Health *obs.Health
	// Start is the time from which the core's clock counts.
	Start time.Time
	// Ctx is done when the process stops; Cancel cancels it.
	Ctx    context.Context
	Cancel context.CancelFunc

	cfg        Config
	inbox      *queue.Queue[any]
	pool       *ants.Pool
	poolFull   *metrics.Counter
	recorder   *trace.Recorder
	goroutines sync.WaitGroup
}

// New returns a process that is alive and not ready.
func New(cfg Config, log zerolog.Logger) (*Process, error) {
	pool, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the worker pool")
	}
	p := &Process{
		Log:      log.With().Str("vm", cfg.VM).Logger(),
		Health:   &obs.Health{},
		Start:    time.Now(),
		cfg:      cfg,
		inbox:    queue.New[any](cfg.InboxSize),
		pool:     pool,
		poolFull: metrics.GetOrCreateCounter("catkin_" + cfg.Name + "_pool_full_total"),
	}
	p.Ctx, p.Cancel = context.WithCancel(context.Background())
	p.Health.SetReady(false, "no configuration yet")
	return p, nil
}

// Now returns the core's time: the time since Start.
func (p *Process) Now() time.Duration { return time.Since(p.Start) }

// Send queues an event for the core. It blocks while the queue is full, so the core's own
// goroutine, which must never block, must not call it.
func (p *Process) Send(event any) {
	p.inbox.Send(p.Ctx.Done(), event)
}

// TrySend queues an event for the core and reports whether there was space.
func (p *Process) TrySend(event any) bool { return p.inbox.TrySend(event) }

// Events returns the channel on which the core receives events.
func (p *Process) Events() <-chan any { return p.inbox.Items() }

// PendingEvents returns the number of events queued for the core.
func (p *Process) PendingEvents() int { return p.inbox.Len() }

// Submit runs blocking work on the pool. It returns false if the pool is full.
func (p *Process) Submit(work func()) bool {
	if err := p.pool.Submit(work); err != nil {
		p.poolFull.Inc()
		return false
	}
	return true
}

// Go calls run in a new goroutine that Close waits for.
func (p *Process) Go(run func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		run()
	}()
}

// LogExit logs the error with which the named component exited, if any.
func (p *Process) LogExit(name string, err error) {
	if err != nil {
		p.Log.Error().Err(err).Msg(name + " exited")
	}
}

// Close waits for the goroutines started by Go and releases the pool.
func (p *Process) Close() {
	p.goroutines.Wait()
	p.pool.Release()
	p.Log.Info().Msg("stopped")
}

// StartTrace starts a trace of a core with the given configuration, if Config.Trace is set.
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
	recorder, err := trace.NewRecorder(out, p.cfg.Name, config)
	p.recorder = recorder
	return err
}

// Record writes a step of the core to the trace, if there is one. After a write error
// recording stops and the process continues.
func Record[A any](p *Process, now time.Duration, event any, actions []A) {
	if p.recorder == nil {
		return
	}
	if err := trace.Record(p.recorder, now, event, actions); err != nil {
		p.Log.Error().Err(err).Msg("trace write failed, recording stopped")
		p.recorder = nil
	}
}
