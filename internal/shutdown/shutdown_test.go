package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are taken during a planned stop and cut by the exit (LOST).
func TestTakesOnlyWhatEndsBeforeExit(t *testing.T) {
	const begun, grace = 100 * time.Second, 8 * time.Second
	s := DefaultConfig().Plan(begun, grace)
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
		require.Equal(t, c.want, s.Takes(now, now+c.timeLeft, c.stream), c.name)
	}
}
