package control

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// Config holds the settings of a catkin-control process.
type Config struct {
	// Self names this VM and the incarnation of this process.
	Self  ident.Instance
	Place ident.Place
	// Listen is the address for peers and this VM's entry process, "ip:port".
	Listen string
	// AdminListen is the address for operators and probes, "ip:port".
	AdminListen string
	// EntryAddr is the address of this VM's entry process for callers, EntryPeerAddr
	// for other entry processes.
	EntryAddr     string
	EntryPeerAddr string
	// KV and VMList are the addresses of the platform's key-value service and VM list.
	KV     string
	VMList string
	// Seeds are control addresses of other VMs.
	Seeds []string
	// OperatorKeys are the operators' keys for the administration API.
	OperatorKeys adminapi.Keys
	// TLS secures the connections between processes.
	TLS peer.TLSFiles
	// AdminCertFile and AdminKeyFile are the PEM files of the administration API's
	// certificate and private key; empty for plaintext.
	AdminCertFile, AdminKeyFile string
	// ListEvery is the shortest time between two reads of the VM list. Default 2 s.
	ListEvery time.Duration
	// StopTimeout limits the time of a planned stop. Default 2 min.
	StopTimeout time.Duration
	// TraceFile receives a trace of the core, "-" for standard output.
	TraceFile string
}

// Sizes and timeouts that are not configurable.
const (
	// Limits of the administration server. A sheet of the largest fleet has some hundred kB.
	maxAdminConns       = 256
	maxAdminBodyBytes   = 4 << 20
	adminMemoryBytes    = 16 << 20
	adminIdleTimeout    = 2 * time.Minute
	adminReceiveTimeout = 30 * time.Second

	inboxSize         = 1 << 14 // events waiting for the core
	workers           = 512     // concurrent calls to peers and services
	tickInterval      = 100 * time.Millisecond
	listTimeout       = 2 * time.Second
	configTimeout     = time.Second
	leaseTimeout      = time.Second
	borrowTimeout     = time.Second
	publishEveryTicks = 10 // ticks between updates of readiness and metrics
	// handOverTimeout bounds the wait for other VMs to take over the slots.
	handOverTimeout = 5 * time.Second
	// entryStopWait is how long a signalled control process waits for its entry
	// process to report that it is stopping too.
	entryStopWait = 1500 * time.Millisecond
	// leaveDelay is the time left for sending the last messages.
	leaveDelay = 3 * tickInterval
	// entryTimeout is the time without a report after which the entry process is
	// assumed to have ended.
	entryTimeout = time.Second
)
