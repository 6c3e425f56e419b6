package dispatch_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/placement"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	model = "huvo11a"
	plain = "wuno96b"
)

func loadConfig(t testing.TB) *routes.Config {
	t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	cfg, err := platform.DecodeConfig(text)
	require.NoError(t, err)
	return cfg
}

// newCore returns the Core of a VM in failure domain a, with engines placed in a and b
// and three plain replicas.
func newCore(t testing.TB) *dispatch.Core {
	t.Helper()
	cfg := dispatch.DefaultConfig()
	cfg.VM, cfg.Domain = "a1", "a"
	cfg.Retry = retry.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 196, UsableShare: retry.DefaultUsableShare}
	c := dispatch.New(cfg)
	c.Apply(routes.NewTable(loadConfig(t)))
	c.Loads.SetMembers([]loads.Member{{VM: "a1", Domain: "a"}})
	spec := c.Spec(model)
	var servers []placement.Server
	records := map[backend.ID]backend.Record{}
	for _, d := range []string{"a", "b"} {
		for i := range 18 {
			accelerator := []string{"a100", "v100", "l4"}[min(2, (i+8)/9)]
			id := backend.ID(fmt.Sprintf("%s%02d", d, i))
			records[id] = backend.Record{ID: id, Service: model, Addr: string(id), Domain: d, Accelerator: accelerator, Slots: 192, State: backend.Ready, StartedMs: 1}
			servers = append(servers, placement.Server{Instance: records[id].Instance(), Domain: d, Accelerator: spec.Accelerators[accelerator]})
		}
	}
	for _, o := range placement.Plan(placement.DefaultConfig(), spec, servers) {
		r := records[o.Instance.ID]
		r.Held = o.Layers
		c.Backends.Put(0, r)
	}
	for i, d := range []string{"a", "b", "c"} {
		id := backend.ID(fmt.Sprintf("app%d", i))
		c.Backends.Put(0, backend.Record{ID: id, Service: plain, Addr: string(id), Domain: d, Slots: 6, State: backend.Ready, StartedMs: 1})
	}
	return c
}

