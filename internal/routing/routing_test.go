package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
)

func serverList(replicas, stages int, domains ...ident.FailureDomain) []Server {
	var list []Server
	for i := range replicas {
		for s := range stages {
			list = append(list, Server{
				ID: ident.BackendServer(fmt.Sprintf("r%03d.%d", i, s)), Service: "skrivar",
				Replica: fmt.Sprintf("r%03d", i), Place: ident.Place{FailureDomain: domains[i%len(domains)]},
				LayerFrom: 4 * s, LayerTo: 4*s + 4, LayersTotal: 4 * stages,
			})
		}
	}
	return list
}

func newRouter(t require.TestingT, adjustConfig func(*Config)) *Router {
	cfg := DefaultConfig()
	cfg.Self = "bergen-a-1"
	cfg.Place.FailureDomain = "bergen-a"
	if adjustConfig != nil {
		adjustConfig(&cfg)
	}
	r, err := New(cfg)
	require.NoError(t, err)
	return r
}

func TestPickCoversEveryLayerOnce(t *testing.T) {
	r := newRouter(t, nil)
	r.Step(0, Servers{List: serverList(3, 4, "bergen-a", "stord")})
	p, ok := r.Pick(0, Request{Service: "skrivar"})
	require.True(t, ok)
	require.Equal(t, 16, p.Layers)
	nextLayer := 0
	for _, st := range p.Stages {
		require.Equal(t, nextLayer, st.From)
		nextLayer = st.To
	}
	require.Equal(t, p.Layers, nextLayer)
	_, ok = r.Pick(0, Request{Service: "other"})
	require.False(t, ok)
}

func TestLeavingServerIsNeverPickedAgain(t *testing.T) {
	r := newRouter(t, nil)
	list := serverList(2, 2, "bergen-a")
	r.Step(0, Servers{List: list})
	r.Step(0, Leaving{Server: "r000.1"})
	r.Step(0, Servers{List: list}) // a late list that doesn't show it yet
	for range 50 {
		p, ok := r.Pick(0, Request{Service: "skrivar"})
		require.True(t, ok)
		require.Equal(t, ident.BackendServer("r001.1"), p.Stages[1].Server)
	}
	r.Step(0, Leaving{Server: "r001.0"})
	p, ok := r.Pick(0, Request{Service: "skrivar"})
	require.True(t, ok, "the stages of both replicas together cover the model")
	require.Equal(t, []Stage{{0, 4, "r000.0"}, {4, 8, "r001.1"}}, p.Stages)
	_, ok = r.PickReplacement(0, "skrivar", 4, 8, []ident.BackendServer{"r001.1"})
	require.False(t, ok)
}

func TestReturnedServerIsPickedAgain(t *testing.T) {
	r := newRouter(t, nil)
	list := serverList(1, 1, "bergen-a")
	r.Step(0, Servers{List: list})
	pick := func(now time.Duration) bool {
		_, ok := r.Pick(now, Request{Service: "skrivar"})
		return ok
	}
	r.Step(0, Leaving{Server: "r000.0"})
	r.Step(0, Servers{List: list})
	require.False(t, pick(time.Second), "the list is older than the report")
	list[0].Leaving = true
	r.Step(0, Servers{List: list})
	require.False(t, pick(time.Hour), "the list marks it as leaving")
	list[0].Leaving = false
	r.Step(0, Servers{List: list})
	require.True(t, pick(time.Second), "the list no longer marks it as leaving")
	r.Step(time.Second, Leaving{Server: "r000.0"})
	require.False(t, pick(time.Minute))
	require.True(t, pick(11*time.Minute), "no list marked it as leaving within ListLag")
}

func TestFailingServerIsEjectedThenRampsUp(t *testing.T) {
	r := newRouter(t, nil)
	r.Step(0, Servers{List: serverList(4, 1, "bergen-a")})
	for range 3 {
		r.Step(0, Failed{Server: "r000.0"})
	}
	count := func(now time.Duration) int {
		n := 0
		for range 80 {
			p, ok := r.Pick(now, Request{Service: "skrivar"})
			require.True(t, ok)
			if p.Stages[0].Server == "r000.0" {
				n++
			}
		}
		for id := range r.inFlight {
			r.Step(now, Done{ID: id})
		}
		return n
	}
	require.Zero(t, count(500*time.Millisecond))
	require.LessOrEqual(t, count(2*time.Second), 2, "ramp limit exceeded")
	require.Greater(t, count(20*time.Second), 10)
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	r := newRouter(t, nil)
	list := serverList(600, 1, "a", "b", "c")
	first := r.Step(0, Servers{List: list})[0].(Watch)
	require.Len(t, first.Servers, 48)
	second := r.Step(0, Servers{List: list[1:]})[0].(Watch)
	require.Subset(t, append(second.Servers, list[0].ID), first.Servers)
}
