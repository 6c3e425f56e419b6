package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/relay"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// stream is the response body of one streamed request, read by the server for callers. It
// may consist of several runs: each continues after the last event sent to the caller.
type stream struct {
	x              *exchange
	result         sendResult
	splitter       relay.Splitter
	sequence       relay.Sequence
	mediaType      string // of the first run's response
	lastEventID    string // of the last complete event read
	eventCount     int
	pending        []byte // complete events not yet read by the server
	pendingBuf     []byte // the memory of pending, which is used again
	complete       bool   // the last run ended completely
	unsentAttempts int

	cancelRun  context.CancelCauseFunc
	runCtx     context.Context
	stallTimer *time.Timer
	// mu guards cancelRun, stallTimer, the fields from lastRead to runEnded, and
	// result.choice, which a change of path replaces.
	mu       sync.Mutex
	lastRead time.Time // when the last complete event of the run arrived, or the run began
	// waitSince is when the stream began to wait for bytes of the run.
	waitSince time.Time
	// pace is what is known of the stream's pauses, silences how often the current one has
	// started checks.
	pace     detector.Pace
	silences int
	// lastProgress is when the last complete event of the run arrived, zero for none.
	lastProgress time.Time
	runBegun     bool // the run has sent a complete event
	waiting      bool // for bytes of the run
	// partialSince is when the stream began to wait for the rest of an event, zero for none.
	partialSince time.Time
	repathing    bool // a change of the path is in progress
	// alsoLost holds servers that were found lost during a change of the path.
	alsoLost []string
	// successor is reserved for the next run when one is cancelled, nil otherwise.
	successor *dispatch.Choice
	// retry is set while the stream waits on a path with a lost server.
	retry    moveRetry
	runCount int  // lets a late timer detect that its run is over
	keptRun  int  // the runCount of the last run that was kept although it may be lost
	runEnded bool // the choice of an ended run is no longer replaced

	closed bool

	hasEvent atomic.Bool

	firstEventDelay time.Duration // from the request to its first event
	maxGap          time.Duration // longest pause between two events
	lastEventAt     time.Time     // when the last event arrived
}

// serveStream sends the request until a run yields its first event, then passes the stream
// to the server for callers, which reads it as the response body.
func (x *exchange) serveStream() {
	st := &stream{x: x, lastEventID: string(x.ctx.Request.Header.Peek(platform.HeaderLastEventID))}
	st.sequence.Resume(st.lastEventID)
	x.r.streams.add(st)
	if refusal := st.start(); refusal != nil {
		x.r.streams.remove(st)
		x.failRequest(*refusal)
		x.finish()
		return
	}
	resp := st.result.call.Response
	x.copyHeader(resp, st.choice())
	x.r.metrics.firstEventDelay.UpdateDuration(x.receivedAt)
	x.ctx.Response.SetBodyStream(st, -1)
}

// start sends the request until a send yields an event, or a final response that is not a
// stream.
func (st *stream) start() *verdict.Refusal {
	x := st.x
	var last *verdict.Refusal
	for {
		ch, refusal := st.choose(x.chooseOrWait)
		if refusal != nil {
			if last != nil {
				last.RetryAfter = max(last.RetryAfter, refusal.RetryAfter)
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
		if st.result.outcome == verdict.NotRun {
			cause = verdict.CauseBackendRefused
		}
		retry := x.handleFailedSend(&st.result, &st.unsentAttempts)
		last = &verdict.Refusal{Verdict: st.result.outcome, Cause: cause, RetryAfter: max(x.r.cfg.Dispatch.RetryAfter, st.result.retryAfter)}
		if !retry {
			return last
		}
		x.r.metrics.retried.Inc()
	}
}

// choose returns the choice that is reserved for the next run, otherwise that of find.
func (st *stream) choose(find func() (*dispatch.Choice, *verdict.Refusal)) (*dispatch.Choice, *verdict.Refusal) {
	if next := st.takeSuccessor(); next != nil {
		return next, nil
	}
	return find()
}

var errOtherContent = errors.New("response is of another type than the stream so far")

var errNotServed = errors.New("backend server did not serve the request")

// open sends the request once and reads up to the first event.
func (st *stream) open(ch *dispatch.Choice) error {
	x := st.x
	st.splitter = relay.Splitter{}
	st.beginRun(ch)
	st.watchStall(ch)
	st.setSendResult(x.send(st.runCtx, ch, st.lastEventID))
	if st.result.call == nil {
		st.endRun()
		return st.result.err
	}
	resp := st.result.call.Response
	if st.result.outcome == verdict.NotRun || resp.StatusCode != http.StatusOK {
		st.endRun()
		if st.result.outcome != verdict.NotRun && st.eventCount == 0 && !x.req.Route.Retryable() && !x.misstates(resp.StatusCode) {
			return st.forwardFailure()
		}
		return errNotServed
	}
	err := st.checkContinues(resp)
	if err == nil {
		err = st.readEvents()
	}
	if err != nil {
		if stalled := context.Cause(st.runCtx); stalled != nil {
			err = stalled
		}
		st.result.err, st.result.faultAddr = err, faultAddrOf(st.runCtx, ch.Target().Addr)
		st.endRun()
		if st.result.outcome == verdict.Ran {
			st.result.outcome = verdict.MayHaveRun
		}
	}
	return err
}

// checkContinues returns an error if a response can't go on with the stream that the caller has
// begun to receive. The caller keeps the header of the first response.
func (st *stream) checkContinues(resp *http.Response) error {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	mediaType = strings.ToLower(strings.TrimSpace(mediaType))
	if st.eventCount > 0 && mediaType != st.mediaType {
		return errors.Wrapf(errOtherContent, "%q, not %q", mediaType, st.mediaType)
	}
	st.mediaType = mediaType
	return nil
}

// beginRun starts a new run over ch.
func (st *stream) beginRun(ch *dispatch.Choice) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.runCtx, st.cancelRun = context.WithCancelCause(st.x.callerCtx)
	st.partialSince, st.runBegun, st.lastProgress, st.lastRead = time.Time{}, false, time.Time{}, time.Now()
	st.silences = 0
	st.result, st.runEnded = sendResult{choice: ch}, false
	st.runCount++
}

// setSendResult stores the result of a send, but keeps the choice: the path may have been
// changed meanwhile.
func (st *stream) setSendResult(s sendResult) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s.choice = st.result.choice
	st.result = s
}

