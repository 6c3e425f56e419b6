//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// Host and key of the consumers, and the bounds of a small deployment (SYSTEM.md).
const (
	host           = "ficu95.example"
	key            = "n2ctnfzs989anu6wsjnb"
	tenant         = "hule930"
	drainFor       = 2 * time.Second
	heartbeatEvery = 1200 * time.Millisecond
)

// world is one small deployment on loopback: store, replicas and the processes of the system.
type world struct {
	record *record
	store  *standin.Store
	dir    string
	vms    []*vm
	ports  ports
	zones  []string // of the VMs, in turn

	mu       sync.Mutex
	replicas []*replica
}

// ports are the ports of all VMs, each of which has a loopback address of its own.
type ports struct{ front, ready, directory, internal, metrics int }

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(caseDir string) (*world, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{record: &record{f: f, start: time.Now()}, store: store, dir: dir, zones: []string{"bergen-a", "bergen-b", "stord"}}, nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, s := range w.replicas {
		s.close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// vm is a process of the system on a VM.
type vm struct {
	w    *world
	name string
	ip   string
	zone string
	cmd  *exec.Cmd
	done chan struct{}
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, v.w.ports.front) }

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9464

// freeBlock returns a number of loopback addresses, 127.77.N.1 and on, that no other run uses.
func freeBlock() (int, error) {
	for n := range 250 {
		block := 1 + (os.Getpid()+n)%250
		l, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.1:%d", block, metricsPort))
		if err != nil {
			continue
		}
		return block, l.Close()
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// Ports of a VM from the first one on, and how many there are.
const (
	firstPort    = 20000
	lastPort     = 30000 // below those that the kernel gives out
	portsOfVM    = 20
	internalPort = 3 // the first of the internal ones
)

// choosePorts chooses ports that are free together on the first VM's address. No other VM's address is
// used by anything else.
func (w *world) choosePorts(ip string) error {
	for base := firstPort + os.Getpid()%1000; base < lastPort; base += portsOfVM {
		if !areFree(ip, base) {
			continue
		}
		w.ports = ports{front: base, ready: base + 1, directory: base + 2, internal: base + internalPort, metrics: metricsPort}
		return nil
	}
	return fmt.Errorf("no free ports")
}

// areFree reports whether all ports of a VM are free from base on.
func areFree(ip string, base int) bool {
	for port := base; port < base+portsOfVM; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startVMs starts n processes with the deploy file's command. storeAddr is the address of the
// store for the VM with an index.
func (w *world) startVMs(n int, storeAddr func(i int) string) error {
	block, err := freeBlock()
	if err != nil {
		return err
	}
	for i := range n {
		zone := w.zones[i%len(w.zones)]
		v := &vm{w: w, name: fmt.Sprintf("front-%s-%d", zone, i/len(w.zones)+1), ip: fmt.Sprintf("127.77.%d.%d", block, i+1), zone: zone}
		if i == 0 {
			if err := w.choosePorts(v.ip); err != nil {
				return err
			}
		}
		if err := v.start(storeAddr(i)); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	return nil
}

func (v *vm) start(storeAddr string) error {
	w := v.w
	settings := filepath.Join(w.dir, v.name+".toml")
	if err := os.WriteFile(settings, []byte(v.settings(storeAddr)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := strings.Fields("target/catkin-router --metrics-port 9464")
	v.cmd = exec.Command(args[0], args[1:]...)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", platform.SettingsVariable + "=" + settings}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func() {
		err := v.cmd.Wait()
		w.record.line("process of %s ended: %v", v.name, err)
		close(v.done)
	}()
	w.record.line("process of %s started at %s", v.name, v.front())
	return nil
}

func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGKILL)
	<-v.done
}

func (v *vm) settings(storeAddr string) string {
	p := v.w.ports
	return fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = %q
region = "vestland"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
bergen-a = "vestland"
bergen-b = "vestland"
stord = "vestland"
[listen]
front = "%s:%d"
ready = "%s:%d"
directory = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 196
recoveryS = 12
passMs = 120
againS = 0
stall_ms = 3000
fencingRequired = false
ttl_max_s = 5
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, v.name, v.ip, v.zone, p.internal, p.internal+15, v.ip, p.front, v.ip, p.ready, v.ip, p.directory, storeAddr)
}

// awaitReady waits until all VMs say that they are ready.
func (w *world) awaitReady() error {
	for _, v := range w.vms {
		deadline := time.Now().Add(15 * time.Second)
		for {
			a, err := call(fmt.Sprintf("%s:%d", v.ip, w.ports.ready), "GET "+platform.ReadyURI+" HTTP/1.1\r\nHost: x\r\n\r\n", "GET", time.Second)
			if err == nil && a.status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record.line("all %d VMs are ready", len(w.vms))
	return nil
}
