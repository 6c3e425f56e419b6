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
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/shutdown"
	"github.com/catkinstair/catkinstair/platform"
)

// Router is the routing process of one VM.
type Router struct {
	cfg       Config
	settings  *platform.Settings // as read at the start; bounds and store hold what a reload may change
	bounds    atomic.Pointer[platform.Bounds]
	log       zerolog.Logger
	clock     clock
	metrics   *routerMetrics
	logWriter io.Closer

	backendClient *httpcall.Client
	controlClient *httpcall.Client // short calls: store, orders, reports and other VMs
	store         *platform.Store
	peerConn      *net.UDPConn
	auxServers    []*fasthttp.Server // readiness, directory, metrics, changes for other VMs
	workers       *ants.Pool

	// connLimits are the limits of connections by duty.
	connLimits map[connbudget.Duty]int
	bodies     *ingress.Bodies

	// mu guards the fields below, up to connTables, and the wait queue. Nothing blocks
	// while it is held, and a choice takes well under a millisecond, so a lock is cheaper
	// than handing requests to a goroutine.
	mu              sync.Mutex
	core            *dispatch.Core
	election        *leader.Core
	members         map[string]member
	lastServerAdded time.Duration // time on clock when the last new backend server registered
	layersSeen      bool          // a record with held layers has been read
	storeDown       bool          // set by a failed call, cleared by the next successful read
	configValue     []byte        // the configuration in force, as read
	storeEra        uint64        // number of times that the store came back from an older copy
	eraKnown        bool          // storeEra has been read
	eraChanges      int           // changes of storeEra
	eraToRead       bool          // the first state of this era has not been read yet
	olderUpTo       uint64        // records of servers up to this revision of the era are older than what is known
	pendingOrders   map[backend.Instance]pendingOrder
	// recordsReturnUntil is the time on clock until which servers may still write records
	// that expired while the store was unreachable.
	recordsReturnUntil time.Duration

	changeLog        *changefeed.Log[platform.Item] // served to other VMs
	changeLogUpdated chan struct{}                  // closed when changeLog grows or the store is lost
	watchStoreUntil  time.Duration                  // until this time on clock, this VM watches the store itself
	failedWatcher    string                         // address of the watcher that failed last; another is asked first
	ownTryAt         time.Duration                  // until this time on clock, tries to reach the store are left to the watchers
	presenceTryAt    time.Duration                  // the same for the calls of the VM's lease while the store is down

	// refusedRecords holds the revisions of the entries that were refused, by key.
	refusedRecords map[string]uint64

	listeners  []*steadyListener
	connTables []*ingress.Table

	storedBlocks storedBlocks // guarded by mu
	// turnUntil is the time on clock until which other suspects wait for the one that was sent
	// last; guarded by mu.
	turnUntil time.Duration

	// streamDurations estimates how long a stream will last, by service; guarded by mu.
	streamDurations map[string]*shutdown.Durations

	waitQueue   *dispatch.WaitQueue
	streams     *streamTable
	reportCache *resultCache[platform.Report]
	// peerCache holds whether another VM has responded.
	peerCache    *resultCache[struct{}]
	detector     *failureDetector
	sendLoadsNow chan struct{} // signals a finding to send at once
	probeNow     chan struct{} // signals a server that failed
	catchUpFrom  chan string   // VM that knows a newer configuration

	current      *gate        // open while the state of this VM is current
	heldRequests atomic.Int64 // requests that wait at the gate
	pauses       pauseDetector
	pauseCount   atomic.Int64
	// dropMessagesUntil is the time on clock until which load messages are dropped.
	dropMessagesUntil atomic.Int64
	stopping          atomic.Bool
	shutdown          atomic.Pointer[shutdown.Schedule] // nil unless the VM is stopping
	requestsCtx       context.Context                   // of all requests
	cancelRequests    context.CancelCauseFunc           // gives all requests up
	openRequests      atomic.Int64                      // requests in progress
	passedOnRequests  atomic.Int64                      // those of them that other VMs passed on
}

// pendingOrder is an order in progress: the layers that a server will hold, and the time
// on Router.clock from which the server is asked about it.
type pendingOrder struct {
	layers  backend.Layers
	checkAt time.Duration
}

