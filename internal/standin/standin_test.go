package standin

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/adapter/weights"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

const (
	callTimeout  = 2 * time.Second
	shortTimeout = 150 * time.Millisecond
)

func TestMain(m *testing.M) {
	// fasthttp's worker pool cleaner exits only at its next wake-up after the server
	// stops; its goroutine for the Date header never exits.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func testTopology() Topology {
	return Topology{
		KV: "127.0.0.1:0", VMs: "127.0.0.1:0", Weights: "127.0.0.1:0", Control: "127.0.0.1:0",
		WeightBytesPerSecond: 1000,
		Region:               "vestland",
		FailureDomains:       []string{"bergen-a", "bergen-b", "stord"},
		Models: []ModelSpec{{
			Service: "skrivar", Replicas: 2, StageEnds: []int{2, 4, 6}, IP: "127.0.0.1",
			Accelerators: []AcceleratorSpec{{Name: "a100", StepMicros: 200}},
			Capacity:     4, MaxWaiting: 8, MaxStreams: 16, PrefixBlocks: 8, ChecksOrders: true,
		}},
		Apps: []AppSpec{{Service: "ordrebok", Replicas: 2, IP: "127.0.0.1", CallMicros: 200, Capacity: 2}},
	}
}

// testCluster is a running cluster with clients for it.
type testCluster struct {
	*Cluster
	calls   *httpcall.Client
	kv      *kv.HTTP
	engines *engine.HTTP
	apps    *app.HTTP
}

func startTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c, err := Start(testTopology())
	require.NoError(t, err)
	calls := httpcall.NewDefault()
	t.Cleanup(c.Close)
	t.Cleanup(calls.Close)
	return &testCluster{
		Cluster: c,
		calls:   calls,
		kv:      kv.NewHTTP(c.Addresses().KV, calls),
		engines: engine.NewHTTP(calls),
		apps:    app.NewHTTP(calls),
	}
}

func (c *testCluster) addr(t *testing.T, id string) string {
	for _, s := range c.Servers() {
		if string(s.ID) == id {
			return s.Addr
		}
	}
	t.Fatalf("server %s does not exist", id)
	return ""
}

// postFault switches a fault on or off through the control address.
func (c *testCluster) postFault(t *testing.T, f Fault) {
	t.Helper()
	require.NoError(t, c.calls.JSON(c.Addresses().Control, "POST", "/fault", f, nil, httpcall.Within(callTimeout)))
}

// runPipeline generates one answer through the three stages of a replica.
func (c *testCluster) runPipeline(t *testing.T, replica, name, prompt string, tokens int) string {
	var text strings.Builder
	data := model.PrefillData(prompt, 5)
	for k := range tokens {
		eos := false
		for stage, id := range []string{"-s1", "-s2", "-s3"} {
			step := engine.Step{Stream: name, Attempt: 1, Token: k, From: 2 * stage, To: 2*stage + 2, Data: data}
			out, err := c.engines.Steps(c.addr(t, replica+id), []engine.Step{step}, httpcall.Within(callTimeout))
			require.NoError(t, err)
			require.Empty(t, out.Results[0].Error)
			data, eos = out.Results[0].Data, out.Results[0].EOS
		}
		text.WriteString(data)
		if eos {
			break
		}
	}
	return text.String()
}

func TestPipelineReturnsExpectedCompletion(t *testing.T) {
	c := startTestCluster(t)
	want, _ := model.ExpectedCompletion("ten pairs", 5, 8, 6)
	require.Equal(t, want, c.runPipeline(t, "skrivar-01", "a", "ten pairs", 8))
	require.Equal(t, want, c.runPipeline(t, "skrivar-02", "a", "ten pairs", 8))
	require.Equal(t, 2, c.Ledger().Prefills[PromptHash(model.PrefillData("ten pairs", 5))])
}

func TestEngineHandlesRetriedStaleAndOutOfOrderSteps(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "skrivar-01-s1")
	send := func(attempt, token int, data string) engine.Result {
		step := engine.Step{Stream: "s", Attempt: attempt, Token: token, To: 2, Data: data}
		out, err := c.engines.Steps(addr, []engine.Step{step}, httpcall.Within(callTimeout))
		require.NoError(t, err)
		return out.Results[0]
	}
	first := send(1, 0, "1\nhello")
	require.Empty(t, first.Error)
	require.Equal(t, first, send(1, 0, "1\nhello"), "a retry returns the stored result")
	require.EqualValues(t, 1, c.Ledger().Steps)
	require.Equal(t, "position:1", send(1, 2, " wffff").Error)
	require.Equal(t, "position:0", func() string {
		step := engine.Step{Stream: "other", Attempt: 1, Token: 3, To: 2}
		out, err := c.engines.Steps(addr, []engine.Step{step}, httpcall.Within(callTimeout))
		require.NoError(t, err)
		return out.Results[0].Error
	}())
	require.Empty(t, send(2, 1, " w0001").Error)
	require.Equal(t, engine.ErrorStale, send(1, 2, " w0002").Error)
	require.Empty(t, send(3, 0, "1\nhello w0001").Error, "a new attempt starts over")
	require.NoError(t, c.engines.Cancel(addr, "s", 3, httpcall.Within(callTimeout)))
	require.Equal(t, "position:0", send(3, 1, " w0001").Error)
}

