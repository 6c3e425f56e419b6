package control

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// Config is what an operator sets of a catkin-control process.
type Config struct {
	// Self names this VM and the life of this process.
	Self  ident.Instance
	Place ident.Place
	// Listen is where peers and this VM's entry process connect, "ip:port".
	Listen string
	// AdminListen is where operators and probes connect, "ip:port".
	AdminListen string
	// EntryAddr is where callers connect to this VM's entry, EntryPeerAddr where
	// other entries do.
	EntryAddr     string
	EntryPeerAddr string
	// KV and VMList are the platform's services.
	KV     string
	VMList string
	// Seeds are control addresses of other VMs.
	Seeds []string
	// Keys are the operators' keys.
	Keys adminapi.Keys
	// TLS secures the links between the system's processes.
	TLS peer.TLSFiles
	// AdminCert and AdminKey secure the administration API.
	AdminCert, AdminKey string
	// ListEvery is the time between reads of the VM list. Default 2 s.
	ListEvery time.Duration
	// StopWithin bounds a planned stop. Default 2 min.
	StopTimeout time.Duration
	// TraceFile receives a trace of the core, "-" for standard output.
	TraceFile string
}

// Sizes and times of the shell that are no operator's matter.
const (
	inboxSize     = 1 << 14
	workers       = 512
	tickEvery     = 100 * time.Millisecond
	listTimeout   = 2 * time.Second
	configTimeout = time.Second
	leaseTimeout  = time.Second
	borrowWait    = time.Second
	statesEvery   = 10
	// handOverWithin bounds the wait for others to take over the slots.
	handOverWithin = 5 * time.Second
	// entryDecides is how long a signalled control process waits to hear that
	// its entry process was signalled too.
	entryDecides = 1500 * time.Millisecond
	// farewellTime lets the last messages leave.
	farewellTime = 3 * tickEvery
	// entryQuiet is how long the entry process has to be silent before the
	// control process takes it to have ended.
	entryQuiet = time.Second
)
