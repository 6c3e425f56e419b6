package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const (
	streamEvents     = 30
	eventInterval    = 10 * time.Millisecond
	enginesPerDomain = 5 // fast engines (a100) in each failure domain: a model copy and a spare
	replicas         = 3
	drainBound       = 2 * time.Second  // drainMs of the settings file
	configBound      = 2 * time.Second  // configMs of the settings file
	recoveryBound    = 12 * time.Second // for a VM to serve a route after the start
	graceBound       = 8 * time.Second  // graceS of the settings file
	heartbeat        = 1200 * time.Millisecond
)

var domains = []string{"bergen-a", "bergen-b"}

// run is the system under test for one seed: router processes, and the stand-ins of the
// store and the backend servers.
type run struct {
	t              *testing.T
	seed           uint64
	rng            *rand.Rand
	store          *standin.Store
	backends       *standin.Backends
	mu             sync.Mutex // guards the fields up to config
	servers        []*standin.Server
	allServers     []*standin.Server // also those that have been replaced
	proxies        []*proxy          // proxies[i] forwards to servers[i]
	removedServers []string          // IDs
	harms          []harm
	killsOfAll     []time.Time // when all VMs were dead
	config         []byte      // the newest one
	vms            []*vm
	results        callerResults
	dir            string
	serversStarted int
	// limits is a line with the limits of each VM in its settings file, "" for none.
	limits string
	// earlierVersion is the version of the earlier build that VMs run too, "" for none.
	earlierVersion string
}

// vm is one router process. It reaches the store through its own proxy.
type vm struct {
	run          *run
	name, domain string
	host         string
	storeProxy   *proxy
	settingsFile string

	// replacing, if not nil, is held while the process is replaced by another one.
	replacing *sync.Mutex

	mu     sync.Mutex
	binary string // started next
	cmd    *exec.Cmd
	done   chan struct{}
}

var buildRouter = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "catkin-soak")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "catkin-router")
	args := []string{"build", "-o", file}
	if os.Getenv("CATKIN_SOAK_RACE") != "" {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "../../cmd/catkin-router")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// newRun starts a run whose VMs run the given program.
func newRun(t *testing.T, seed uint64, vms int, binary string) *run {
	return newRunWithStreams(t, seed, vms, binary, eventInterval)
}

// newRunWithStreams is newRun with the interval of a stream's events.
func newRunWithStreams(t *testing.T, seed uint64, vms int, binary string, eventInterval time.Duration) *run {
	return newRunWithLimits(t, seed, vms, binary, eventInterval, "")
}

// newRunWithLimits is newRunWithStreams with a line of limits for the settings of each VM.
func newRunWithLimits(t *testing.T, seed uint64, vms int, binary string, eventInterval time.Duration, limits string) *run {
	r := &run{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir(), limits: limits}
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	r.store, r.backends = store, standin.NewBackends(store)
	r.putConfig(7, nil)
	for i := range vms {
		v := r.newVM(i)
		v.binary = binary
		r.vms = append(r.vms, v)
	}
	for _, v := range r.vms {
		v.start()
	}
	for _, d := range domains {
		for range enginesPerDomain {
			r.addServer(standin.ServerConfig{Service: "huvo11a", Domain: d, Accelerator: "a100", Events: streamEvents, EventEvery: eventInterval})
		}
	}
	for i := range replicas {
		r.addServer(standin.ServerConfig{Service: "wuno96b", Domain: domains[i%len(domains)]})
	}
	return r
}

// putConfig stores the published example configuration with added routes to the plain
// service.
func (r *run) putConfig(version int, extraRoutes []string) {
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(r.t, err)
	var doc map[string]any
	require.NoError(r.t, json.Unmarshal(text, &doc))
	routes := doc["routes"].([]any)
	for _, kind := range append([]string{"idempotent", "non_idempotent"}, extraRoutes...) {
		routes = append(routes, map[string]any{"name": kind, "host": "ficu95.example", "prefix": "/" + kind + "/",
			"kind": strings.TrimPrefix(kind, "new_"), "timeoutMs": 3000, "service": "wuno96b", "attempts": 2})
	}
	doc["routes"], doc["version"] = routes, version
	text, err = json.Marshal(doc)
	require.NoError(r.t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = text
	r.store.Put(platform.ConfigKey, text)
}

// addServer starts a backend server behind a proxy.
func (r *run) addServer(cfg standin.ServerConfig) *standin.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serversStarted++
	// IDs differ by seed: another run's VM may still know an address that is used again here,
	// and the ID lets the server refuse its request.
	cfg.ID = fmt.Sprintf("i-%d-%d", r.seed, r.serversStarted)
	var p *proxy
	cfg.AdvertiseAddr = func(addr string) string {
		p = newProxy(r.t, addr)
		return p.addr
	}
	s, err := r.backends.Start(cfg)
	require.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	r.servers, r.proxies, r.allServers = append(r.servers, s), append(r.proxies, p), append(r.allServers, s)
	return s
}

