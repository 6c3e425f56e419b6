package entrylist

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
)

const ms = time.Millisecond

// sim is a fleet of entries on a simulated network, and the lists that callers use.
type sim struct {
	net        *memnet.Net
	entries    map[ident.VM]*entry
	vms        []ident.VM
	violations []string
	listed     int
}

// entry is one VM's shell around its List. Its clock has its own offset and rate.
type entry struct {
	s            *sim
	self         ident.Instance
	domain       ident.FailureDomain
	list         *List
	startedAt    time.Duration
	clockRate    float64
	up, leaving  bool
	closed       bool
	drainedAt    time.Duration
	closedAt     time.Duration
	knownLeaving bool
	wasKilled    bool
	stopped      bool
}

type (
	tickTimer    struct{ incarnation ident.Incarnation }
	grantRequest struct {
		GrantAsked
		to ident.Instance
	}
	grantReply struct {
		GrantGiven
		to ident.Instance
	}
)

func newSim(seed uint64, domains, perDomain int, loss float64, delay time.Duration) *sim {
	s := &sim{net: memnet.New(memnet.Config{Seed: seed, MinDelay: ms, MaxDelay: delay, Loss: loss, Duplicate: loss}), entries: map[ident.VM]*entry{}}
	for d := range domains {
		for i := range perDomain {
			vm := ident.VM(fmt.Sprintf("d%d-%d", d, i))
			s.vms = append(s.vms, vm)
			s.entries[vm] = &entry{s: s, self: ident.Instance{VM: vm}, domain: ident.FailureDomain(fmt.Sprintf("d%d", d))}
		}
	}
	for _, vm := range s.vms {
		s.entries[vm].start()
	}
	s.publishPeers()
	return s
}

func (e *entry) host() memnet.Host { return memnet.Host(e.self.VM) }

func (e *entry) now() time.Duration {
	return time.Duration(float64(e.s.net.Now()-e.startedAt) * e.clockRate)
}

func (e *entry) start() {
	e.self.Incarnation++
	e.up, e.leaving, e.closed, e.stopped, e.knownLeaving = true, false, false, false, false
	e.startedAt = e.s.net.Now() - time.Duration(e.s.net.Rand().Int64N(int64(10*time.Second)))
	e.clockRate = 1 + (e.s.net.Rand().Float64()-0.5)/500
	list, err := New(DefaultConfig(e.self, "127.0.0.1:1", e.domain))
	if err != nil {
		panic(err)
	}
	e.list = list
	e.s.net.Join(e.host(), e.handle)
	e.s.net.After(e.host(), 500*ms, tickTimer{e.self.Incarnation})
}

func (e *entry) handle(_ time.Duration, from memnet.Host, payload any) {
	switch m := payload.(type) {
	case tickTimer:
		if m.incarnation == e.self.Incarnation {
			e.step(Tick{})
			e.s.net.After(e.host(), 500*ms, m)
		}
	case grantRequest:
		if m.to == e.self {
			e.step(m.GrantAsked)
		}
	case grantReply:
		if m.to == e.self {
			e.step(m.GrantGiven)
		}
	case Event:
		e.step(m)
	}
}

func (e *entry) step(ev Event) {
	if e.stopped {
		return
	}
	for _, action := range e.list.Step(e.now(), ev) {
		switch a := action.(type) {
		case AskGrant:
			e.s.net.Send(e.host(), memnet.Host(a.To.VM), grantRequest{GrantAsked{From: e.self, Seq: a.Seq}, a.To})
		case GiveGrant:
			e.s.net.Send(e.host(), memnet.Host(a.To.VM), grantReply{GrantGiven{From: e.self, Seq: a.Seq, Term: a.Term}, a.To})
		case AnnounceLeaving:
			e.leaving, e.drainedAt = true, e.s.net.Now()
		case CloseListener:
			e.closed, e.closedAt = true, e.s.net.Now()
		case Stop:
			e.stopped = true
			e.s.net.Kill(e.host())
			if e.list.OpenRequests() > 0 {
				e.s.addViolation("%s stopped with %d open streams", e.self, e.list.OpenRequests())
			}
		}
	}
}

// publishPeers simulates membership, which reports a VM as leaving once knownLeaving is
// set.
func (s *sim) publishPeers() {
	var peers []Peer
	for _, vm := range s.vms {
		if e := s.entries[vm]; e.up && !e.stopped {
			peers = append(peers, Peer{Instance: e.self, Addr: "127.0.0.1:1", Domain: e.domain, Leaving: e.knownLeaving})
		}
	}
	for _, vm := range s.vms {
		if e := s.entries[vm]; e.up && !e.stopped {
			s.net.After(e.host(), ms, Peers{Peers: peers})
		}
	}
}

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, s.net.Now().String()+": "+fmt.Sprintf(format, args...))
}

