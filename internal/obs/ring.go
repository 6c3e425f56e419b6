package obs

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// ringLines is the number of log lines that wait to be written: some seconds of a busy
// VM. What comes when they are all taken replaces the oldest.
const ringLines = 4096

// NeverBlocking returns a writer of log lines that holds nobody up when w is slow or
// stuck: lines wait in a ring of fixed size, and dropped is called with the number of
// those that were lost. Close writes what waits.
func NewNonBlockingWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, ringLines, 0, dropped)
}
