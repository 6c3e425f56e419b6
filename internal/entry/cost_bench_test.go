package entry

import (
	"testing"
)

// BenchmarkCompletion is one streamed completion of 24 tokens through the whole
// entry and stand-in engines in the same process; for profiles.
func BenchmarkCompletion(b *testing.B) {
	w := startWorld(b, 1)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w.do(0, "POST", "/v1/completions", "", completion("bench", true))
		}
	})
}
