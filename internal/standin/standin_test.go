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
	wait      = 2 * time.Second
	shortWait = 150 * time.Millisecond
)

func TestMain(m *testing.M) {
	// fasthttp's cleaner of a stopped server ends only when it next wakes up, its
	// clock for the Date header never.
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

// world is a running topology and clients of it.
type world struct {
	*Cluster
	calls   *httpcall.Client
	kv      *kv.HTTP
	engines *engine.HTTP
	apps    *app.HTTP
}

func start(t *testing.T) *world {
	t.Helper()
	c, err := Start(testTopology())
	require.NoError(t, err)
	calls := httpcall.NewDefault()
	t.Cleanup(c.Close)
	t.Cleanup(calls.Close)
	return &world{
		Cluster: c,
		calls:   calls,
		kv:      kv.NewHTTP(c.Addresses().KV, calls),
		engines: engine.NewHTTP(calls),
		apps:    app.NewHTTP(calls),
	}
}

func (w *world) addr(t *testing.T, id string) string {
	for _, s := range w.Servers() {
		if string(s.ID) == id {
			return s.Addr
		}
	}
	t.Fatalf("no server %s", id)
	return ""
}

// postFault switches a fault by a call to the control listener.
func (w *world) postFault(t *testing.T, f Fault) {
	t.Helper()
	require.NoError(t, w.calls.JSON(w.Addresses().Control, "POST", "/fault", f, nil, httpcall.Within(wait)))
}

// run drives one whole answer through the three stages of a replica.
func (w *world) run(t *testing.T, replica, name, prompt string, tokens int) string {
	var text strings.Builder
	data := model.PrefillData(prompt, 5)
	for k := range tokens {
		eos := false
		for stage, id := range []string{"-s1", "-s2", "-s3"} {
			step := engine.Step{Stream: name, Attempt: 1, Token: k, From: 2 * stage, To: 2*stage + 2, Data: data}
			out, err := w.engines.Steps(w.addr(t, replica+id), []engine.Step{step}, httpcall.Within(wait))
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

func TestPipelineGivesTheExpectedAnswer(t *testing.T) {
	w := start(t)
	want, _ := model.ExpectedCompletion("ten pairs", 5, 8, 6)
	require.Equal(t, want, w.run(t, "skrivar-01", "a", "ten pairs", 8))
	require.Equal(t, want, w.run(t, "skrivar-02", "a", "ten pairs", 8))
	require.Equal(t, 2, w.Ledger().Prefills[PromptHash(model.PrefillData("ten pairs", 5))])
}

func TestStepsRepeatedStaleAndOutOfOrder(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "skrivar-01-s1")
	send := func(attempt, token int, data string) engine.Result {
		step := engine.Step{Stream: "s", Attempt: attempt, Token: token, To: 2, Data: data}
		out, err := w.engines.Steps(addr, []engine.Step{step}, httpcall.Within(wait))
		require.NoError(t, err)
		return out.Results[0]
	}
	first := send(1, 0, "1\nhello")
	require.Empty(t, first.Error)
	require.Equal(t, first, send(1, 0, "1\nhello"), "a repeat answers from the store")
	require.EqualValues(t, 1, w.Ledger().Steps)
	require.Equal(t, "position:1", send(1, 2, " wffff").Error)
	require.Equal(t, "position:0", func() string {
		step := engine.Step{Stream: "other", Attempt: 1, Token: 3, To: 2}
		out, err := w.engines.Steps(addr, []engine.Step{step}, httpcall.Within(wait))
		require.NoError(t, err)
		return out.Results[0].Error
	}())
	require.Empty(t, send(2, 1, " w0001").Error)
	require.Equal(t, engine.ErrorStale, send(1, 2, " w0002").Error)
	require.Empty(t, send(3, 0, "1\nhello w0001").Error, "a new attempt starts over")
	require.NoError(t, w.engines.Cancel(addr, "s", 3, httpcall.Within(wait)))
	require.Equal(t, "position:0", send(3, 1, " w0001").Error)
}

func TestLeavingEngineFinishesItsStreams(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "skrivar-01-s1")
	send := func(stream string, token int) string {
		step := engine.Step{Stream: stream, Attempt: 1, Token: token, To: 2, Data: "1\nhello"}
		out, err := w.engines.Steps(addr, []engine.Step{step}, httpcall.Within(wait))
		require.NoError(t, err)
		return out.Results[0].Error
	}
	require.Empty(t, send("old", 0))
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: Leave})
	require.Equal(t, engine.ErrorLeaving, send("new", 0))
	require.Empty(t, send("old", 1))
}

