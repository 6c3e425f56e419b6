package lease

import (
	"fmt"
	"sort"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
)

const (
	serviceHost = memnet.Host("service")
	simTick     = 50 * time.Millisecond
)

// fakeService is a key-value service that stores the roster with compare-and-swap.
type fakeService struct {
	down      bool
	loseReply float64
	revision  uint64
	roster    *Roster
}

// process is one instance with its own clock.
type process struct {
	host       memnet.Host
	core       *Core
	clockRate  float64
	startedAt  time.Duration
	dead       bool
	paused     bool
	serviceCut bool
	left       bool
}

func (p *process) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-p.startedAt)*p.clockRate) + time.Second
}

// sim runs several cores on a simulated network.
type sim struct {
	t       require.TestingT
	net     *memnet.Net
	service fakeService
	// serviceCalls counts the calls that reached the service.
	serviceCalls int
	procs        map[memnet.Host]*process
	replaced     []*process
	places       map[memnet.Host]ident.Place
	// oneWay holds the directions that are cut while the reverse direction works.
	oneWay          map[[2]memnet.Host]bool
	slots           int
	drift           bool
	adjustConfig    func(*Config)
	membershipDelay time.Duration
	// onSend is called with every message sent between peers.
	onSend func(from memnet.Host, payload any)
	// onWrite is called after a write took effect.
	onWrite func(writer memnet.Host)
	// unheldSince is when a slot lost its live holder. longestGap is the longest time
	// without one since startAll.
	unheldSince map[int]time.Duration
	longestGap  time.Duration
}

type simTimer struct{ p *process }

func newSim(t require.TestingT, seed uint64, vms, domains int) *sim {
	s := &sim{
		t: t, slots: 4, drift: true, membershipDelay: 3 * time.Second,
		net:         memnet.New(memnet.Config{Seed: seed, MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: 0.01, Duplicate: 0.01}),
		procs:       map[memnet.Host]*process{},
		places:      map[memnet.Host]ident.Place{},
		oneWay:      map[[2]memnet.Host]bool{},
		unheldSince: map[int]time.Duration{},
	}
	s.net.Join(serviceHost, s.serve)
	for i := range vms {
		host := memnet.Host(fmt.Sprintf("vm-%02d", i))
		s.places[host] = ident.Place{Region: "r", FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%domains))}
	}
	return s
}

