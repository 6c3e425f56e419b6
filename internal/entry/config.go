package entry

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// Config holds the operator's settings of a catkin-entry process.
type Config struct {
	// Self is this VM and the incarnation of this process.
	Self  ident.Instance
	Place ident.Place
	// Listen is the address of the callers' HTTP server, "ip:port", as published to
	// callers.
	Listen string
	// PeerListen is the address for other entries, "ip:port".
	PeerListen string
	// Control is the address of the VM's own control process.
	Control string
	// KV is the address of the platform's key-value service.
	KV string
	// TLS secures the links to the control processes and to other entries.
	TLS peer.TLSFiles
	// CompletionTimeout bounds a completion whose caller sets no timeout. Default
	// 2 min.
	CompletionTimeout time.Duration
	// CallTimeout bounds a call whose caller sets no timeout. Default 10 s.
	CallTimeout time.Duration
	// Workers limits the number of blocking calls in progress. Default 4096.
	Workers int
	// MaxBodyBytes limits a caller's request body, in bytes. Default 4 MiB.
	MaxBodyBytes int
	// MaxConns limits the connections of callers. Default 4096.
	MaxConns int
	// BodyMemoryMB is what the bodies of all requests and responses may hold together, in MB.
	// A single body of MaxBodyBytes fits always. Default 64.
	BodyMemoryMB int
	// ReceiveTimeout is how long a request may take from its first byte until it has been
	// read whole. Default 30 s.
	ReceiveTimeout time.Duration
	// AddressLifetime is how long a caller may keep the list of entry addresses.
	// Default 30 s.
	AddressLifetime time.Duration
	// CheckpointEvery is the number of tokens between exports of a stream's KV
	// caches; 0 disables them. Default 0.
	CheckpointEvery int
	// NonIdempotentGET lists services whose GET calls may not be retried.
	NonIdempotentGET []string
	// IdempotentServices lists services all of whose calls may be retried.
	IdempotentServices []string
	// TraceFile receives a trace of the core, "-" for standard output; empty
	// disables it. Use standard output or a pipe: VMs have no persistent storage.
	TraceFile string
}

// Internal limits and timings, not configurable.
const (
	// callerIdleTimeout is how long a caller's connection may be idle.
	callerIdleTimeout = 2 * time.Minute
	bytesPerMB        = 1e6

	inboxSize        = 1 << 16
	tickInterval     = 10 * time.Millisecond
	maxStepsPerCall  = 64
	sendersPerEngine = 4
	// stepTimeout bounds a call that sends steps. The core treats a step's reply as
	// lost much earlier; this timeout only frees the worker.
	stepTimeout   = 10 * time.Second
	importTimeout = 2 * time.Second
	cancelTimeout = 500 * time.Millisecond
	// snapshotWait is how long the control process may delay a snapshot without
	// changes.
	snapshotWait       = 10 * time.Second
	snapshotRetryDelay = 200 * time.Millisecond
	reportInterval     = 200 * time.Millisecond
	// maxReportInterval is the interval of reports without observations.
	maxReportInterval  = 600 * time.Millisecond
	loadPollInterval   = 250 * time.Millisecond
	loadPollTimeout    = 500 * time.Millisecond
	borrowTimeout      = 400 * time.Millisecond
	grantTimeout       = 500 * time.Millisecond
	claimTimeout       = time.Second
	flushTimeout       = 5 * time.Second
	maxStoredBodyBytes = 16 << 10
)
