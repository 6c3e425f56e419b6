package router

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/relay"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// stream is the answer of one streamed request, read by the callers' server as
// its body. It may come from several runs: each goes on behind the last event
// that the caller has.
type stream struct {
	x      *exchange
	send   sent
	events relay.Splitter
	lastID string
	passed int
	ready  []byte // whole events that were not read yet
	done   bool   // the last run has ended as a whole
	unsent int

	run     context.CancelCauseFunc
	runCtx  context.Context
	stall   *time.Timer
	mu      sync.Mutex // guards heard, ended and send.choice, which a change of path replaces
	heard   time.Time
	moving  bool // an order to change the path is under way
	runs    int  // counts runs, so that a late timer knows its own
	ended   bool // the run is over; its choice is no longer replaced
	closing bool

	hasEvent atomic.Bool

	first  time.Duration // from the request to its first event
	maxGap time.Duration // longest pause between two events
	last   time.Time     // when the last event came
}

// serveStream finds a run that gives a first event, then hands the stream to the
// callers' server.
func (x *exchange) serveStream() {
	st := &stream{x: x, lastID: string(x.ctx.Request.Header.Peek(platform.HeaderLastEventID))}
	x.r.streams.add(st)
	if ref := st.start(); ref != nil {
		x.r.streams.remove(st)
		x.giveUp(*ref)
		x.finish()
		return
	}
	resp := st.send.answer.Response
	x.copyHeader(resp)
	x.r.met.firstEvent.UpdateDuration(x.began)
	x.ctx.Response.SetBodyStream(st, -1)
}

// start makes sends until one gives an event, or a final answer that is no
// stream.
func (st *stream) start() *verdict.Refusal {
	x := st.x
	var last *verdict.Refusal
	for {
		ch, refusal := x.chooseOrWait()
		if refusal != nil {
			if last != nil {
				last.Detail = "not sent again: " + string(refusal.Cause) + ": " + refusal.Detail
				refusal = last
			}
			return refusal
		}
		err := st.open(ch)
		if err == nil {
			return nil
		}
		cause := verdict.CauseBackendLost
		if st.send.ran == verdict.NotRun {
			cause = verdict.CauseBackendRefused
		}
		again := x.next(&st.send, &st.unsent)
		last = &verdict.Refusal{Verdict: st.send.ran, Cause: cause, RetryAfter: x.r.cfg.Dispatch.RetryAfter}
		if !again {
			return last
		}
		x.r.met.repeated.Inc()
	}
}

var errNotServed = errors.New("the backend server did not serve the request")

// open makes one send and reads up to its first event.
func (st *stream) open(ch *dispatch.Choice) error {
	x := st.x
	st.events = relay.Splitter{}
	st.begin(ch)
	st.watchStall(ch)
	st.setSend(x.send(st.runCtx, ch, st.lastID))
	if st.send.answer == nil {
		st.endRun()
		return st.send.err
	}
	resp := st.send.answer.Response
	if st.send.ran == verdict.NotRun || resp.StatusCode != http.StatusOK {
		st.endRun()
		if st.send.ran != verdict.NotRun && st.passed == 0 && !x.req.Route.Retryable() {
			return st.passFailure()
		}
		return errNotServed
	}
	err := st.more()
	if err != nil {
		if stalled := context.Cause(st.runCtx); stalled != nil {
			err = stalled
		}
		st.send.err, st.send.fault = err, faultOf(st.runCtx, ch.Target().Addr)
		st.endRun()
		if st.send.ran == verdict.Ran {
			st.send.ran = verdict.MayHaveRun
		}
	}
	return err
}

// begin makes ch the choice of a new run.
func (st *stream) begin(ch *dispatch.Choice) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.runCtx, st.run = context.WithCancelCause(st.x.callerCtx)
	st.send, st.ended = sent{choice: ch}, false
	st.runs++
}

// setSend takes in what came of a send. The choice stays: the path may have been
// changed meanwhile.
func (st *stream) setSend(s sent) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s.choice = st.send.choice
	st.send = s
}

func (st *stream) choice() *dispatch.Choice {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.send.choice
}

