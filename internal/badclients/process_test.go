package badclients

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// The limits of the VM in the settings file.
const (
	memoryMB       = 96
	bytesPerMB     = 1_000_000
	maxDescriptors = 400
	graceS         = 8
)

// The ports of the process.
const (
	callersPort   = 18227
	readyPort     = 18220
	directoryPort = 18224
	peersPort     = 17340
	passedOnPort  = 17341
	metricsPort   = 17350
)

// process is a running program.
type process struct {
	t    *testing.T
	host string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// router is a catkin-router process, with the stand-ins of the store and a backend server.
type router struct {
	*process
}

// buildPrograms builds all programs and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "catkin-badclients")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// startProcess starts a program, which is killed when the test ends.
func startProcess(t *testing.T, host, program string, env []string, args ...string) *process {
	t.Helper()
	dir, err := buildPrograms()
	require.NoError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p := &process{t: t, host: host, cmd: exec.Command(filepath.Join(dir, program), args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // an error after the kill of the cleanup
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // an error if it has ended
		<-p.done
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("log of the process ends with:\n%s", text[max(0, len(text)-2000):])
		}
	})
	return p
}

// startRouter starts a process, and a backend server whose responses have a length, and waits until
// it serves.
func startRouter(t *testing.T, responseBytes int) *router {
	t.Helper()
	return startRouterWith(t, responseBytes, func(*standin.Backends) {})
}

// startRouterWith is startRouter with further backend servers.
func startRouterWith(t *testing.T, responseBytes int, startOthers func(*standin.Backends)) *router {
	t.Helper()
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	putConfig(t, store)
	backends := standin.NewBackends(store)
	startOthers(backends)
	server, err := backends.Start(standin.ServerConfig{ID: "i-1", Service: "wuno96b", Domain: "bergen-a", BodyBytes: responseBytes})
	require.NoError(t, err)
	t.Cleanup(server.Close)

	host := freeHost(t)
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "node.toml")
	settings := fmt.Sprintf(`nodeName = "vm-1"
ip = %[1]q
zone = "bergen-a"
region = "vestland"
internalPorts = [%[2]d,17355]
heartbeatMs = 1200
listen = { front = "%[1]s:%[3]d", ready = "%[1]s:%[4]d", directory = "%[1]s:%[5]d" }
limits = { memoryMb = %[6]d, maxFds = %[7]d }
bounds = { drainMs = 2000, graceS = %[9]d, configMs = 2000, retryBudgetRatio = 0.2, budgetWindowS = 10, budgetSlack = 196, stall_ms = 3000, ttl_max_s = 5 }
platform = { address = %[8]q }
`, host, peersPort, callersPort, readyPort, directoryPort, memoryMB, maxDescriptors, store.Addr, graceS)
	require.NoError(t, os.WriteFile(settingsFile, []byte(settings), 0o600))
	r := &router{startProcess(t, host, "catkin-router", []string{platform.SettingsVariable + "=" + settingsFile}, "--metrics-port", strconv.Itoa(metricsPort))}
	require.NoError(t, retryUntil(func() error { return r.post(callersPort, 1) }))
	return r
}

// putConfig stores the published example configuration with routes to the plain service and to a faulty one.
func putConfig(t *testing.T, store *standin.Store) {
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	var doc map[string]any
	require.NoError(t, json.Unmarshal(text, &doc))
	doc["routes"] = append(doc["routes"].([]any),
		map[string]any{"name": "plain", "host": "ficu95.example", "prefix": "/plain/", "kind": "idempotent", "timeoutMs": 10000, "service": "wuno96b", "attempts": 2},
		map[string]any{"name": "faulty", "host": "ficu95.example", "prefix": "/faulty/", "kind": "idempotent", "timeoutMs": 10000, "service": faultyService, "attempts": 2},
		map[string]any{"name": "faulty-stream", "host": "ficu95.example", "prefix": "/faulty_stream/", "kind": "streaming", "timeoutMs": 10000, "service": faultyService, "attempts": 2, "streamResume": true})
	services := doc["services"].([]any)
	for _, service := range services {
		if plain := service.(map[string]any); plain["name"] == "wuno96b" {
			faulty := maps.Clone(plain)
			faulty["name"] = faultyService
			doc["services"] = append(services, faulty)
		}
	}
	text, err = json.Marshal(doc)
	require.NoError(t, err)
	store.Put(platform.ConfigKey, text)
}

// freeHost returns a loopback address that no other test process uses, as far as its ports show.
func freeHost(t *testing.T) string {
	for i := range 200 {
		host := fmt.Sprintf("127.240.%d.%d", os.Getpid()%250, 1+i)
		l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(callersPort)))
		if err == nil {
			require.NoError(t, l.Close())
			return host
		}
	}
	t.Fatal("no free loopback address")
	return ""
}

func (p *process) addr(port int) string { return net.JoinHostPort(p.host, strconv.Itoa(port)) }

// requireAlive fails the test if the process has ended.
func (p *process) requireAlive() {
	p.t.Helper()
	select {
	case <-p.done:
		require.Fail(p.t, "the process has ended: "+p.cmd.ProcessState.String())
	default:
	}
}

// checkLimits checks the largest memory so far and the open descriptors.
func (p *process) checkLimits() {
	p.t.Helper()
	peak := p.peakMemory()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	p.t.Logf("peak memory %.1f MB, %d descriptors", float64(peak)/bytesPerMB, len(descriptors))
	assert.LessOrEqual(p.t, peak, memoryMB*bytesPerMB, "peak memory, in bytes")
	assert.LessOrEqual(p.t, len(descriptors), maxDescriptors, "open descriptors")
}

// peakMemory returns the largest resident memory since the start, in bytes.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(p.t, err)
			return kib << 10
		}
	}
	require.Fail(p.t, "no VmHWM in the status of the process")
	return 0
}

const (
	// retryFor is how long an ordinary request is tried; it ends a hung test, and is no bound
	// of the product.
	retryFor   = 10 * time.Second
	retryPause = 100 * time.Millisecond
)

func retryUntil(try func() error) error {
	for end := time.Now().Add(retryFor); ; time.Sleep(retryPause) {
		if err := try(); err == nil || time.Now().After(end) {
			return err
		}
	}
}
