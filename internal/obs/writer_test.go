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

// blockedWriter blocks in Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	got     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.got.Write(b)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	var lost atomic.Int64
	w := NewNonBlockingWriter(out, func(n int) { lost.Add(int64(n)) })
	start := time.Now()
	const lines = 3 * maxBufferedLines
	for i := range lines {
		_, err := io.WriteString(w, fmt.Sprintln(i))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), 5*time.Second)
	close(out.unblock)
	require.NoError(t, w.Close())
	written := strings.Count(out.got.String(), "\n")
	require.EqualValues(t, lines, int64(written)+lost.Load())
	require.Contains(t, out.got.String(), fmt.Sprintln(lines-1), "the newest line must be kept")
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

// closableWriter records whether it was closed.
type closableWriter struct {
	bytes.Buffer
	closed bool
}

func (w *closableWriter) Close() error {
	w.closed = true
	return nil
}

// The standard output belongs to the process: tests that stop a router lost their reports
// when the log closed it.
func TestCloseLeavesUnderlyingWriterOpen(t *testing.T) {
	var out closableWriter
	w := NewNonBlockingWriter(&out, func(int) {})
	_, err := io.WriteString(w, "line\n")
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.Equal(t, "line\n", out.String())
	require.False(t, out.closed)
}