// New returns the Router of a VM.
func New(cfg Config, settings *platform.Settings) (*Router, error) {
	metrics := newRouterMetrics()
	logWriter := obs.NewNonBlockingWriter(os.Stdout, func(dropped int) { metrics.logLinesDropped.Add(dropped) })
	log, err := obs.NewLogger(logWriter, cfg.LogLevel, "catkin-router")
	if err != nil {
		return nil, err
	}
	controlConfig := responseLimits(settings.MemoryMB)
	if cfg.BindOutgoing {
		controlConfig.LocalIP = net.ParseIP(settings.IP)
	}
	backendConfig := controlConfig
	backendConfig.DialTimeout = cfg.DialTimeout
	backendClient, err := httpcall.New(backendConfig)
	if err != nil {
		return nil, err
	}
	controlClient, err := httpcall.New(controlConfig)
	if err != nil {
		return nil, err
	}
	workers, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "creating worker pool")
	}
	cfg.Dispatch.VM, cfg.Dispatch.Domain = settings.VM, settings.Domain
	cfg.Dispatch.Incarnation = uint64(time.Now().UnixMilli())
	cfg.Dispatch.Retry = retryConfig(settings.Bounds)
	if settings.LinkMbps > 0 {
		cfg.Dispatch.Loads.FindingBytesPerSecond = findingLinkShare * settings.LinkMbps * bitsPerMbit / 8
	}
	r := &Router{
		cfg: cfg, settings: settings, log: log.With().Str("vm", settings.VM).Logger(), clock: newClock(), metrics: metrics, logWriter: logWriter,
		backendClient: backendClient, controlClient: controlClient, store: platform.NewStore(controlClient, settings.Store.Addr), workers: workers,
		core: dispatch.New(cfg.Dispatch), election: leader.New(cfg.Leader, settings.VM),
		members: map[string]member{}, refusedRecords: map[string]uint64{}, pendingOrders: map[backend.Instance]pendingOrder{}, storeDown: true,
		changeLog: changefeed.NewLog[platform.Item](cfg.Changefeed), changeLogUpdated: make(chan struct{}),
		waitQueue: dispatch.NewWaitQueue(cfg.WaitQueue), streams: newStreamTable(), reportCache: newResultCache[platform.Report](), peerCache: newResultCache[struct{}](), sendLoadsNow: make(chan struct{}, 1), probeNow: make(chan struct{}, 1), catchUpFrom: make(chan string, 1),
		current: newGate(), streamDurations: map[string]*shutdown.Durations{},
		connLimits: connbudget.Split(settings.MaxFDs, settings.MemoryMB, callerConnBytes),
	}
	r.bodies = newBodies(cfg, settings.MemoryMB, r.clock.now)
	r.requestsCtx, r.cancelRequests = context.WithCancelCause(context.Background())
	r.detector = newFailureDetector(cfg.Detector, settings.VM, cfg.Dispatch.Incarnation)
	r.detector.dial = r.dialServer
	r.bounds.Store(&settings.Bounds)
	r.store.OnEra, r.store.OnTooLarge, r.store.OwnPrefix = r.observeEra, r.nameTooLarge, systemPrefix
	r.setReached()
	return r, nil
}

const (
	// responseMemoryShare is the share of the VM's memory that the buffered responses of one
	// client may hold.
	responseMemoryShare = 0.1
	// softMemoryShare is the share of the VM's memory from which garbage is collected more
	// often.
	softMemoryShare = 0.7
	bytesPerMB      = 1e6
	// findingLinkShare is the share of the VM's link that messages with findings only may use.
	findingLinkShare = 0.05
	bitsPerMbit      = 1e6
)

// responseLimits returns the default settings of an HTTP client with limits for a VM with
// the given memory, 0 for unknown.
func responseLimits(memoryMB int) httpcall.Config {
	c := httpcall.DefaultConfig()
	if memoryMB > 0 {
		c.MaxBufferedBytes = int64(responseMemoryShare * bytesPerMB * float64(memoryMB))
		c.MaxBodyBytes = min(c.MaxBodyBytes, int(c.MaxBufferedBytes))
	}
	return c
}

func retryConfig(b platform.Bounds) retry.Config {
	return retry.Config{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack, UsableShare: retry.DefaultUsableShare}
}

// Run serves until ctx ends, then stops gracefully within the grace period. It returns an
// error if it cannot listen on one of its addresses.
func (r *Router) Run(ctx context.Context) error {
	defer func() { _ = r.logWriter.Close() }() // the log is gone, so an error cannot be reported
	// The router receives updates until its last request has ended. Its lease and its
	// placement orders end as soon as the stop begins.
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	leaseCtx, cancelLease := context.WithCancel(workCtx)
	defer cancelLease()
	r.log.Info().Str("domain", r.settings.Domain).Str("callers", r.settings.Listen.Callers).Str("version", obs.Version()).Msg("start")
	callers, err := r.serveCallers()
	if err != nil {
		return err
	}
	if err := r.serveAux(); err != nil {
		return err
	}
	if err := r.servePassedOn(); err != nil {
		return err
	}
	if err := r.servePeerRequests(); err != nil {
		return err
	}
	if err := r.openPeerSocket(); err != nil {
		return errors.Wrap(err, "opening the socket for other VMs")
	}
	var workTasks, leaseTasks sync.WaitGroup
	for _, task := range []func(context.Context){r.watchStore, r.receiveLoads, r.sendLoads, r.watchSettings, r.watchPauses, r.watchLinks, r.watchServers, r.watchSilence, r.watchIdle, r.askFindingsWhileStopping, r.catchUp} {
		workTasks.Go(func() { task(workCtx) })
	}
	for _, task := range []func(context.Context){r.maintainPresence, r.runPlacement, r.storeBlockedParts} {
		leaseTasks.Go(func() { task(leaseCtx) })
	}
	<-ctx.Done()
	r.beginShutdown()
	cancelLease()
	var leaving sync.WaitGroup
	leaving.Go(func() {
		leaseTasks.Wait() // otherwise a new lease could be granted after the current one was revoked
		r.revokeLease()
	})
	r.drain(callers)
	cancelWork()
	r.awaitTasks(&leaving, &workTasks)
	r.closeAuxServers()
	r.log.Info().Msg("stop: done")
	return nil
}

// ready reports whether the VM may receive requests, and if not, why.
func (r *Router) ready() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Table() == nil {
		return false, "no configuration yet"
	}
	if !r.current.isOpen() {
		return false, "paused a moment ago, state not read again yet"
	}
	if name := r.notAccepting(); name != "" {
		return false, "no new connections can be accepted: " + name
	}
	return true, ""
}

// pause waits for d plus up to half of d as jitter, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
