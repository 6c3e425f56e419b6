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

// fakeService is an in-memory key-value service. Outages and lost replies are simulated by
// the harness.
type fakeService struct {
	revision int64
	entries  map[string]Entry
	applied  map[string]int // how many times a write took effect, by its value
}

func newFakeService() *fakeService {
	return &fakeService{entries: map[string]Entry{}, applied: map[string]int{}}
}

func (s *fakeService) apply(c Call) Reply {
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

// harness connects a Client to a fakeService over a network with faults.
type harness struct {
	net      *memnet.Net
	svc      *fakeService
	client   *Client
	down     bool
	lossRate float64
	done     map[uint64]Done
	doneAt   map[uint64]time.Duration
	sends    []time.Duration
	writes   int
}

func newHarness(t require.TestingT, cfg Config, seed uint64) *harness {
	client, err := New(cfg)
	require.NoError(t, err)
	client.Step(0, Fleet{Processes: 1, Applying: true})
	h := &harness{
		net:    memnet.New(memnet.Config{Seed: seed, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}),
		svc:    newFakeService(),
		client: client,
		done:   map[uint64]Done{},
		doneAt: map[uint64]time.Duration{},
	}
	h.net.Join("vm", func(now time.Duration, _ memnet.Host, payload any) { h.step(t, now, payload.(Event)) })
	var tick func()
	tick = func() {
		h.step(t, h.net.Now(), Tick{})
		h.net.At(h.net.Now()+50*time.Millisecond, tick)
	}
	h.net.At(0, tick)
	return h
}

func (h *harness) step(t require.TestingT, now time.Duration, ev Event) {
	for _, a := range h.client.Step(now, ev) {
		switch a := a.(type) {
		case Send:
			h.sends = append(h.sends, now)
			h.perform(a)
		case Done:
			require.NotContains(t, h.done, a.ID, "one result per request")
			h.done[a.ID] = a
			h.doneAt[a.ID] = now
		}
	}
}

// perform simulates one call. While the service is down, the call fails after 5 ms. If the
// reply is lost, a write takes effect within 4 s, before or after the loss is reported, or
// never.
func (h *harness) perform(s Send) {
	if s.Call.writes() {
		h.writes++
	}
	rng := h.net.Rand()
	if h.down {
		h.reply(s, Reply{Status: Failed}, 5*time.Millisecond)
		return
	}
	if rng.Float64() >= h.lossRate {
		h.reply(s, h.svc.apply(s.Call), 5*time.Millisecond)
		return
	}
	effect := time.Duration(rng.Int64N(int64(4 * time.Second)))
	if rng.IntN(3) > 0 {
		h.net.At(h.net.Now()+effect, func() { h.svc.apply(s.Call) })
	}
	h.reply(s, Reply{Status: Lost}, s.Timeout)
}

func (h *harness) reply(s Send, r Reply, delay time.Duration) {
	r.Attempt = s.Attempt
	h.net.After("vm", delay, Event(r))
}

// With lost replies and outages, a write reported OK took effect once, one reported
// unavailable never does, no write takes effect twice, every request gets one result in
// time, and the calls stay within the budget.
func TestWritesTakeEffectAsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.FleetReadsPerSecond, cfg.FleetWritesPerSecond, cfg.FleetBurst, cfg.MinBurst = 20, 10, 5, 5
		cfg.Seed = rapid.Uint64().Draw(t, "seed")
		h := newHarness(t, cfg, cfg.Seed)
		h.lossRate = rapid.Float64Range(0, 0.9).Draw(t, "lose")
		for range rapid.IntRange(0, 3).Draw(t, "outages") {
			at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * time.Second
			h.net.At(at, func() { h.down = true })
			h.net.At(at+time.Duration(rapid.IntRange(1, 15).Draw(t, "for"))*time.Second, func() { h.down = false })
		}
		var id uint64
		requestedAt := map[uint64]time.Duration{}
		timeout := 6 * time.Second
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			h.net.At(time.Duration(i)*1500*time.Millisecond, func() {
				id++
				requestedAt[id] = h.net.Now()
				key := fmt.Sprint("key", id%3)
				call := Call{Op: OpPut, Key: key, Value: fmt.Append(nil, id), Expect: h.svc.entries[key].Revision, Timeout: timeout}
				h.step(t, h.net.Now(), Request{ID: id, Call: call})
			})
		}
		h.net.RunUntil(120 * time.Second)
		require.Len(t, h.done, len(requestedAt))
		for id, d := range h.done {
			applied := h.svc.applied[fmt.Sprint(id)]
			require.LessOrEqual(t, applied, 1)
			require.LessOrEqual(t, h.doneAt[id]-requestedAt[id], timeout+100*time.Millisecond)
			switch d.Status {
			case OK:
				require.Equal(t, 1, applied, "reported OK")
			case Unavailable:
				require.Zero(t, applied, "reported as unavailable")
			case Conflict:
				require.True(t, applied == 0 || d.Overwritten)
			case Unknown:
			default:
				require.Fail(t, "status", d.Status)
			}
		}
		requireWithinBudget(t, h.sends, cfg.FleetReadsPerSecond+cfg.FleetWritesPerSecond, 2*cfg.MinBurst)
	})
}

