package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
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

// testFleet is a stand-in platform with control processes, each with a fake entry
// process.
type testFleet struct {
	t               *testing.T
	cluster         *standin.Cluster
	seeds           []string
	vms             map[int]*vm
	lastIncarnation ident.Incarnation
}

type vm struct {
	shell *Shell
	ended chan error
	stop  context.CancelFunc
	entry *fakeEntry
}

func newTestFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	cluster, err := standin.Start(standin.Topology{
		KV: "127.0.0.1:0", VMs: "127.0.0.1:0", Control: "127.0.0.1:0", ListLagMillis: 60_000,
		Region: "vestland", FailureDomains: []string{"bergen-a", "bergen-b", "stord"},
		Apps: []standin.AppSpec{{Service: "ordrebok", Replicas: 3, IP: "127.0.0.1", CallMicros: 300, Capacity: 8}},
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	f := &testFleet{t: t, cluster: cluster, vms: map[int]*vm{}}
	addrs := make([]string, n)
	for i := range addrs {
		addrs[i] = freeAddr(t)
	}
	f.seeds = addrs
	for i, addr := range addrs {
		f.start(i, addr)
	}
	t.Cleanup(func() {
		for i := range f.vms {
			f.kill(i)
		}
	})
	return f
}

var lastPort atomic.Int32

// freeAddr returns an unused address: the host part is derived from the process ID, and
// the port lies below those that the kernel assigns to outgoing connections.
func freeAddr(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	port := 20_000 + lastPort.Add(1)
	require.Less(t, port, int32(32_000), "out of ports")
	return fmt.Sprintf("127.%d.%d.1:%d", 50+pid%150, pid/150%250, port)
}

// adminClient is the HTTP client of the administration API.
var adminClient = &http.Client{Timeout: 40 * time.Second}

// start starts a new incarnation of VM i.
func (f *testFleet) start(i int, listen string) *vm {
	f.t.Helper()
	f.lastIncarnation++
	domains := []ident.FailureDomain{"bergen-a", "bergen-b", "stord"}
	keys, err := adminapi.ParseKeys("morning=" + testKey)
	require.NoError(f.t, err)
	self := ident.Instance{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1000 + f.lastIncarnation}
	cfg := Config{
		Self: self, Place: ident.Place{Region: "vestland", FailureDomain: domains[i%3]},
		Listen: listen, AdminListen: freeAddr(f.t), EntryAddr: freeAddr(f.t), EntryPeerAddr: freeAddr(f.t),
		KV: f.cluster.Addresses().KV, VMList: f.cluster.Addresses().VMs, Seeds: f.seeds, OperatorKeys: keys,
		ListEvery: 500 * time.Millisecond, StopTimeout: 20 * time.Second,
	}
	shell, err := New(cfg, zerolog.Nop())
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{shell: shell, stop: cancel, ended: make(chan error, 1)}
	go func() { v.ended <- shell.Run(ctx) }()
	v.entry = newFakeEntry(f.t, cfg)
	f.vms[i] = v
	return v
}

// kill ends a control process without a planned stop, and its fake entry process.
func (f *testFleet) kill(i int) {
	v := f.vms[i]
	delete(f.vms, i)
	v.entry.cancel()
	v.shell.Cancel()
	require.NoError(f.t, <-v.ended)
}

func (f *testFleet) injectFault(fault standin.Fault) { require.NoError(f.t, f.cluster.SetFault(fault)) }

// eventually waits until want holds on every VM. failure is the message if it does not.
func (f *testFleet) eventually(within time.Duration, failure string, want func(e *fakeEntry) bool) {
	f.t.Helper()
	vms := maps.Clone(f.vms) // holds may still run when the test has ended and its VMs are killed
	holds := func() bool {
		for _, v := range vms {
			if !v.entry.check(want) {
				return false
			}
		}
		return true
	}
	if !assert.Eventually(f.t, holds, within, 20*time.Millisecond, failure) {
		for i, v := range f.vms {
			f.t.Logf("VM %d: %s", i, v.entry.describe())
		}
		f.t.FailNow()
	}
}

// describe formats an entry's snapshot for a failed test.
func (e *fakeEntry) describe() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := fmt.Sprintf("versions %+v", e.snapshot.Versions)
	if e.snapshot.Config != nil {
		text += fmt.Sprintf(", config known %t", e.snapshot.Config.Known)
	}
	if e.snapshot.Members != nil {
		for _, m := range e.snapshot.Members.Members {
			text += fmt.Sprintf("; %s serving %t reachable %t leaving %t", m.Instance, m.Serving, m.Reachable, m.Leaving)
		}
	}
	return text
}