func (st *stream) choice() *dispatch.Choice {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.result.choice
}

// forwardFailure forwards a backend server's error response to the caller unchanged.
func (st *stream) forwardFailure() error {
	body, err := st.result.call.ReadAll(maxErrorBodyBytes)
	if err != nil {
		return err
	}
	st.pending, st.complete = body, true
	return nil
}

// readEvents reads until there is at least one complete event, or the end.
func (st *stream) readEvents() error {
	var buf [8 << 10]byte
	defer st.endWait()
	for len(st.pending) == 0 && !st.complete {
		st.beginWait(len(st.splitter.Incomplete()) > 0)
		n, err := st.result.call.Read(buf[:])
		events, tooLong := st.splitter.Push(buf[:n])
		if tooLong == nil {
			tooLong = st.result.call.Hold(len(st.splitter.Incomplete()))
		}
		if len(events) > 0 {
			st.recordProgress()
		}
		st.pending = st.pendingBuf[:0]
		for _, e := range events {
			if invalid := st.sequence.Add(e); invalid != nil {
				return invalid
			}
			st.pending = append(st.pending, e.Bytes...)
			if e.ID != "" {
				st.lastEventID = e.ID
			}
			st.eventCount++
			st.result.events++
			st.x.markBegun()
			if st.result.events == minEventsOfSoundRun {
				st.x.recordProgress()
				st.x.recordPromptRead(st.choice())
			}
		}
		st.keepPendingBuf()
		if len(events) > 0 {
			st.recordEventTime(time.Now())
		}
		switch {
		case tooLong != nil:
			return tooLong
		case errors.Is(err, io.EOF):
			if len(st.splitter.Incomplete()) > 0 || (st.result.events == 0 && isUnframed(st.result.call.Response)) {
				return io.ErrUnexpectedEOF
			}
			st.complete = true
		case err != nil && len(st.pending) == 0:
			return err
		}
	}
	return nil
}

// maxPendingBuf is the largest buffer of events that a stream keeps while it waits for more, in bytes.
const maxPendingBuf = 16 << 10

func (st *stream) keepPendingBuf() {
	st.pendingBuf = st.pending
	if cap(st.pendingBuf) > maxPendingBuf {
		st.pendingBuf = nil
	}
}

// isUnframed reports whether only the end of the connection marks the end of a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// recordEventTime updates the latencies that the caller sees: the time to the first event
// and the longest gap between events.
func (st *stream) recordEventTime(now time.Time) {
	if st.lastEventAt.IsZero() {
		st.firstEventDelay = now.Sub(st.x.receivedAt)
		st.hasEvent.Store(true)
	} else {
		st.maxGap = max(st.maxGap, now.Sub(st.lastEventAt))
	}
	st.lastEventAt = now
}

// begun reports whether an event has arrived for the caller.
func (st *stream) begun() bool { return st.hasEvent.Load() }

// Read returns the next complete events to the server for callers. An error other than
// io.EOF makes it abort the connection, so that a truncated response never looks complete.
func (st *stream) Read(b []byte) (n int, err error) {
	if internal := st.x.r.guard("stream", st.x.req.ID, func() { n, err = st.read(b) }); internal != nil {
		return 0, internal
	}
	return n, err
}

