package orders

import (
	"fmt"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
)

const (
	simTick    = 100 * time.Millisecond
	simPromise = 2 * time.Second
)

// fakeEngine applies orders and records the fencing numbers of their effects.
type fakeEngine struct {
	Engine
	fence   uint64
	applied []string
	loaded  Model
	// effects are the orders that took effect, as epoch and serial number.
	effects [][2]uint64
	loads   []time.Duration
}

func (e *fakeEngine) take(now time.Duration, o Order) OrderAnswered {
	answer := OrderAnswered{Server: e.Server, OrderID: o.ID, Outcome: Applied}
	if e.ChecksOrders && o.Fence < e.fence {
		answer.Outcome, answer.Fence = Fenced, e.fence
		return answer
	}
	if slices.Contains(e.applied, o.ID) {
		return answer
	}
	e.fence = max(e.fence, o.Fence)
	e.applied = append(e.applied, o.ID)
	var effect [2]uint64
	_, _ = fmt.Sscanf(o.ID, "o%d.%d", &effect[0], &effect[1])
	e.effects = append(e.effects, effect)
	switch o.Kind {
	case Load:
		e.loaded = o.Model
		e.loads = append(e.loads, now)
	case Unload:
		e.loaded = Model{}
	}
	return answer
}

// giver is one process under a scripted lease.
type giver struct {
	host  memnet.Host
	core  *Core
	rate  float64
	epoch uint64
	// until is the lease's end on this process's clock.
	until  time.Duration
	renews bool
}

func (g *giver) local(now time.Duration) time.Duration {
	return time.Duration(float64(now) * g.rate)
}

// Holds implements Holder.
func (g *giver) Holds(now time.Duration, _ int) (uint64, bool) {
	return g.epoch, g.epoch > 0 && now < g.until
}

// HeldUntil implements Holder.
func (g *giver) HeldUntil() time.Duration { return g.until }

type sim struct {
	t       require.TestingT
	net     *memnet.Net
	givers  []*giver
	engines map[memnet.Host]*fakeEngine
	epoch   uint64
	lose    float64
	sent    []time.Duration
	// shellDelay bounds the time between an action and the shell's check.
	shellDelay time.Duration
	stableFor  time.Duration
}

type (
	timer     struct{}
	orderSent struct {
		From  memnet.Host
		Order Order
	}
	readSent struct{ From memnet.Host }
)

// newSim makes three givers, and engines every second of which checks orders.
func newSim(t require.TestingT, seed uint64, engines int, longest, stableFor time.Duration) *sim {
	s := &sim{t: t, engines: map[memnet.Host]*fakeEngine{}, stableFor: stableFor, shellDelay: time.Millisecond}
	s.net = memnet.New(memnet.Config{Seed: seed, MinDelay: time.Millisecond, MaxDelay: longest, Loss: 0.02, Duplicate: 0.05})
	var list []Engine
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		e := &fakeEngine{Engine: Engine{Server: ident.BackendServer(name), Addr: name, ChecksOrders: i%2 == 0}}
		s.engines[memnet.Host(name)] = e
		list = append(list, e.Engine)
		s.net.Join(memnet.Host(name), func(now time.Duration, _ memnet.Host, payload any) { s.serve(e, now, payload) })
	}
	for i := range 3 {
		s.addGiver(i, list)
	}
	return s
}

func (s *sim) addGiver(i int, list []Engine) {
	g := &giver{host: memnet.Host(fmt.Sprintf("control-%d", i)), rate: 0.99 + 0.01*float64(i)}
	cfg := DefaultConfig()
	cfg.StableFor = s.stableFor
	core, err := New(cfg, g)
	require.NoError(s.t, err)
	g.core = core
	core.Step(0, Engines{Engines: list})
	s.givers = append(s.givers, g)
	s.net.Join(g.host, func(now time.Duration, _ memnet.Host, payload any) {
		if payload == (timer{}) {
			s.net.After(g.host, simTick, payload)
			if g.renews {
				g.until = g.local(now) + simPromise
			}
			payload = Tick{}
		}
		s.act(g, now, g.core.Step(g.local(now), payload.(Event)))
	})
	s.net.After(g.host, simTick, timer{})
}

// act is the shell: it checks immediately before each send.
func (s *sim) act(g *giver, now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendOrder:
			delay := time.Duration(s.net.Rand().Int64N(int64(s.shellDelay)))
			s.net.At(now+delay, func() { s.sendOrder(g, a) })
		case ReadEngine:
			s.net.Send(g.host, memnet.Host(a.Engine.Addr), readSent{From: g.host})
		}
	}
}

func (s *sim) sendOrder(g *giver, a SendOrder) {
	now := s.net.Now()
	if g.core.BeginSend(g.local(now), a.Engine.Server, a.Order) {
		s.sent = append(s.sent, now)
		s.net.Send(g.host, memnet.Host(a.Engine.Addr), orderSent{From: g.host, Order: a.Order})
	}
}

func (s *sim) serve(e *fakeEngine, now time.Duration, payload any) {
	switch m := payload.(type) {
	case orderSent:
		answer := e.take(now, m.Order)
		if s.net.Rand().Float64() < s.lose {
			answer.Outcome = Unknown
		}
		s.net.Send(memnet.Host(e.Addr), m.From, answer)
	case readSent:
		s.net.Send(memnet.Host(e.Addr), m.From, EngineRead{Server: e.Server, Applied: slices.Clone(e.applied), Loaded: e.loaded})
	}
}

// handOver ends the present holder's lease and gives it to giver i as soon as
// the lease's rules allow: at once where the holder knows, else when it lapsed.
func (s *sim) handOver(i int, graceful bool) {
	now := s.net.Now()
	start := now
	for _, g := range s.givers {
		g.renews = false
		if graceful {
			g.until = min(g.until, g.local(now))
		}
		if g.epoch > 0 {
			start = max(start, time.Duration(float64(g.until)/g.rate))
		}
	}
	s.epoch++
	epoch, g := s.epoch, s.givers[i]
	s.net.At(start, func() {
		if s.epoch == epoch {
			g.epoch, g.renews = epoch, true
			g.until = g.local(s.net.Now()) + simPromise
		}
	})
}

// demand sets the same demands on all givers.
func (s *sim) demand(weights ...float64) {
	var list []ModelDemand
	for i, w := range weights {
		m := Model{Service: ident.Service(fmt.Sprintf("model-%d", i)), Version: "1"}
		list = append(list, ModelDemand{Model: m, Demand: w, Bytes: 500_000_000})
	}
	for _, g := range s.givers {
		g.core.Step(0, Demands{Demands: list})
	}
}

func (s *sim) run(d time.Duration) { s.net.RunUntil(s.net.Now() + d) }

// checkOrder is the rule: orders take effect in the order in which they were
// given, those of two holders and those of one.
func (s *sim) checkOrder() {
	for _, e := range s.engines {
		sorted := slices.IsSortedFunc(e.effects, func(a, b [2]uint64) int { return slices.Compare(a[:], b[:]) })
		require.True(s.t, sorted,
			"%s (checks: %v): orders took effect out of order: %v", e.Server, e.ChecksOrders, e.effects)
	}
}
