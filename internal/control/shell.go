package control

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

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/ring"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// Shell is one catkin-control process.
type Shell struct {
	cfg    Config
	log    zerolog.Logger
	health *obs.Health
	start  time.Time
	core   *node.Control
	inbox  *ring.Ring[any]

	pool   *ants.Pool
	kv     kv.Client
	list   vmlist.Client
	peers  *peer.Client
	server *peer.Server
	admin  *fasthttp.Server
	record *trace.Recorder

	waiters   waiters
	lastEntry atomic.Int64 // process time of the entry's last report
	leaving   atomic.Bool
	handed    atomic.Bool
	// entryLeaves is set once the entry process has reported its planned stop.
	entryLeaves atomic.Bool
	// drained is closed once an operator asks for the planned stop of this VM;
	// drainedBy is who did.
	drained   chan struct{}
	drainOnce sync.Once
	drainedBy string

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
	s.drained = make(chan struct{})
	s.waiters.init()
	s.health.SetReady(false, "no configuration yet")
	if err := s.buildCore(); err != nil {
		return nil, err
	}
	return s, s.buildClients()
}

func (s *Shell) buildCore() error {
	cfg := node.DefaultControlConfig(node.ControlSettings{
		Self: s.cfg.Self, Place: s.cfg.Place, EntryAddr: s.cfg.EntryAddr, EntryPeerAddr: s.cfg.EntryPeerAddr,
		ControlAddr: s.cfg.Listen, Seeds: s.cfg.Seeds, ListEvery: s.cfg.ListEvery, StartUnix: s.start.Unix(), Seed: uint64(s.start.UnixNano()),
	})
	core, err := node.NewControl(cfg)
	if err != nil {
		return err
	}
	s.core = core
	if s.cfg.TraceFile == "" {
		return nil
	}
	out := io.Writer(os.Stdout)
	if s.cfg.TraceFile != "-" {
		if out, err = os.OpenFile(s.cfg.TraceFile, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600); err != nil {
			return errors.Wrap(err, "open the trace")
		}
	}
	s.record, err = trace.NewRecorder(out, "control", cfg)
	return err
}

func (s *Shell) buildClients() error {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "pool of workers")
	}
	s.pool = pool
	calls := httpcall.Default()
	s.kv = kv.NewHTTP(s.cfg.KV, calls)
	s.list = vmlist.NewHTTP(s.cfg.VMList, calls)
	peerCfg := peer.DefaultConfig()
	peerCfg.TLS = s.cfg.TLS
	if s.peers, err = peer.NewClient(peerCfg); err != nil {
		return err
	}
	if s.server, err = peer.NewServer(peerCfg); err != nil {
		return err
	}
	s.handlePeers()
	s.admin = &fasthttp.Server{Handler: s.serveAdmin(), Name: "catkin-control", CloseOnShutdown: true}
	return nil
}

// now is the core's time.
func (s *Shell) now() time.Duration { return time.Since(s.start) }

// Run serves until the context ends and the planned stop is through.
func (s *Shell) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	admin, err := net.Listen("tcp", s.cfg.AdminListen)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for operators")
	}
	s.send(membership.Seeds{Addrs: s.cfg.Seeds})
	s.duty(s.loop)
	s.readListAfter(0)
	s.duty(func() { s.logEnd("peer server", s.server.Serve(peers)) })
	s.duty(func() { s.logEnd("administration server", s.serveAdminOn(admin)) })
	s.log.Info().Str("listen", s.cfg.Listen).Str("admin", s.cfg.AdminListen).Msg("serving")
	select {
	case <-ctx.Done():
		s.stop()
	case <-s.drained:
		s.leave(s.drainedBy)
	case <-s.ctx.Done():
	}
	s.end()
	s.closeServers()
	_ = admin.Close() // a stop during the start may come before the server knows its listener
	s.duties.Wait()
	s.peers.Close()
	s.pool.Release()
	s.log.Info().Msg("stopped")
	return nil
}

func (s *Shell) serveAdminOn(listener net.Listener) error {
	if s.cfg.AdminCert != "" {
		return s.admin.ServeTLS(listener, s.cfg.AdminCert, s.cfg.AdminKey)
	}
	return s.admin.Serve(listener)
}

func (s *Shell) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.logEnd("administration server", s.admin.ShutdownWithContext(ctx))
	s.server.Stop(time.Second)
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

// send hands an event to the core; it waits for room in the ring.
func (s *Shell) send(event any) {
	s.inbox.Send(s.ctx.Done(), event)
}

func (s *Shell) submit(work func()) bool {
	if err := s.pool.Submit(work); err != nil {
		metrics.GetOrCreateCounter(`catkin_control_pool_full_total`).Inc()
		return false
	}
	return true
}

// serveAdmin answers probes and operators.
func (s *Shell) serveAdmin() fasthttp.RequestHandler {
	api := adminapi.Handler(&administration{shell: s}, s.cfg.Keys)
	return func(ctx *fasthttp.RequestCtx) {
		if s.health.Serve(ctx) {
			return
		}
		api(ctx)
	}
}