// askAddresses simulates a caller that requests a list from an entry, and checks that each
// listed entry is still open when the list expires.
func (s *sim) askAddresses(vm ident.VM, team ident.Team) {
	e := s.entries[vm]
	if !e.up || e.stopped || e.closed {
		return
	}
	reply := e.list.IssueAddresses(e.now(), team)
	for _, address := range reply.Addresses {
		s.listed++
		listed := s.entries[address.VM]
		incarnation := listed.self.Incarnation
		s.net.At(s.net.Now()+reply.Lifetime, func() {
			if listed.self.Incarnation == incarnation && !listed.wasKilled && (listed.closed || listed.stopped) {
				s.addViolation("%s, listed by %s, closed at %s before its address expired", listed.self, vm, listed.closedAt)
			}
		})
	}
	if e.leaving {
		for _, address := range reply.Addresses {
			if address.VM == vm {
				s.addViolation("%s is leaving and listed itself", vm)
			}
		}
	}
}

// TestEntryStaysOpenUntilAddressesExpire drains entries while links fail, hosts are
// paused or killed and messages are late. No entry may close before its address expires.
func TestEntryStaysOpenUntilAddressesExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{3 * ms, 500 * ms, 20 * time.Second}).Draw(t, "delay")
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "per domain"), loss, delay)
		drawEntry := func(name string) *entry { return s.entries[rapid.SampledFrom(s.vms).Draw(t, name)] }
		drawTime := func() time.Duration { return time.Duration(rapid.IntRange(0, 150).Draw(t, "at")) * time.Second }
		for range rapid.IntRange(1, 4).Draw(t, "drains") {
			e, when := drawEntry("leaving"), drawTime()
			s.net.At(when, func() { e.step(Drain{}) })
			if rapid.Bool().Draw(t, "told") {
				s.net.At(when+time.Second, func() { e.knownLeaving = true; s.publishPeers() })
			}
		}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			e, other, when := drawEntry("a"), drawEntry("b"), drawTime()
			end := when + time.Duration(rapid.IntRange(1, 100).Draw(t, "lasts"))*time.Second
			switch rapid.SampledFrom([]string{"cut", "pause", "kill"}).Draw(t, "fault") {
			case "cut":
				s.net.At(when, func() { s.net.Cut(e.host(), other.host(), true) })
				s.net.At(end, func() { s.net.Cut(e.host(), other.host(), false) })
			case "pause":
				s.net.At(when, func() { s.net.Pause(e.host()) })
				s.net.At(end, func() { s.net.Resume(e.host()) })
			case "kill":
				s.net.At(when, func() { e.wasKilled, e.up = true, false; s.net.Kill(e.host()) })
				s.net.At(end, func() { e.start(); s.publishPeers() })
			}
		}
		for i := range 200 {
			vm := s.vms[i%len(s.vms)]
			s.net.At(time.Duration(i)*time.Second, func() { s.askAddresses(vm, ident.Team(fmt.Sprintf("team%d", i%7))) })
		}
		s.net.RunUntil(400 * time.Second)
		require.Empty(t, s.violations)
	})
}

// TestDrainEndsSoonAfterGrantsExpire checks that a planned shutdown closes the listener
// within 65 s and waits for the open stream before it stops.
func TestDrainEndsSoonAfterGrantsExpire(t *testing.T) {
	for _, size := range []int{2, 47} {
		s := newSim(1, map[int]int{2: 3, 47: 7}[size], size, 0, 3*ms)
		s.net.RunUntil(60 * time.Second)
		e := s.entries["d0-0"]
		e.step(Opened{})
		e.step(Drain{})
		s.net.RunUntil(150 * time.Second)
		require.True(t, e.closed)
		require.False(t, e.stopped)
		e.step(Closed{})
		require.True(t, e.stopped)
		took := e.closedAt - e.drainedAt
		t.Logf("%d entries: closed %s after the drain began", len(s.vms), took.Round(ms))
		require.Less(t, took, 65*time.Second)
	}
}

// TestAddressesSpreadOverDomainsAndEntries checks, in a fleet of 329 entries, that each
// list contains six failure domains and that more than 300 entries are listed. It logs
// the messages that grants cost.
func TestAddressesSpreadOverDomainsAndEntries(t *testing.T) {
	s := newSim(1, 7, 47, 0, 3*ms)
	s.net.RunUntil(60 * time.Second)
	sent := s.net.Sent["d0-0"]
	s.net.RunUntil(160 * time.Second)
	timesListed := map[ident.VM]int{}
	for i := range 1100 {
		for _, vm := range []ident.VM{s.vms[i%len(s.vms)], s.vms[(i*7+3)%len(s.vms)]} {
			reply := s.entries[vm].list.IssueAddresses(s.entries[vm].now(), ident.Team(fmt.Sprintf("team-%04d", i)))
			domains := map[ident.FailureDomain]bool{}
			for _, address := range reply.Addresses {
				timesListed[address.VM]++
				domains[address.FailureDomain] = true
			}
			require.Len(t, reply.Addresses, 6)
			require.Len(t, domains, 6)
			require.GreaterOrEqual(t, reply.Lifetime, 20*time.Second)
		}
	}
	most := 0
	for _, n := range timesListed {
		most = max(most, n)
	}
	t.Logf("329 entries, 2200 lists of 6: %d entries listed, the most listed %.1f times the mean; %.2f messages/s for grants from one VM",
		len(timesListed), float64(most)*329/13200, float64(s.net.Sent["d0-0"]-sent)/100)
	require.Greater(t, len(timesListed), 300)
}
