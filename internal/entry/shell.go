package entry

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/ring"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// Shell is one catkin-entry process.
type Shell struct {
	cfg    Config
	log    zerolog.Logger
	health *obs.Health
	start  time.Time
	core   *node.Entry
	inbox  *ring.Ring[any]
	state  atomic.Pointer[node.EntryState]

	pool    *ants.Pool
	engines engine.Client
	apps    app.Client
	kv      kv.Client
	peers   *peer.Client
	server  *peer.Server
	http    *fasthttp.Server
	record  *trace.Recorder

	directory directory
	boxes     boxes
	calls     callBook
	lanes     lanes
	observed  observations
	watched   atomic.Pointer[[]string]
	links     links
	hints     hintPolls

	// ctx ends when the shell does; end ends it. Open answers have been
	// written before.
	ctx    context.Context
	end    context.CancelFunc
	duties sync.WaitGroup
}

// New prepares a shell; Run starts it.
func New(cfg Config, log zerolog.Logger) (*Shell, error) {
	s := &Shell{
		cfg:    cfg,
		log:    log.With().Str("vm", string(cfg.Self.VM)).Logger(),
		health: &obs.Health{},
		start:  time.Now(),
		inbox:  ring.New[any](inboxSize),
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.boxes.init()
	s.calls.init()
	s.lanes.init(s)
	s.observed.init()
	s.links.init()
	s.hints.init()
	s.health.SetReady(false, "no configuration yet")
	if err := s.buildCore(); err != nil {
		return nil, err
	}
	if err := s.buildClients(); err != nil {
		return nil, err
	}
	return s, s.buildServers()
}

func (s *Shell) buildCore() error {
	settings := node.EntrySettings{
		Self: s.cfg.Self, Place: s.cfg.Place, Addr: s.cfg.Listen,
		StartUnix: s.start.Unix(), Seed: uint64(s.start.UnixNano()),
	}
	cfg := node.DefaultEntryConfig(settings)
	cfg.List = cfg.List.WithLifetime(s.cfg.Lifetime)
	cfg.Stream.CheckpointEvery = s.cfg.CheckpointEvery
	core, err := node.NewEntry(cfg)
	if err != nil {
		return err
	}
	s.core = core
	return s.startTrace(cfg)
}

func (s *Shell) startTrace(cfg node.EntryConfig) error {
	if s.cfg.TraceFile == "" {
		return nil
	}
	out := io.Writer(os.Stdout)
	if s.cfg.TraceFile != "-" {
		file, err := os.OpenFile(s.cfg.TraceFile, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return errors.Wrap(err, "open the trace")
		}
		out = file
	}
	record, err := trace.NewRecorder(out, "entry", cfg)
	s.record = record
	return err
}

func (s *Shell) buildClients() error {
	pool, err := ants.NewPool(s.cfg.Workers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "pool of workers")
	}
	s.pool = pool
	calls := httpcall.Default()
	s.engines = engine.NewHTTP(calls)
	s.apps = app.NewHTTP(calls)
	s.kv = kv.NewHTTP(s.cfg.KV, calls)
	peerCfg := peer.DefaultConfig()
	peerCfg.TLS = s.cfg.TLS
	if s.peers, err = peer.NewClient(peerCfg); err != nil {
		return err
	}
	s.server, err = peer.NewServer(peerCfg)
	return err
}

func (s *Shell) buildServers() error {
	s.handlePeers()
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		Name:                  "catkin-entry",
		MaxRequestBodySize:    s.cfg.MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return nil
}

// now is the core's time.
func (s *Shell) now() time.Duration { return time.Since(s.start) }

// Run serves until the context ends and the planned stop is through: no request
// is cut. A second cancellation is not awaited; end the process to stop at once.
func (s *Shell) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", s.cfg.PeerListen)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "listen for peers")
	}
	s.duty(s.loop)
	s.duty(s.pollSnapshot)
	s.duty(s.sendReports)
	s.duty(s.pollLoads)
	s.duty(func() { s.logEnd("peer server", s.server.Serve(peers)) })
	s.duty(func() { s.logEnd("callers' server", s.http.Serve(callers)) })
	s.log.Info().Str("listen", s.cfg.Listen).Str("peers", s.cfg.PeerListen).Msg("serving")
	select {
	case <-ctx.Done():
		s.log.Info().Msg("planned stop begins")
		s.send(drainEvent)
		<-s.ctx.Done()
	case <-s.ctx.Done():
	}
	s.closeServers()
	_ = callers.Close() // a stop during the start may come before the server knows its listener
	s.duties.Wait()
	s.peers.Close()
	s.pool.Release()
	s.log.Info().Msg("stopped")
	return nil
}

// closeServers waits for answers that are still being written.
func (s *Shell) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.logEnd("callers' server", s.http.ShutdownWithContext(ctx))
	s.server.Stop(flushTimeout)
}

func (s *Shell) duty(run func()) {
	s.duties.Add(1)
	go func() {
		defer s.duties.Done()
		run()
	}()
}

func (s *Shell) logEnd(what string, err error) {
	if err != nil {
		s.log.Error().Err(err).Msg(what + " ended")
	}
}

// send hands an event to the core. It waits for room in the ring: the core's
// loop never waits for anything.
func (s *Shell) send(event any) {
	s.inbox.Send(s.ctx.Done(), event)
}

// submit runs blocking work on the pool, or reports that it is full.
func (s *Shell) submit(work func()) bool {
	if err := s.pool.Submit(work); err != nil {
		metrics.GetOrCreateCounter(`catkin_entry_pool_full_total`).Inc()
		return false
	}
	return true
}
