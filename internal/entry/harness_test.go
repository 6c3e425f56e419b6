package entry

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/standin"
)

const testTeam = "herd"

// fakeControl is a control process that lends every requested amount.
type fakeControl struct {
	addr string
	mu   sync.Mutex
	// members lists all entries of the test.
	members      []peer.EntryMember
	servers      []peer.BackendServer
	observations []peer.BackendObservation
}

func newFakeControl(t testing.TB, cluster *standin.Cluster) *fakeControl {
	t.Helper()
	f := &fakeControl{}
	for _, s := range cluster.Servers() {
		kind := peer.KindEngine
		if s.Kind == vmlist.App {
			kind = peer.KindApp
		}
		f.servers = append(f.servers, peer.BackendServer{ID: s.ID, Kind: kind, Service: s.Service, Addr: s.Addr,
			Replica: s.Replica, LayerFrom: s.LayerFrom, LayerTo: s.LayerTo, LayersTotal: s.LayersTotal, AcceptsWork: true})
	}
	server, err := peer.NewServer(peer.DefaultConfig())
	require.NoError(t, err)
	peer.Handle(server, peer.MethodSnapshot, f.snapshot)
	peer.Handle(server, peer.MethodReport, f.report)
	peer.Handle(server, peer.MethodBorrow, f.borrow)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Stop(0) })
	return f
}

func (f *fakeControl) snapshot(ctx context.Context, req peer.SnapshotRequest) (peer.SnapshotReply, error) {
	if req.Held.Config > 0 {
		<-ctx.Done()
		return peer.SnapshotReply{Versions: req.Held}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := make([]peer.SlotHolder, 64)
	for i := range holders {
		holders[i] = peer.SlotHolder{Instance: ident.Instance{VM: "lender", Incarnation: 1}, ControlAddr: f.addr, Epoch: 1}
	}
	accepted := []peer.AcceptedLimit{
		{Team: testTeam, Service: "skrivar", Unit: "tokens/s", PerSecond: 1e6},
		{Team: testTeam, Service: "ordrebok", Unit: "requests/s", PerSecond: 1e6},
	}
	return peer.SnapshotReply{
		Versions: peer.SnapshotVersions{Control: 1, Config: 1},
		Config:   &peer.AcceptedConfig{Known: true, Version: 1, Limits: accepted},
		Members:  &peer.MembersSection{Members: f.members},
		Backends: &peer.BackendsSection{Servers: f.servers},
		Roster:   &peer.RosterSection{Version: 1, Holders: holders},
	}, nil
}

func (f *fakeControl) report(_ context.Context, req peer.ReportRequest) (peer.ReportReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, req.Observations...)
	return peer.ReportReply{}, nil
}

func (f *fakeControl) borrow(_ context.Context, ask limits.Ask) (limits.Loan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	loan := limits.Loan{To: ask.From, Seq: ask.Seq}
	for i, item := range ask.Items {
		loan.Items = append(loan.Items, limits.LoanItem{Index: i, Epoch: 1, Amount: item.Want})
	}
	return loan, nil
}

// testEnv is a stand-in cluster with entries in front of it.
type testEnv struct {
	t       testing.TB
	cluster *standin.Cluster
	control *fakeControl
	entries []*Shell
	stops   []context.CancelFunc
	ended   []chan struct{}
}

func startEnv(t testing.TB, entries int) *testEnv {
	t.Helper()
	cluster, err := standin.Start(standin.Topology{
		KV: "127.0.0.1:0", VMs: "127.0.0.1:0", Control: "127.0.0.1:0",
		Region: "vestland", FailureDomains: []string{"bergen-a", "bergen-b"},
		Models: []standin.ModelSpec{{Service: "skrivar", Replicas: 3, StageEnds: []int{2, 4, 6}, IP: "127.0.0.1",
			Accelerators: []standin.AcceleratorSpec{{Name: "a100", StepMicros: 300}},
			Capacity:     8, MaxWaiting: 64, MaxStreams: 64, PrefixBlocks: 8}},
		Apps: []standin.AppSpec{{Service: "ordrebok", Replicas: 2, IP: "127.0.0.1", CallMicros: 300, Capacity: 8}},
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	env := &testEnv{t: t, cluster: cluster, control: newFakeControl(t, cluster)}
	var cfgs []Config
	for i := range entries {
		cfgs = append(cfgs, env.entryConfig(i))
	}
	for _, cfg := range cfgs {
		env.startEntry(cfg)
	}
	return env
}

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (env *testEnv) entryConfig(i int) Config {
	name := ident.VM([]string{"a1", "b1", "c1"}[i])
	cfg := Config{
		Self:   ident.Instance{VM: name, Incarnation: 7},
		Place:  ident.Place{Region: "vestland", FailureDomain: ident.FailureDomain(name)},
		Listen: freeAddr(env.t), PeerListen: freeAddr(env.t), Control: env.control.addr, KV: env.cluster.Addresses().KV,
		CompletionTimeout: 20 * time.Second, CallTimeout: 5 * time.Second, Workers: 256, MaxBodyBytes: 1 << 20,
		MaxConns: 1000, BodyMemoryMB: 16, ReceiveTimeout: 30 * time.Second,
		AddressLifetime: 30 * time.Second,
	}
	env.control.members = append(env.control.members, peer.EntryMember{Instance: cfg.Self, Place: cfg.Place,
		EntryAddr: cfg.Listen, EntryPeerAddr: cfg.PeerListen, Serving: true, Reachable: true})
	return cfg
}

func (env *testEnv) startEntry(cfg Config) {
	shell, err := New(cfg, zerolog.Nop())
	require.NoError(env.t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = shell.Run(ctx)
	}()
	env.t.Cleanup(func() {
		shell.Cancel()
		stop()
		<-ended
		_ = shell.httpServer.Shutdown()
	})
	env.entries = append(env.entries, shell)
	env.stops = append(env.stops, stop)
	env.ended = append(env.ended, ended)
	require.Eventually(env.t, shell.Health.Ready, 10*time.Second, 5*time.Millisecond)
}

type response struct {
	status  int
	verdict string
	header  *fasthttp.ResponseHeader
	body    []byte
}

func (env *testEnv) request(entry int, method, path, key string, body any) response {
	env.t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + env.entries[entry].cfg.Listen + path)
	req.Header.Set(headerTeam, testTeam)
	if key != "" {
		req.Header.Set(headerKey, key)
	}
	if body != nil {
		raw, err := json.Marshal(body)
		require.NoError(env.t, err)
		req.SetBody(raw)
	}
	require.NoError(env.t, fasthttp.DoTimeout(&req, &resp, 20*time.Second))
	return response{status: resp.StatusCode(), verdict: string(resp.Header.Peek(headerVerdict)),
		header: &resp.Header, body: append([]byte(nil), resp.Body()...)}
}

// requestUntilRecorded repeats a request while an attempt with the same key is in progress, for
// at most 5 s. The outcome of a call is recorded after its answer has been sent, so a repetition
// through another entry may find the claim without it.
func (env *testEnv) requestUntilRecorded(entry int, method, path, key string, body any) response {
	env.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		got := env.request(entry, method, path, key, body)
		if got.status != fasthttp.StatusConflict || time.Now().After(deadline) {
			return got
		}
	}
}
