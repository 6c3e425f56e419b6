package stream

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// phase says what a stream waits for.
type phase uint8

const (
	stepping  phase = iota // the answer to the step in flight
	backedOff              // time, before a full stage is tried again
	looking                // a replacement for the stage at the frontier
	exporting              // the cache of a leaving stage
	importing              // the import into a replacement
)

// stage is one stage of a stream and what its present holder has.
type stage struct {
	Stage
	server       ident.BackendServer
	attempt      uint32
	position     int  // tokens that the holder has run
	touched      bool // something was sent to the holder
	repositioned bool // the holder was caught up once after a position answer
	kept         keptInputs
	cache        checkpoint
	// prefillTook and stepTook are the observed times of token 0 and, averaged,
	// of later tokens.
	prefillTook time.Duration
	stepTook    time.Duration
}

// stream is one request on its way. The frontier is the pair (token, at): the
// stages before at have run token, the others have not.
type stream struct {
	open    Open
	name    string // at the engines
	index   int    // in Table.order
	stages  []stage
	prompt  string   // what token 0 carries: the request's, or with a part of the answer
	base    int      // tokens of the answer in prompt
	token   int      // token at the frontier, counted from base
	at      int      // stage at the frontier
	input   string   // what stage at takes for token
	emitted []string // what the caller had

	phase  phase
	until  time.Duration // when the wait of the phase ends
	sent   int           // token of the step in flight
	sentAt time.Duration
	// firstSentAt is when that step was sent for the first time.
	firstSentAt time.Duration
	resends     int  // of the step in flight
	fulls       int  // refusals in a row by a full stage
	stalled     bool // a holder was left and no step was answered since
	stalledAt   time.Duration
	losses      int
	exclude     []ident.BackendServer
	attempts    uint32
	starts      int
	uncertain   bool // a step ran or may have run
	keptBytes   int
}

func newStream(ev Open) *stream {
	s := &stream{open: ev, name: ev.Request, prompt: ev.Prompt, input: ev.Prompt}
	s.stages = make([]stage, len(ev.Pipeline))
	for i, st := range ev.Pipeline {
		s.stages[i] = stage{Stage: st, server: st.Server}
	}
	return s
}

// mayHaveRun reports whether any part of the request may have run or may still
// run.
func (s *stream) mayHaveRun() bool {
	return s.uncertain || s.phase == stepping
}
