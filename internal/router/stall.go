package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// watchStall starts a timer that detects a silent run: its first server is then asked
// whether the request waits for another server.
func (st *stream) watchStall(ch *dispatch.Choice) {
	limit := st.x.r.cfg.StallTimeout + ch.FirstToken
	firstAddr := ch.Target().Addr
	check := st.checkStall
	if ch.IsPeer() {
		limit, check = st.x.r.cfg.PeerStallTimeout, st.checkPeerStall
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastRead = time.Now()
	run := st.runCount
	st.stallTimer = time.AfterFunc(limit, func() {
		st.x.r.runGuarded("stall watch", st.x.req.ID, func() {
			var next time.Duration
			limit, next = check(firstAddr, limit)
			st.resetStallTimer(run, next)
		})
	})
}

// checkStall asks the first server of a run that has sent no complete event for limit
// whether it waits for another server. It returns the limit of the next check and the time
// until it.
func (st *stream) checkStall(firstAddr string, limit time.Duration) (nextLimit, next time.Duration) {
	r := st.x.r
	st.mu.Lock()
	silent, partial := time.Since(st.lastRead), st.partialFor(time.Now())
	st.mu.Unlock()
	if partial > r.cfg.PartialEventTimeout {
		if st.leaveRun(firstAddr, "its event does not end") {
			return limit, limit
		}
	}
	if silent < limit {
		return limit, min(limit-silent, r.cfg.PartialEventTimeout)
	}
	if faultAddr := r.stalledOn(firstAddr, st.x.req.ID); faultAddr != "" {
		r.recordLost(faultAddr)
		st.moveOffLost(faultAddr)
		return limit, min(limit, r.cfg.PartialEventTimeout)
	}
	r.requestSlowdowns(st.choice())
	if silent < limit+r.cfg.MaxReportAge {
		return limit, r.cfg.MaxReportAge // the report may be older than the stall: ask again
	}
	limit *= 2 // slow, not stalled: ask less often, since each report request has a cost
	return limit, min(limit, r.cfg.PartialEventTimeout)
}

// checkPeerStall cancels a run through another VM that has sent no event for limit, unless that VM
// is there and not cut off from the servers: then it waits for one of them, and moves the run itself.
func (st *stream) checkPeerStall(addr string, limit time.Duration) (nextLimit, next time.Duration) {
	st.mu.Lock()
	silent := time.Since(st.lastRead)
	st.mu.Unlock()
	if silent < limit {
		return limit, limit - silent
	}
	if ch := st.choice(); ch.IsPeer() && st.x.r.keepsRuns(ch, st.x.req.Service.Name) {
		return limit, limit
	}
	st.leaveRun(addr, "the VM that it was passed on to is silent")
	return limit, limit
}

// keepsRuns reports whether another VM keeps the runs of a service that were passed on to it.
func (r *Router) keepsRuns(ch *dispatch.Choice, service string) bool {
	cutOff := false
	r.locked(func() { cutOff = r.core.PeerCutOff(r.clock.now(), ch.PeerVM(), service) })
	if cutOff {
		return false
	}
	_, err := r.peerCache.get(ch.Target().Addr, r.cfg.MaxReportAge, r.callPeer)
	return err == nil
}

// callPeer calls another VM on a new connection. Any response shows that it is there.
func (r *Router) callPeer(addr string) (struct{}, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/")
	err := r.controlClient.Do(addr, req, resp, httpcall.Within(r.cfg.Dispatch.Reach.ProbeTimeout).WithNewConnection())
	return struct{}{}, err
}

// partialFor returns how long the stream has waited for the rest of an event, zero if it does
// not. The caller holds st.mu.
func (st *stream) partialFor(now time.Time) time.Duration {
	if st.partialSince.IsZero() {
		return 0
	}
	return now.Sub(st.partialSince)
}

// leaveRun cancels the run because of the server at faultAddr, if the stream's next run is reserved.
// Otherwise it reports false and the stream keeps its run: only its server may then end it.
func (st *stream) leaveRun(faultAddr, why string) bool {
	x := st.x
	silent := st.silentFor()
	run, ch := st.currentRun()
	if ch == nil || !usesServer(ch, faultAddr) {
		return true // the doubt was of an earlier run, or of an earlier path
	}
	next, refusal := x.chooseSuccessor(ch, faultAddr)
	if refusal != nil {
		st.logKeptRun(faultAddr, why, silent, refusal)
		return false
	}
	if !st.cancelRunFor(next, run, faultAddr) {
		x.release(next)
		return true
	}
	x.r.log.Info().Str("request", x.req.ID).Str("addr", faultAddr).Dur("silent", silent).Str("why", why).Str("next", string(next.Target().Instance.ID)).Msg("run cancelled")
	return true
}

// currentRun returns the number of the run in progress and its choice, nil if there is none.
func (st *stream) currentRun() (run int, ch *dispatch.Choice) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded {
		return st.runCount, nil
	}
	return st.runCount, st.result.choice
}