func (s *sim) hosts() []memnet.Host {
	var out []memnet.Host
	for h := range s.places {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// start starts a new incarnation on the host and ends the earlier one.
func (s *sim) start(host memnet.Host) {
	incarnation := ident.Incarnation(1)
	if old := s.procs[host]; old != nil {
		if old.paused && !old.dead {
			s.replaced = append(s.replaced, old)
		}
		s.kill(host)
		incarnation = old.core.cfg.Self.Incarnation + 1
	}
	cfg := DefaultConfig()
	cfg.Self = ident.Instance{VM: ident.VM(host), Incarnation: incarnation}
	cfg.Addr = string(host)
	cfg.Place = s.places[host]
	cfg.Slots = s.slots
	cfg.Seed = s.net.Rand().Uint64()
	if s.adjustConfig != nil {
		s.adjustConfig(&cfg)
	}
	core, err := New(cfg)
	require.NoError(s.t, err)
	p := &process{host: host, core: core, clockRate: 1, startedAt: s.net.Now()}
	if s.drift {
		p.clockRate = 0.99 + 0.02*float64(s.net.Rand().IntN(2))
	}
	s.procs[host] = p
	s.net.Join(host, func(now time.Duration, from memnet.Host, payload any) { s.receive(p, now, payload) })
	s.net.After(host, simTick, simTimer{p})
	s.publishCandidates()
}

func (s *sim) kill(host memnet.Host) {
	s.procs[host].dead = true
	s.net.Kill(host)
}

// publishCandidates simulates membership, whose view arrives after membershipDelay.
func (s *sim) publishCandidates() {
	s.net.At(s.net.Now()+s.membershipDelay, func() {
		alive := s.alive()
		for _, h := range s.hosts() {
			if p := s.procs[h]; p != nil && !p.dead && !p.paused {
				s.step(p, s.net.Now(), Candidates{Alive: alive})
			}
		}
	})
}

func (s *sim) alive() []Member {
	var out []Member
	for _, h := range s.hosts() {
		if p := s.procs[h]; p != nil && !p.dead && !p.paused && !p.core.leaving {
			out = append(out, Member{Instance: p.core.cfg.Self, Addr: p.core.cfg.Addr, Place: p.core.cfg.Place})
		}
	}
	return out
}

func (s *sim) pause(host memnet.Host) {
	s.procs[host].paused = true
	s.net.Pause(host)
	s.publishCandidates()
}

func (s *sim) resume(host memnet.Host) {
	if s.procs[host].paused {
		s.procs[host].paused = false
		s.net.Resume(host)
		s.publishCandidates()
	}
}

func (s *sim) receive(p *process, now time.Duration, payload any) {
	if p.dead {
		return
	}
	switch m := payload.(type) {
	case simTimer:
		if m.p == p {
			s.net.After(p.host, simTick, m)
			s.step(p, now, Tick{})
		}
	case PromiseRequest:
		s.step(p, now, PromiseAsked{Request: m})
	case PromiseReply:
		s.step(p, now, PromiseGiven{Reply: m})
	case Event:
		s.step(p, now, m)
	}
}

func (s *sim) step(p *process, now time.Duration, ev Event) {
	for _, a := range p.core.Step(p.localTime(now), ev) {
		switch a := a.(type) {
		case AskPromise:
			s.send(p.host, memnet.Host(a.Addr), a.Request)
		case GivePromise:
			s.send(p.host, memnet.Host(a.Addr), a.Reply)
		case ReadRoster, WriteRoster:
			if !p.serviceCut {
				s.net.Send(p.host, serviceHost, a)
			}
		case Left:
			p.left = true
		}
	}
	s.checkSingleHolder(now)
}

func (s *sim) send(from, to memnet.Host, payload any) {
	if s.onSend != nil {
		s.onSend(from, payload)
	}
	if !s.oneWay[[2]memnet.Host{from, to}] {
		s.net.Send(from, to, payload)
	}
}

func (s *sim) serve(_ time.Duration, from memnet.Host, payload any) {
	s.serviceCalls++
	if s.service.down {
		return
	}
	lost := s.net.Rand().Float64() < s.service.loseReply
	switch m := payload.(type) {
	case ReadRoster:
		if s.service.roster == nil {
			s.net.Send(serviceHost, from, RosterMissing{})
			return
		}
		s.net.Send(serviceHost, from, RosterRead{Revision: s.service.revision, Roster: *s.service.roster})
	case WriteRoster:
		result := CASResult{Outcome: CASConflict, Version: m.Roster.Version}
		if m.Expect == s.service.revision {
			s.service.revision++
			s.service.roster = &m.Roster
			result.Outcome = CASOK
			result.Revision = s.service.revision
			if s.onWrite != nil {
				s.onWrite(from)
			}
		}
		if lost {
			result.Outcome = CASUnknown
		}
		s.net.Send(serviceHost, from, result)
	}
}

// checkSingleHolder fails the test if two instances hold one slot. It includes paused
// processes, which may resume at any time.
func (s *sim) checkSingleHolder(now time.Duration) {
	for slot := range s.slots {
		holders := 0
		for _, p := range s.runnableProcesses() {
			if _, ok := p.core.Holds(p.localTime(now), slot); ok {
				holders++
			}
		}
		if holders > 1 {
			require.Failf(s.t, "two holders", "slot %d has %d holders at %v", slot, holders, now)
		}
		s.recordGap(now, slot, s.liveHolder(now, slot))
	}
}

// runnableProcesses lists the processes that are running or may resume, including paused
// ones whose VM was replaced.
func (s *sim) runnableProcesses() []*process {
	out := append(make([]*process, 0, len(s.procs)+len(s.replaced)), s.replaced...)
	for _, p := range s.procs {
		if !p.dead {
			out = append(out, p)
		}
	}
	return out
}

func (s *sim) liveHolder(now time.Duration, slot int) bool {
	for _, p := range s.procs {
		if p.dead || p.paused {
			continue
		}
		if _, ok := p.core.Holds(p.localTime(now), slot); ok {
			return true
		}
	}
	return false
}

func (s *sim) recordGap(now time.Duration, slot int, held bool) {
	since, unheld := s.unheldSince[slot]
	switch {
	case held:
		delete(s.unheldSince, slot)
	case !unheld:
		s.unheldSince[slot] = now
	default:
		s.longestGap = max(s.longestGap, now-since)
	}
}

// startAll starts every host, runs for 30 s and requires a holder for each slot.
func (s *sim) startAll() {
	for _, h := range s.hosts() {
		s.start(h)
	}
	s.run(30 * time.Second)
	for slot := range s.slots {
		require.True(s.t, s.liveHolder(s.net.Now(), slot), "slot %d has no holder after the start", slot)
	}
	s.longestGap = 0
}

func (s *sim) run(d time.Duration) { s.net.RunUntil(s.net.Now() + d) }

func (s *sim) holderOf(slot int) *process {
	for _, h := range s.hosts() {
		p := s.procs[h]
		if _, ok := p.core.Holds(p.localTime(s.net.Now()), slot); ok && !p.dead {
			return p
		}
	}
	return nil
}
