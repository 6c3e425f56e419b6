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

// world is a fleet of entries and the answers that callers keep.
type world struct {
	net     *memnet.Net
	entries map[ident.VM]*entry
	order   []ident.VM
	wrong   []string
	named   int
}

// entry is one VM's shell around its List. Its clock has another zero and speed.
type entry struct {
	w            *world
	self         ident.Instance
	domain       ident.FailureDomain
	list         *List
	started      time.Duration
	rate         float64
	up, leaving  bool
	closed       bool
	drainedAt    time.Duration
	closedAt     time.Duration
	knownLeaving bool
	killedOnce   bool
	stopped      bool
}

type (
	tickNow  struct{ life ident.Incarnation }
	question struct {
		GrantAsked
		to ident.Instance
	}
	reply struct {
		GrantGiven
		to ident.Instance
	}
)

func newWorld(seed uint64, domains, perDomain int, loss float64, delay time.Duration) *world {
	w := &world{net: memnet.New(memnet.Config{Seed: seed, MinDelay: ms, MaxDelay: delay, Loss: loss, Duplicate: loss}), entries: map[ident.VM]*entry{}}
	for d := range domains {
		for i := range perDomain {
			vm := ident.VM(fmt.Sprintf("d%d-%d", d, i))
			w.order = append(w.order, vm)
			w.entries[vm] = &entry{w: w, self: ident.Instance{VM: vm}, domain: ident.FailureDomain(fmt.Sprintf("d%d", d))}
		}
	}
	for _, vm := range w.order {
		w.entries[vm].start()
	}
	w.tellPeers()
	return w
}

func (e *entry) host() memnet.Host { return memnet.Host(e.self.VM) }

func (e *entry) now() time.Duration {
	return time.Duration(float64(e.w.net.Now()-e.started) * e.rate)
}

func (e *entry) start() {
	e.self.Incarnation++
	e.up, e.leaving, e.closed, e.stopped, e.knownLeaving = true, false, false, false, false
	e.started = e.w.net.Now() - time.Duration(e.w.net.Rand().Int64N(int64(10*time.Second)))
	e.rate = 1 + (e.w.net.Rand().Float64()-0.5)/500
	list, err := New(DefaultConfig(e.self, "127.0.0.1:1", e.domain))
	if err != nil {
		panic(err)
	}
	e.list = list
	e.w.net.Join(e.host(), e.handle)
	e.w.net.After(e.host(), 500*ms, tickNow{e.self.Incarnation})
}

func (e *entry) handle(_ time.Duration, from memnet.Host, payload any) {
	switch m := payload.(type) {
	case tickNow:
		if m.life == e.self.Incarnation {
			e.step(Tick{})
			e.w.net.After(e.host(), 500*ms, m)
		}
	case question:
		if m.to == e.self {
			e.step(m.GrantAsked)
		}
	case reply:
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
			e.w.net.Send(e.host(), memnet.Host(a.To.VM), question{GrantAsked{From: e.self, Seq: a.Seq}, a.To})
		case GiveGrant:
			e.w.net.Send(e.host(), memnet.Host(a.To.VM), reply{GrantGiven{From: e.self, Seq: a.Seq, Term: a.Term}, a.To})
		case AnnounceLeaving:
			e.leaving, e.drainedAt = true, e.w.net.Now()
		case CloseListener:
			e.closed, e.closedAt = true, e.w.net.Now()
		case Stop:
			e.stopped = true
			e.w.net.Kill(e.host())
			if e.list.OpenRequests() > 0 {
				e.w.fault("%s stopped with %d streams open", e.self, e.list.OpenRequests())
			}
		}
	}
}

