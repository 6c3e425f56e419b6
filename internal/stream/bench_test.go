package stream

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	gapStages = 4
	gapTokens = 240
)

// BenchmarkResume gives the gap that the caller sees between two tokens when
// the second of four stages dies, for each way to resume; "cheapest" chooses
// without checkpoints. A step takes 10 ms at each stage, a token of a prefill
// 0.25 ms, an export or import about 10 ms.
func BenchmarkResume(b *testing.B) {
	for _, way := range []Way{"cheapest", WayImport, WayReplay, WayPrefill, WayStartOver} {
		for _, token := range []int{8, 40, 200} {
			b.Run(fmt.Sprintf("%s/token=%d", way, token), func(b *testing.B) {
				gap, steps := time.Duration(0), 0
				for range b.N {
					gap, steps = resumeGap(b, way, token)
				}
				b.ReportMetric(float64(gap)/float64(time.Millisecond), "gap-ms")
				b.ReportMetric(float64(steps), "extra-steps")
			})
		}
	}
}

// resumeGap returns the longest gap between two tokens and the steps beyond
// those of a run without a fault.
func resumeGap(b *testing.B, way Way, token int) (time.Duration, int) {
	const stages, tokens = gapStages, gapTokens
	cfg := DefaultConfig()
	cfg.Resume = []Way{way}
	switch way {
	case "cheapest":
		cfg.Resume = []Way{WayImport, WayReplay, WayPrefill, WayStartOver}
	case WayImport:
		cfg.CheckpointEvery = 16
		cfg.Resume = []Way{WayImport, WayStartOver}
	}
	w := newWorld(cfg, stages, 1, 1)
	w.quantum = time.Millisecond
	request := longRequest(stages, tokens)
	w.onSend = func(w *world, a SendStep) {
		if a.Server == "s1.0" && a.Token == token {
			w.engines["s1.0"].dead = true
		}
	}
	return w.longestGap(b, request), w.sends - stages*tokens
}

// BenchmarkKept gives the most bytes kept for one stream of 240 tokens, by the
// number of tokens between two checkpoints; 0 is none.
func BenchmarkKept(b *testing.B) {
	for _, every := range []int{0, 64, 16, 4} {
		b.Run(fmt.Sprintf("every=%d", every), func(b *testing.B) {
			most, exports := 0, 0
			for range b.N {
				cfg := DefaultConfig()
				cfg.CheckpointEvery = every
				w := newWorld(cfg, gapStages, 1, 1)
				w.quantum = time.Millisecond
				w.onSend = func(w *world, a SendStep) { most = max(most, w.table.Stats().KeptBytes) }
				w.longestGap(b, longRequest(gapStages, gapTokens))
				exports = w.exports
			}
			b.ReportMetric(float64(most), "kept-bytes")
			b.ReportMetric(float64(exports), "exports")
		})
	}
}

// longestGap runs a request and returns the longest time between two tokens.
func (w *world) longestGap(b *testing.B, request string) time.Duration {
	w.open(request, gapTokens)
	w.run(time.Hour)
	if strings.Join(w.text[request], "") != expected(gapStages, gapTokens, request) {
		b.Fatal("the answer is not whole")
	}
	gap := time.Duration(0)
	for i := 1; i < len(w.emitAt); i++ {
		gap = max(gap, w.emitAt[i]-w.emitAt[i-1])
	}
	return gap
}

// BenchmarkSilent gives the gap when a stage stops answering, and when only the
// open connections do.
func BenchmarkSilent(b *testing.B) {
	for _, what := range []string{"server", "connections"} {
		b.Run(what, func(b *testing.B) {
			gap := time.Duration(0)
			for range b.N {
				w := newWorld(DefaultConfig(), gapStages, 1, 1)
				w.quantum = time.Millisecond
				w.onSend = func(w *world, a SendStep) {
					if a.Server == "s1.0" && a.Token == 40 {
						w.engines["s1.0"].silent = what == "server"
						w.silent = what == "connections"
					}
				}
				gap = w.longestGap(b, longRequest(gapStages, gapTokens))
			}
			b.ReportMetric(float64(gap)/float64(time.Millisecond), "gap-ms")
		})
	}
}

// longRequest returns the name of a request whose answer does not stop early.
func longRequest(stages, tokens int) string {
	for i := 0; ; i++ {
		request := fmt.Sprintf("%s %d", strings.Repeat("word ", 100), i)
		if strings.Count(expected(stages, tokens, request), " ") == tokens {
			return request
		}
	}
}

// BenchmarkToken gives the cost of one token at four stages.
func BenchmarkToken(b *testing.B) {
	cfg := DefaultConfig()
	cfg.MaxTokens = b.N + 1
	table, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	pipeline := []Stage{{0, 1, "a"}, {1, 2, "b"}, {2, 3, "c"}, {3, 4, "d"}}
	table.Step(0, Open{Request: "r", MaxTokens: b.N + 1, Layers: 4, Pipeline: pipeline})
	b.ReportAllocs()
	for token := range b.N {
		for _, st := range pipeline {
			table.Step(0, StepDone{Stream: "r", Server: st.Server, Token: token, From: st.From, To: st.To, Data: "x"})
		}
	}
}

// BenchmarkTick gives the cost of one tick over 20000 open streams.
func BenchmarkTick(b *testing.B) {
	table := openMany(b, 20000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table.Step(0, Tick{})
	}
}

// BenchmarkMemory gives the bytes of one open stream at four stages, without
// prompt and kept inputs.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := openMany(b, 20000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/20000, "bytes/stream")
	runtime.KeepAlive(table)
}

func openMany(b *testing.B, n int) *Table {
	table, err := New(DefaultConfig())
	if err != nil {
		b.Fatal(err)
	}
	pipeline := []Stage{{0, 1, "a"}, {1, 2, "b"}, {2, 3, "c"}, {3, 4, "d"}}
	for i := range n {
		table.Step(0, Open{Request: fmt.Sprint(i), MaxTokens: 9, Layers: 4, Pipeline: pipeline})
	}
	return table
}
