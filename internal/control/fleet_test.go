package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/standin"
)

const testKey = "key-for-the-tests-only"

// world is a stand-in platform with control processes, each with a stand-in of
// its entry process.
type world struct {
	t       *testing.T
	cluster *standin.Cluster
	seeds   []string
	vms     map[int]*vm
	lives   ident.Incarnation
}

type vm struct {
	shell *Shell
	ended chan error
	stop  context.CancelFunc
	entry *fakeEntry
}

func newWorld(t *testing.T, n int) *world {
	t.Helper()
	cluster, err := standin.Start(standin.Topology{
		KV: "127.0.0.1:0", VMs: "127.0.0.1:0", Control: "127.0.0.1:0", ListLagMillis: 60_000,
		Region: "vestland", FailureDomains: []string{"bergen-a", "bergen-b", "stord"},
		Apps: []standin.AppSpec{{Service: "ordrebok", Replicas: 3, IP: "127.0.0.1", CallMicros: 300, Capacity: 8}},
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	w := &world{t: t, cluster: cluster, vms: map[int]*vm{}}
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = freeAddr(t)
	}
	w.seeds = addrs
	for i, addr := range addrs {
		w.start(i, addr)
	}
	t.Cleanup(func() {
		for i := range w.vms {
			w.kill(i)
		}
	})
	return w
}

var lastPort atomic.Int32

// freeAddr is an address that nobody else has: the host is this test process's,
// the port below those that the kernel gives to outgoing connections.
func freeAddr(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	port := 20_000 + lastPort.Add(1)
	require.Less(t, port, int32(32_000), "out of ports")
	return fmt.Sprintf("127.%d.%d.1:%d", 50+pid%150, pid/150%250, port)
}

// operator is the HTTP client of the administration API.
var operator = &http.Client{Timeout: 40 * time.Second}

// start begins a new life of VM i.
func (w *world) start(i int, listen string) *vm {
	w.t.Helper()
	w.lives++
	domains := []ident.FailureDomain{"bergen-a", "bergen-b", "stord"}
	keys, err := adminapi.ParseKeys("morning=" + testKey)
	require.NoError(w.t, err)
	self := ident.Instance{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1000 + w.lives}
	cfg := Config{
		Self: self, Place: ident.Place{Region: "vestland", FailureDomain: domains[i%3]},
		Listen: listen, AdminListen: freeAddr(w.t), EntryAddr: freeAddr(w.t), EntryPeerAddr: freeAddr(w.t),
		KV: w.cluster.Addresses().KV, VMList: w.cluster.Addresses().VMs, Seeds: w.seeds, Keys: keys,
		ListEvery: 500 * time.Millisecond, StopTimeout: 20 * time.Second,
	}
	shell, err := New(cfg, zerolog.Nop())
	require.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{shell: shell, stop: cancel, ended: make(chan error, 1)}
	go func() { v.ended <- shell.Run(ctx) }()
	v.entry = newFakeEntry(w.t, cfg)
	w.vms[i] = v
	return v
}

// kill ends a control process without a farewell, and its entry's stand-in.
func (w *world) kill(i int) {
	v := w.vms[i]
	delete(w.vms, i)
	v.entry.end()
	v.shell.Cancel()
	require.NoError(w.t, <-v.ended)
}

func (w *world) fault(f standin.Fault) { require.NoError(w.t, w.cluster.SetFault(f)) }

// eventually waits for want to hold on every VM.
func (w *world) eventually(within time.Duration, what string, want func(e *fakeEntry) bool) {
	w.t.Helper()
	holds := func() bool {
		for _, v := range w.vms {
			if !v.entry.check(want) {
				return false
			}
		}
		return true
	}
	if !assert.Eventually(w.t, holds, within, 20*time.Millisecond, what) {
		for i, v := range w.vms {
			w.t.Logf("VM %d: %s", i, v.entry.describe())
		}
		w.t.FailNow()
	}
}

// describe is what an entry knows, for a failed test.
func (e *fakeEntry) describe() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := fmt.Sprintf("versions %+v", e.state.Versions)
	if e.state.Config != nil {
		text += fmt.Sprintf(", config known %t", e.state.Config.Known)
	}
	if e.state.Members != nil {
		for _, m := range e.state.Members.Members {
			text += fmt.Sprintf("; %s serving %t reachable %t leaving %t", m.Instance, m.Serving, m.Reachable, m.Leaving)
		}
	}
	return text
}