func streamRequest(c *dispatch.Core, id string) *dispatch.Request {
	cfg := c.Table().Config()
	return &dispatch.Request{ID: id, Route: &cfg.Routes[0], Service: cfg.Services[model], PromptTokens: 760, AnswerTokens: 200,
		SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
}

func plainRequest(c *dispatch.Core, attempts int) *dispatch.Request {
	route := &routes.Route{Kind: routes.Idempotent, MaxAttempts: attempts}
	return &dispatch.Request{ID: "p", Route: route, Service: c.Table().Config().Services[plain],
		SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
}

func TestReplaceMovesOnlyLostStage(t *testing.T) {
	c := newCore(t)
	r := streamRequest(c, "r")
	ch, refusal := c.Choose(0, r)
	require.Nil(t, refusal)
	require.Greater(t, len(ch.Stages), 2)
	lost := ch.Stages[1]
	require.True(t, c.RecordLost(0, lost.Instance))
	next := c.Replace(0, r, ch, lost.Addr)
	require.NotNil(t, next)
	require.Equal(t, ch.Stages[0], next.Stages[0], "the first stage must not change")
	nextLayer := 0
	for _, stage := range next.Stages {
		require.NotEqual(t, lost.Addr, stage.Addr)
		require.Equal(t, nextLayer, stage.Layers.From)
		nextLayer = stage.Layers.To
	}
	require.Equal(t, 80, nextLayer)
	require.Nil(t, c.Replace(0, r, ch, ch.Stages[0].Addr), "the first stage cannot be replaced")
}

func TestServerReportedLostIsAvoided(t *testing.T) {
	c := newCore(t)
	r := streamRequest(c, "r")
	ch, _ := c.Choose(0, r)
	lost := ch.Stages[0]
	findings := c.Receive(0, loads.Message{From: "a0", Domain: "a", Seq: 1, Lost: map[loads.Key]time.Duration{dispatch.LoadKey(lost.Instance): 0}})
	require.Len(t, findings.Lost, 1)
	next, refusal := c.Choose(time.Second, streamRequest(c, "r2"))
	require.Nil(t, refusal)
	for _, stage := range next.Stages {
		require.NotEqual(t, lost.Addr, stage.Addr)
	}
	c.Backends.RecordSuccess(lost.Instance)
	require.False(t, c.Backends.Get(lost.Instance.ID).Suspect(time.Second))
}

func TestMaxAttemptsLimitsServersNotSends(t *testing.T) {
	c := newCore(t)
	r := plainRequest(c, 1)
	ch, _ := c.Choose(0, r)
	first := ch.Target().Instance.ID
	require.Equal(t, backend.ID("app0"), first, "replica of the own failure domain preferred")
	r.Sends, r.SentTo[first] = 1, true
	ch, refusal := c.Choose(0, r)
	require.Nil(t, refusal)
	require.Equal(t, first, ch.Target().Instance.ID)
	r.Avoid[first] = true
	_, refusal = c.Choose(0, r)
	require.Equal(t, verdict.CauseNoBackend, refusal.Cause)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
}

func TestDrainingServersGetNoNewRequests(t *testing.T) {
	c := newCore(t)
	for i := range 3 {
		s := c.Backends.Get(backend.ID(fmt.Sprintf("app%d", i))).Record
		s.State = backend.Draining
		c.Backends.Put(0, s)
	}
	_, refusal := c.Choose(0, plainRequest(c, 2))
	require.Equal(t, verdict.CauseNoBackend, refusal.Cause)
}

func TestOlderConfigurationIsNotApplied(t *testing.T) {
	c := newCore(t)
	old := loadConfig(t)
	old.Version--
	require.False(t, c.Apply(routes.NewTable(old)))
	require.EqualValues(t, 7, c.Table().Config().Version)
}

// runLoad simulates a load for 12 s: streams arrive in steps of 10 ms and hold their
// capacity for three seconds; refused streams are not retried. It returns the served
// ratio and the refusals by cause.
func runLoad(t *testing.T, c *dispatch.Core, streamsPerSecond int) (servedRatio float64, refusals map[verdict.Cause]int) {
	t.Helper()
	type running struct {
		ch  *dispatch.Choice
		end time.Duration
	}
	var open []running
	refusals = map[verdict.Cause]int{}
	served, total, due := 0, 0, 0.0
	for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
		for len(open) > 0 && open[0].end <= now {
			c.Release(open[0].ch)
			open = open[1:]
		}
		for due += float64(streamsPerSecond) / 100; due >= 1; due-- {
			total++
			ch, refusal := c.Choose(now, streamRequest(c, fmt.Sprint("r", total)))
			if refusal != nil {
				refusals[refusal.Cause]++
				continue
			}
			served++
			open = append(open, running{ch, now + 3*time.Second})
		}
	}
	for _, r := range open {
		c.Release(r.ch)
	}
	return float64(served) / float64(total), refusals
}

// 80 streams per second, each of 960 tokens and 3 s, fill the model copies of the own
// failure domain. The other domain must serve the rest.
func TestLoadSpillsToOtherDomainAndIsReleased(t *testing.T) {
	c := newCore(t)
	servedRatio, refusals := runLoad(t, c, 80)
	require.InDelta(t, 1, servedRatio, 0.001, refusals)
	for _, id := range c.Backends.IDs() {
		s := c.Backends.Get(id)
		require.Zero(t, s.OwnWork.Streams, id)
		require.InDelta(t, 0, s.OwnWork.TokenLayers, 1e-6, id)
	}
}

// At four times the load that fits, part of it must be served and the rest refused
// for lack of capacity only.
func TestOverloadIsRefusedWithNoCapacity(t *testing.T) {
	c := newCore(t)
	servedRatio, refusals := runLoad(t, c, 400)
	require.Less(t, servedRatio, 0.7)
	require.Greater(t, servedRatio, 0.1)
	require.Positive(t, refusals[verdict.CauseNoCapacity])
	require.Len(t, refusals, 1)
}

func TestReleaseRemovesAllOwnWork(t *testing.T) {
	c := newCore(t)
	r := streamRequest(c, "r")
	ch, _ := c.Choose(0, r)
	next := c.Replace(0, r, ch, ch.Stages[1].Addr)
	c.Release(ch)
	if next != nil {
		c.Release(next)
	}
	require.Empty(t, serversWithOwnStreams(c))
}

func serversWithOwnStreams(c *dispatch.Core) []backend.ID {
	var out []backend.ID
	for _, id := range c.Backends.IDs() {
		if c.Backends.Get(id).OwnWork.Streams > 0 {
			out = append(out, id)
		}
	}
	return out
}

func TestIdleConnectionsOfAllVMsStayWithinQuarter(t *testing.T) {
	c := newCore(t)
	s := routes.Service{MaxConns: 110}
	for _, vms := range []int{1, 6, 27, 77, 330} {
		c.SetVMCount(vms)
		require.LessOrEqual(t, vms*c.IdleConnections(s), s.MaxConns/4, vms)
	}
	c.SetVMCount(6)
	require.Equal(t, 4, c.IdleConnections(s))
}

// On a day of two crashes in one failure domain, 68 of 73 orders to change a path were
// refused because the path still named the other lost server.
func TestReplaceLeavesAllUnusableStages(t *testing.T) {
	for name, spoil := range map[string]func(c *dispatch.Core, stage paths.Stage, r *dispatch.Request){
		"suspect": func(c *dispatch.Core, stage paths.Stage, _ *dispatch.Request) { c.RecordLost(0, stage.Instance) },
		"draining": func(c *dispatch.Core, stage paths.Stage, _ *dispatch.Request) {
			rec := c.Backends.Get(stage.Instance.ID).Record
			rec.State = backend.Draining
			c.Backends.Put(0, rec)
		},
		"released": func(c *dispatch.Core, stage paths.Stage, _ *dispatch.Request) {
			rec := c.Backends.Get(stage.Instance.ID).Record
			rec.Held = backend.Layers{}
			c.Backends.Put(0, rec)
		},
		"gone": func(c *dispatch.Core, stage paths.Stage, _ *dispatch.Request) {
			c.Backends.Remove(0, stage.Instance.ID, 0, false)
		},
		"refused": func(_ *dispatch.Core, stage paths.Stage, r *dispatch.Request) { r.Avoid[stage.Instance.ID] = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t)
			r := streamRequest(c, "r")
			ch, refusal := c.Choose(0, r)
			require.Nil(t, refusal)
			require.Greater(t, len(ch.Stages), 4)
			lost, unusable := ch.Stages[1], ch.Stages[3]
			c.RecordLost(0, lost.Instance)
			spoil(c, unusable, r)
			next := c.Replace(0, r, ch, lost.Addr)
			require.NotNil(t, next)
			nextLayer := 0
			for _, stage := range next.Stages {
				require.NotContains(t, []string{lost.Addr, unusable.Addr}, stage.Addr)
				require.Equal(t, nextLayer, stage.Layers.From)
				nextLayer = stage.Layers.To
			}
			require.Equal(t, 80, nextLayer)
			require.Contains(t, next.Stages, ch.Stages[2], "a usable stage keeps its KV cache")
		})
	}
}

