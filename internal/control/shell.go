package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/process"
)

// Shell is one catkin-control process.
type Shell struct {
	*process.Process
	cfg  Config
	core *node.Control

	kv          kv.Client
	vmList      vmlist.Client
	peers       *peer.Client
	peerServer  *peer.Server
	adminServer *fasthttp.Server
	// adminLimiter applies to adminServer.
	adminLimiter *ingress.Limiter

	waiters         waiters
	lastEntryReport atomic.Int64 // process time of the entry's last report
	leaving         atomic.Bool  // the planned stop of this VM has begun
	handedOver      atomic.Bool  // the slots have been handed over
	// entryLeaving is set once the entry process has reported its planned stop.
	entryLeaving atomic.Bool
	// drainRequested is closed when an operator requests the planned stop of this VM;
	// drainOperator is that operator.
	drainRequested chan struct{}
	drainOnce      sync.Once
	drainOperator  string
}

// New creates a shell; Run starts it.
func New(cfg Config, log zerolog.Logger) (*Shell, error) {
	proc, err := process.New(process.Config{Name: "control", VM: string(cfg.Self.VM), InboxSize: inboxSize,
		Workers: workers, Trace: cfg.TraceFile}, log)
	if err != nil {
		return nil, err
	}
	s := &Shell{Process: proc, cfg: cfg}
	s.drainRequested = make(chan struct{})
	s.waiters.init()
	if err := s.buildCore(); err != nil {
		return nil, err
	}
	return s, s.buildClients()
}

func (s *Shell) buildCore() error {
	cfg := node.DefaultControlConfig(node.ControlSettings{
		Self: s.cfg.Self, Place: s.cfg.Place, EntryAddr: s.cfg.EntryAddr, EntryPeerAddr: s.cfg.EntryPeerAddr,
		ControlAddr: s.cfg.Listen, Seeds: s.cfg.Seeds, ListEvery: s.cfg.ListEvery, StartUnix: s.Start.Unix(), Seed: uint64(s.Start.UnixNano()),
	})
	core, err := node.NewControl(cfg)
	if err != nil {
		return err
	}
	s.core = core
	return s.StartTrace(cfg)
}

func (s *Shell) buildClients() error {
	calls := httpcall.NewDefault()
	s.kv = kv.NewHTTP(s.cfg.KV, calls)
	s.vmList = vmlist.NewHTTP(s.cfg.VMList, calls)
	peerCfg := peer.DefaultConfig()
	peerCfg.TLS = s.cfg.TLS
	var err error
	if s.peers, err = peer.NewClient(peerCfg); err != nil {
		return err
	}
	if s.peerServer, err = peer.NewServer(peerCfg); err != nil {
		return err
	}
	s.registerPeerHandlers()
	s.adminServer = &fasthttp.Server{Handler: s.adminHandler(), Name: "catkin-control", CloseOnShutdown: true}
	s.adminLimiter = ingress.NewLimiter(ingress.Limits{
		Conns: maxAdminConns, BodyBytes: maxAdminBodyBytes, MemoryBytes: adminMemoryBytes,
		IdleTimeout: adminIdleTimeout, ReceiveTimeout: adminReceiveTimeout,
	}, connbudget.Admin, s.Now)
	s.adminLimiter.Apply(s.adminServer, adminapi.RefuseUnread)
	return nil
}

// Run serves until the context ends, an operator drains the VM or the process cancels
// itself, and then stops. It returns an error only if it cannot listen.
func (s *Shell) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	adminListener, err := ingress.Listen("tcp", s.cfg.AdminListen)
	if err != nil {
		_ = peerListener.Close()
		return errors.Wrap(err, "listen for operators")
	}
	s.Send(membership.Seeds{Addrs: s.cfg.Seeds})
	s.Go(s.loop)
	s.scheduleListRead(0)
	s.Go(func() { s.LogExit("peer server", s.peerServer.Serve(peerListener)) })
	s.Go(func() { s.LogExit("administration server", s.serveAdmin(s.adminLimiter.Listener(adminListener))) })
	s.Go(func() { s.adminLimiter.Run(s.Ctx) })
	s.Log.Info().Str("listen", s.cfg.Listen).Str("admin", s.cfg.AdminListen).Msg("serving")
	select {
	case <-ctx.Done():
		s.stop()
	case <-s.drainRequested:
		s.leave(s.drainOperator)
	case <-s.Ctx.Done():
	}
	s.Cancel()
	s.closeServers()
	_ = adminListener.Close() // a stop during startup may precede the server's use of its listener
	s.Close()
	s.peers.Close()
	return nil
}

func (s *Shell) serveAdmin(listener net.Listener) error {
	if s.cfg.AdminCertFile != "" {
		return s.adminServer.ServeTLS(listener, s.cfg.AdminCertFile, s.cfg.AdminKeyFile)
	}
	return s.adminServer.Serve(listener)
}

func (s *Shell) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.LogExit("administration server", s.adminServer.ShutdownWithContext(ctx))
	s.peerServer.Stop(time.Second)
}

// adminHandler returns the HTTP handler for probes and operators.
func (s *Shell) adminHandler() fasthttp.RequestHandler {
	api := adminapi.Handler(&adminBackend{shell: s}, s.cfg.OperatorKeys)
	return func(ctx *fasthttp.RequestCtx) {
		if s.Health.Serve(ctx) {
			return
		}
		api(ctx)
	}
}