// apply takes a sheet with one limit through the administration API.
func (w *world) apply(i int, limit int) config.Outcome {
	w.t.Helper()
	sheet := fmt.Sprintf("day,team,service,limit,unit\n2026-12-04,clubs,ordrebok,%d,requests/s\n", limit)
	req, err := http.NewRequest("POST", "http://"+w.vms[i].shell.cfg.AdminListen+"/admin/v1/sheet/apply", bytes.NewBufferString(sheet))
	require.NoError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := operator.Do(req)
	require.NoError(w.t, err)
	defer func() { _ = resp.Body.Close() }()
	var outcome config.Outcome
	require.NoError(w.t, json.NewDecoder(resp.Body).Decode(&outcome))
	return outcome
}

// fakeEntry polls and reports as an entry process does, and can borrow.
type fakeEntry struct {
	t      *testing.T
	self   ident.Instance
	addr   string
	client *peer.Client
	ctx    context.Context
	end    context.CancelFunc
	mu     sync.Mutex
	silent bool
	report []peer.BackendObservation
	state  peer.SnapshotReply
	seq    uint64
}

func newFakeEntry(t *testing.T, cfg Config) *fakeEntry {
	client, err := peer.NewClient(peer.DefaultConfig())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	e := &fakeEntry{t: t, self: cfg.Self, addr: cfg.Listen, client: client}
	e.self.Incarnation += 500_000 // its life is not the control process's
	e.ctx, e.end = context.WithCancel(context.Background())
	go e.poll()
	go e.reports()
	return e
}

func (e *fakeEntry) poll() {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, 3*time.Second)
		var reply peer.SnapshotReply
		e.mu.Lock()
		held := e.state.Versions
		e.mu.Unlock()
		if e.client.Call(ctx, e.addr, peer.MethodSnapshot, peer.Once, peer.SnapshotRequest{Held: held, Wait: time.Second}, &reply) == nil {
			e.take(reply)
		}
		cancel()
	}
}

func (e *fakeEntry) take(reply peer.SnapshotReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Versions = reply.Versions
	if reply.Config != nil {
		e.state.Config = reply.Config
	}
	if reply.Members != nil {
		e.state.Members = reply.Members
	}
	if reply.Backends != nil {
		e.state.Backends = reply.Backends
	}
	if reply.Roster != nil {
		e.state.Roster = reply.Roster
	}
}

func (e *fakeEntry) reports() {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		req := peer.ReportRequest{Instance: e.self, Observations: e.report}
		silent := e.silent
		e.mu.Unlock()
		if silent {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, time.Second)
		_ = e.client.Call(ctx, e.addr, peer.MethodReport, peer.Retryable, req, &peer.ReportReply{})
		cancel()
	}
}

func (e *fakeEntry) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeEntry) check(want func(e *fakeEntry) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return want(e)
}

// member finds a VM in the members section; the lock is held.
func (e *fakeEntry) member(i int) (peer.EntryMember, bool) {
	if e.state.Members == nil {
		return peer.EntryMember{}, false
	}
	for _, m := range e.state.Members.Members {
		if m.Instance.VM == ident.VM(fmt.Sprintf("vm-%d", i)) {
			return m, true
		}
	}
	return peer.EntryMember{}, false
}

func (e *fakeEntry) version() uint64 {
	if e.state.Config == nil {
		return 0
	}
	return e.state.Config.Version
}

// borrow asks the slot's holder, as this entry knows it, for one request.
func (e *fakeEntry) borrow() int64 {
	e.mu.Lock()
	roster := e.state.Roster
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	if roster == nil {
		return 0
	}
	key := limits.Key{Team: "clubs", Service: "ordrebok", Unit: limits.UnitRequests}
	holder := roster.Holders[key.Slot(len(roster.Holders))]
	ctx, cancel := context.WithTimeout(e.ctx, 400*time.Millisecond)
	defer cancel()
	var loan limits.Loan
	ask := limits.Ask{From: e.self, Seq: seq, Items: []limits.AskItem{{Key: key, Epoch: holder.Epoch, Want: 1}}}
	if err := e.client.Call(ctx, holder.ControlAddr, peer.MethodBorrow, peer.Once, ask, &loan); err != nil || len(loan.Items) == 0 {
		return 0
	}
	return loan.Items[0].Amount
}

// holder is the VM that holds the slot of the tests' limit, as this entry knows.
func (e *fakeEntry) holder() ident.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Roster == nil {
		return ""
	}
	slot := limits.SlotOf("clubs", "ordrebok", len(e.state.Roster.Holders))
	return e.state.Roster.Holders[slot].Instance.VM
}
