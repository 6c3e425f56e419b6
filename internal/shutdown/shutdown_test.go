package shutdown

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are taken during a planned stop and cut by the exit (LOST).
func TestTakesOnlyWhatEndsBeforeExit(t *testing.T) {
	const begun, grace = 100 * time.Second, 8 * time.Second
	s := DefaultConfig().Plan(begun, 0, grace)
	require.Less(t, s.LastStreamAt, begun+3*time.Second, "a stream that is sent later must not be cut")
	require.Less(t, s.LeaveAt, begun+grace)
	for _, c := range []struct {
		name     string
		after    time.Duration // since the signal
		timeLeft time.Duration
		stream   bool
		want     bool
	}{
		{"a stream right after the signal", 0, 20 * time.Second, true, true},
		{"a stream while callers still have the address", 2400 * time.Millisecond, 20 * time.Second, true, true},
		{"a late stream", 2500 * time.Millisecond, 20 * time.Second, true, false},
		{"a call while the VM listens", 2900 * time.Millisecond, 20 * time.Second, false, true},
		{"a late call that ends in time", 5 * time.Second, 1500 * time.Millisecond, false, true},
		{"a late call that may not end in time", 6500 * time.Millisecond, 1500 * time.Millisecond, false, false},
		{"a call after the grace period", 7500 * time.Millisecond, time.Millisecond, false, false},
		{"a stream after the grace period", 7500 * time.Millisecond, time.Millisecond, true, false},
	} {
		now := begun + c.after
		require.Equal(t, c.want, s.Takes(now, Arrival{Deadline: now + c.timeLeft, Stream: c.stream}), c.name)
	}
}

// Guards against streams that are taken although they last longer than the VM (LOST).
func TestSlowStreamIsNotTakenDuringStop(t *testing.T) {
	const begun, grace, tokens = 100 * time.Second, 8 * time.Second, 250
	s := DefaultConfig().Plan(begun, 0, grace)
	for _, c := range []struct {
		lasts, after time.Duration
		want         bool
	}{
		{4 * time.Second, 0, true},
		{4 * time.Second, 2400 * time.Millisecond, true},
		{6 * time.Second, time.Second, true},
		{6 * time.Second, 2 * time.Second, false},
		{10 * time.Second, 0, false},
	} {
		var d Durations
		require.Zero(t, d.Estimate(tokens), "nothing is known")
		for range 100 {
			d.Record(c.lasts, tokens)
		}
		now := begun + c.after
		require.Equal(t, c.want, s.Takes(now, Arrival{Deadline: now + time.Minute, Stream: true, Duration: d.Estimate(tokens)}), "%v, %v after the signal", c.lasts, c.after)
	}
}

// Guards against a stop that ends after a short grace period, in which everything is cut, or that
// cuts requests before its last sixth (LOST).
func TestStopEndsWithinAnyGracePeriod(t *testing.T) {
	const begun = 100 * time.Second
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 8 * time.Second, 30 * time.Second} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			delayed := DefaultConfig().Plan(begun, delay, grace)
			require.GreaterOrEqual(t, delayed.ExitAt, begun+grace-grace/6, "%v, signal %v late", grace, delay)
			require.LessOrEqual(t, delayed.GoneAt, begun+grace, "%v, signal %v late", grace, delay)
		}
		s := DefaultConfig().Plan(begun, 0, grace)
		require.Greater(t, s.LastStreamAt, begun, grace)
		require.LessOrEqual(t, s.LastStreamAt, s.CloseAt, grace)
		require.Less(t, s.CloseAt, s.ExitAt, grace)
		require.Less(t, s.ExitAt, s.LeaveAt, grace)
		require.Less(t, s.LeaveAt, s.GoneAt, grace)
		require.Less(t, s.GoneAt, begun+grace, grace)
	}
}

func TestEstimateCoversMostStreams(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var d Durations
	covered := 0
	const streams = 2000
	for range streams {
		tokens := 50 + 400*rng.Float64()
		took := time.Duration((0.3 + 0.02*tokens) * (0.8 + 0.4*rng.Float64()) * float64(time.Second))
		if d.Estimate(tokens) >= took {
			covered++
		}
		d.Record(took, tokens)
	}
	require.Greater(t, covered, streams*8/10)
}

// Guards against odd streams that make a stop refuse all others, or take one that lasts for ever.
func TestOddStreamsDoNotSpoilEstimates(t *testing.T) {
	var d Durations
	for range 50 {
		d.Record(4*time.Second, 250)
	}
	for _, odd := range []struct {
		took   time.Duration
		tokens float64
	}{{-time.Second, 10}, {time.Second, 0}, {time.Second, math.NaN()}, {3 * time.Second, 1}, {20 * time.Second, 0.001}} {
		d.Record(odd.took, odd.tokens)
	}
	require.Less(t, d.Estimate(250), 20*time.Second)
	for range 10 {
		d.Record(4*time.Second, 250)
	}
	require.Less(t, d.Estimate(250), 7*time.Second)
	s := DefaultConfig().Plan(0, 0, 8*time.Second)
	for _, tokens := range []float64{1e8, 1e300, math.Inf(1)} {
		require.False(t, s.Takes(0, Arrival{Deadline: time.Minute, Stream: true, Duration: d.Estimate(tokens)}), tokens)
	}
	require.True(t, s.Takes(0, Arrival{Deadline: 5 * time.Second, Stream: true, Duration: d.Estimate(1e8)}), "it ends at its deadline")
}