// A first server that refuses a request because of another one tells that this one is dead
// or leaving, unless it may be full. On a day of 195 VMs, each found eight dead servers out by
// itself, and 1,509 requests were refused with an exhausted retry budget.
func TestUnavailableServerIsReportedUnlessFull(t *testing.T) {
	c := newCore(t)
	s := c.Backends.Get("a05")
	c.RecordUnavailable(0, s)
	require.True(t, s.Suspect(500*time.Millisecond))
	require.False(t, s.Failed(0), "its layers are not to be placed again")

	other := newCore(t)
	other.Receive(0, loads.Message{From: "a0", Domain: "a", Seq: 1, Failing: map[loads.Key]time.Duration{dispatch.LoadKey(s.Instance()): 0}})
	require.True(t, other.Backends.Get("a05").Suspect(500*time.Millisecond))
	require.False(t, other.Backends.Get("a05").Failed(0))

	full := c.Backends.Get("a06")
	spec := c.Spec(model)
	c.Backends.AddWork(full.Instance(), backend.Work{Streams: 1, TokenLayers: 0.8 * spec.KVCapacity(spec.Accelerators[full.Accelerator], full.Held.Len())})
	c.RecordUnavailable(0, full)
	require.False(t, full.Suspect(500*time.Millisecond))
	require.True(t, full.Suspect(100*time.Millisecond))
}

// VMs divided the streams of servers lost together differently, in the order of a map.
func TestServersLostTogetherComeInOneOrder(t *testing.T) {
	c := newCore(t)
	lost := map[loads.Key]time.Duration{}
	for _, id := range c.Backends.IDs() {
		lost[dispatch.LoadKey(c.Backends.Get(id).Instance())] = 0
	}
	var ids []backend.ID
	for _, s := range c.Receive(0, loads.Message{From: "other", Scope: loads.ScopeFindings, Seq: 1, Lost: lost}).Lost {
		ids = append(ids, s.ID)
	}
	require.Len(t, ids, len(lost))
	require.True(t, slices.IsSorted(ids), "%v", ids)
}