func TestLeavingEngineFinishesItsStreams(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "skrivar-01-s1")
	send := func(stream string, token int) string {
		step := engine.Step{Stream: stream, Attempt: 1, Token: token, To: 2, Data: "1\nhello"}
		out, err := c.engines.Steps(addr, []engine.Step{step}, httpcall.Within(callTimeout))
		require.NoError(t, err)
		return out.Results[0].Error
	}
	require.Empty(t, send("old", 0))
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: Leave})
	require.Equal(t, engine.ErrorLeaving, send("new", 0))
	require.Empty(t, send("old", 1))
}

func TestExportedStreamContinuesOnAnotherEngine(t *testing.T) {
	c := startTestCluster(t)
	opt := httpcall.Within(callTimeout)
	step := engine.Step{Stream: "m", Attempt: 1, To: 2, Data: "1\nhello"}
	_, err := c.engines.Steps(c.addr(t, "skrivar-01-s1"), []engine.Step{step}, opt)
	require.NoError(t, err)
	cache, err := c.engines.Export(c.addr(t, "skrivar-01-s1"), "m", opt)
	require.NoError(t, err)
	require.Equal(t, 1, cache.Position)
	other := c.addr(t, "skrivar-02-s1")
	require.NoError(t, c.engines.Import(other, "m", 2, cache.Blob, opt))
	step = engine.Step{Stream: "m", Attempt: 2, Token: 1, To: 2, Data: " w0001"}
	out, err := c.engines.Steps(other, []engine.Step{step}, opt)
	require.NoError(t, err)
	require.Empty(t, out.Results[0].Error)
	require.Error(t, c.engines.Import(c.addr(t, "skrivar-02-s2"), "m", 2, cache.Blob, opt))
}

func TestDieMidstreamLosesReplyAndStreams(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "skrivar-01-s1")
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: DieMidstream, Count: 1})
	step := engine.Step{Stream: "d", Attempt: 1, To: 2, Data: "1\nhello"}
	_, err := c.engines.Steps(addr, []engine.Step{step}, httpcall.Within(callTimeout))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	require.Eventually(t, func() bool {
		_, err := c.engines.Load(addr, httpcall.Within(callTimeout).WithNewConnection())
		return err != nil && httpcall.SentOf(err) == httpcall.NotSent
	}, callTimeout, time.Millisecond)
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: Die, Off: true})
	step.Token = 1
	// The Load request above may have succeeded before the listener closed, which
	// leaves its connection, now dead, in the pool.
	out, err := c.engines.Steps(addr, []engine.Step{step}, httpcall.Within(callTimeout).WithNewConnection())
	require.NoError(t, err)
	require.Equal(t, "position:0", out.Results[0].Error)
}

func TestSilentFaultAffectsOnlyOpenConnections(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "ordrebok-1")
	call := app.Request{Method: "POST", Path: "/reservations", Key: "k1", Body: []byte("{}")}
	_, err := c.apps.Do(addr, call, httpcall.Within(callTimeout))
	require.NoError(t, err)
	c.postFault(t, Fault{Target: "ordrebok-1", Kind: Silent})
	call.Key = "k2"
	_, err = c.apps.Do(addr, call, httpcall.Within(shortTimeout))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	call.Key = "k3"
	_, err = c.apps.Do(addr, call, httpcall.Within(callTimeout).WithNewConnection())
	require.NoError(t, err)
	ledger := c.Ledger().Calls
	require.Len(t, ledger, 2)
	require.Equal(t, "k1", ledger[0].Key)
	require.Equal(t, "k3", ledger[1].Key)
}

