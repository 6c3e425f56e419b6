package router

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/changefeed"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/platform"
)

// Router is the process of one VM.
type Router struct {
	cfg    Config
	set    *platform.Settings // as at the start; what may change is in bounds and store
	bounds atomic.Pointer[platform.Bounds]
	log    zerolog.Logger
	clock  clock
	met    *counters
	lines  io.Closer // of the log

	backends *httpcall.Client
	calls    *httpcall.Client // short calls to the store and orders
	store    *platform.Store
	peers    *net.UDPConn
	small    []*fasthttp.Server // readiness, directory, metrics, other VMs
	pool     *ants.Pool

	// mu guards the cores. Nothing blocks while it is held, and a choice takes well
	// under a millisecond, so a lock is cheaper than a hand-over to a goroutine.
	mu       sync.Mutex
	core     *dispatch.Core
	duty     *leader.Core
	members  map[string]member
	lastNew  time.Duration // when the last new backend server came
	everHeld bool          // a backend server was seen holding layers
	away     bool          // the store could not be read
	moving   map[backend.Instance]movement

	changed     *changefeed.Log[platform.Item] // for VMs that ask this one
	moreChanges chan struct{}                  // closed when changed grows
	directUntil time.Duration                  // no reader is asked before
	avoidReader string                         // the reader that failed last

	line    *dispatch.WaitQueue
	streams *streamTable
	reports *reports
	news    chan struct{} // a server was found lost

	stopping atomic.Bool
	open     atomic.Int64 // requests in progress
}

// movement is an order under way: the layers that a server will hold.
type movement struct {
	layers backend.Layers
	until  time.Duration
}

// New returns the Router of a VM.
func New(cfg Config, set *platform.Settings) (*Router, error) {
	met := newCounters()
	lines := obs.NewNonBlockingWriter(os.Stdout, func(lost int) { met.linesLost.Add(lost) })
	log, err := obs.NewLogger(lines, cfg.LogLevel, "catkin-router")
	if err != nil {
		return nil, err
	}
	hc := httpcall.DefaultConfig()
	hc.DialTimeout = cfg.DialTimeout
	backends, err := httpcall.New(hc)
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "pool of workers")
	}
	cfg.Dispatch.VM, cfg.Dispatch.Domain = set.VM, set.Domain
	cfg.Dispatch.Incarnation = uint64(time.Now().UnixMilli())
	cfg.Dispatch.Retry = retryConfig(set.Bounds)
	calls := httpcall.NewDefault()
	r := &Router{
		cfg: cfg, set: set, log: log.With().Str("vm", set.VM).Logger(), clock: newClock(), met: met, lines: lines,
		backends: backends, calls: calls, store: platform.NewStore(calls, set.Store.Addr), pool: pool,
		core: dispatch.New(cfg.Dispatch), duty: leader.New(cfg.Duty, set.VM),
		members: map[string]member{}, moving: map[backend.Instance]movement{}, away: true,
		changed: changefeed.NewLog[platform.Item](cfg.Follow), moreChanges: make(chan struct{}),
		line: dispatch.NewWaitQueue(cfg.Line), streams: newStreamTable(), reports: newReports(), news: make(chan struct{}, 1),
	}
	r.bounds.Store(&set.Bounds)
	return r, nil
}

func retryConfig(b platform.Bounds) retry.Config {
	return retry.Config{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack, UsableShare: retry.DefaultUsableShare}
}

// Run serves until ctx ends, then stops as planned: no request is cut short.
func (r *Router) Run(ctx context.Context) error {
	defer func() { _ = r.lines.Close() }() // nothing is left to be told of a failure
	// What the VM is told goes on until its last request has ended; what it does for
	// others ends as soon as it leaves.
	work, end := context.WithCancel(context.Background())
	defer end()
	holding, letGo := context.WithCancel(work)
	defer letGo()
	r.log.Info().Str("domain", r.set.Domain).Str("callers", r.set.Listen.Callers).Str("version", obs.Version()).Msg("start")
	callers, err := r.serveCallers()
	if err != nil {
		return err
	}
	if err := r.serveSmall(); err != nil {
		return err
	}
	if err := r.servePeers(); err != nil {
		return err
	}
	if err := r.listenPeers(); err != nil {
		return errors.Wrap(err, "socket for other VMs")
	}
	var duties, held sync.WaitGroup
	for _, d := range []func(context.Context){r.followStore, r.hearLoads, r.tellLoads, r.followSettings} {
		duties.Go(func() { d(work) })
	}
	for _, d := range []func(context.Context){r.keepPresence, r.giveOrders} {
		held.Go(func() { d(holding) })
	}
	<-ctx.Done()
	r.stopping.Store(true)
	letGo()
	held.Wait() // no lease is taken after the one that is ended next
	r.stop(callers)
	end()
	duties.Wait()
	for _, s := range r.small {
		if err := s.Shutdown(); err != nil {
			r.log.Warn().Err(err).Msg("stop: server")
		}
	}
	return nil
}

// stop is the planned stop. The VM leaves the directory at once, serves on while
// callers may hold its address, and ends when its last request has.
func (r *Router) stop(callers *fasthttp.Server) {
	began := time.Now()
	r.log.Info().Int64("requests", r.open.Load()).Msg("stop: leaving the directory")
	r.leaveStore()
	last := began.Add(r.bounds.Load().Grace - r.cfg.StopMargin)
	time.Sleep(time.Until(began.Add(r.cfg.ListenAfterStop)))
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		r.log.Warn().Err(err).Int64("requests", r.open.Load()).Msg("stop: the time is up")
		return
	}
	for r.open.Load() > 0 && time.Now().Before(last) {
		time.Sleep(20 * time.Millisecond)
	}
	r.log.Info().Dur("took", time.Since(began)).Msg("stop: done")
}

// ready reports whether the VM may take requests, and why not.
func (r *Router) ready() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Table() == nil {
		return false, "no configuration yet"
	}
	return true, ""
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	return l, errors.Wrapf(err, "listening on %s", addr)
}

// pause waits for d and up to a half more, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
