package entry

import (
	"testing"
)

// BenchmarkCompletion measures a streamed completion of 24 tokens through an entry and
// stand-in engines in the same process. Use it for profiles.
func BenchmarkCompletion(b *testing.B) {
	env := startEnv(b, 1)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			env.request(0, "POST", "/v1/completions", "", completion("bench", true))
		}
	})
}
