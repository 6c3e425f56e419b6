package entry

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/process"
)

// Shell is one catkin-entry process.
type Shell struct {
	*process.Process
	cfg   Config
	core  *node.Entry
	state atomic.Pointer[node.EntryState]

	engines    engine.Client
	apps       app.Client
	kv         kv.Client
	peers      *peer.Client
	server     *peer.Server
	httpServer *fasthttp.Server
	limiter    *ingress.Limiter // of httpServer

	directory   directory
	mailboxes   mailboxes
	calls       callTable
	stepQueues  stepQueues
	observed    observations
	loadTargets atomic.Pointer[[]string]
	linkDelays  linkDelays
	cursors     cacheCursors
}

// New prepares a shell; Run starts it.
func New(cfg Config, log zerolog.Logger) (*Shell, error) {
	proc, err := process.New(process.Config{Name: "entry", VM: string(cfg.Self.VM), InboxSize: inboxSize,
		Workers: cfg.Workers, Trace: cfg.TraceFile}, log)
	if err != nil {
		return nil, err
	}
	s := &Shell{Process: proc, cfg: cfg}
	s.mailboxes.init()
	s.calls.init()
	s.stepQueues.init(s)
	s.observed.init()
	s.linkDelays.init()
	s.cursors.init()
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
		StartUnix: s.Start.Unix(), Seed: uint64(s.Start.UnixNano()),
	}
	cfg := node.DefaultEntryConfig(settings)
	cfg.List = cfg.List.WithLifetime(s.cfg.AddressLifetime)
	cfg.Stream.CheckpointEvery = s.cfg.CheckpointEvery
	core, err := node.NewEntry(cfg)
	if err != nil {
		return err
	}
	s.core = core
	return s.StartTrace(cfg)
}

func (s *Shell) buildClients() error {
	calls := httpcall.NewDefault()
	s.engines = engine.NewHTTP(calls)
	s.apps = app.NewHTTP(calls)
	s.kv = kv.NewHTTP(s.cfg.KV, calls)
	peerCfg := peer.DefaultConfig()
	peerCfg.TLS = s.cfg.TLS
	var err error
	if s.peers, err = peer.NewClient(peerCfg); err != nil {
		return err
	}
	s.server, err = peer.NewServer(peerCfg)
	return err
}

func (s *Shell) buildServers() error {
	s.handlePeers()
	s.httpServer = &fasthttp.Server{
		Handler:               s.serve,
		Name:                  "catkin-entry",
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	s.limiter = ingress.NewLimiter(ingress.Limits{
		Conns: s.cfg.MaxConns, BodyBytes: s.cfg.MaxBodyBytes, MemoryBytes: int64(bytesPerMB * s.cfg.BodyMemoryMB),
		IdleTimeout: callerIdleTimeout, ReceiveTimeout: s.cfg.ReceiveTimeout,
	}, connbudget.Callers, s.Now)
	s.limiter.Apply(s.httpServer, refuseUnread)
	return nil
}

// Run serves until ctx ends and the planned stop that follows is complete; requests in
// progress are finished. A second cancellation has no effect; to stop at once, end the
// process.
func (s *Shell) Run(ctx context.Context) error {
	callerListener, err := ingress.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", s.cfg.PeerListen)
	if err != nil {
		_ = callerListener.Close()
		return errors.Wrap(err, "listen for peers")
	}
	s.Go(s.loop)
	s.Go(s.pollSnapshot)
	s.Go(s.sendReports)
	s.Go(s.pollLoads)
	s.Go(func() { s.LogExit("peer server", s.server.Serve(peerListener)) })
	s.Go(func() { s.LogExit("callers' server", s.httpServer.Serve(s.limiter.Listener(callerListener))) })
	s.Go(func() { s.limiter.Run(s.Ctx) })
	s.Log.Info().Str("listen", s.cfg.Listen).Str("peers", s.cfg.PeerListen).Msg("serving")
	select {
	case <-ctx.Done():
		s.Log.Info().Msg("planned stop begins")
		s.Send(drainEvent)
		<-s.Ctx.Done()
	case <-s.Ctx.Done():
	}
	s.closeServers()
	_ = callerListener.Close() // if the stop came before Serve, the server doesn't close it
	s.Close()
	s.peers.Close()
	return nil
}

// closeServers stops both servers and waits up to flushTimeout for responses that
// are still being written.
func (s *Shell) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.LogExit("callers' server", s.httpServer.ShutdownWithContext(ctx))
	s.server.Stop(flushTimeout)
}
