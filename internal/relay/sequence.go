package relay

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The errors of Sequence.Add.
var (
	// ErrNotEvent is returned for bytes that are no event, such as the text of an error.
	ErrNotEvent = errors.New("bytes within a stream are no event")
	// ErrOutOfOrder is returned for an event that does not come after the last one.
	ErrOutOfOrder = errors.New("event does not follow the last one")
)

// Sequence checks that the events of a stream's runs follow one another: their IDs increase. IDs
// that are not whole numbers are not compared. The zero value is ready for use.
type Sequence struct {
	last    uint64
	started bool
}

// Resume makes the sequence go on after the event with an ID, which a caller names.
func (s *Sequence) Resume(id string) {
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		s.last, s.started = n, true
	}
}

// Add returns an error, and leaves the sequence as it is, if e can't be its next event.
func (s *Sequence) Add(e Event) error {
	for line := range bytes.Lines(e.Bytes) {
		if !isField(bytes.TrimRight(line, "\r\n")) {
			return ErrNotEvent
		}
	}
	id, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil {
		return nil
	}
	if s.started && id <= s.last {
		return errors.Wrapf(ErrOutOfOrder, "%d after %d", id, s.last)
	}
	s.last, s.started = id, true
	return nil
}

// isField reports whether a line is empty or a field of an event: a name in lower case and a
// colon. Comments have no name.
func isField(line []byte) bool {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon {
		return len(line) == 0 || bytes.Equal(line, []byte("data"))
	}
	for _, c := range name {
		if c != '-' && c != '_' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}
