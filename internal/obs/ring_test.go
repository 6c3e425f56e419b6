package obs

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is a writer that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	return s.got.Write(b)
}

func TestAStuckWriterHoldsNobodyUpAndLossIsCounted(t *testing.T) {
	s := &stuck{free: make(chan struct{})}
	var lost atomic.Int64
	w := NewNonBlockingWriter(s, func(n int) { lost.Add(int64(n)) })
	began := time.Now()
	const lines = 3 * ringLines
	for i := range lines {
		_, err := io.WriteString(w, fmt.Sprintln(i))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), 5*time.Second)
	close(s.free)
	require.NoError(t, w.Close())
	written := strings.Count(s.got.String(), "\n")
	require.EqualValues(t, lines, int64(written)+lost.Load())
	require.Contains(t, s.got.String(), fmt.Sprintln(lines-1), "the newest lines stay")
}

func BenchmarkLogLine(b *testing.B) {
	w := NewNonBlockingWriter(io.Discard, func(int) {})
	log, err := NewLogger(w, "info", "catkin-router")
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("request", "9c41d07be2a35f68").Str("server", "i-7f3a91c2").Int("parts", 9).Str("verdict", "ran").Int("status", 200).
			Dur("after", time.Second).Bool("whole", true).Int("events", 43).Dur("first", time.Millisecond).Msg("stream ended")
	}
}
