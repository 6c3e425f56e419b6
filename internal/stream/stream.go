package stream

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// phase is what a stream waits for.
type phase uint8

const (
	awaitingStep        phase = iota // the answer to the step in flight
	backedOff                        // Config.Backoff, before a full server is tried again
	awaitingReplacement              // another server for the frontier stage
	exporting                        // the KV cache of a leaving server
	importing                        // the import into a replacement
)

// stage is one stage of a stream and the state of its current server.
type stage struct {
	Stage
	server       ident.BackendServer
	attempt      uint32
	position     int  // tokens that the server has run
	contacted    bool // something was sent to the server
	repositioned bool // a FailurePosition of this server was already repaired once
	kept         keptInputs
	checkpoint   checkpoint
	// prefillTime is the last observed time of token 0, stepTime the moving average of
	// later tokens.
	prefillTime time.Duration
	stepTime    time.Duration
}

// stream is one open request. Its frontier is the pair (token, stageIndex): the stages
// before stageIndex have run token, the others have not.
type stream struct {
	open       Open
	name       string // at the engines
	openIndex  int    // in Table.openStreams
	stages     []stage
	prompt     string   // data of token 0: the request's prompt, or with emitted tokens appended
	base       int      // tokens of the answer that prompt contains
	token      int      // token at the frontier, counted from base
	stageIndex int      // stage at the frontier
	input      string   // input of the frontier stage for token
	emitted    []string // tokens sent to the caller

	phase     phase
	phaseEnd  time.Duration // when the phase times out
	stepToken int           // token of the step in flight
	sentAt    time.Duration // last send of the step in flight
	// firstSentAt is when the step in flight was first sent.
	firstSentAt    time.Duration
	resends        int  // of the step in flight
	fullRefusals   int  // consecutive FailureFull answers
	stalled        bool // a server was dropped and no step was answered since
	stalledAt      time.Duration
	losses         int // servers lost after something was sent to them
	exclude        []ident.BackendServer
	attempts       uint32
	restarts       int
	stepMayHaveRun bool // a step ran or may have run
	keptBytes      int
}

func newStream(ev Open) *stream {
	s := &stream{open: ev, name: ev.Request, prompt: ev.Prompt, input: ev.Prompt}
	s.stages = make([]stage, len(ev.Pipeline))
	for i, st := range ev.Pipeline {
		s.stages[i] = stage{Stage: st, server: st.Server}
	}
	return s
}

// mayHaveRun reports whether any step of the request may have run or may still run.
func (s *stream) mayHaveRun() bool {
	return s.stepMayHaveRun || s.phase == awaitingStep
}