// cancelRunFor cancels a run because of the server at faultAddr, to go on over next. It reports false if
// the run has ended meanwhile, or is already cancelled.
func (st *stream) cancelRunFor(next *dispatch.Choice, run int, faultAddr string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded || st.runCount != run || st.successor != nil {
		return false
	}
	st.successor = next
	st.cancelRun(&stalledError{faultAddr: faultAddr})
	return true
}

// takeSuccessor returns the choice that was reserved for the next run, or nil.
func (st *stream) takeSuccessor() *dispatch.Choice {
	st.mu.Lock()
	defer st.mu.Unlock()
	next := st.successor
	st.successor = nil
	return next
}

// isKept reports whether the run is known to be kept although it may be lost.
func (st *stream) isKept() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.keptRun == st.runCount
}

// logKeptRun logs once for each run that it is kept although it may be lost.
func (st *stream) logKeptRun(faultAddr, why string, silent time.Duration, refusal *verdict.Refusal) {
	st.mu.Lock()
	logged := st.keptRun == st.runCount
	st.keptRun = st.runCount
	st.mu.Unlock()
	if !logged {
		st.x.r.log.Info().Str("request", st.x.req.ID).Str("addr", faultAddr).Dur("silent", silent).Str("why", why).Str("cause", string(refusal.Cause)).Str("detail", refusal.Detail).Msg("run kept: the stream can't run elsewhere")
	}
}

// resetStallTimer restarts the timer of a run, unless that run is over: the timer may by
// then belong to another run.
func (st *stream) resetStallTimer(run int, after time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.runEnded && st.runCount == run {
		st.stallTimer.Reset(after)
	}
}

// moveOffLost moves the stream off a lost server: its stage is given to other servers while
// the run continues. If that fails, the run is cancelled and resumed elsewhere. If nothing can take
// over, the run is kept, and both are tried again until its server ends it.
func (st *stream) moveOffLost(faultAddr string) {
	if !st.moveOff(faultAddr, true) && !st.leaveRun(faultAddr, "a server of its path is lost") {
		st.retryMoveLater(faultAddr)
	}
}

// moveOffSlow gives the stage of a slow server to other servers. The first server cannot be
// replaced within a run, so if it is the slow one, the run is cancelled, provided that
// another server can take the request. If neither is possible, the stream stays.
func (st *stream) moveOffSlow(addr string) {
	if st.choice().Target().Addr != addr {
		if !st.moveOff(addr, false) {
			st.x.r.log.Info().Str("request", st.x.req.ID).Str("addr", addr).Msg("stream stays on a slow server")
		}
		return
	}
	if !st.begun() {
		st.runElsewhere(addr)
	}
}

// moveOffReleased leaves a server that releases the stream's layers. The server would wait
// for the stream, sometimes for many seconds, before it loads its new layers.
func (st *stream) moveOffReleased(addr string) {
	if st.choice().Target().Addr != addr {
		st.moveOff(addr, false)
		return
	}
	st.runElsewhere(addr)
}

// runElsewhere cancels the run because of its first server, at addr, if another server can
// take the request over now. The stream then continues after its last event.
func (st *stream) runElsewhere(addr string) {
	st.leaveRun(addr, "its first server is slow or releases its layers")
}

// moveOff gives the stage of the server at addr to other servers. It reports false if that
// failed, and true if it was done or there was nothing to do. If another change of the path is
// in progress, a lost server is left after it: servers often fail together.
func (st *stream) moveOff(addr string, lost bool) bool {
	st.mu.Lock()
	old := st.result.choice
	if st.runEnded || st.repathing || !usesServer(old, addr) {
		if st.repathing && lost {
			st.alsoLost = append(st.alsoLost, addr)
		}
		st.mu.Unlock()
		return true
	}
	st.repathing = true
	st.mu.Unlock()

	next := st.repath(old, addr)

	st.mu.Lock()
	st.repathing = false
	moved := next != nil && !st.runEnded
	if moved {
		st.result.choice = next
		st.lastRead = time.Now()
	}
	alsoLost := st.alsoLost
	st.alsoLost = nil
	st.mu.Unlock()
	defer func() {
		for _, other := range alsoLost {
			st.moveOffLost(other)
		}
	}()
	switch {
	case moved:
		st.x.release(old)
	case next != nil:
		st.x.release(next)
	default:
		return false
	}
	return true
}

// maxRepaths bounds the attempts to change the path of a stream. Each refusal names a
// further server to exclude.
const maxRepaths = 3

// repath finds other servers for the stage of the server at faultAddr and orders the first
// server to use them. It returns nil if either fails.
func (st *stream) repath(old *dispatch.Choice, faultAddr string) *dispatch.Choice {
	x := st.x
	log := x.r.log.With().Str("request", x.req.ID).Str("fault", faultAddr).Logger()
	for range maxRepaths {
		next := x.replace(old, faultAddr)
		if next == nil {
			if !st.isKept() { // each attempt would repeat it
				log.Info().Msg("stream stays where it is: nobody else has room for its layers")
			}
			return nil
		}
		status, refusedBy, err := x.r.orderRepath(next, x.req.ID)
		if err == nil && status/100 == 2 {
			x.r.metrics.repathed.Inc()
			log.Info().Str("path", platform.EncodePath(next.Stages)).Msg("stream goes on over another path")
			return next
		}
		x.release(next)
		if err == nil {
			x.r.metrics.repathRefused.Inc()
		}
		log.Info().Err(err).Int("status", status).Str("at", refusedBy).Msg("stream stays where it is: order to change its path refused")
		if err != nil || refusedBy == "" || !x.avoidServer(refusedBy) {
			return nil
		}
		x.recordRefusedChange(refusedBy)
	}
	return nil
}

