package connbudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

const (
	idleLimit    = 15 * time.Second
	receiveLimit = 30 * time.Second
)

func TestSplitLeavesEachDutyItsOwn(t *testing.T) {
	for _, c := range []struct{ descriptors, memoryMB, callers int }{
		{4200, 0, 1800}, {4200, 284, 1733}, {0, 0, 1753}, {300, 0, 67}, {4200, 10, 61},
	} {
		limits := Split(c.descriptors, c.memoryMB, 48<<10)
		require.Equal(t, c.callers, limits[Callers], "%+v", c)
		sum := 0
		for _, n := range limits {
			require.Positive(t, n)
			sum += n
		}
		if c.descriptors > 0 {
			require.LessOrEqual(t, sum, c.descriptors-min(fileDescriptors, c.descriptors/2))
		}
	}
}

func open(t *testing.T, b *Budget[int], now time.Duration, id int) *Conn[int] {
	t.Helper()
	c := &Conn[int]{Owner: id}
	taken, spare := b.Open(now, c)
	require.True(t, taken)
	require.Nil(t, spare)
	return c
}

func TestIdleConnectionIsKeptForItsLimitWhileThereIsRoom(t *testing.T) {
	b := New[int](DefaultConfig(10))
	open(t, b, 0, 1)
	require.Empty(t, b.Due(idleLimit-1, idleLimit))
	require.Len(t, b.Due(idleLimit, idleLimit), 1)
	require.Empty(t, b.Due(2*idleLimit, idleLimit), "told twice")
}

func TestLongestIdleIsClosedFirstNearTheLimit(t *testing.T) {
	b := New[int](DefaultConfig(10))
	var conns []*Conn[int]
	for i := range 9 {
		conns = append(conns, open(t, b, time.Duration(i)*time.Second, i))
	}
	b.Begin(conns[0])
	taken, spare := b.Open(10*time.Second, &Conn[int]{Owner: 9})
	require.True(t, taken)
	require.Same(t, conns[1], spare)
}

func TestNewConnectionIsRefusedAtTheLimitOnly(t *testing.T) {
	b := New[int](DefaultConfig(10))
	var conns []*Conn[int]
	for i := range 10 {
		conns = append(conns, open(t, b, 0, i))
		b.Begin(conns[i])
	}
	taken, spare := b.Open(time.Second, &Conn[int]{})
	require.False(t, taken)
	require.Nil(t, spare, "all have requests")
	b.Close(conns[3])
	b.Close(conns[3])
	taken, _ = b.Open(time.Second, &Conn[int]{})
	require.True(t, taken)
	require.EqualValues(t, 1, b.Stats().Refused)
}

// A request that arrives on a connection which is about to be closed is served.
func TestRequestKeepsConnectionOpen(t *testing.T) {
	b := New[int](DefaultConfig(10))
	c := open(t, b, 0, 1)
	require.Len(t, b.Due(idleLimit, idleLimit), 1)
	require.True(t, c.Closing())
	b.Begin(c)
	require.False(t, c.Closing())
	require.Nil(t, b.End(idleLimit, c))
	require.Empty(t, b.Due(2*idleLimit-1, idleLimit), "idle since the end of the response")
}

// Guards against clients that begin requests, never end them, and keep all others out.
func TestConnectionsThatReceiveLongestAreClosedFirstNearTheLimit(t *testing.T) {
	b := New[int](DefaultConfig(10))
	idle := open(t, b, 0, 0)
	var stalled []*Conn[int]
	for i := range 9 {
		c := &Conn[int]{Owner: i}
		taken, _ := b.Open(0, c)
		require.True(t, taken)
		b.Receive(time.Duration(i)*time.Millisecond, c)
		stalled = append(stalled, c)
	}
	taken, spare := b.Open(200*time.Millisecond, &Conn[int]{})
	require.False(t, taken)
	require.Nil(t, spare, "none has received for long")
	_, spare = b.Open(2*time.Second, &Conn[int]{})
	require.Same(t, stalled[0], spare)
	b.Close(spare)
	taken, spare = b.Open(2*time.Second, &Conn[int]{})
	require.True(t, taken)
	require.Same(t, stalled[1], spare)
	require.False(t, idle.Closing())
	require.EqualValues(t, 2, b.Stats().Stalled)
}

