// Package relay splits a stream of server-sent events into complete events, so that a
// caller gets each event complete and only once even if an answer is resumed on another
// backend server.
package relay

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes is the maximum size of an event. A longer one is the backend server's
// error.
const MaxEventBytes = 1 << 20

// ErrTooLong is returned for an event longer than MaxEventBytes.
var ErrTooLong = errors.New("event exceeds 1 MiB")

// Event is a complete event including the blank line that ends it.
type Event struct {
	// ID is the event's id, empty if it has none.
	ID    string
	Bytes []byte
}

// Splitter splits a stream of bytes into events. The zero value is ready for use.
type Splitter struct {
	buf []byte
}

// Push adds the next bytes of the stream and returns the events that they complete. It
// returns ErrTooLong if an event is too long. The events do not share memory with b.
func (s *Splitter) Push(b []byte) ([]Event, error) {
	s.buf = append(s.buf, b...)
	var out []Event
	for {
		end := eventEnd(s.buf)
		if end < 0 {
			break
		}
		event := append([]byte(nil), s.buf[:end]...)
		out = append(out, Event{ID: eventID(event), Bytes: event})
		s.buf = s.buf[end:]
	}
	if len(s.buf) > MaxEventBytes {
		return out, ErrTooLong
	}
	s.buf = append([]byte(nil), s.buf...)
	return out, nil
}

// Incomplete returns the bytes after the last complete event.
func (s *Splitter) Incomplete() []byte { return s.buf }

// eventEnd returns the index after the first blank line in b, or -1 if there is none.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the value of the first id field, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
