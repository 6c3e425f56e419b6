package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// TestDepartureOnlyGoesForward plays what a VM learns of one server and checks the state after
// each step, "-" if the server is not known.
func TestDepartureOnlyGoesForward(t *testing.T) {
	cfg := backend.DefaultConfig()
	const second = time.Second
	server := backend.Instance{ID: "a", StartedMs: 5}
	record := func(state backend.State, revision uint64) backend.Record {
		return backend.Record{ID: "a", Addr: "1", StartedMs: 5, State: state, Revision: revision}
	}
	type step struct {
		at    time.Duration
		learn func(reg *backend.Registry, now time.Duration)
		want  string
	}
	put := func(state backend.State, revision uint64) func(*backend.Registry, time.Duration) {
		return func(reg *backend.Registry, now time.Duration) { reg.Put(now, record(state, revision)) }
	}
	remove := func(revision uint64) func(*backend.Registry, time.Duration) {
		return func(reg *backend.Registry, now time.Duration) { reg.Remove(now, "a", revision, false) }
	}
	leaving := func(age time.Duration, e backend.Evidence) func(*backend.Registry, time.Duration) {
		return func(reg *backend.Registry, now time.Duration) { reg.RecordLeaving(now, age, server, e) }
	}
	wait := func(*backend.Registry, time.Duration) {}
	ready, draining := put(backend.Ready, 1), put(backend.Draining, 2)
	tests := map[string][]step{
		"record vanishes and returns": {{0, draining, "draining"}, {1 * second, remove(3), "-"}, {2 * second, put(backend.Ready, 4), "draining"}},
		"response before the record":  {{0, leaving(0, backend.Response), "-"}, {1 * second, ready, "draining"}, {time.Hour, wait, "draining"}},
		"older record after it was gone": {{0, ready, "ready"}, {1 * second, remove(3), "-"}, {2 * second, put(backend.Ready, 2), "-"},
			{3 * second, put(backend.Ready, 4), "ready"}},
		"one late write": {{0, draining, "draining"}, {20 * second, put(backend.Ready, 3), "draining"}, {21 * second, put(backend.Ready, 3), "draining"},
			{22 * second, put(backend.Ready, 3), "draining"}},
		"forged record, newer ones say ready": {{0, draining, "draining"}, {1 * second, put(backend.Ready, 3), "draining"}, {2 * second, put(backend.Ready, 4), "draining"},
			{11 * second, put(backend.Ready, 5), "ready"}},
		"response, newer records say ready": {{0, ready, "ready"}, {0, leaving(0, backend.Response), "draining"}, {9 * second, put(backend.Ready, 3), "draining"},
			{18 * second, put(backend.Ready, 4), "draining"}, {27 * second, put(backend.Ready, 5), "draining"}},
		"finding that no response confirms": {{0, ready, "ready"}, {5 * second, leaving(5*second, backend.Finding), "draining"}, {29 * second, wait, "draining"}, {30 * second, wait, "ready"}},
		"new incarnation": {{0, draining, "draining"}, {1 * second, func(reg *backend.Registry, now time.Duration) {
			reg.Put(now, backend.Record{ID: "a", Addr: "1", StartedMs: 6, State: backend.Ready, Revision: 3})
		}, "ready"}, {2 * second, leaving(0, backend.Response), "ready"}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			reg := backend.New(cfg)
			for i, s := range steps {
				s.learn(reg, s.at)
				reg.Expire(s.at)
				got := "-"
				if known := reg.Get("a"); known != nil {
					got = map[backend.State]string{backend.Ready: "ready", backend.Draining: "draining"}[known.State]
				}
				require.Equal(t, s.want, got, "step %d", i)
			}
		})
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	cfg := backend.DefaultConfig()
	reg := backend.New(cfg)
	now := time.Duration(0)
	for i := range uint64(4 * cfg.MaxDepartures) {
		now += 10 * time.Millisecond
		id := backend.ID(fmt.Sprint(i))
		reg.Put(now, backend.Record{ID: id, Addr: string(id), StartedMs: 1, State: backend.Draining, Revision: 2*i + 1})
		reg.Remove(now, id, 2*i+2, false)
		reg.Expire(now)
		require.LessOrEqual(t, reg.Departures(), cfg.MaxDepartures+int(time.Second/(10*time.Millisecond)))
	}
	reg.Expire(now + cfg.DepartureTTL + time.Second)
	require.Zero(t, reg.Departures())
}

func TestWorkOutlivesTheRecordOfItsServer(t *testing.T) {
	reg := backend.New(backend.DefaultConfig())
	r := backend.Record{ID: "a", Addr: "1", StartedMs: 5, State: backend.Ready, Revision: 1}
	stream := backend.Work{Streams: 1, FirstStage: 1, TokenLayers: 100}
	reg.Put(0, r)
	for range 3 {
		reg.AddWork(r.Instance(), stream)
	}
	reg.Remove(0, "a", 2, false)
	reg.RemoveWork(r.Instance(), stream) // it ended meanwhile
	r.Revision = 3
	reg.Put(0, r)
	require.Equal(t, backend.Work{Streams: 2, FirstStage: 2, TokenLayers: 200}, reg.Get("a").OwnWork)

	next := r
	next.StartedMs, next.Revision = 6, 4
	reg.Put(0, next)
	require.Zero(t, reg.Get("a").OwnWork, "another incarnation")
	reg.RemoveWork(r.Instance(), stream)
	reg.RemoveWork(r.Instance(), stream)
	reg.Put(0, r) // as a late record would
	require.Zero(t, reg.Get("a").OwnWork)
}
