package relay

import (
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
		second, err2 := split.Push(b[at:])
		require.NoError(t, err1)
		require.NoError(t, err2)
		require.Equal(t, len(events), len(first)+len(second))
		require.Equal(t, unsplit.Incomplete(), split.Incomplete())
	})
}
