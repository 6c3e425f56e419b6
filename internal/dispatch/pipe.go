package dispatch

import "time"

const (
	// pipeWindow is the span over which the tokens that cross between failure
	// domains are counted: a burst of a whole window waits so long in the pipe, and
	// callers want the first event within half a second. pipePieces are its parts.
	pipeWindow = 400 * time.Millisecond
	pipePieces = 8
	// pipeFull is the part of the shared pipe that may be planned for. Transfers go
	// one after another: near saturation every path that crosses stalls.
	pipeFull = 0.85
)

// pipeMeter counts the tokens that this VM's requests send over the pipe between
// failure domains. Prompt and answer are counted when a request is sent: its prompt
// crosses in the first moments.
type pipeMeter struct {
	pieces [pipePieces]struct {
		span   int64
		tokens float64
	}
}

func (m *pipeMeter) add(now time.Duration, tokens float64) {
	span := int64(now / (pipeWindow / pipePieces))
	p := &m.pieces[span%pipePieces]
	if p.span != span {
		p.span, p.tokens = span, 0
	}
	p.tokens += tokens
}

// rate is the number of tokens a second, over the last window.
func (m *pipeMeter) rate(now time.Duration) float64 {
	oldest := int64(now/(pipeWindow/pipePieces)) - pipePieces + 1
	sum := 0.0
	for _, p := range m.pieces {
		if p.span >= oldest {
			sum += p.tokens
		}
	}
	return sum / pipeWindow.Seconds()
}
