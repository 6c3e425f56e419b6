package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSequence(t *testing.T) {
	for _, c := range []struct {
		name, after, next string
		want              error
	}{
		{"the first event", "", "id: 1\ndata: a\n\n", nil},
		{"a later first event", "", "id: 40\ndata: a\n\n", nil},
		{"the next event", "3", "id: 4\ndata: a\n\n", nil},
		{"with the version of the weights", "3", "x-weight-versions: 2\nid: 4\ndata: a\n\n", nil},
		{"with other line ends", "3", "id: 4\r\ndata: a\r\n\r\n", nil},
		{"several lines, one empty", "3", "id: 4\ndata: a\ndata\ndata: b\n\n", nil},
		{"a comment", "3", ": still here\n\n", nil},
		{"an event without an ID", "3", "event: end\ndata: [DONE]\n\n", nil},
		{"an ID that is no number", "3", "id: x7\ndata: a\n\n", nil},
		{"after an ID that is no number", "x7", "id: 4\ndata: a\n\n", nil},
		{"the last event once more", "3", "id: 3\ndata: a\n\n", ErrOutOfOrder},
		{"an earlier event", "3", "id: 1\ndata: a\n\n", ErrOutOfOrder},
		{"a text", "3", "service overloaded\n\n", ErrNotEvent},
		{"a single word", "3", "overloaded\n\n", ErrNotEvent},
		{"JSON", "3", "{\"error\":\"overloaded\"}\n\n", ErrNotEvent},
		{"HTML", "3", "<p>failed: 3</p>\n\n", ErrNotEvent},
		{"a head", "3", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\n", ErrNotEvent},
		{"a head after a field", "3", "data: a\nContent-Length: 6\n\n", ErrNotEvent},
	} {
		var s Sequence
		s.Resume(c.after)
		before := s
		events, err := (&Splitter{}).Push([]byte(c.next))
		require.NoError(t, err, c.name)
		require.Len(t, events, 1, c.name)
		err = s.Add(events[0])
		require.ErrorIs(t, err, c.want, c.name)
		if c.want != nil {
			require.Equal(t, before, s, c.name)
		}
	}
}

func FuzzSequence(f *testing.F) {
	f.Add([]byte(stream))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Sequence
		events, err := (&Splitter{}).Push(b)
		if err != nil {
			return
		}
		for _, e := range events {
			before := s
			if s.Add(e) == nil && s != before {
				require.ErrorIs(t, s.Add(e), ErrOutOfOrder, "an event was taken twice: %q", e.Bytes)
			}
		}
	})
}
