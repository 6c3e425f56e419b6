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

// harness drives an Entry with engines that reply immediately.
type harness struct {
	core  *Entry
	now   time.Duration
	queue []any
	// tokens and finished count emitted tokens and finished completions, calls counts
	// replies to calls.
	tokens, finished, calls int
}

func newHarness(tb testing.TB, replicas, stages, teams int) *harness {
	tb.Helper()
	self := ident.Instance{VM: "a", Incarnation: 1}
	cfg := DefaultEntryConfig(EntrySettings{Self: self, Addr: "127.0.0.1:1", Seed: 1,
		Place: ident.Place{Region: "r", FailureDomain: "d"}})
	cfg.Routing.SubsetPerDomain = 16
	core, err := NewEntry(cfg)
	require.NoError(tb, err)
	h := &harness{core: core}
	h.step(Snapshot{Reply: benchSnapshot(replicas, stages, teams)})
	return h
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

// step passes an event to the core and answers the actions until none are left.
func (h *harness) step(event any) {
	h.queue = append(h.queue, event)
	for len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		for _, a := range h.core.Step(h.now, next) {
			h.respond(a)
		}
	}
	h.queue = h.queue[:0]
}

func (h *harness) respond(action any) {
	switch a := action.(type) {
	case stream.SendStep:
		h.queue = append(h.queue, stream.StepDone{Stream: a.Stream, Server: a.Server, Attempt: a.Attempt, Token: a.Token,
			From: a.From, To: a.To, Data: " w0000"})
	case stream.EmitToken:
		h.tokens++
	case stream.Finish:
		h.finished++
	case call.Send:
		h.queue = append(h.queue, call.SendEnded{ID: a.ID, Try: a.Try, Result: call.Replied, Status: 200})
	case call.Answer:
		h.calls++
	case limits.SendAsk:
		loan := limits.Loan{To: a.Ask.From, Seq: a.Ask.Seq}
		for i, item := range a.Ask.Items {
			loan.Items = append(loan.Items, limits.LoanItem{Index: i, Epoch: 1, Amount: item.Want + 1<<30})
		}
		h.queue = append(h.queue, limits.LoanReceived{Loan: loan})
	}
}

func (h *harness) completion(i, tokens int) {
	h.now += time.Microsecond
	h.step(CompletionAsked{Request: "r" + strconv.Itoa(i), Team: "team-0", Model: "m", Prompt: "a prompt of a few words",
		MaxTokens: tokens, Deadline: h.now + time.Minute})
}

// BenchmarkToken measures the core's cost of one token through all stages.
func BenchmarkToken(b *testing.B) {
	for _, stages := range []int{3, 8} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			h := newHarness(b, 40, stages, 10)
			const tokens = 256
			h.completion(-1, tokens)
			h.tokens = 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; h.tokens < b.N; i++ {
				h.completion(i, tokens)
			}
		})
	}
}

// BenchmarkRequest measures the core's cost of a completion of one token and of a call,
// at the current and at the target size of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ replicas, teams int }{{40, 10}, {600, 1100}} {
		b.Run(fmt.Sprintf("completion/replicas=%d", size.replicas), func(b *testing.B) {
			h := newHarness(b, size.replicas, 3, size.teams)
			b.ReportAllocs()
			for i := range b.N {
				h.completion(i, 1)
			}
		})
		b.Run(fmt.Sprintf("call/replicas=%d", size.replicas), func(b *testing.B) {
			h := newHarness(b, size.replicas, 3, size.teams)
			b.ReportAllocs()
			for i := range b.N {
				h.now += time.Microsecond
				h.step(call.Request{ID: call.RequestID(i + 1), Team: "team-0", Service: "app", Idempotent: true, Deadline: h.now + time.Minute})
			}
		})
	}
}

// BenchmarkTick measures the core's cost of an idle tick with 100 open streams.
func BenchmarkTick(b *testing.B) {
	h := newHarness(b, 40, 3, 10)
	for i := range 100 {
		h.core.Step(h.now, CompletionAsked{Request: "r" + strconv.Itoa(i), Team: "team-0", Model: "m", Prompt: "p",
			MaxTokens: 64, Deadline: time.Hour})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		h.core.Step(h.now, Tick{})
	}
}

// maxStepAllocations is the budget of heap allocations for one step of one token through
// the core: boxing the event and the action, and what the harness's fake engine needs.
const maxStepAllocations = 6

func TestStepStaysWithinAllocationBudget(t *testing.T) {
	const tokens, stages = 200, 3
	h := newHarness(t, 40, stages, 10)
	h.completion(-1, tokens)
	i := 0
	perRun := testing.AllocsPerRun(20, func() {
		h.completion(i, tokens)
		i++
	})
	require.Equal(t, 22, h.finished)
	perStep := perRun / (tokens * stages)
	require.LessOrEqual(t, perStep, float64(maxStepAllocations))
}