func TestAppLosesReplyRefusesWhenLeavingAndDoesNotDeduplicate(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "ordrebok-2")
	call := app.Request{Method: "POST", Path: "/r/a%2Fb?x=1", Key: "k", Body: []byte("{}"),
		Headers: []app.Header{{Name: "Catkin-Team", Value: "gloves"}, {Name: "Connection", Value: "close"}}}
	got, err := c.apps.Do(addr, call, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.Equal(t, AppResponse("POST", "/r/a%2Fb", call.Body), got.Body)
	c.postFault(t, Fault{Target: "ordrebok-2", Kind: LoseReply, Count: 1})
	_, err = c.apps.Do(addr, call, httpcall.Within(callTimeout))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	require.Equal(t, 2, c.Ledger().Calls[0].Count)
	c.postFault(t, Fault{Target: "ordrebok-2", Kind: Leave})
	got, err = c.apps.Do(addr, call, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.True(t, got.NotRun)
	require.Equal(t, 2, c.Ledger().Calls[0].Count)
}

func TestStaleOrdersAreFencedUnlessIgnoreFence(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "skrivar-01-s1")
	sendOrder := func(id string, fencingToken int64) error {
		_, err := c.engines.Order(addr, engine.Order{OrderID: id, FencingToken: fencingToken, Kind: engine.OrderLoad}, httpcall.Within(callTimeout))
		return err
	}
	require.NoError(t, sendOrder("a", 5))
	require.NoError(t, sendOrder("a", 5))
	var fenced *engine.FencedError
	require.ErrorAs(t, sendOrder("b", 4), &fenced)
	require.EqualValues(t, 5, fenced.FencingToken)
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: IgnoreFence})
	require.NoError(t, sendOrder("c", 3))
	applied, err := c.engines.Orders(addr, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.Len(t, applied, 2)
}

func TestLagFaultDelaysChangesOfVMList(t *testing.T) {
	c := startTestCluster(t)
	list := vmlist.NewHTTP(c.Addresses().VMs, c.calls)
	listStates := func() map[string]vmlist.State {
		vms, err := list.List(callTimeout)
		require.NoError(t, err)
		states := map[string]vmlist.State{}
		for _, vm := range vms {
			states[string(vm.VM)] = vm.State
		}
		return states
	}
	require.Len(t, listStates(), 8)
	c.postFault(t, Fault{Target: "vms", Kind: Lag, DelayMillis: 30000})
	c.postFault(t, Fault{Target: "ordrebok-1", Kind: Leave})
	c.postFault(t, Fault{Target: "ordrebok-2", Kind: Die})
	require.Equal(t, vmlist.Live, listStates()["vm-ordrebok-1"])
	require.Len(t, listStates(), 8)
	c.postFault(t, Fault{Target: "vms", Kind: Lag, Off: true})
	require.Equal(t, vmlist.Leaving, listStates()["vm-ordrebok-1"])
	require.Len(t, listStates(), 7)
}

func TestEventGapsAndLateLoadFaults(t *testing.T) {
	c := startTestCluster(t)
	addr := c.addr(t, "skrivar-01-s1")
	prompt := strings.Repeat("x", 3*engine.PrefixBlockBytes)
	c.runPipeline(t, "skrivar-01", "e", prompt, 1)
	events, err := c.engines.Events(addr, 0, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.Len(t, events.Events, 3)
	require.Equal(t, engine.PrefixHashes(prompt)[2], events.Events[2].PrefixHash)
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: EventGaps, Probability: 1})
	events, err = c.engines.Events(addr, 0, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.Empty(t, events.Events)
	require.EqualValues(t, 3, events.Next)
	c.postFault(t, Fault{Target: "skrivar-01-s1", Kind: LateLoad, DelayMillis: 30000})
	load, err := c.engines.Load(addr, httpcall.Within(callTimeout))
	require.NoError(t, err)
	require.Zero(t, load.KVUsed)
}

func TestWeightStoreIsRateLimited(t *testing.T) {
	c := startTestCluster(t)
	store := weights.NewHTTP(c.Addresses().Weights, c.calls)
	require.NoError(t, store.Reserve("skrivar", "v1", 1000, callTimeout))
	err := store.Reserve("skrivar", "v1", 1000, callTimeout)
	var limited *weights.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Positive(t, limited.RetryAfter)
}

func TestTopologyAndFaultValidation(t *testing.T) {
	for _, file := range []string{"nordvik", "small"} {
		topology, err := ReadTopology("../../examples/" + file + ".json")
		require.NoError(t, err)
		require.NotEmpty(t, topology.expand())
	}
	broken := testTopology()
	broken.Models[0].StageEnds = []int{4, 2}
	require.ErrorContains(t, broken.Validate(), "stage_ends")
	require.ErrorContains(t, Fault{Kind: "sleepy"}.Validate(), "sleepy")
}
