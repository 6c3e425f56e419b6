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

// fakeService is the record under compare-and-swap.
type fakeService struct {
	down      bool
	loseReply float64
	revision  uint64
	roster    *Roster
}

// process is one instance with a clock of its own.
type process struct {
	host   memnet.Host
	core   *Core
	rate   float64
	born   time.Duration
	dead   bool
	paused bool
	noKV   bool
	left   bool
}

func (p *process) local(now time.Duration) time.Duration {
	return time.Duration(float64(now-p.born)*p.rate) + time.Second
}

// sim drives several cores over memnet.
type sim struct {
	t       require.TestingT
	net     *memnet.Net
	service fakeService
	// serviceCalls counts the calls that reached the service.
	serviceCalls int
	procs        map[memnet.Host]*process
	zombies      []*process
	places       map[memnet.Host]ident.Place
	// oneWay holds the directions that are cut while the other way works.
	oneWay  map[[2]memnet.Host]bool
	slots   int
	drift   bool
	adjust  func(*Config)
	hearsay time.Duration
	// onSend sees what goes out between peers.
	onSend func(from memnet.Host, payload any)
	// onWrite is called when a write took effect.
	onWrite func(writer memnet.Host)
	// gaps holds the longest time that a slot had no holder since the mark.
	unheldSince map[int]time.Duration
	longestGap  time.Duration
}

type simTimer struct{ p *process }

func newSim(t require.TestingT, seed uint64, vms, domains int) *sim {
	s := &sim{
		t: t, slots: 4, drift: true, hearsay: 3 * time.Second,
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

// start begins a new incarnation on the host; an earlier one ends.
func (s *sim) start(host memnet.Host) {
	incarnation := ident.Incarnation(1)
	if old := s.procs[host]; old != nil {
		if old.paused && !old.dead {
			s.zombies = append(s.zombies, old)
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
	if s.adjust != nil {
		s.adjust(&cfg)
	}
	core, err := New(cfg)
	require.NoError(s.t, err)
	p := &process{host: host, core: core, rate: 1, born: s.net.Now()}
	if s.drift {
		p.rate = 0.99 + 0.02*float64(s.net.Rand().IntN(2))
	}
	s.procs[host] = p
	s.net.Join(host, func(now time.Duration, from memnet.Host, payload any) { s.receive(p, now, payload) })
	s.net.After(host, simTick, simTimer{p})
	s.tellCandidates()
}

func (s *sim) kill(host memnet.Host) {
	s.procs[host].dead = true
	s.net.Kill(host)
}

// tellCandidates stands in for the membership, which is some time late.
func (s *sim) tellCandidates() {
	s.net.At(s.net.Now()+s.hearsay, func() {
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
	s.tellCandidates()
}

func (s *sim) thaw(host memnet.Host) {
	if s.procs[host].paused {
		s.procs[host].paused = false
		s.net.Resume(host)
		s.tellCandidates()
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
	for _, a := range p.core.Step(p.local(now), ev) {
		switch a := a.(type) {
		case AskPromise:
			s.send(p.host, memnet.Host(a.Addr), a.Request)
		case GivePromise:
			s.send(p.host, memnet.Host(a.Addr), a.Reply)
		case ReadRoster, WriteRoster:
			if !p.noKV {
				s.net.Send(p.host, serviceHost, a)
			}
		case Left:
			p.left = true
		}
	}
	s.check(now)
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

// check is the rule: at no time do two instances hold one slot. It asks paused
// processes too, as if they woke up at this moment.
func (s *sim) check(now time.Duration) {
	for slot := range s.slots {
		holders := 0
		for _, p := range s.everyProcess() {
			if _, ok := p.core.Holds(p.local(now), slot); ok {
				holders++
			}
		}
		if holders > 1 {
			require.Failf(s.t, "two holders", "slot %d has %d holders at %v", slot, holders, now)
		}
		s.noteGap(now, slot, s.liveHolder(now, slot))
	}
}

// everyProcess lists what may still run: zombies are paused processes whose VM
// was replaced.
func (s *sim) everyProcess() []*process {
	out := append(make([]*process, 0, len(s.procs)+len(s.zombies)), s.zombies...)
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
		if _, ok := p.core.Holds(p.local(now), slot); ok {
			return true
		}
	}
	return false
}

func (s *sim) noteGap(now time.Duration, slot int, held bool) {
	since, open := s.unheldSince[slot]
	switch {
	case held:
		delete(s.unheldSince, slot)
	case !open:
		s.unheldSince[slot] = now
	default:
		s.longestGap = max(s.longestGap, now-since)
	}
}

// settleDown starts every host and runs until all slots have holders on all.
func (s *sim) settleDown() {
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
		if _, ok := p.core.Holds(p.local(s.net.Now()), slot); ok && !p.dead {
			return p
		}
	}
	return nil
}