// apply applies a sheet with one limit through the administration API.
func (f *testFleet) apply(i int, limit int) config.Outcome {
	f.t.Helper()
	sheet := fmt.Sprintf("day,team,service,limit,unit\n2026-12-04,clubs,ordrebok,%d,requests/s\n", limit)
	req, err := http.NewRequest("POST", "http://"+f.vms[i].shell.cfg.AdminListen+"/admin/v1/sheet/apply", bytes.NewBufferString(sheet))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := adminClient.Do(req)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var outcome config.Outcome
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&outcome))
	return outcome
}

// fakeEntry polls and reports like an entry process and can borrow.
type fakeEntry struct {
	t            *testing.T
	self         ident.Instance
	addr         string
	client       *peer.Client
	ctx          context.Context
	cancel       context.CancelFunc
	mu           sync.Mutex
	silent       bool
	observations []peer.BackendObservation
	snapshot     peer.SnapshotReply
	seq          uint64
}

func newFakeEntry(t *testing.T, cfg Config) *fakeEntry {
	client, err := peer.NewClient(peer.DefaultConfig())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	e := &fakeEntry{t: t, self: cfg.Self, addr: cfg.Listen, client: client}
	e.self.Incarnation += 500_000 // differs from the control process's
	e.ctx, e.cancel = context.WithCancel(context.Background())
	go e.pollLoop()
	go e.reportLoop()
	return e
}

func (e *fakeEntry) pollLoop() {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, 3*time.Second)
		var reply peer.SnapshotReply
		e.mu.Lock()
		held := e.snapshot.Versions
		e.mu.Unlock()
		if e.client.Call(ctx, e.addr, peer.MethodSnapshot, peer.Once, peer.SnapshotRequest{Held: held, Wait: time.Second}, &reply) == nil {
			e.merge(reply)
		}
		cancel()
	}
}

func (e *fakeEntry) merge(reply peer.SnapshotReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snapshot.Versions = reply.Versions
	if reply.Config != nil {
		e.snapshot.Config = reply.Config
	}
	if reply.Members != nil {
		e.snapshot.Members = reply.Members
	}
	if reply.Backends != nil {
		e.snapshot.Backends = reply.Backends
	}
	if reply.Roster != nil {
		e.snapshot.Roster = reply.Roster
	}
}

func (e *fakeEntry) reportLoop() {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		req := peer.ReportRequest{Instance: e.self, Observations: e.observations}
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

func (e *fakeEntry) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeEntry) check(want func(e *fakeEntry) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return want(e)
}

// member finds a VM in the members section. The caller holds the lock.
func (e *fakeEntry) member(i int) (peer.EntryMember, bool) {
	if e.snapshot.Members == nil {
		return peer.EntryMember{}, false
	}
	for _, m := range e.snapshot.Members.Members {
		if m.Instance.VM == ident.VM(fmt.Sprintf("vm-%d", i)) {
			return m, true
		}
	}
	return peer.EntryMember{}, false
}

func (e *fakeEntry) version() uint64 {
	if e.snapshot.Config == nil {
		return 0
	}
	return e.snapshot.Config.Version
}

// borrow asks the slot's holder, as known to this entry, to lend one request and returns
// the amount lent.
func (e *fakeEntry) borrow() int64 {
	e.mu.Lock()
	roster := e.snapshot.Roster
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
	request := limits.Ask{From: e.self, Seq: seq, Items: []limits.AskItem{{Key: key, Epoch: holder.Epoch, Want: 1}}}
	if err := e.client.Call(ctx, holder.ControlAddr, peer.MethodBorrow, peer.Once, request, &loan); err != nil || len(loan.Items) == 0 {
		return 0
	}
	return loan.Items[0].Amount
}

// holder returns the VM that, as known to this entry, holds the slot of the tests' limit.
func (e *fakeEntry) holder() ident.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot.Roster == nil {
		return ""
	}
	slot := limits.SlotOf("clubs", "ordrebok", len(e.snapshot.Roster.Holders))
	return e.snapshot.Roster.Holders[slot].Instance.VM
}
