package badclients

import (
	"encoding/json"
	"fmt"
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

// router is a catkin-router process, with the stand-ins of the store and a backend server.
type router struct {
	t    *testing.T
	host string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

var buildRouter = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "catkin-badclients")
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

// startRouter starts a process, and a backend server whose responses have a length, and waits until
// it serves.
func startRouter(t *testing.T, responseBytes int) *router {
	t.Helper()
	binary, err := buildRouter()
	require.NoError(t, err)
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	putConfig(t, store)
	server, err := standin.NewBackends(store).Start(standin.ServerConfig{ID: "i-1", Service: "wuno96b", Domain: "bergen-a", BodyBytes: responseBytes})
	require.NoError(t, err)
	t.Cleanup(server.Close)

	r := &router{t: t, host: freeHost(t), done: make(chan struct{})}
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
bounds = { drainMs = 2000, graceS = 8, configMs = 2000, retryBudgetRatio = 0.2, budgetWindowS = 10, budgetSlack = 196, stall_ms = 3000, ttl_max_s = 5 }
platform = { address = %[8]q }
`, r.host, peersPort, callersPort, readyPort, directoryPort, memoryMB, maxDescriptors, store.Addr)
	require.NoError(t, os.WriteFile(settingsFile, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, "router.log"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	r.cmd = exec.Command(binary, "--metrics-port", strconv.Itoa(metricsPort))
	r.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settingsFile)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	require.NoError(t, r.cmd.Start())
	go func() {
		_ = r.cmd.Wait() // an error after the kill of the cleanup
		close(r.done)
	}()
	t.Cleanup(func() {
		_ = r.cmd.Process.Signal(syscall.SIGKILL) // an error if it has ended
		<-r.done
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("log of the process ends with:\n%s", text[max(0, len(text)-2000):])
		}
	})
	require.NoError(t, retryUntil(func() error { return r.post(callersPort, 1) }))
	return r
}

// putConfig stores the published example configuration with a route to the plain service.
func putConfig(t *testing.T, store *standin.Store) {
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	var doc map[string]any
	require.NoError(t, json.Unmarshal(text, &doc))
	doc["routes"] = append(doc["routes"].([]any), map[string]any{"name": "plain", "host": "ficu95.example", "prefix": "/plain/",
		"kind": "idempotent", "timeoutMs": 10000, "service": "wuno96b", "attempts": 2})
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

func (r *router) addr(port int) string { return net.JoinHostPort(r.host, strconv.Itoa(port)) }

// requireAlive fails the test if the process has ended.
func (r *router) requireAlive() {
	r.t.Helper()
	select {
	case <-r.done:
		require.Fail(r.t, "the process has ended: "+r.cmd.ProcessState.String())
	default:
	}
}

// checkLimits checks the largest memory so far and the open descriptors.
func (r *router) checkLimits() {
	r.t.Helper()
	peak := r.peakMemory()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	r.t.Logf("peak memory %.1f MB, %d descriptors", float64(peak)/bytesPerMB, len(descriptors))
	assert.LessOrEqual(r.t, peak, memoryMB*bytesPerMB, "peak memory, in bytes")
	assert.LessOrEqual(r.t, len(descriptors), maxDescriptors, "open descriptors")
}

// peakMemory returns the largest resident memory since the start, in bytes.
func (r *router) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(r.t, err)
			return kib << 10
		}
	}
	require.Fail(r.t, "no VmHWM in the status of the process")
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