// tellPeers is membership: it may say nothing of a leaving VM for long.
func (w *world) tellPeers() {
	var peers []Peer
	for _, vm := range w.order {
		if e := w.entries[vm]; e.up && !e.stopped {
			peers = append(peers, Peer{Instance: e.self, Addr: "127.0.0.1:1", Domain: e.domain, Leaving: e.knownLeaving})
		}
	}
	for _, vm := range w.order {
		if e := w.entries[vm]; e.up && !e.stopped {
			w.net.After(e.host(), ms, Peers{Peers: peers})
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.wrong = append(w.wrong, w.net.Now().String()+": "+fmt.Sprintf(format, args...))
}

// ask lets a caller ask an entry and use each address at the last moment of its
// life, by the caller's own clock.
func (w *world) ask(vm ident.VM, team ident.Team) {
	e := w.entries[vm]
	if !e.up || e.stopped || e.closed {
		return
	}
	answer := e.list.IssueAddresses(e.now(), team)
	for _, address := range answer.Addresses {
		w.named++
		named := w.entries[address.VM]
		life := named.self.Incarnation
		w.net.At(w.net.Now()+answer.Lifetime, func() {
			if named.self.Incarnation == life && !named.killedOnce && (named.closed || named.stopped) {
				w.fault("%s, named by %s, was closed at %s while an address had not expired", named.self, vm, named.closedAt)
			}
		})
	}
	if e.leaving {
		for _, address := range answer.Addresses {
			if address.VM == vm {
				w.fault("%s is leaving and named itself", vm)
			}
		}
	}
}

// TestNoUnexpiredAddressMeetsAClosedEntry drains entries while links fail, hosts
// are frozen and messages are late, and callers keep answers to the last moment.
func TestNoUnexpiredAddressMeetsAClosedEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{3 * ms, 500 * ms, 20 * time.Second}).Draw(t, "delay")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "per domain"), loss, delay)
		host := func(name string) *entry { return w.entries[rapid.SampledFrom(w.order).Draw(t, name)] }
		at := func() time.Duration { return time.Duration(rapid.IntRange(0, 150).Draw(t, "at")) * time.Second }
		for range rapid.IntRange(1, 4).Draw(t, "drains") {
			e, when := host("leaving"), at()
			w.net.At(when, func() { e.step(Drain{}) })
			if rapid.Bool().Draw(t, "told") {
				w.net.At(when+time.Second, func() { e.knownLeaving = true; w.tellPeers() })
			}
		}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			e, other, when := host("a"), host("b"), at()
			end := when + time.Duration(rapid.IntRange(1, 100).Draw(t, "lasts"))*time.Second
			switch rapid.SampledFrom([]string{"cut", "pause", "kill"}).Draw(t, "fault") {
			case "cut":
				w.net.At(when, func() { w.net.Cut(e.host(), other.host(), true) })
				w.net.At(end, func() { w.net.Cut(e.host(), other.host(), false) })
			case "pause":
				w.net.At(when, func() { w.net.Pause(e.host()) })
				w.net.At(end, func() { w.net.Resume(e.host()) })
			case "kill":
				w.net.At(when, func() { e.killedOnce, e.up = true, false; w.net.Kill(e.host()) })
				w.net.At(end, func() { e.start(); w.tellPeers() })
			}
		}
		for i := range 200 {
			vm := w.order[i%len(w.order)]
			w.net.At(time.Duration(i)*time.Second, func() { w.ask(vm, ident.Team(fmt.Sprintf("team%d", i%7))) })
		}
		w.net.RunUntil(400 * time.Second)
		require.Empty(t, w.wrong)
	})
}

// TestDrainTakesAsLongAsItsPromises reports how long a planned stop takes, and
// that its open stream is waited for.
func TestDrainTakesAsLongAsItsPromises(t *testing.T) {
	for _, size := range []int{2, 47} {
		w := newWorld(1, map[int]int{2: 3, 47: 7}[size], size, 0, 3*ms)
		w.net.RunUntil(60 * time.Second)
		e := w.entries["d0-0"]
		e.step(Opened{})
		e.step(Drain{})
		w.net.RunUntil(150 * time.Second)
		require.True(t, e.closed)
		require.False(t, e.stopped)
		e.step(Closed{})
		require.True(t, e.stopped)
		took := e.closedAt - e.drainedAt
		t.Logf("%d entries: closed %s after the drain began", len(w.order), took.Round(ms))
		require.Less(t, took, 65*time.Second)
	}
}

// TestAnswersSpreadOverDomainsAndTeams reports what callers get in a fleet of
// 329 entries, and what the grants cost.
func TestAnswersSpreadOverDomainsAndTeams(t *testing.T) {
	w := newWorld(1, 7, 47, 0, 3*ms)
	w.net.RunUntil(60 * time.Second)
	sent := w.net.Sent["d0-0"]
	w.net.RunUntil(160 * time.Second)
	uses := map[ident.VM]int{}
	for i := range 1100 {
		for _, vm := range []ident.VM{w.order[i%len(w.order)], w.order[(i*7+3)%len(w.order)]} {
			answer := w.entries[vm].list.IssueAddresses(w.entries[vm].now(), ident.Team(fmt.Sprintf("team-%04d", i)))
			domains := map[ident.FailureDomain]bool{}
			for _, address := range answer.Addresses {
				uses[address.VM]++
				domains[address.FailureDomain] = true
			}
			require.Len(t, answer.Addresses, 6)
			require.Len(t, domains, 6)
			require.GreaterOrEqual(t, answer.Lifetime, 20*time.Second)
		}
	}
	most := 0
	for _, n := range uses {
		most = max(most, n)
	}
	t.Logf("329 entries, 2200 answers of 6: %d entries named, the most used %.1f times the mean; %.2f messages/s for grants from one VM",
		len(uses), float64(most)*329/13200, float64(w.net.Sent["d0-0"]-sent)/100)
	require.Greater(t, len(uses), 300)
}
