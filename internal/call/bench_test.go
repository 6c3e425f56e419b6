package call

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkKeyedCall runs calls with issued keys at their home.
func BenchmarkKeyedCall(b *testing.B) {
	c, err := New(DefaultConfig(homeInstance))
	require.NoError(b, err)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * time.Microsecond
		id := RequestID(i + 1)
		r := newRequest(id, fmt.Sprintf("%s%d", KeyPrefix(homeInstance, int64(now/second)), i))
		r.Deadline = now + 10*second
		c.Step(now, r)
		c.Step(now, Picked{ID: id, Try: 1, Server: "s1"})
		c.Step(now, SendEnded{ID: id, Try: 1, Result: Replied, Status: 201, Body: "body", Bytes: 100})
		c.Step(now, Tick{})
	}
}

// TestHomeTableMemory logs the memory of a full home table and checks its bound on keys.
func TestHomeTableMemory(t *testing.T) {
	c := newCore(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 250_000 {
		id := RequestID(i + 1)
		r := newRequest(id, fmt.Sprintf("%s%032d", KeyPrefix(homeInstance, 0), i))
		c.Step(second, r)
		c.Step(second, Picked{ID: id, Try: 1, Server: "s1"})
		c.Step(second, SendEnded{ID: id, Try: 1, Result: Replied, Status: 201, Body: "body", Bytes: 100})
	}
	c.Step(20*second, Tick{})
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	t.Logf("%d keys: %.1f MB, %.0f B per key", c.KeyCount(), heapBytes/1e6, heapBytes/float64(c.KeyCount()))
	require.LessOrEqual(t, c.KeyCount(), 200_000)
}
