//go:build review

// Command standin-2 plays the script cases of a review: it starts catkin-router with the command
// of deploy/system.toml for each VM, stand-ins of the store, of replicas and of consumers, and
// judges what consumers and replicas saw. See review/*/claim.txt.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform/standin"

	"github.com/catkinstair/catkinstair/platform"
)

type run struct {
	ID, Server, Path, Body string
	Header                 http.Header
	At                     time.Time
}

type replica struct {
	id, service, addr string
	srv               *http.Server
	env               *env
	handler           func(w http.ResponseWriter, r *http.Request, body []byte)
}

type env struct {
	dir      string
	store    *standin.Store
	mu       sync.Mutex
	runs     []run
	routers  []*router
	replicas []*replica
	record   *os.File
	began    time.Time
}

// router is a VM with its own loopback address.
type router struct {
	name, ip string
	cmd      *exec.Cmd
	file     string
	env      *env
}

func (r *router) front() string     { return r.ip + ":18227" }
func (r *router) ready() string     { return r.ip + ":18220" }
func (r *router) directory() string { return r.ip + ":18224" }

func newEnv() *env {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	st, err := standin.NewStore()
	must(err)
	rec, err := os.Create(recordFile)
	must(err)
	current = &env{dir: dir, store: st, record: rec, began: time.Now()}
	return current
}

// recordFile is where a case writes what was sent, answered and run.
var recordFile = "record.txt"

// logf writes a line to the record.
func (e *env) logf(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  "+format+"\n", append([]any{time.Since(e.began).Seconds()}, a...)...)
}

// loopback returns a loopback address of this run.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 10+n)
}

// current is the case in progress, so that a failed setup ends what was started.
var current *env

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "setup:", err)
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}
}

func (e *env) addReplica(id, service, zone string, h func(w http.ResponseWriter, r *http.Request, body []byte)) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	rp := &replica{id: id, service: service, addr: l.Addr().String(), env: e, handler: h}
	rp.srv = &http.Server{Handler: http.HandlerFunc(rp.serve)}
	go rp.srv.Serve(l)
	born := time.Now().UnixMilli()
	put := func() {
		e.store.Put("servers/"+id, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`, service, rp.addr, zone, born)))
	}
	put()
	e.replicas = append(e.replicas, rp)
	return rp
}

func (rp *replica) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", rp.id)
		return
	}
	buf := make([]byte, 0)
	tmp := make([]byte, 65536)
	for {
		n, err := r.Body.Read(tmp)
		buf = append(buf, tmp[:n]...)
		if err != nil {
			break
		}
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if x := r.Header.Get(platform.HeaderServerID); x != "" && x != rp.id {
		w.WriteHeader(421)
		return
	}
	if r.Header.Get(platform.HeaderRequestID) == "" {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(400)
		return
	}
	rp.env.mu.Lock()
	rp.env.runs = append(rp.env.runs, run{ID: r.Header.Get(platform.HeaderRequestID), Server: rp.id, Path: r.RequestURI, Body: string(buf), Header: r.Header.Clone(), At: time.Now()})
	rp.env.mu.Unlock()
	w.Header().Set(platform.HeaderSignature, "sig-"+rp.id)
	if rp.handler != nil {
		rp.handler(w, r, buf)
		return
	}
	fmt.Fprintf(w, "done %s by %s", r.Header.Get(platform.HeaderRequestID), rp.id)
}

func (e *env) startRouter(name, zone, ip string) *router {
	r := &router{name: name, ip: ip, env: e}
	r.file = filepath.Join(e.dir, name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = %q
region = "r"
internalPorts = [17340,17355]
seeds = []
bootstrap = true
heartbeatMs = 1200
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
[bounds]
drainMs = 2000
graceS = 8
configMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 196
stall_ms = 3000
ttl_max_s = 5
passMs = 120
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, name, ip, zone, r.front(), r.ready(), r.directory(), e.store.Addr)
	must(os.WriteFile(r.file, []byte(text), 0o600))
	r.start()
	e.routers = append(e.routers, r)
	return r
}

func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.env.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	r.cmd = exec.Command("target/catkin-router", "--metrics-port", "9464")
	r.cmd.Env = []string{platform.SettingsVariable + "=" + r.file, "PATH=" + os.Getenv("PATH"), "HOME=" + r.env.dir}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(r.cmd.Start())
}

func (r *router) waitReady() {
	for i := 0; i < 200; i++ {
		resp, err := http.Get("http://" + r.ready() + platform.ReadyURI)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	must(fmt.Errorf("router %s is not ready", r.name))
}

func (r *router) kill() { r.cmd.Process.Kill(); r.cmd.Wait() }

func (e *env) close() {
	for _, r := range e.routers {
		if r.cmd != nil && r.cmd.ProcessState == nil {
			r.cmd.Process.Signal(syscall.SIGCONT)
			r.kill()
		}
	}
	for _, rp := range e.replicas {
		rp.srv.Close()
	}
	_ = e.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(e.dir)
	}
}

func (e *env) putConfig(v any) {
	b, err := json.Marshal(v)
	must(err)
	e.store.Put(platform.ConfigKey, b)
}

func (e *env) runsOf(id string) (out []run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.ID == id {
			out = append(out, r)
		}
	}
	return
}

type m map[string]any
