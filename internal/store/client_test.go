package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/memnet"
)

// service is a key-value service that can be down, and can lose a reply after
// the write took effect or before it does.
type service struct {
	revision int64
	entries  map[string]Entry
	applied  map[string]int // by value: how often a write took effect
}

func newService() *service {
	return &service{entries: map[string]Entry{}, applied: map[string]int{}}
}

func (s *service) do(c Call) Reply {
	e, ok := s.entries[c.Key]
	if c.writes() && e.Revision != c.Expect {
		return Reply{Status: Conflict, Entries: []Entry{e}}
	}
	switch c.Op {
	case OpPut:
		s.revision++
		s.applied[string(c.Value)]++
		s.entries[c.Key] = Entry{Key: c.Key, Value: c.Value, Revision: s.revision}
		return Reply{Status: OK, Revision: s.revision}
	case OpDelete:
		delete(s.entries, c.Key)
		return Reply{Status: OK}
	}
	if !ok {
		return Reply{Status: NotFound}
	}
	return Reply{Status: OK, Entries: []Entry{e}, Revision: e.Revision}
}

// bench joins a client to a service over a network with faults.
type bench struct {
	net    *memnet.Net
	svc    *service
	client *Client
	down   bool
	lose   float64
	done   map[uint64]Done
	doneAt map[uint64]time.Duration
	sends  []time.Duration
	writes int
}

func newBench(t require.TestingT, cfg Config, seed uint64) *bench {
	client, err := New(cfg)
	require.NoError(t, err)
	client.Step(0, Fleet{Processes: 1, Applying: true})
	b := &bench{
		net:    memnet.New(memnet.Config{Seed: seed, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}),
		svc:    newService(),
		client: client,
		done:   map[uint64]Done{},
		doneAt: map[uint64]time.Duration{},
	}
	b.net.Join("vm", func(now time.Duration, _ memnet.Host, payload any) { b.step(t, now, payload.(Event)) })
	var tick func()
	tick = func() {
		b.step(t, b.net.Now(), Tick{})
		b.net.At(b.net.Now()+50*time.Millisecond, tick)
	}
	b.net.At(0, tick)
	return b
}

func (b *bench) step(t require.TestingT, now time.Duration, ev Event) {
	for _, a := range b.client.Step(now, ev) {
		switch a := a.(type) {
		case Send:
			b.sends = append(b.sends, now)
			b.call(a)
		case Done:
			require.NotContains(t, b.done, a.ID, "one answer per request")
			b.done[a.ID] = a
			b.doneAt[a.ID] = now
		}
	}
}

// call plays one call: down means refused at once, a lost reply may have had
// its effect before, or have it a while later.
func (b *bench) call(s Send) {
	if s.Call.writes() {
		b.writes++
	}
	rng := b.net.Rand()
	if b.down {
		b.reply(s, Reply{Status: Failed}, 5*time.Millisecond)
		return
	}
	if rng.Float64() >= b.lose {
		b.reply(s, b.svc.do(s.Call), 5*time.Millisecond)
		return
	}
	effect := time.Duration(rng.Int64N(int64(4 * time.Second)))
	if rng.IntN(3) > 0 {
		b.net.At(b.net.Now()+effect, func() { b.svc.do(s.Call) })
	}
	b.reply(s, Reply{Status: Lost}, s.Timeout)
}

func (b *bench) reply(s Send, r Reply, after time.Duration) {
	r.Attempt = s.Attempt
	b.net.After("vm", after, Event(r))
}