func TestExportAndImportMoveAStream(t *testing.T) {
	w := start(t)
	opt := httpcall.Within(wait)
	step := engine.Step{Stream: "m", Attempt: 1, To: 2, Data: "1\nhello"}
	_, err := w.engines.Steps(w.addr(t, "skrivar-01-s1"), []engine.Step{step}, opt)
	require.NoError(t, err)
	cache, err := w.engines.Export(w.addr(t, "skrivar-01-s1"), "m", opt)
	require.NoError(t, err)
	require.Equal(t, 1, cache.Position)
	other := w.addr(t, "skrivar-02-s1")
	require.NoError(t, w.engines.Import(other, "m", 2, cache.Blob, opt))
	step = engine.Step{Stream: "m", Attempt: 2, Token: 1, To: 2, Data: " w0001"}
	out, err := w.engines.Steps(other, []engine.Step{step}, opt)
	require.NoError(t, err)
	require.Empty(t, out.Results[0].Error)
	require.Error(t, w.engines.Import(w.addr(t, "skrivar-02-s2"), "m", 2, cache.Blob, opt))
}

func TestDyingInMidstreamAnswersNothingAndComesBackEmpty(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "skrivar-01-s1")
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: DieMidstream, Count: 1})
	step := engine.Step{Stream: "d", Attempt: 1, To: 2, Data: "1\nhello"}
	_, err := w.engines.Steps(addr, []engine.Step{step}, httpcall.Within(wait))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	require.Eventually(t, func() bool {
		_, err := w.engines.Load(addr, httpcall.Within(wait).WithNewConnection())
		return err != nil && httpcall.SentOf(err) == httpcall.NotSent
	}, wait, time.Millisecond)
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: Die, Off: true})
	step.Token = 1
	// The question above may have been answered before the listener closed: its
	// connection, dead since, would still be in the pool.
	out, err := w.engines.Steps(addr, []engine.Step{step}, httpcall.Within(wait).WithNewConnection())
	require.NoError(t, err)
	require.Equal(t, "position:0", out.Results[0].Error)
}

func TestSilentConnectionsAndNewOnes(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "ordrebok-1")
	call := app.Request{Method: "POST", Path: "/reservations", Key: "k1", Body: []byte("{}")}
	_, err := w.apps.Do(addr, call, httpcall.Within(wait))
	require.NoError(t, err)
	w.postFault(t, Fault{Target: "ordrebok-1", Kind: Silent})
	call.Key = "k2"
	_, err = w.apps.Do(addr, call, httpcall.Within(shortWait))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	call.Key = "k3"
	_, err = w.apps.Do(addr, call, httpcall.Within(wait).WithNewConnection())
	require.NoError(t, err)
	ledger := w.Ledger().Calls
	require.Len(t, ledger, 2)
	require.Equal(t, "k1", ledger[0].Key)
	require.Equal(t, "k3", ledger[1].Key)
}

func TestApplicationRefusesLosesRepliesAndDoesNotDeduplicate(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "ordrebok-2")
	call := app.Request{Method: "POST", Path: "/r/a%2Fb?x=1", Key: "k", Body: []byte("{}"),
		Headers: []app.Header{{Name: "Catkin-Team", Value: "gloves"}, {Name: "Connection", Value: "close"}}}
	got, err := w.apps.Do(addr, call, httpcall.Within(wait))
	require.NoError(t, err)
	require.Equal(t, AppResponse("POST", "/r/a%2Fb", call.Body), got.Body)
	w.postFault(t, Fault{Target: "ordrebok-2", Kind: LoseReply, Count: 1})
	_, err = w.apps.Do(addr, call, httpcall.Within(wait))
	require.Equal(t, httpcall.MayHaveArrived, httpcall.SentOf(err))
	require.Equal(t, 2, w.Ledger().Calls[0].Count)
	w.postFault(t, Fault{Target: "ordrebok-2", Kind: Leave})
	got, err = w.apps.Do(addr, call, httpcall.Within(wait))
	require.NoError(t, err)
	require.True(t, got.NotRun)
	require.Equal(t, 2, w.Ledger().Calls[0].Count)
}