// replaceServer crashes a server, or makes it silent. After delay it removes the server's
// record and starts a replacement.
func (r *run) replaceServer(i int, silent bool, delay time.Duration) {
	r.mu.Lock()
	s, p := r.servers[i], r.proxies[i]
	r.mu.Unlock()
	defer r.recordHarm(harm{server: s.Addr, from: time.Now()})
	if silent {
		s.Hang()
		p.setLink(linkState{holdToTarget: true, holdToClient: true})
	} else {
		s.Close()
		p.resetConns()
	}
	time.Sleep(delay)
	r.mu.Lock()
	r.removedServers = append(r.removedServers, s.ID)
	r.mu.Unlock()
	r.store.Put(platform.ServersPrefix+s.ID, nil)
	p.close()
	cfg := s.ServerConfig
	replacement := r.addServer(cfg)
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.servers) - 1
	r.servers[i], r.proxies[i] = replacement, r.proxies[last]
	r.servers, r.proxies = r.servers[:last], r.proxies[:last]
}

// replaceCrashed replaces a server that has crashed.
func (r *run) replaceCrashed(s *standin.Server) {
	r.mu.Lock()
	i := slices.Index(r.servers, s)
	r.mu.Unlock()
	if i >= 0 {
		r.replaceServer(i, false, crashDowntime)
	}
}

// crashDowntime is the time from a server's crash to its replacement.
const crashDowntime = 500 * time.Millisecond

// processOctet returns the second octet of this process's loopback addresses. The listener that
// it holds keeps other test processes off them: by the process ID alone, two of them got the
// same ones, and the callers of one sent requests to the VMs of the other.
var processOctet = sync.OnceValue(func() int {
	const first, count = 130, 100
	for i := range count {
		octet := first + (os.Getpid()+i)%count
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:18219", octet))
		if err == nil {
			addressLock = l
			return octet
		}
	}
	return first + os.Getpid()%count
})

// addressLock is the listener of processOctet, open until the process ends.
var addressLock net.Listener

func (r *run) newVM(i int) *vm {
	// Loopback addresses differ by process, seed and VM so that runs don't share them.
	host := fmt.Sprintf("127.%d.%d.%d", processOctet(), r.seed%250, 2+i)
	v := &vm{run: r, name: fmt.Sprintf("vm-%d", i), domain: domains[i%len(domains)], host: host, storeProxy: newProxy(r.t, r.store.Addr)}
	v.settingsFile = filepath.Join(r.dir, v.name+".toml")
	settings := fmt.Sprintf(`nodeName = %[1]q
ip = %[2]q
zone = %[3]q
region = "vestland"
internalPorts = [17340,17355]
heartbeatMs = 1200
listen = { front = "%[2]s:18227", ready = "%[2]s:18220", directory = "%[2]s:18224" }
bounds = { drainMs = 2000, graceS = 8, configMs = 2000, retryBudgetRatio = 0.2, budgetWindowS = 10, budgetSlack = 196, stall_ms = 3000, ttl_max_s = 5 }
platform = { address = %[4]q }
%[5]s
`, v.name, host, v.domain, v.storeProxy.addr, r.limits)
	require.NoError(r.t, os.WriteFile(v.settingsFile, []byte(settings), 0o600))
	r.t.Cleanup(v.kill)
	return v
}

// start starts the process. Its log is kept in the run's directory until the test ends.
func (v *vm) start() {
	v.mu.Lock()
	binary := v.binary
	v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.run.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.run.t, err)
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsFile, "CATKIN_BIND_OUTGOING=true", "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(v.run.t, startOnOneThread(cmd))
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // returns an error after a kill
		v.note("process ended: " + cmd.ProcessState.String())
		log.Close()
		close(done)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.done = cmd, done
}

var (
	startCmds   = make(chan *exec.Cmd)
	startErrs   = make(chan error)
	starterOnce sync.Once
)

// startOnOneThread starts a process that is killed when the test process ends in any way.
// The kernel sends the parent death signal when the thread that started the process ends,
// so one thread that never ends starts all of them.
func startOnOneThread(cmd *exec.Cmd) error {
	starterOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for c := range startCmds {
				c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				startErrs <- c.Start()
			}
		}()
	})
	startMu.Lock()
	defer startMu.Unlock()
	startCmds <- cmd
	return <-startErrs
}

var startMu sync.Mutex

// signal sends s to the process that this VM started, by its process ID.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.note("signal: " + s.String())
		_ = v.cmd.Process.Signal(s) // the process may have ended
	}
}

// note writes a line of the run itself to the VM's log, with the time in Unix ms as the VM has it.
func (v *vm) note(message string) {
	log, err := os.OpenFile(filepath.Join(v.run.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer log.Close()
	fmt.Fprintf(log, "{\"level\":\"info\",\"program\":\"soak\",\"vm\":%q,\"time\":%d,\"message\":%q}\n", v.name, time.Now().UnixMilli(), message)
}

func (v *vm) waitExit(timeout time.Duration) bool {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	if v.done != nil {
		<-v.done
	}
}
