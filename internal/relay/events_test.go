package relay

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nx-weight-versions: 3\nid: 3\ndata: c\n\n"

func TestPushReturnsCompleteEventsForAnyChunkSize(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		var ids []string
		var all strings.Builder
		for at := 0; at < len(stream); at += size {
			events, err := s.Push([]byte(stream[at:min(at+size, len(stream))]))
			require.NoError(t, err)
			for _, e := range events {
				ids = append(ids, e.ID)
				all.Write(e.Bytes)
			}
		}
		require.Equal(t, []string{"1", "2", "3"}, ids, size)
		require.Equal(t, stream, all.String(), size)
		require.Empty(t, s.Incomplete())
	}
}

func TestIncompleteEventIsNotReturned(t *testing.T) {
	var s Splitter
	events, err := s.Push([]byte("id: 1\ndata: a\n\nid: 2\ndata: to"))
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, "id: 2\ndata: to", string(s.Incomplete()))
}

func TestOverlongEventFails(t *testing.T) {
	var s Splitter
	_, err := s.Push(make([]byte, MaxEventBytes+1))
	require.ErrorIs(t, err, ErrTooLong)
}

// Guards against a stream whose unfinished event is copied for each read: one of a megabyte took 150
// megabytes (LOST).
func TestLongEventIsNotCopiedForEachRead(t *testing.T) {
	part := bytes.Repeat([]byte("b"), 8<<10)
	grown := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var s Splitter
			for len(s.Incomplete())+len(part) <= MaxEventBytes {
				_, err := s.Push(part)
				require.NoError(b, err)
			}
		}
	}).AllocedBytesPerOp()
	require.Less(t, grown, int64(8*MaxEventBytes))
}

func TestShortEventsShareTheirMemory(t *testing.T) {
	var s Splitter
	comments := []byte(strings.Repeat(": a comment\n\n", 500))
	events, err := s.Push(comments)
	require.NoError(t, err)
	require.Len(t, events, 500)
	require.Less(t, testing.AllocsPerRun(10, func() { _, _ = s.Push(comments) }), 5.0)
}

// Line ends in a row, of both kinds and mixed, split as they would one after the other.
func TestBlankLinesInARow(t *testing.T) {
	for text, want := range map[string][]string{
		"a\n\n\nb":           {"a\n\n", "\nb"},
		"a\n\n\n\nb":         {"a\n\n", "\n\n", "b"},
		"a\r\n\r\n\r\nb":     {"a\r\n\r\n", "\r\nb"},
		"a\r\n\nb":           {"a\r\n\n", "b"},
		"a\n\r\nb\n\n":       {"a\n\r\nb\n\n", ""},
		"\n\na\r\n\r\n\n\nb": {"\n\n", "a\r\n\r\n", "\n\n", "b"},
	} {
		for size := 1; size <= len(text); size++ {
			var s Splitter
			var got []string
			for at := 0; at < len(text); at += size {
				events, err := s.Push([]byte(text[at:min(at+size, len(text))]))
				require.NoError(t, err)
				for _, e := range events {
					got = append(got, string(e.Bytes))
				}
			}
			require.Equal(t, want, append(got, string(s.Incomplete())), "%q by %d", text, size)
		}
	}
}

// cloneEvents copies events and their bytes.
func cloneEvents(events []Event) []Event {
	out := slices.Clone(events)
	for i := range out {
		out[i].Bytes = bytes.Clone(out[i].Bytes)
	}
	return out
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream), 3)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		var unsplit, split Splitter
		events, err := unsplit.Push(b)
		if err != nil || len(b) == 0 {
			return
		}
		at := ((cut % len(b)) + len(b)) % len(b)
		first, err1 := split.Push(b[:at])
		both := cloneEvents(first)
		second, err2 := split.Push(b[at:])
		require.NoError(t, err1)
		require.NoError(t, err2)
		require.Equal(t, cloneEvents(events), append(both, second...))
		require.Equal(t, unsplit.Incomplete(), split.Incomplete())
	})
}
