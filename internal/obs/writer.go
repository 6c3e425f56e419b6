package obs

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the size of the log buffer in lines: a few seconds of a busy VM. When
// it is full, new lines overwrite the oldest.
const maxBufferedLines = 4096

// NewNonBlockingWriter returns a writer of log lines that does not block if w is slow or
// stuck. Lines are buffered in a ring of maxBufferedLines, and dropped is called with the
// number of lines overwritten. Close flushes the buffer and leaves w open.
func NewNonBlockingWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	notCloser := struct{ io.Writer }{w} // diode closes a writer that can be closed
	return diode.NewWriter(notCloser, maxBufferedLines, 0, dropped)
}