// Whatever is lost and whenever the service is down: a write that was reported
// OK took effect once, one reported unavailable never does, no write takes
// effect twice, every request is answered in time, and the budget holds.
func TestWritesTakeEffectAsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.FleetReadsPerSecond, cfg.FleetWritesPerSecond, cfg.FleetBurst, cfg.MinBurst = 20, 10, 5, 5
		cfg.Seed = rapid.Uint64().Draw(t, "seed")
		b := newBench(t, cfg, cfg.Seed)
		b.lose = rapid.Float64Range(0, 0.9).Draw(t, "lose")
		for range rapid.IntRange(0, 3).Draw(t, "outages") {
			at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * time.Second
			b.net.At(at, func() { b.down = true })
			b.net.At(at+time.Duration(rapid.IntRange(1, 15).Draw(t, "for"))*time.Second, func() { b.down = false })
		}
		var id uint64
		asked := map[uint64]time.Duration{}
		give := 6 * time.Second
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			b.net.At(time.Duration(i)*1500*time.Millisecond, func() {
				id++
				asked[id] = b.net.Now()
				key := fmt.Sprint("key", id%3)
				call := Call{Op: OpPut, Key: key, Value: fmt.Append(nil, id), Expect: b.svc.entries[key].Revision, Timeout: give}
				b.step(t, b.net.Now(), Request{ID: id, Call: call})
			})
		}
		b.net.RunUntil(120 * time.Second)
		require.Len(t, b.done, len(asked))
		for id, d := range b.done {
			applied := b.svc.applied[fmt.Sprint(id)]
			require.LessOrEqual(t, applied, 1)
			require.LessOrEqual(t, b.doneAt[id]-asked[id], give+100*time.Millisecond)
			switch d.Status {
			case OK:
				require.Equal(t, 1, applied, "reported OK")
			case Unavailable:
				require.Zero(t, applied, "reported without effect")
			case Conflict:
				require.True(t, applied == 0 || d.Overwritten)
			case Unknown:
			default:
				require.Fail(t, "status", d.Status)
			}
		}
		requireBudget(t, b.sends, cfg.FleetReadsPerSecond+cfg.FleetWritesPerSecond, 2*cfg.MinBurst)
	})
}

func requireBudget(t require.TestingT, sends []time.Duration, rate, burst float64) {
	for i := range sends {
		for j := i; j < len(sends); j++ {
			window := (sends[j] - sends[i]).Seconds()
			require.LessOrEqual(t, float64(j-i+1), rate*window+burst+1)
		}
	}
}

func TestDownServesLastKnownAndBacksOff(t *testing.T) {
	cfg := DefaultConfig()
	b := newBench(t, cfg, 1)
	b.svc.do(Call{Op: OpPut, Key: "head", Value: []byte("v1")})
	read := func(id uint64) Request {
		return Request{ID: id, Call: Call{Op: OpGet, Key: "head", Cache: true, Timeout: time.Hour}}
	}
	b.step(t, 0, read(1))
	b.net.RunUntil(time.Second)
	require.Equal(t, OK, b.done[1].Status)

	b.down = true
	b.step(t, b.net.Now(), read(2))
	b.net.RunUntil(10 * time.Second)
	require.False(t, b.client.Up())
	require.Equal(t, Stale, b.done[2].Status)
	require.Equal(t, []byte("v1"), b.done[2].Entries[0].Value)

	b.step(t, b.net.Now(), Request{ID: 3, Call: Call{Op: OpPut, Key: "head", Value: []byte("v2"), Expect: 1, Timeout: time.Hour}})
	before := len(b.sends)
	b.net.RunUntil(10*time.Minute + 10*time.Second)
	perSecond := float64(len(b.sends)-before) / 600
	require.Less(t, perSecond, 1.0, "calls a second while down")

	b.down = false
	back := b.net.Now()
	b.net.RunUntil(back + 10*time.Second)
	require.True(t, b.client.Up())
	require.Equal(t, OK, b.done[3].Status)
	require.LessOrEqual(t, b.doneAt[3]-back, cfg.BackoffMax+time.Second)
}

// The fleet's rate does not grow with the number of processes.
func TestBudgetDoesNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{6, 330} {
		cfg := DefaultConfig()
		cfg.FleetBurst, cfg.MinBurst = 1, 1
		sent := 0
		for i := range n {
			cfg.Seed = uint64(i)
			b := newBench(t, cfg, uint64(i))
			b.step(t, 0, Fleet{Processes: n, RegularUsers: 6, RegularUser: i < 6, Applying: i == 0})
			for id := range uint64(cfg.MaxPending) {
				b.step(t, 0, Request{ID: id, Call: Call{Op: OpGet, Key: "k", Timeout: time.Hour, Urgent: true}})
			}
			b.net.RunUntil(5 * time.Second)
			sent += len(b.sends)
		}
		require.LessOrEqual(t, float64(sent), cfg.FleetReadsPerSecond*5+float64(n)*cfg.MinBurst)
	}
}

func TestValidateNamesEveryFault(t *testing.T) {
	err := Config{FleetBurst: -1}.Validate()
	for _, name := range []string{"fleet_reads_per_second", "fleet_burst", "min_burst", "backoff_base_ns", "max_pending", "max_kept"} {
		require.ErrorContains(t, err, name)
	}
}

func BenchmarkStep(b *testing.B) {
	c, err := New(DefaultConfig())
	require.NoError(b, err)
	c.Step(0, Fleet{Processes: 1})
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		c.Step(now, Request{ID: 1, Call: Call{Op: OpGet, Key: "k"}})
		c.Step(now, Reply{Attempt: c.attempt, Status: OK})
	}
}
