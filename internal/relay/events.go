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
	buf     []byte
	begin   int // of the bytes in buf after the last complete event
	scanned int // bytes from begin on in which no event ends
	events  []Event
}

// keptBytes is the largest buffer that a Splitter keeps for the next event.
const keptBytes = 16 << 10

// Push adds the next bytes of the stream and returns the events that they complete, which are valid
// until the next call. It returns ErrTooLong if an event is too long.
func (s *Splitter) Push(b []byte) ([]Event, error) {
	s.drop()
	s.buf = append(s.buf, b...)
	s.events = s.events[:0]
	for {
		end := eventEnd(s.buf[s.begin:], s.scanned)
		if end < 0 {
			break
		}
		event := s.buf[s.begin : s.begin+end : s.begin+end]
		s.events = append(s.events, Event{ID: eventID(event), Bytes: event})
		s.begin, s.scanned = s.begin+end, 0
	}
	s.scanned = len(s.Incomplete())
	if s.scanned > MaxEventBytes {
		return s.events, ErrTooLong
	}
	return s.events, nil
}

// drop removes the bytes of the events that Push has returned, and the memory of a long one.
func (s *Splitter) drop() {
	if s.begin == 0 {
		return
	}
	rest := s.Incomplete()
	if cap(s.buf) > keptBytes {
		s.buf = append([]byte(nil), rest...)
	} else {
		s.buf = append(s.buf[:0], rest...)
	}
	s.begin = 0
}

// Incomplete returns the bytes after the last complete event, until the next Push.
func (s *Splitter) Incomplete() []byte { return s.buf[s.begin:] }

// longestBlankLine is the length of an empty line and the line end before it, with carriage returns.
const longestBlankLine = 4

// eventEnd returns the index after the first blank line in b, or -1 if there is none. The first
// scanned bytes hold none.
func eventEnd(b []byte, scanned int) int {
	for i := max(0, scanned-longestBlankLine+1); ; i++ {
		next := bytes.IndexByte(b[i:], '\n')
		if next < 0 {
			return -1
		}
		i += next
		rest := b[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		}
		if i > 0 && b[i-1] == '\r' && bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
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
