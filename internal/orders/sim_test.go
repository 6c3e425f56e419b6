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
	simTick      = 100 * time.Millisecond
	simLeaseTerm = 2 * time.Second
)

// fakeEngine applies orders and records the order in which they took effect.
type fakeEngine struct {
	Engine
	highestToken uint64
	applied      []string
	loaded       Model
	// effects holds the orders that took effect, as epoch and serial number.
	effects [][2]uint64
	loads   []time.Duration
}

func (e *fakeEngine) receive(now time.Duration, o Order) OrderAnswered {
	answer := OrderAnswered{Server: e.Server, OrderID: o.ID, Outcome: Applied}
	if e.ChecksOrders && o.FencingToken < e.highestToken {
		answer.Outcome, answer.FencingToken = Fenced, e.highestToken
		return answer
	}
	if slices.Contains(e.applied, o.ID) {
		return answer
	}
	e.highestToken = max(e.highestToken, o.FencingToken)
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

// process is a control process that issues orders under a scripted lease.
type process struct {
	host      memnet.Host
	core      *Core
	clockRate float64
	epoch     uint64
	// leaseEnd is the lease's end on this process's clock.
	leaseEnd time.Duration
	renewing bool
}

func (p *process) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.clockRate)
}

// Holds implements SlotLease.
func (p *process) Holds(now time.Duration, _ int) (uint64, bool) {
	return p.epoch, p.epoch > 0 && now < p.leaseEnd
}

// HeldUntil implements SlotLease.
func (p *process) HeldUntil() time.Duration { return p.leaseEnd }

type sim struct {
	t          require.TestingT
	net        *memnet.Net
	processes  []*process
	engines    map[memnet.Host]*fakeEngine
	epoch      uint64
	answerLoss float64
	sendTimes  []time.Duration
	// shellDelay bounds the time between a SendOrder action and the shell's BeginSend.
	shellDelay          time.Duration
	stabilizationWindow time.Duration
}

type (
	timer     struct{}
	orderSent struct {
		From  memnet.Host
		Order Order
	}
	readSent struct{ From memnet.Host }
)

// newSim returns a simulation of three processes and the given number of engines, of
// which every second one checks fencing tokens.
func newSim(t require.TestingT, seed uint64, engines int, maxDelay, stabilizationWindow time.Duration) *sim {
	s := &sim{t: t, engines: map[memnet.Host]*fakeEngine{}, stabilizationWindow: stabilizationWindow, shellDelay: time.Millisecond}
	s.net = memnet.New(memnet.Config{Seed: seed, MinDelay: time.Millisecond, MaxDelay: maxDelay, Loss: 0.02, Duplicate: 0.05})
	var list []Engine
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		e := &fakeEngine{Engine: Engine{Server: ident.BackendServer(name), Addr: name, ChecksOrders: i%2 == 0}}
		s.engines[memnet.Host(name)] = e
		list = append(list, e.Engine)
		s.net.Join(memnet.Host(name), func(now time.Duration, _ memnet.Host, payload any) { s.serve(e, now, payload) })
	}
	for i := range 3 {
		s.addProcess(i, list)
	}
	return s
}

func (s *sim) addProcess(i int, list []Engine) {
	p := &process{host: memnet.Host(fmt.Sprintf("control-%d", i)), clockRate: 0.99 + 0.01*float64(i)}
	cfg := DefaultConfig()
	cfg.StabilizationWindow = s.stabilizationWindow
	core, err := New(cfg, p)
	require.NoError(s.t, err)
	p.core = core
	core.Step(0, Engines{Engines: list})
	s.processes = append(s.processes, p)
	s.net.Join(p.host, func(now time.Duration, _ memnet.Host, payload any) {
		if payload == (timer{}) {
			s.net.After(p.host, simTick, payload)
			if p.renewing {
				p.leaseEnd = p.localTime(now) + simLeaseTerm
			}
			payload = Tick{}
		}
		s.runActions(p, now, p.core.Step(p.localTime(now), payload.(Event)))
	})
	s.net.After(p.host, simTick, timer{})
}

// runActions acts as the shell: it calls BeginSend immediately before each send.
func (s *sim) runActions(p *process, now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendOrder:
			delay := time.Duration(s.net.Rand().Int64N(int64(s.shellDelay)))
			s.net.At(now+delay, func() { s.sendOrder(p, a) })
		case ReadEngine:
			s.net.Send(p.host, memnet.Host(a.Engine.Addr), readSent{From: p.host})
		}
	}
}

func (s *sim) sendOrder(p *process, a SendOrder) {
	now := s.net.Now()
	if p.core.BeginSend(p.localTime(now), a.Engine.Server, a.Order) {
		s.sendTimes = append(s.sendTimes, now)
		s.net.Send(p.host, memnet.Host(a.Engine.Addr), orderSent{From: p.host, Order: a.Order})
	}
}

func (s *sim) serve(e *fakeEngine, now time.Duration, payload any) {
	switch m := payload.(type) {
	case orderSent:
		answer := e.receive(now, m.Order)
		if s.net.Rand().Float64() < s.answerLoss {
			answer.Outcome = Unknown
		}
		s.net.Send(memnet.Host(e.Addr), m.From, answer)
	case readSent:
		s.net.Send(memnet.Host(e.Addr), m.From, EngineRead{Server: e.Server, Applied: slices.Clone(e.applied), Loaded: e.loaded})
	}
}

// transferLease ends the current lease and gives it to process i as soon as the lease
// protocol allows: at once in a graceful transfer, otherwise when the old lease has
// expired.
func (s *sim) transferLease(i int, graceful bool) {
	now := s.net.Now()
	start := now
	for _, p := range s.processes {
		p.renewing = false
		if graceful {
			p.leaseEnd = min(p.leaseEnd, p.localTime(now))
		}
		if p.epoch > 0 {
			start = max(start, time.Duration(float64(p.leaseEnd)/p.clockRate))
		}
	}
	s.epoch++
	epoch, p := s.epoch, s.processes[i]
	s.net.At(start, func() {
		if s.epoch == epoch {
			p.epoch, p.renewing = epoch, true
			p.leaseEnd = p.localTime(s.net.Now()) + simLeaseTerm
		}
	})
}

// setDemand sets the same demands on all processes.
func (s *sim) setDemand(weights ...float64) {
	var list []ModelDemand
	for i, w := range weights {
		m := Model{Service: ident.Service(fmt.Sprintf("model-%d", i)), Version: "1"}
		list = append(list, ModelDemand{Model: m, Demand: w, Bytes: 500_000_000})
	}
	for _, p := range s.processes {
		p.core.Step(0, Demands{Demands: list})
	}
}

func (s *sim) run(d time.Duration) { s.net.RunUntil(s.net.Now() + d) }

// checkEffectOrder checks that orders took effect in the order in which they were issued,
// both across lease holders and within one.
func (s *sim) checkEffectOrder() {
	for _, e := range s.engines {
		sorted := slices.IsSortedFunc(e.effects, func(a, b [2]uint64) int { return slices.Compare(a[:], b[:]) })
		require.True(s.t, sorted,
			"%s (checks: %v): orders took effect out of order: %v", e.Server, e.ChecksOrders, e.effects)
	}
}