func TestRequestThatTakesTooLongToArriveIsOverdue(t *testing.T) {
	const limit = 30 * time.Second
	b := New[int](DefaultConfig(10))
	slow, busy, ended := open(t, b, 0, 1), open(t, b, 0, 2), open(t, b, 0, 3)
	for _, c := range []*Conn[int]{slow, busy, ended} {
		b.Receive(time.Second, c)
	}
	b.Begin(busy)
	require.Nil(t, b.End(2*time.Second, ended))
	require.Empty(t, b.Overdue(limit, limit))
	require.Equal(t, []*Conn[int]{slow}, b.Overdue(limit+time.Second, limit))
	require.True(t, slow.Closing())
	require.Empty(t, b.Overdue(2*limit, limit), "told twice")
}

// A client may send the first bytes of its next request while the last one is served.
func TestNextRequestIsReceivedFromTheEndOfTheLastOne(t *testing.T) {
	const limit = 30 * time.Second
	b := New[int](DefaultConfig(10))
	c := open(t, b, 0, 1)
	b.Begin(c)
	b.Receive(time.Minute, c)
	require.Empty(t, b.Overdue(time.Minute+limit-1, limit))
	require.Len(t, b.Overdue(time.Minute+limit, limit), 1)
}

func TestBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(rapid.IntRange(1, 12).Draw(t, "limit"))
		b := New[int](cfg)
		conns := map[*Conn[int]]bool{} // true with a request
		var all []*Conn[int]
		now := time.Duration(0)
		told := func(spare *Conn[int], expired bool) {
			if spare == nil {
				return
			}
			busy, known := conns[spare]
			require.True(t, known, "closed already")
			require.False(t, busy, "has a request")
			if !expired {
				require.Greater(t, len(conns), int(cfg.NearShare*float64(cfg.Limit)), "there is room")
			}
		}
		pick := func() *Conn[int] {
			if len(all) == 0 {
				return nil
			}
			return rapid.SampledFrom(all).Draw(t, "conn")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				c := &Conn[int]{}
				taken, spare := b.Open(now, c)
				require.Equal(t, len(conns) < cfg.Limit, taken)
				if taken {
					conns[c] = false
					all = append(all, c)
				}
				told(spare, false)
			case 1:
				if c := pick(); c != nil {
					if _, known := conns[c]; known {
						conns[c] = true
						b.Begin(c)
					}
				}
			case 2:
				if c := pick(); c != nil && conns[c] {
					conns[c] = false
					told(b.End(now, c), false)
				}
			case 3:
				if c := pick(); c != nil {
					delete(conns, c)
					b.Close(c)
				}
			case 4:
				for _, c := range b.Due(now, idleLimit) {
					told(c, true)
				}
			case 5:
				if c := pick(); c != nil {
					if _, known := conns[c]; known {
						conns[c] = false
						b.Receive(now, c)
					}
				}
			case 6:
				for _, c := range b.Overdue(now, receiveLimit) {
					told(c, true)
				}
			}
			require.Equal(t, len(conns), b.Stats().Open)
		}
	})
}

func BenchmarkRequestOnOpenConnection(b *testing.B) {
	budget := New[int](DefaultConfig(1775))
	var conns []*Conn[int]
	for range 1500 {
		c := &Conn[int]{}
		budget.Open(0, c)
		conns = append(conns, c)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := conns[i%len(conns)]
		budget.Begin(c)
		budget.End(time.Duration(i), c)
	}
}

func BenchmarkNewConnectionNearTheLimit(b *testing.B) {
	budget := New[int](DefaultConfig(1000))
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		if _, spare := budget.Open(now, &Conn[int]{}); spare != nil {
			budget.Close(spare)
		}
	}
}
