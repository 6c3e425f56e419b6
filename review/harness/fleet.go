//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// Fleet is a small deployment: the platform's store, the entry VMs' processes and the replicas.
type Fleet struct {
	Store    *standin.Store
	VMs      []*VM
	Replicas []*Replica
	rec      *Recorder
	dir      string
	host     string // a loopback network of this run
	key      string
	stop     chan struct{}
}

// VM is one entry VM: one process, with the command of the deploy file.
type VM struct {
	Name, Zone, IP                      string
	Callers, Ready, Directory, Settings string
	StoreAddr                           string
	MaxFds                              int
	cmd                                 *exec.Cmd
	log                                 *os.File
	done                                chan struct{}
}

var zones = []string{"bergen-a", "bergen-b", "stord"}

// NewFleet starts the store; the loopback network is drawn from the process id.
func NewFleet(rec *Recorder, dir string) (*Fleet, error) {
	st, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &Fleet{Store: st, rec: rec, dir: dir, host: fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200)%250), key: "k-review-1", stop: make(chan struct{})}, nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

const settingsText = `nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = %q
region = "vestland"
internalPorts = [7340,7355]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
bergen-a = "vestland"
bergen-b = "vestland"
stord = "vestland"
[listen]
front = %q
ready = %q
directory = %q
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
`

// StartVMs starts n VMs, two or three a zone in the order of the zones.
func (f *Fleet) StartVMs(n int, change func(*VM)) error {
	for i := range n {
		ip := fmt.Sprintf("%s.%d", f.host, 10+i)
		vm := &VM{Name: fmt.Sprintf("front-%d", i+1), Zone: zones[i%len(zones)], IP: ip, StoreAddr: f.Store.Addr}
		vm.Callers, vm.Ready, vm.Directory = ip+":8227", ip+":8220", ip+":8224"
		if change != nil {
			change(vm)
		}
		f.VMs = append(f.VMs, vm)
		if err := f.Start(vm); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of a VM.
func (f *Fleet) Start(vm *VM) error {
	vm.Settings = filepath.Join(f.dir, vm.Name+".toml")
	text := fmt.Sprintf(settingsText, vm.Name, vm.IP, vm.Zone, vm.Callers, vm.Ready, vm.Directory, vm.StoreAddr)
	if err := os.WriteFile(vm.Settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/catkin-router", "--metrics-port", "9464")
	if vm.MaxFds > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/catkin-router --metrics-port 9464", vm.MaxFds))
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", platform.SettingsVariable + "=" + vm.Settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	vm.cmd, vm.log, vm.done = cmd, log, make(chan struct{})
	go func() { _ = cmd.Wait(); close(vm.done) }()
	f.rec.Printf("start %s pid %d", vm.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process of a VM.
func (f *Fleet) Signal(vm *VM, s syscall.Signal) {
	f.rec.Printf("signal %v to %s", s, vm.Name)
	_ = vm.cmd.Process.Signal(s)
}

// Alive reports whether the process of a VM runs.
func (vm *VM) Alive() bool {
	select {
	case <-vm.done:
		return false
	default:
		return true
	}
}

// AwaitReady waits until each VM is ready and its directory names all of them.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		ready := 0
		for _, vm := range f.VMs {
			status, _, err := get(vm.Ready, platform.ReadyURI)
			if err != nil || status != http.StatusOK {
				continue
			}
			_, body, err := get(vm.Directory, platform.ResolveURI+"?name=h&region=vestland&zone=none")
			var a struct{ Addresses []string }
			if err == nil && json.Unmarshal(body, &a) == nil && len(a.Addresses) == len(f.VMs) {
				ready++
			}
		}
		if ready == len(f.VMs) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d VMs ready after %v", ready, len(f.VMs), limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func get(addr, uri string) (int, []byte, error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + uri)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Close ends all processes that this run started.
func (f *Fleet) Close() {
	close(f.stop)
	for _, vm := range f.VMs {
		if vm.cmd != nil && vm.Alive() {
			_ = vm.cmd.Process.Signal(syscall.SIGCONT)
			_ = vm.cmd.Process.Kill()
		}
		if vm.done != nil {
			<-vm.done
		}
	}
	f.Store.Close()
}

// Manifest writes a manifest to the store; the write is its ack.
func (f *Fleet) Manifest(version int, routes, services []map[string]any) {
	value, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "team-a", "apiKeys": []string{f.key}, "priority": 1}}})
	f.Store.Put(platform.ConfigKey, value)
	f.rec.Printf("manifest version %d acknowledged", version)
}

// PlainRoute returns a route of a plain service.
func PlainRoute(name, prefix, kind, service string, attempts, timeoutMs int) map[string]any {
	return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300,
		"priority": 2, "service": service, "attempts": attempts, "public": false}
}