func requireWithinBudget(t require.TestingT, sends []time.Duration, rate, burst float64) {
	for i := range sends {
		for j := i; j < len(sends); j++ {
			window := (sends[j] - sends[i]).Seconds()
			require.LessOrEqual(t, float64(j-i+1), rate*window+burst+1)
		}
	}
}

func TestServiceDownServesCachedReadsAndBacksOff(t *testing.T) {
	cfg := DefaultConfig()
	h := newHarness(t, cfg, 1)
	h.svc.apply(Call{Op: OpPut, Key: "head", Value: []byte("v1")})
	read := func(id uint64) Request {
		return Request{ID: id, Call: Call{Op: OpGet, Key: "head", Cache: true, Timeout: time.Hour}}
	}
	h.step(t, 0, read(1))
	h.net.RunUntil(time.Second)
	require.Equal(t, OK, h.done[1].Status)

	h.down = true
	h.step(t, h.net.Now(), read(2))
	h.net.RunUntil(10 * time.Second)
	require.False(t, h.client.Up())
	require.Equal(t, Stale, h.done[2].Status)
	require.Equal(t, []byte("v1"), h.done[2].Entries[0].Value)

	h.step(t, h.net.Now(), Request{ID: 3, Call: Call{Op: OpPut, Key: "head", Value: []byte("v2"), Expect: 1, Timeout: time.Hour}})
	before := len(h.sends)
	h.net.RunUntil(10*time.Minute + 10*time.Second)
	perSecond := float64(len(h.sends)-before) / 600
	require.Less(t, perSecond, 1.0, "calls per second while the service is down")

	h.down = false
	regainedAt := h.net.Now()
	h.net.RunUntil(regainedAt + 10*time.Second)
	require.True(t, h.client.Up())
	require.Equal(t, OK, h.done[3].Status)
	require.LessOrEqual(t, h.doneAt[3]-regainedAt, cfg.BackoffMax+time.Second)
}

// The calls of the whole fleet do not exceed its rate, whatever the number of processes.
func TestBudgetDoesNotGrowWithFleetSize(t *testing.T) {
	for _, n := range []int{6, 330} {
		cfg := DefaultConfig()
		cfg.FleetBurst, cfg.MinBurst = 1, 1
		sent := 0
		for i := range n {
			cfg.Seed = uint64(i)
			h := newHarness(t, cfg, uint64(i))
			h.step(t, 0, Fleet{Processes: n, RegularUsers: 6, RegularUser: i < 6, Applying: i == 0})
			for id := range uint64(cfg.MaxPending) {
				h.step(t, 0, Request{ID: id, Call: Call{Op: OpGet, Key: "k", Timeout: time.Hour, Urgent: true}})
			}
			h.net.RunUntil(5 * time.Second)
			sent += len(h.sends)
		}
		require.LessOrEqual(t, float64(sent), cfg.FleetReadsPerSecond*5+float64(n)*cfg.MinBurst)
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
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