func TestOrdersAreFencedUnlessIgnored(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "skrivar-01-s1")
	give := func(id string, fence int64) error {
		_, err := w.engines.Order(addr, engine.Order{OrderID: id, FencingToken: fence, Kind: engine.OrderLoad}, httpcall.Within(wait))
		return err
	}
	require.NoError(t, give("a", 5))
	require.NoError(t, give("a", 5))
	var fenced *engine.FencedError
	require.ErrorAs(t, give("b", 4), &fenced)
	require.EqualValues(t, 5, fenced.FencingToken)
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: IgnoreFence})
	require.NoError(t, give("c", 3))
	applied, err := w.engines.Orders(addr, httpcall.Within(wait))
	require.NoError(t, err)
	require.Len(t, applied, 2)
}

func TestListLagsBehindDeathAndDeparture(t *testing.T) {
	w := start(t)
	list := vmlist.NewHTTP(w.Addresses().VMs, w.calls)
	read := func() map[string]vmlist.State {
		vms, err := list.List(wait)
		require.NoError(t, err)
		states := map[string]vmlist.State{}
		for _, vm := range vms {
			states[string(vm.VM)] = vm.State
		}
		return states
	}
	require.Len(t, read(), 8)
	w.postFault(t, Fault{Target: "vms", Kind: Lag, DelayMillis: 30000})
	w.postFault(t, Fault{Target: "ordrebok-1", Kind: Leave})
	w.postFault(t, Fault{Target: "ordrebok-2", Kind: Die})
	require.Equal(t, vmlist.Live, read()["vm-ordrebok-1"])
	require.Len(t, read(), 8)
	w.postFault(t, Fault{Target: "vms", Kind: Lag, Off: true})
	require.Equal(t, vmlist.Leaving, read()["vm-ordrebok-1"])
	require.Len(t, read(), 7)
}

func TestCacheEventsHaveGapsAndLoadIsLate(t *testing.T) {
	w := start(t)
	addr := w.addr(t, "skrivar-01-s1")
	prompt := strings.Repeat("x", 3*engine.PrefixBlockBytes)
	w.run(t, "skrivar-01", "e", prompt, 1)
	events, err := w.engines.Events(addr, 0, httpcall.Within(wait))
	require.NoError(t, err)
	require.Len(t, events.Events, 3)
	require.Equal(t, engine.PrefixHashes(prompt)[2], events.Events[2].PrefixHash)
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: EventGaps, Probability: 1})
	events, err = w.engines.Events(addr, 0, httpcall.Within(wait))
	require.NoError(t, err)
	require.Empty(t, events.Events)
	require.EqualValues(t, 3, events.Next)
	w.postFault(t, Fault{Target: "skrivar-01-s1", Kind: LateLoad, DelayMillis: 30000})
	load, err := w.engines.Load(addr, httpcall.Within(wait))
	require.NoError(t, err)
	require.Zero(t, load.KVUsed)
}

func TestWeightStoreIsRateLimited(t *testing.T) {
	w := start(t)
	store := weights.NewHTTP(w.Addresses().Weights, w.calls)
	require.NoError(t, store.Reserve("skrivar", "v1", 1000, wait))
	err := store.Reserve("skrivar", "v1", 1000, wait)
	var limited *weights.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Positive(t, limited.RetryAfter)
}

func TestTopologyFiles(t *testing.T) {
	for _, file := range []string{"nordvik", "small"} {
		topology, err := ReadTopology("../../examples/" + file + ".json")
		require.NoError(t, err)
		require.NotEmpty(t, topology.place())
	}
	broken := testTopology()
	broken.Models[0].StageEnds = []int{4, 2}
	require.ErrorContains(t, broken.Validate(), "stage_ends")
	require.ErrorContains(t, Fault{Kind: "sleepy"}.Validate(), "sleepy")
}