// PlainService returns a service without an engine.
func PlainService(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": maxConns, "protocol": "h1", "tls": false}
}

// Replica is a stand-in of a replica of a plain service.
type Replica struct {
	ID, Service, Zone, Addr string
	// Answer handles a request that this replica takes: it returns the status, whether the
	// request ran, and whether the answer is lost (the channel is reset after the run).
	Answer func(id string, r *http.Request) Outcome
	Born   int64
	fleet  *Fleet
}

// Outcome is what a replica does with a request.
type Outcome struct {
	Status   int
	Ran      bool
	Lost     bool
	Unsigned bool
	Body     string
	Work     time.Duration
}

// StartReplica starts a replica and registers it in the store, again with each heartbeat.
func (f *Fleet) StartReplica(id, service, zone string, answer func(id string, r *http.Request) Outcome) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rep := &Replica{ID: id, Service: service, Zone: zone, Addr: l.Addr().String(), Answer: answer, Born: time.Now().UnixMilli(), fleet: f}
	go func() { _ = http.Serve(l, rep) }() // ends with the process
	f.Replicas = append(f.Replicas, rep)
	go rep.beat()
	return rep, nil
}

func (rep *Replica) beat() {
	for n := 1; ; n++ {
		value, _ := json.Marshal(map[string]any{"service": rep.Service, "address": rep.Addr, "zone": rep.Zone, "version": "1", "slots": 6,
			"state": "ready", "coldRemainingMs": 0, "sequence": n, "born": rep.Born})
		rep.fleet.Store.Put("servers/"+rep.ID, value)
		select {
		case <-rep.fleet.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// ServeHTTP answers as PROTOCOL says of a replica.
func (rep *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", rep.ID)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderLoad, "1,0,6")
	if e := r.Header.Get(platform.HeaderServerID); e != "" && e != rep.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := rep.Answer(id, r)
	rep.fleet.rec.Run(id, rep, o)
	if !o.Ran {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(o.Status)
		return
	}
	time.Sleep(o.Work)
	if o.Lost {
		if hj, ok := w.(http.Hijacker); ok {
			if c, _, err := hj.Hijack(); err == nil {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = c.Close()
			}
		}
		return
	}
	if !o.Unsigned {
		w.Header().Set(platform.HeaderSignature, "sig."+rep.ID+"."+id)
	}
	w.WriteHeader(o.Status)
	_, _ = io.WriteString(w, o.Body)
}

// Reply is what a consumer saw.
type Reply struct {
	Status int
	Signed bool
	Body   string
	Err    error
}

// Send sends one request on a new channel and reads its answer. If keep is set, the channel
// stays open and is returned.
func Send(addr, method, path, id, key string, wait time.Duration, keep bool) (Reply, net.Conn) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return Reply{Err: err}, nil
	}
	rep := exchange(c, method, path, id, key, wait)
	if !keep || rep.Err != nil {
		_ = c.Close()
		return rep, nil
	}
	return rep, c
}

func exchange(c net.Conn, method, path, id, key string, wait time.Duration) Reply {
	_ = c.SetDeadline(time.Now().Add(wait))
	body := ""
	if method == "POST" {
		body = "pallets=4"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, platform.HeaderRequestID, id, platform.HeaderTimeLeft, wait.Milliseconds(), key, len(body), body)
	if _, err := io.WriteString(c, head); err != nil {
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err}
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return Reply{Err: err}
	}
	_ = c.SetDeadline(time.Time{})
	return Reply{Status: resp.StatusCode, Signed: resp.Header.Get(platform.HeaderSignature) != "", Body: strings.TrimSpace(string(b))}
}

// Recorder writes record.txt and keeps which replica ran which request.
type Recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	begun time.Time
	runs  map[string][]RunEntry
}

// RunEntry is one arrival of a request at a replica.
type RunEntry struct {
	Replica, Service string
	Ran              bool
	At               time.Time
}

// NewRecorder opens the record.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{w: bufio.NewWriter(f), f: f, begun: time.Now(), runs: map[string][]RunEntry{}}, nil
}

// Printf adds a line with the time in seconds.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Run records an arrival at a replica.
func (r *Recorder) Run(id string, rep *Replica, o Outcome) {
	word := "rejected"
	if o.Ran {
		word = "ran"
	}
	if o.Lost {
		word = "ran, answer lost"
	}
	r.Printf("%s: %s at %s of %s (status %d)", id, word, rep.ID, rep.Service, o.Status)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], RunEntry{rep.ID, rep.Service, o.Ran, time.Now()})
}

// Runs returns the runs of a request.
func (r *Recorder) Runs(id string) []RunEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RunEntry
	for _, e := range r.runs[id] {
		if e.Ran {
			out = append(out, e)
		}
	}
	return out
}

// Close writes the record to the file.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