// layersReleased reports whether the server at addr is on the path and held no longer
// covers its stage.
func (st *stream) layersReleased(addr string, held backend.Layers) bool {
	for _, stage := range st.choice().Stages {
		if stage.Addr == addr {
			return !held.Contains(stage.Layers)
		}
	}
	return false
}

// usesServer reports whether the path of ch includes the server at addr.
func usesServer(ch *dispatch.Choice, addr string) bool {
	_, uses := ch.StageAt(addr)
	return uses
}

// orderRepath orders the first server of a path to continue a request over that path.
func (r *Router) orderRepath(ch *dispatch.Choice, requestID string) (status int, faultAddr string, err error) {
	if addr := ch.Target().Addr; r.paused(addr) {
		return 0, "", errors.Wrap(errServerPaused, addr)
	}
	body, err := platform.EncodeRepathOrder(requestID, ch.Stages)
	if err != nil {
		return 0, "", err
	}
	status, faultAddr, err = r.postOrder(ch.Target().Instance.ID, ch.Target().Addr, body, nil)
	switch how, isFailure := failureOf(err); {
	case err == nil && faultAddr != "":
		r.suspect(faultAddr, detector.Refusal)
	case err != nil && isFailure && how == reach.NoConnection:
		r.suspect(ch.Target().Addr, detector.Reset)
	}
	return status, faultAddr, err
}

// stalledError is the cause of a run cancelled because of the server at faultAddr.
type stalledError struct{ faultAddr string }

func (e *stalledError) Error() string { return "the run waits for the server at " + e.faultAddr }

// faultAddrOf returns the address of the server that caused the end of a run: the server
// that the run waited for, "" if the caller left, otherwise firstAddr, the first server's.
func faultAddrOf(runCtx context.Context, firstAddr string) string {
	var s *stalledError
	switch cause := context.Cause(runCtx); {
	case cause == nil:
		return firstAddr
	case errors.As(cause, &s):
		return s.faultAddr
	default:
		return ""
	}
}

// stalledOn asks the first server of a path for the address of the server that a request
// waits for; "" if there is none or the report could not be read.
func (r *Router) stalledOn(firstAddr, requestID string) string {
	rep, err := r.cachedReport(firstAddr)
	if err != nil {
		r.log.Info().Err(err).Str("addr", firstAddr).Msg("reading a server's report failed")
		r.recordReportFailed(firstAddr, err)
		return ""
	}
	r.recordSlowdown(firstAddr, rep.SlowdownFactor)
	return rep.Stalled[requestID]
}

// requestSlowdowns asks the servers on the path of a late stream for their slowdown
// factors, except those that were asked recently.
func (r *Router) requestSlowdowns(ch *dispatch.Choice) {
	for _, stage := range ch.Stages {
		r.mu.Lock()
		allowed := r.core.Backends.AllowSlowdownRequest(r.clock.now(), stage.Instance)
		r.mu.Unlock()
		if !allowed {
			continue
		}
		rep, err := r.cachedReport(stage.Addr)
		if err != nil {
			r.log.Info().Err(err).Str("addr", stage.Addr).Msg("reading a server's report failed")
			continue
		}
		r.recordSlowdown(stage.Addr, rep.SlowdownFactor)
	}
}

// recordSlowdown records the slowdown factor that a server reports and, from
// SlowdownThreshold on, moves waiting streams off the server.
func (r *Router) recordSlowdown(addr string, slowdown float64) {
	var s *backend.Server
	isNew := false
	r.locked(func() {
		s = r.core.Backends.ByAddr(addr)
		isNew = s != nil && r.core.RecordSlowdown(r.clock.now(), s.Instance(), slowdown)
	})
	if !isNew {
		return
	}
	r.log.Info().Str("server", string(s.ID)).Str("addr", addr).Float64("slowX", slowdown).Msg("backend server's pace")
	if slowdown >= r.cfg.SlowdownThreshold {
		r.moveOffSlow([]string{addr})
	}
}

// streamTable holds the streams in progress, to find those that use a given server.
type streamTable struct {
	mu     sync.Mutex
	active map[*stream]struct{}
}

func newStreamTable() *streamTable { return &streamTable{active: map[*stream]struct{}{}} }

func (t *streamTable) add(st *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[st] = struct{}{}
}

func (t *streamTable) remove(st *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, st)
}

// through returns the streams whose path includes the server at addr.
func (t *streamTable) through(addr string) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for st := range t.active {
		if ch := st.choice(); ch != nil && usesServer(ch, addr) {
			out = append(out, st)
		}
	}
	return out
}