func (st *stream) read(b []byte) (int, error) {
	for len(st.pending) == 0 {
		if st.complete {
			return 0, io.EOF
		}
		if err := st.readEvents(); err != nil && !st.resume(err) {
			return 0, errors.Wrap(err, "stream aborted")
		}
	}
	n := copy(b, st.pending)
	st.pending = st.pending[n:]
	return n, nil
}

// resume continues the stream with another run after the last event received. It reports
// false if there is no server to run it on or no further attempt is allowed.
func (st *stream) resume(cause error) bool {
	x := st.x
	if stalled := context.Cause(st.runCtx); stalled != nil {
		cause = stalled
	}
	st.result.err, st.result.outcome = cause, verdict.MayHaveRun
	st.result.faultAddr = faultAddrOf(st.runCtx, st.choice().Target().Addr)
	st.endRun()
	for {
		retry := x.handleFailedSend(&st.result, &st.unsentAttempts)
		if !retry {
			return false
		}
		ch, refusal := st.choose(x.choose)
		if refusal != nil && mayPass(refusal.Cause) {
			ch, refusal = st.awaitResume(refusal)
		}
		if refusal != nil {
			x.r.log.Info().Str("request", x.req.ID).Str("cause", string(refusal.Cause)).Str("after", st.lastEventID).Msg("stream not resumed")
			return false
		}
		x.r.metrics.resumed.Inc()
		if err := st.open(ch); err == nil {
			x.r.log.Info().Str("request", x.req.ID).Str("after", st.lastEventID).Msg("stream resumed")
			return true
		}
	}
}

// mayPass reports whether the cause of a refusal may pass while a stream in progress waits.
func mayPass(cause verdict.Cause) bool {
	return lacksServers(cause) || cause == verdict.CauseUnreachable
}

// awaitResume waits for capacity to resume a stream in progress until its deadline, unless its caller
// leaves: a late answer serves its caller, a broken one does not.
func (st *stream) awaitResume(refusal *verdict.Refusal) (*dispatch.Choice, *verdict.Refusal) {
	x := st.x
	interval := moveRetryInterval
	retry := time.NewTimer(interval)
	defer retry.Stop()
	for x.timeLeft() > 0 {
		select {
		case <-x.callerCtx.Done():
			return nil, refusal
		case <-retry.C:
		}
		x.r.locked(x.req.ReadmitPeers)
		var ch *dispatch.Choice
		if ch, refusal = x.choose(); refusal == nil || !mayPass(refusal.Cause) {
			return ch, refusal
		}
		interval = min(2*interval, maxMoveRetryInterval)
		retry.Reset(interval)
	}
	return nil, refusal
}

// Close ends the stream. The server for callers calls it when the body has been written or
// the caller's connection is lost.
func (st *stream) Close() error {
	return st.x.r.guard("stream", st.x.req.ID, st.close)
}

func (st *stream) close() {
	x := st.x
	if st.closed {
		return
	}
	st.closed = true
	x.r.streams.remove(st)
	if st.result.call != nil {
		st.endRun()
		status := st.result.call.Response.StatusCode
		st.result.call.Close()
		if st.complete && st.eventCount > 0 && !x.sound {
			x.recordProgress()
		}
		if st.complete {
			if st.eventCount > 0 {
				x.recordDuration()
			}
			x.recordSuccess(st.result.choice)
			x.r.metrics.served.Inc()
		} else {
			x.release(st.result.choice)
			x.r.metrics.failed.Inc()
		}
		x.logSend(x.r.log.Info(), &st.result, status).Bool("whole", st.complete).Int("events", st.eventCount).Dur("first", st.firstEventDelay).Dur("maxGap", st.maxGap).
			Str("path", platform.EncodePath(st.result.choice.Stages)).Msg("stream ended")
	}
	x.finish()
}

// endRun stops the stall timer of a run and cancels the run unless it is complete. The
// response is closed by handleFailedSend or Close.
func (st *stream) endRun() {
	st.mu.Lock()
	st.stallTimer.Stop()
	st.runEnded = true
	st.mu.Unlock()
	if !st.complete {
		st.cancelRun(nil)
	}
}

// recordProgress tells the stall watch that a complete event arrived. Other bytes are no
// progress: a stalled server may still send one now and then.
func (st *stream) recordProgress() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recordGap(time.Now())
	st.lastRead, st.partialSince, st.runBegun = time.Now(), time.Time{}, true
	st.lastProgress = st.lastRead
}

// beginWait tells the stall watch that the stream waits for more bytes, partial if an event
// has begun to arrive. While the stream waits for its caller instead, no time counts.
func (st *stream) beginWait(partial bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.waiting {
		st.waiting, st.waitSince = true, time.Now()
	}
	if partial && st.partialSince.IsZero() {
		st.partialSince = time.Now()
	}
}

func (st *stream) endWait() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.waiting, st.partialSince = false, time.Time{}
}
