package bodybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

const mib = 1 << 20

func open(b *Budget[int], now time.Duration, owner int) *Transfer[int] {
	t := &Transfer[int]{Owner: owner}
	b.Open(now, t)
	return t
}

// Guards against memory that is taken by what a client announces.
func TestOpenTransferHoldsNothing(t *testing.T) {
	b := New[int](DefaultConfig(mib))
	for i := range 10_000 {
		open(b, 0, i)
	}
	require.Zero(t, b.Stats().Held)
	victims, ok := b.Reserve(time.Hour, open(b, time.Hour, -1), mib/2)
	require.True(t, ok)
	require.Empty(t, victims)
}

// Guards against clients that stop in the middle of large bodies and keep all others out.
func TestStalledTransfersAreGivenUpFurthestBehindFirst(t *testing.T) {
	b := New[int](DefaultConfig(4 * mib))
	first, second, third := open(b, 0, 1), open(b, 0, 2), open(b, 0, 3)
	for _, v := range []*Transfer[int]{first, second, third} {
		_, ok := b.Reserve(0, v, mib)
		require.True(t, ok)
	}
	b.Move(500*time.Millisecond, first, mib)
	late := open(b, 900*time.Millisecond, 4)
	_, ok := b.Reserve(900*time.Millisecond, late, mib)
	require.False(t, ok, "none has stalled yet")
	victims, ok := b.Reserve(2*time.Second, late, mib)
	require.True(t, ok)
	require.Equal(t, []*Transfer[int]{second}, victims)
	require.True(t, second.Evicted())
	_, ok = b.Reserve(2*time.Second, second, 1)
	require.False(t, ok, "given up")
	b.Release(second)
	require.EqualValues(t, 3*mib, b.Stats().Held)
}

func TestSlowButMovingTransferIsKept(t *testing.T) {
	cfg := DefaultConfig(4 * mib)
	b := New[int](cfg)
	slow := open(b, 0, 1)
	_, ok := b.Reserve(0, slow, 3*mib)
	require.True(t, ok)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		b.Move(now, slow, int(cfg.MinRate/10))
		victims, _ := b.Reserve(now, open(b, now, 2), mib)
		require.Empty(t, victims, "after %v", now)
	}
}

// Guards against a client that sends a byte now and then to keep its place.
func TestDrippingTransferStalls(t *testing.T) {
	b := New[int](DefaultConfig(4 * mib))
	dripping := open(b, 0, 1)
	_, ok := b.Reserve(0, dripping, 3*mib)
	require.True(t, ok)
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		b.Move(now, dripping, 1)
	}
	victims, ok := b.Reserve(2*time.Second, open(b, 2*time.Second, 2), 3*mib)
	require.True(t, ok)
	require.Equal(t, []*Transfer[int]{dripping}, victims)
}

func TestWholeRequestIsNeverGivenUp(t *testing.T) {
	b := New[int](DefaultConfig(4 * mib))
	served := open(b, 0, 1)
	_, ok := b.Reserve(0, served, 3*mib)
	require.True(t, ok)
	require.True(t, b.Complete(served))
	victims, ok := b.Reserve(time.Hour, open(b, time.Hour, 2), 3*mib)
	require.False(t, ok)
	require.Empty(t, victims)
	require.True(t, b.Complete(served))
	b.Release(served)
	require.Zero(t, b.Stats().Held)
}

// Guards against large bodies, moving or whole, that keep ordinary requests out.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	cfg := DefaultConfig(16 * mib)
	b := New[int](cfg)
	for i := range 100 {
		large := open(b, 0, i)
		for range 16 {
			_, _ = b.Reserve(0, large, mib/4)
		}
		b.Complete(large)
	}
	for i := range 60 {
		victims, ok := b.Reserve(0, open(b, 0, i), cfg.SmallBytes)
		require.True(t, ok)
		require.Empty(t, victims)
	}
}

func TestSingleLargestBodyFitsAnyVM(t *testing.T) {
	const largest = 8 * mib
	for _, memoryMB := range []int{0, 16, 64, 184, 284, 536} {
		b := New[int](DefaultConfig(Limit(memoryMB, largest)))
		body := open(b, 0, 1)
		held := int64(0)
		for size := int64(4 << 10); held < largest; size = min(2*size, largest) { // as ingress.Bodies grows a buffer
			_, ok := b.Reserve(0, body, size)
			require.True(t, ok, "%d MB, %d bytes", memoryMB, size)
			b.Shrink(body, held)
			held = size
		}
	}
}

func TestLimitFollowsTheMemory(t *testing.T) {
	require.EqualValues(t, 42_600_000, Limit(284, 4*mib))
	require.EqualValues(t, 27_600_000, Limit(184, 4*mib))
	require.EqualValues(t, LimitForOne(8*mib), Limit(32, 8*mib))
}

func TestBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(int64(rapid.IntRange(1, 20).Draw(t, "limit")) * 100 << 10)
		b := New[int](cfg)
		now := time.Duration(0)
		var all []*Transfer[int]
		held, whole := map[*Transfer[int]]int64{}, map[*Transfer[int]]bool{}
		pick := func() *Transfer[int] {
			if len(all) == 0 {
				return &Transfer[int]{}
			}
			return rapid.SampledFrom(all).Draw(t, "transfer")
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				v := &Transfer[int]{Owner: len(all)}
				b.Open(now, v)
				all = append(all, v)
				held[v] = 0
			case 1:
				v, n := pick(), int64(rapid.IntRange(0, 200<<10).Draw(t, "bytes"))
				victims, ok := b.Reserve(now, v, n)
				_, known := held[v]
				require.True(t, known || !ok, "not open")
				for _, victim := range victims {
					require.False(t, whole[victim], "a whole request was given up")
					require.NotSame(t, v, victim)
					require.LessOrEqual(t, victim.stallsAt, now, "it has not stalled")
					delete(held, victim)
				}
				if ok {
					held[v] += n
				}
			case 2:
				b.Move(now, pick(), rapid.IntRange(0, 100<<10).Draw(t, "bytes"))
			case 3:
				v := pick()
				_, known := held[v]
				require.Equal(t, known, b.Complete(v))
				whole[v] = known
			case 4:
				v := pick()
				if n := held[v]; n > 0 {
					b.Shrink(v, n/2)
					held[v] -= n / 2
				}
			case 5:
				v := pick()
				b.Release(v)
				delete(held, v)
				delete(whole, v)
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			require.Equal(t, sum, b.Stats().Held)
			require.LessOrEqual(t, sum, cfg.Limit)
		}
	})
}

// BenchmarkSmallRequest is what the budget adds to a request with a small body.
func BenchmarkSmallRequest(b *testing.B) {
	budget := New[int](DefaultConfig(64 * mib))
	for i := range 1000 {
		open(budget, 0, i)
	}
	body := &Transfer[int]{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Microsecond
		budget.Open(now, body)
		_, _ = budget.Reserve(now, body, 4<<10)
		budget.Move(now, body, 800)
		budget.Complete(body)
		budget.Release(body)
	}
}

// BenchmarkReserveWhileFull is a reservation that looks for stalled transfers among a thousand and
// finds none.
func BenchmarkReserveWhileFull(b *testing.B) {
	budget := New[int](DefaultConfig(mib))
	for i := range 1000 {
		_, _ = budget.Reserve(0, open(budget, 0, i), 1<<10)
	}
	body := open(budget, 0, -1)
	for b.Loop() {
		_, _ = budget.Reserve(0, body, mib)
	}
}
