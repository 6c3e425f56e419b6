// Package relay splits a stream of server-sent events into whole events, so that
// a caller is sent each event once and whole, also when the answer comes from
// several runs.
package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds one event; a longer one is a fault of its sender.
const MaxEventBytes = 1 << 20

// ErrTooLong is returned for an event over MaxEventBytes.
var ErrTooLong = errors.New("an event is longer than 1 MiB")

// Event is one whole event with the blank line that ends it.
type Event struct {
	// ID is the event's id; empty where it has none.
	ID    string
	Bytes []byte
}

// Splitter takes in bytes as they arrive and gives out whole events. The zero
// value is ready for use.
type Splitter struct {
	buf []byte
}

// Push takes in the next bytes and returns the events that they complete. The
// events hold copies.
func (s *Splitter) Push(b []byte) ([]Event, error) {
	s.buf = append(s.buf, b...)
	var out []Event
	for {
		end := eventEnd(s.buf)
		if end < 0 {
			break
		}
		whole := append([]byte(nil), s.buf[:end]...)
		out = append(out, Event{ID: eventID(whole), Bytes: whole})
		s.buf = s.buf[end:]
	}
	if len(s.buf) > MaxEventBytes {
		return out, ErrTooLong
	}
	s.buf = append([]byte(nil), s.buf...)
	return out, nil
}

// Rest returns the bytes of an event that was not ended.
func (s *Splitter) Incomplete() []byte { return s.buf }

// eventEnd returns the index behind the first blank line, or -1.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
