package entry

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// Config is what an operator sets of a catkin-entry process.
type Config struct {
	// Self names this VM and the life of this process.
	Self  ident.Instance
	Place ident.Place
	// Listen is where the callers' HTTP server listens, "ip:port". Callers are
	// told this address.
	Listen string
	// PeerListen is where other entries connect, "ip:port".
	PeerListen string
	// Control is the address of the VM's own control process.
	Control string
	// KV is the address of the platform's key-value service.
	KV string
	// TLS secures the links to the control processes and to other entries.
	TLS peer.TLSFiles
	// DefaultTimeout bounds a completion whose caller names none. Default 2 min.
	DefaultTimeout time.Duration
	// CallTimeout bounds a call whose caller names none. Default 10 s.
	CallTimeout time.Duration
	// Workers bounds the blocking calls in progress. Default 4096.
	Workers int
	// MaxBodyBytes bounds a caller's request body. Default 4 MiB.
	MaxBodyBytes int
	// Lifetime is how long a caller may keep the addresses. Default 30 s.
	Lifetime time.Duration
	// CheckpointEvery is the number of tokens between exports of KV caches; 0
	// asks for none. Default 0.
	CheckpointEvery int
	// NonIdempotentGET lists services whose GET calls may not be repeated.
	NonIdempotentGET []string
	// IdempotentServices lists services all of whose calls may be repeated.
	IdempotentServices []string
	// TraceFile receives a trace of the core, "-" for standard output; empty
	// records none. It is meant for a stream: VMs keep nothing.
	TraceFile string
}

// Sizes and times of the shell that are no operator's matter.
const (
	inboxSize      = 1 << 16
	tickEvery      = 10 * time.Millisecond
	maxBatch       = 64
	lanesPerEngine = 4
	// stepTimeout bounds a call to an engine. The core decides much earlier
	// that a step's reply is lost; this only frees the worker.
	stepTimeout     = 10 * time.Second
	importTimeout   = 2 * time.Second
	cancelTimeout   = 500 * time.Millisecond
	snapshotWait    = 10 * time.Second
	snapshotRetry   = 200 * time.Millisecond
	reportEvery     = 200 * time.Millisecond
	quietReport     = 600 * time.Millisecond
	loadPollEvery   = 250 * time.Millisecond
	loadPollTimeout = 500 * time.Millisecond
	borrowTimeout   = 400 * time.Millisecond
	grantTimeout    = 500 * time.Millisecond
	claimTimeout    = time.Second
	flushTimeout    = 5 * time.Second
	maxStoredBody   = 16 << 10
)
