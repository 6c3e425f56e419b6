package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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
	streamEvents  = 30
	eventEvery    = 10 * time.Millisecond
	enginesPer    = 5 // fast cards in each failure domain: a cover and one to spare
	replicas      = 3
	drainBound    = 2 * time.Second
	configBound   = 2 * time.Second
	recoveryBound = 12 * time.Second
	graceBound    = 8 * time.Second
)

var domains = []string{"bergen-a", "bergen-b"}

// run is one seed's world.
type run struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	store   *standin.Store
	fleet   *standin.Backends
	mu      sync.Mutex // guards servers and proxies
	servers []*standin.Server
	proxies []*proxy // before servers
	vms     []*vm
	seen    verdicts
	dir     string
	started int
}

// vm is one process, with a proxy of its own before the store.
type vm struct {
	run          *run
	name, domain string
	host         string
	toStore      *proxy
	file         string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "catkin-soak")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "catkin-router")
	out, err := exec.Command("go", "build", "-o", file, "../../cmd/catkin-router").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

func newRun(t *testing.T, seed uint64, vms int) *run {
	r := &run{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), dir: t.TempDir()}
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	r.store, r.fleet = store, standin.NewBackends(store)
	r.configure(7, nil)
	for i := range vms {
		r.vms = append(r.vms, r.newVM(i))
	}
	for _, v := range r.vms {
		v.start()
	}
	for _, d := range domains {
		for range enginesPer {
			r.addServer(standin.ServerConfig{Service: "huvo11a", Domain: d, Accelerator: "a100", Events: streamEvents, EventEvery: eventEvery})
		}
	}
	for i := range replicas {
		r.addServer(standin.ServerConfig{Service: "wuno96b", Domain: domains[i%len(domains)]})
	}
	return r
}

// configure writes the published example with routes to the plain service, and more.
func (r *run) configure(version int, more []string) {
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(r.t, err)
	var doc map[string]any
	require.NoError(r.t, json.Unmarshal(text, &doc))
	routes := doc["routes"].([]any)
	for _, kind := range append([]string{"idempotent", "non_idempotent"}, more...) {
		routes = append(routes, map[string]any{"name": kind, "host": "ficu95.example", "prefix": "/" + kind + "/",
			"kind": strings.TrimPrefix(kind, "new_"), "timeoutMs": 3000, "service": "wuno96b", "attempts": 2})
	}
	doc["routes"], doc["version"] = routes, version
	text, err = json.Marshal(doc)
	require.NoError(r.t, err)
	r.store.Put(platform.ConfigKey, text)
}

// addServer starts a backend server behind a proxy.
func (r *run) addServer(cfg standin.ServerConfig) *standin.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	cfg.ID = fmt.Sprintf("i-%d", r.started)
	var p *proxy
	cfg.AdvertiseAddr = func(addr string) string {
		p = newProxy(r.t, addr)
		return p.addr
	}
	s, err := r.fleet.Start(cfg)
	require.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	r.servers, r.proxies = append(r.servers, s), append(r.proxies, p)
	return s
}

// replaceServer lets a server crash, or go dark, and starts another for it.
func (r *run) replaceServer(i int, dark bool, after time.Duration) {
	r.mu.Lock()
	s, p := r.servers[i], r.proxies[i]
	r.mu.Unlock()
	if dark {
		s.Hang()
		p.set(link{noThere: true, noBack: true})
	} else {
		s.Close()
		p.reset()
	}
	time.Sleep(after)
	r.store.Put(platform.ServersPrefix+s.ID, nil)
	p.close()
	cfg := s.ServerConfig
	fresh := r.addServer(cfg)
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.servers) - 1
	r.servers[i], r.proxies[i] = fresh, r.proxies[last]
	r.servers, r.proxies = r.servers[:last], r.proxies[:last]
}

func (r *run) newVM(i int) *vm {
	// Addresses of loopback differ by process, seed and VM, so that runs never meet.
	host := fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%100, r.seed%250, 2+i)
	v := &vm{run: r, name: fmt.Sprintf("vm-%d", i), domain: domains[i%len(domains)], host: host, toStore: newProxy(r.t, r.store.Addr)}
	v.file = filepath.Join(r.dir, v.name+".toml")
	text := fmt.Sprintf(`nodeName = %[1]q
ip = %[2]q
zone = %[3]q
region = "vestland"
internalPorts = [17340,17355]
heartbeatMs = 1200
listen = { front = "%[2]s:18227", ready = "%[2]s:18220", directory = "%[2]s:18224" }
bounds = { drainMs = 2000, graceS = 8, configMs = 2000, retryBudgetRatio = 0.2, budgetWindowS = 10, budgetSlack = 196, stall_ms = 3000, ttl_max_s = 5 }
platform = { address = %[4]q }
`, v.name, host, v.domain, v.toStore.addr)
	require.NoError(r.t, os.WriteFile(v.file, []byte(text), 0o600))
	r.t.Cleanup(v.kill)
	return v
}

// start runs the process; its log stays in the run's directory until the test ends.
func (v *vm) start() {
	file, err := program()
	require.NoError(v.run.t, err)
	log, err := os.OpenFile(filepath.Join(v.run.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.run.t, err)
	cmd := exec.Command(file)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.file)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(v.run.t, startOnOneThread(cmd))
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // killed ones end with an error
		log.Close()
		close(done)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.done = cmd, done
}

var (
	toStart = make(chan *exec.Cmd)
	started = make(chan error)
	starter sync.Once
)

// startOnOneThread starts a process that is killed when this one ends in any way. The
// kernel sends that signal when the thread that started it ends, so that one thread
// starts all and stays.
func startOnOneThread(cmd *exec.Cmd) error {
	starter.Do(func() {
		go func() {
			runtime.LockOSThread()
			for c := range toStart {
				c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				started <- c.Start()
			}
		}()
	})
	startOne.Lock()
	defer startOne.Unlock()
	toStart <- cmd
	return <-started
}

var startOne sync.Mutex

// signal reaches the process that this run started, by its id.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended
	}
}

func (v *vm) ended(within time.Duration) bool {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	if v.done != nil {
		<-v.done
	}
}