// passFailure hands a backend server's own failure to the caller as it is.
func (st *stream) passFailure() error {
	body, err := st.send.answer.ReadAll(maxErrorBody)
	if err != nil {
		return err
	}
	st.ready, st.done = body, true
	return nil
}

// more reads until there is at least one whole event, or the end.
func (st *stream) more() error {
	var buf [8 << 10]byte
	for len(st.ready) == 0 && !st.done {
		n, err := st.send.answer.Read(buf[:])
		st.touch()
		events, tooLong := st.events.Push(buf[:n])
		for _, e := range events {
			st.ready = append(st.ready, e.Bytes...)
			if e.ID != "" {
				st.lastID = e.ID
			}
			st.passed++
			st.x.req.Begun = true
		}
		if len(events) > 0 {
			st.pace(time.Now())
		}
		switch {
		case tooLong != nil:
			return tooLong
		case errors.Is(err, io.EOF):
			if len(st.events.Incomplete()) > 0 {
				return io.ErrUnexpectedEOF
			}
			st.done = true
		case err != nil && len(st.ready) == 0:
			return err
		}
	}
	return nil
}

// pace notes what the caller feels: the time to the first event and the longest
// pause.
func (st *stream) pace(now time.Time) {
	if st.last.IsZero() {
		st.first = now.Sub(st.x.began)
		st.hasEvent.Store(true)
	} else {
		st.maxGap = max(st.maxGap, now.Sub(st.last))
	}
	st.last = now
}

// begun reports whether the caller has a part of the answer.
func (st *stream) begun() bool { return st.hasEvent.Load() }

// Read gives the next whole events to the callers' server. An error that is not
// io.EOF makes it break the connection off, so that a cut answer never looks
// whole.
func (st *stream) Read(b []byte) (int, error) {
	for len(st.ready) == 0 {
		if st.done {
			return 0, io.EOF
		}
		if err := st.more(); err != nil && !st.resume(err) {
			return 0, errors.Wrap(err, "stream broken off")
		}
	}
	n := copy(b, st.ready)
	st.ready = st.ready[n:]
	return n, nil
}

// resume goes on with another run behind the last event that was passed on.
func (st *stream) resume(cause error) bool {
	x := st.x
	if stalled := context.Cause(st.runCtx); stalled != nil {
		cause = stalled
	}
	st.send.err, st.send.ran = cause, verdict.MayHaveRun
	st.send.fault = faultOf(st.runCtx, st.choice().Target().Addr)
	st.endRun()
	for {
		again := x.next(&st.send, &st.unsent)
		if !again {
			return false
		}
		ch, refusal := x.choose()
		if refusal != nil {
			x.r.log.Info().Str("request", x.req.ID).Str("cause", string(refusal.Cause)).Str("after", st.lastID).Msg("stream not resumed")
			return false
		}
		x.r.met.resumed.Inc()
		if err := st.open(ch); err == nil {
			x.r.log.Info().Str("request", x.req.ID).Str("after", st.lastID).Msg("stream resumed")
			return true
		}
	}
}

// Close ends the stream; the callers' server calls it once the body is written
// or the caller is lost.
func (st *stream) Close() error {
	x := st.x
	if st.closing {
		return nil
	}
	st.closing = true
	x.r.streams.remove(st)
	if st.send.answer != nil {
		st.endRun()
		status := st.send.answer.Response.StatusCode
		st.send.answer.Close()
		if st.done {
			x.worked(st.send.choice)
			x.r.met.served.Inc()
		} else {
			x.release(st.send.choice)
			x.r.met.failed.Inc()
		}
		x.logSend(x.r.log.Info(), &st.send, status).Bool("whole", st.done).Int("events", st.passed).Dur("first", st.first).Dur("maxGap", st.maxGap).
			Str("path", platform.EncodePath(st.send.choice.Stages)).Msg("stream ended")
	}
	x.finish()
	return nil
}

// endRun ends what watches a run. Its connection is left to the exchange.
func (st *stream) endRun() {
	st.mu.Lock()
	st.stall.Stop()
	st.ended = true
	st.mu.Unlock()
	if !st.done {
		st.run(nil)
	}
}

func (st *stream) touch() {
	st.mu.Lock()
	st.heard = time.Now()
	st.mu.Unlock()
}
