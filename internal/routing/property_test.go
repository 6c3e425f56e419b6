package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/ident"
	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

// routerModel drives a Router with random events and tracks the state they imply.
type routerModel struct {
	t        *rapid.T
	r        *Router
	now      time.Duration
	list     []Server
	leaving  map[ident.BackendServer]bool
	ejected  map[ident.BackendServer]time.Duration
	inFlight []Pipeline
}

// TestPickCoversLayersWithUsableServers runs random sequences of events: every pick must
// cover each layer once and in order, without leaving, ejected or excluded servers.
func TestPickCoversLayersWithUsableServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routerModel{t: t, leaving: map[ident.BackendServer]bool{}, ejected: map[ident.BackendServer]time.Duration{}}
		m.list = serverList(rapid.IntRange(1, 8).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "stages"), "a", "b", "c")
		if rapid.Bool().Draw(t, "remove one server") {
			m.list = slices.Delete(m.list, 0, 1)
		}
		m.r = newRouter(t, func(c *Config) {
			c.SubsetPerDomain = rapid.IntRange(0, 2).Draw(t, "subset")
			c.Policy = rapid.SampledFrom(policies).Draw(t, "policy")
			c.MaxEjected = rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "max ejected")
		})
		m.r.Step(0, Servers{List: m.list})
		if len(m.list) == 0 {
			return
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			m.step()
		}
		for _, p := range m.inFlight {
			m.r.Step(m.now, Done{ID: p.ID, FirstToken: time.Second, TokenTime: time.Millisecond})
		}
		require.Zero(t, m.r.Stats().InFlight)
		for id, s := range m.r.servers {
			require.Zero(t, s.ownRequests, "%s", id)
		}
	})
}

func (m *routerModel) step() {
	id := rapid.SampledFrom(m.list).Draw(m.t, "server").ID
	switch rapid.SampledFrom([]string{"pick", "pick", "fail", "leave", "list", "load", "done", "move"}).Draw(m.t, "step") {
	case "pick":
		m.pick(id)
	case "fail":
		for _, a := range m.r.Step(m.now, Failed{Server: id}) {
			m.ejected[id] = a.(Ejected).Until
		}
	case "leave":
		m.leaving[id] = true
		m.r.Step(m.now, Leaving{Server: id})
	case "list":
		m.r.Step(m.now, Servers{List: m.list})
	case "load":
		running := rapid.IntRange(0, 40).Draw(m.t, "running")
		m.r.Step(m.now, Load{Server: id, Running: running, Capacity: 16, MeasuredAt: m.now - time.Second})
	case "done":
		if len(m.inFlight) > 0 {
			m.r.Step(m.now, Done{ID: m.inFlight[0].ID})
			m.inFlight = m.inFlight[1:]
		}
	case "move":
		m.move()
	}
}

func (m *routerModel) pick(exclude ident.BackendServer) {
	p, ok := m.r.Pick(m.now, Request{Service: "skrivar", Exclude: []ident.BackendServer{exclude}})
	if !ok {
		return
	}
	m.inFlight = append(m.inFlight, p)
	nextLayer := 0
	for _, st := range p.Stages {
		require.Equal(m.t, nextLayer, st.From, "layers are skipped or run twice: %v", p.Stages)
		nextLayer = st.To
		require.NotEqual(m.t, exclude, st.Server)
		m.requireUsable(st.Server)
	}
	require.Equal(m.t, p.Layers, nextLayer)
}

// move replaces the first stage of the oldest request.
func (m *routerModel) move() {
	if len(m.inFlight) == 0 {
		return
	}
	st := &m.inFlight[0].Stages[0]
	to, ok := m.r.PickReplacement(m.now, "skrivar", st.From, st.To, []ident.BackendServer{st.Server})
	if !ok {
		return
	}
	require.NotEqual(m.t, st.Server, to)
	require.False(m.t, m.leaving[to], "%s is leaving", to)
	for _, s := range m.list { // ejected servers are only a fallback
		if s.LayerFrom == st.From && s.ID != st.Server && !m.leaving[s.ID] && m.now >= m.ejected[s.ID] {
			m.requireUsable(to)
		}
	}
	i := slices.IndexFunc(m.list, func(s Server) bool { return s.ID == to })
	require.Equal(m.t, []int{st.From, st.To}, []int{m.list[i].LayerFrom, m.list[i].LayerTo})
	m.r.Step(m.now, Moved{ID: m.inFlight[0].ID, From: st.Server, To: to})
	st.Server = to
}

func (m *routerModel) requireUsable(id ident.BackendServer) {
	require.False(m.t, m.leaving[id], "%s is leaving", id)
	require.GreaterOrEqual(m.t, m.now, m.ejected[id], "%s is ejected", id)
}

// TestReturningServerStaysWithinRampLimit guards against flooding a server that returns
// idle from an ejection while all others are loaded: it must stay below its ramp limit.
func TestReturningServerStaysWithinRampLimit(t *testing.T) {
	r := newRouter(t, nil)
	r.Step(0, Servers{List: serverList(40, 1, "bergen-a", "bergen-b")})
	for range 3 {
		r.Step(0, Failed{Server: "r007.0"})
	}
	for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
		_, ok := r.Pick(now, Request{Service: "skrivar"}) // no request ends, so r007 returns as the only idle server
		require.True(t, ok)
		s := r.servers["r007.0"]
		share := float64(now-s.rampStart) / float64(r.cfg.Ramp)
		if now < s.rampStart {
			require.Zero(t, s.ownRequests, "at %s", now)
		} else if share < 1 {
			require.LessOrEqual(t, float64(s.ownRequests), max(1, share*float64(s.capacity)+1), fmt.Sprint(now))
		}
	}
	require.Positive(t, r.servers["r007.0"].ownRequests)
}

func TestLoadReportExpires(t *testing.T) {
	r := newRouter(t, nil)
	r.Step(0, Servers{List: serverList(1, 1, "bergen-a")})
	r.Step(time.Second, Load{Server: "r000.0", Running: 9, Capacity: 16, MeasuredAt: time.Second})
	s := r.servers["r000.0"]
	require.InDelta(t, 9, r.estimateLoad(2*time.Second, s), 0.01)
	require.Zero(t, r.estimateLoad(time.Minute, s))
}

func TestLoadEstimateScalesOtherEntriesRequests(t *testing.T) {
	r := newRouter(t, func(c *Config) { c.PeerGain = 1 })
	r.Step(0, Servers{List: serverList(2, 1, "bergen-a")})
	for _, id := range []ident.BackendServer{"r000.0", "r001.0"} {
		r.servers[id].addOwn(0, 2)
		r.Step(time.Second, Load{Server: id, Running: 6, Capacity: 16, MeasuredAt: time.Second})
	}
	s := r.servers["r000.0"]
	require.InDelta(t, 6, r.estimateLoad(time.Second, s), 0.01)
	s.addOwn(time.Second, 1)
	require.InDelta(t, 9, r.estimateLoad(time.Second, s), 0.01, "two others per own request")
}
