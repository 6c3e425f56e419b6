package node

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/stream"
)

// bench drives an Entry's core with engines that answer at once.
type bench struct {
	core  *Entry
	now   time.Duration
	queue []any
	// tokens and answers count what callers got; calls counts replies.
	tokens, answers, calls int
}

func newBench(tb testing.TB, replicas, stages, teams int) *bench {
	tb.Helper()
	self := ident.Instance{VM: "a", Incarnation: 1}
	cfg := DefaultEntryConfig(EntrySettings{Self: self, Addr: "127.0.0.1:1", Seed: 1,
		Place: ident.Place{Region: "r", FailureDomain: "d"}})
	cfg.Routing.SubsetPerDomain = 16
	core, err := NewEntry(cfg)
	require.NoError(tb, err)
	b := &bench{core: core}
	b.step(Snapshot{Reply: benchSnapshot(replicas, stages, teams)})
	return b
}

func benchSnapshot(replicas, stages, teams int) peer.SnapshotReply {
	reply := peer.SnapshotReply{
		Config:   &peer.AcceptedConfig{Known: true, Version: 1},
		Members:  &peer.MembersSection{},
		Backends: &peer.BackendsSection{},
		Roster:   &peer.RosterSection{Version: 1},
	}
	for t := range teams {
		team := ident.Team("team-" + strconv.Itoa(t))
		reply.Config.Limits = append(reply.Config.Limits,
			peer.AcceptedLimit{Team: team, Service: "m", Unit: "tokens/s", PerSecond: 1e9},
			peer.AcceptedLimit{Team: team, Service: "app", Unit: "requests/s", PerSecond: 1e9})
	}
	for r := range replicas {
		for s := range stages {
			reply.Backends.Servers = append(reply.Backends.Servers, peer.BackendServer{
				ID: ident.BackendServer(fmt.Sprintf("e%d-%d", r, s)), Kind: peer.KindEngine, Service: "m",
				Place:   ident.Place{Region: "r", FailureDomain: ident.FailureDomain("d" + strconv.Itoa(r%7))},
				Replica: strconv.Itoa(r), LayerFrom: s, LayerTo: s + 1, LayersTotal: stages, AcceptsWork: true,
			})
		}
	}
	reply.Backends.Servers = append(reply.Backends.Servers, peer.BackendServer{ID: "app-1", Kind: peer.KindApp,
		Service: "app", AcceptsWork: true})
	for range 64 {
		reply.Roster.Holders = append(reply.Roster.Holders, peer.SlotHolder{Instance: ident.Instance{VM: "l", Incarnation: 1}, Epoch: 1})
	}
	return reply
}

// step hands an event in and answers what the core asks, until nothing is left.
func (b *bench) step(event any) {
	b.queue = append(b.queue, event)
	for len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		for _, a := range b.core.Step(b.now, next) {
			b.answer(a)
		}
	}
	b.queue = b.queue[:0]
}

func (b *bench) answer(action any) {
	switch a := action.(type) {
	case stream.SendStep:
		b.queue = append(b.queue, stream.StepDone{Stream: a.Stream, Server: a.Server, Attempt: a.Attempt, Token: a.Token,
			From: a.From, To: a.To, Data: " w0000"})
	case stream.EmitToken:
		b.tokens++
	case stream.Finish:
		b.answers++
	case call.Send:
		b.queue = append(b.queue, call.SendEnded{ID: a.ID, Try: a.Try, Result: call.Replied, Status: 200})
	case call.Answer:
		b.calls++
	case limits.SendAsk:
		loan := limits.Loan{To: a.Ask.From, Seq: a.Ask.Seq}
		for i, item := range a.Ask.Items {
			loan.Items = append(loan.Items, limits.LoanItem{Index: i, Epoch: 1, Amount: item.Want + 1<<30})
		}
		b.queue = append(b.queue, limits.LoanReceived{Loan: loan})
	}
}

func (b *bench) completion(i, tokens int) {
	b.now += time.Microsecond
	b.step(CompletionAsked{Request: "r" + strconv.Itoa(i), Team: "team-0", Model: "m", Prompt: "a prompt of a few words",
		MaxTokens: tokens, Deadline: b.now + time.Minute})
}

// BenchmarkToken is the core's cost of one token through all stages.
func BenchmarkToken(b *testing.B) {
	for _, stages := range []int{3, 8} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			w := newBench(b, 40, stages, 10)
			const tokens = 256
			w.completion(-1, tokens)
			w.tokens = 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; w.tokens < b.N; i++ {
				w.completion(i, tokens)
			}
		})
	}
}

// BenchmarkRequest is the core's cost of one completion of one token, and of one
// call, at the size of today and of the target.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ replicas, teams int }{{40, 10}, {600, 1100}} {
		b.Run(fmt.Sprintf("completion/replicas=%d", size.replicas), func(b *testing.B) {
			w := newBench(b, size.replicas, 3, size.teams)
			b.ReportAllocs()
			for i := range b.N {
				w.completion(i, 1)
			}
		})
		b.Run(fmt.Sprintf("call/replicas=%d", size.replicas), func(b *testing.B) {
			w := newBench(b, size.replicas, 3, size.teams)
			b.ReportAllocs()
			for i := range b.N {
				w.now += time.Microsecond
				w.step(call.Request{ID: call.RequestID(i + 1), Team: "team-0", Service: "app", Idempotent: true, Deadline: w.now + time.Minute})
			}
		})
	}
}

// BenchmarkTick is the core's cost of 10 ms without work, with 100 streams open.
func BenchmarkTick(b *testing.B) {
	w := newBench(b, 40, 3, 10)
	for i := range 100 {
		w.core.Step(w.now, CompletionAsked{Request: "r" + strconv.Itoa(i), Team: "team-0", Model: "m", Prompt: "p",
			MaxTokens: 64, Deadline: time.Hour})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		w.core.Step(w.now, Tick{})
	}
}

// stepAllocations is the budget of heap allocations for one step of one token
// through the entry's core: the event and the action in their interfaces, with
// what the fake engine of the bench itself needs.
const stepAllocations = 6

func TestStepsStayWithinTheirAllocations(t *testing.T) {
	const tokens, stages = 200, 3
	w := newBench(t, 40, stages, 10)
	w.completion(-1, tokens)
	i := 0
	perRun := testing.AllocsPerRun(20, func() {
		w.completion(i, tokens)
		i++
	})
	require.Equal(t, 22, w.answers)
	perStep := perRun / (tokens * stages)
	require.LessOrEqual(t, perStep, float64(stepAllocations))
}
