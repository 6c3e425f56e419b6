package stream

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	benchStages = 4
	benchTokens = 240
)

// BenchmarkResume reports the gap between two tokens that the caller sees when the second
// of four stages dies, for each resume method; "cheapest" allows all of them, without
// checkpoints. A step takes 10 ms at each stage, a token of a prefill 0.25 ms, an export
// or import about 10 ms.
func BenchmarkResume(b *testing.B) {
	for _, method := range []ResumeMethod{"cheapest", ResumeImport, ResumeReplay, ResumePrefill, ResumeStartOver} {
		for _, token := range []int{8, 40, 200} {
			b.Run(fmt.Sprintf("%s/token=%d", method, token), func(b *testing.B) {
				gap, steps := time.Duration(0), 0
				for range b.N {
					gap, steps = resumeGap(b, method, token)
				}
				b.ReportMetric(float64(gap)/float64(time.Millisecond), "gap-ms")
				b.ReportMetric(float64(steps), "extra-steps")
			})
		}
	}
}

// resumeGap returns the longest gap between two tokens, and the number of steps beyond
// those of a run without a fault.
func resumeGap(b *testing.B, method ResumeMethod, token int) (time.Duration, int) {
	const stages, tokens = benchStages, benchTokens
	cfg := DefaultConfig()
	cfg.Resume = []ResumeMethod{method}
	switch method {
	case "cheapest":
		cfg.Resume = []ResumeMethod{ResumeImport, ResumeReplay, ResumePrefill, ResumeStartOver}
	case ResumeImport:
		cfg.CheckpointEvery = 16
		cfg.Resume = []ResumeMethod{ResumeImport, ResumeStartOver}
	}
	s := newSim(cfg, stages, 1, 1)
	s.tickInterval = time.Millisecond
	request := longRequest(stages, tokens)
	s.onSend = func(s *sim, a SendStep) {
		if a.Server == "s1.0" && a.Token == token {
			s.engines["s1.0"].dead = true
		}
	}
	return s.longestGap(b, request), s.sends - stages*tokens
}

// BenchmarkKept reports the most bytes kept for one stream of 240 tokens, by the number
// of tokens between two checkpoints; 0 means no checkpoints.
func BenchmarkKept(b *testing.B) {
	for _, every := range []int{0, 64, 16, 4} {
		b.Run(fmt.Sprintf("every=%d", every), func(b *testing.B) {
			maxKept, exports := 0, 0
			for range b.N {
				cfg := DefaultConfig()
				cfg.CheckpointEvery = every
				s := newSim(cfg, benchStages, 1, 1)
				s.tickInterval = time.Millisecond
				s.onSend = func(s *sim, a SendStep) { maxKept = max(maxKept, s.table.Stats().KeptBytes) }
				s.longestGap(b, longRequest(benchStages, benchTokens))
				exports = s.exports
			}
			b.ReportMetric(float64(maxKept), "kept-bytes")
			b.ReportMetric(float64(exports), "exports")
		})
	}
}

// longestGap runs a request and returns the longest time between two tokens.
func (s *sim) longestGap(b *testing.B, request string) time.Duration {
	s.open(request, benchTokens)
	s.run(time.Hour)
	if strings.Join(s.text[request], "") != expected(benchStages, benchTokens, request) {
		b.Fatal("the answer is incomplete or wrong")
	}
	gap := time.Duration(0)
	for i := 1; i < len(s.emitTimes); i++ {
		gap = max(gap, s.emitTimes[i]-s.emitTimes[i-1])
	}
	return gap
}

// BenchmarkSilent reports the gap between two tokens when a server stops answering, and
// when only its open connections do.
func BenchmarkSilent(b *testing.B) {
	for _, target := range []string{"server", "connections"} {
		b.Run(target, func(b *testing.B) {
			gap := time.Duration(0)
			for range b.N {
				s := newSim(DefaultConfig(), benchStages, 1, 1)
				s.tickInterval = time.Millisecond
				s.onSend = func(s *sim, a SendStep) {
					if a.Server == "s1.0" && a.Token == 40 {
						s.engines["s1.0"].silent = target == "server"
						s.silent = target == "connections"
					}
				}
				gap = s.longestGap(b, longRequest(benchStages, benchTokens))
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

// BenchmarkToken reports the cost of one token at four stages.
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

// BenchmarkTick reports the cost of one tick with 20000 open streams.
func BenchmarkTick(b *testing.B) {
	table := openMany(b, 20000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table.Step(0, Tick{})
	}
}

// BenchmarkMemory reports the bytes of one open stream at four stages, without its prompt
// and kept inputs.
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
