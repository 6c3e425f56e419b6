package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/platform"
)

// watchStall looks after a run that has been silent for long: its first server is
// asked whether the request waits for another one.
func (st *stream) watchStall(ch *dispatch.Choice) {
	limit := st.x.r.cfg.Stalled + ch.FirstToken
	first := ch.Target().Addr
	st.touch()
	st.mu.Lock()
	defer st.mu.Unlock()
	run := st.runs
	st.stall = time.AfterFunc(limit, func() {
		st.mu.Lock()
		silent := time.Since(st.heard)
		st.mu.Unlock()
		if silent < limit {
			st.watchAgain(run, limit-silent)
			return
		}
		if fault := st.x.r.stalledAt(first, st.x.req.ID); fault != "" {
			st.x.r.lost(fault)
			st.leave(fault)
		} else {
			limit *= 2 // slow, not stalled: a question is priced
			st.x.r.askPaces(st.choice())
		}
		st.watchAgain(run, limit)
	})
}

// watchAgain sets the watch of a run anew, unless that run is over: the timer may
// by then be another run's.
func (st *stream) watchAgain(run int, after time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.ended && st.runs == run {
		st.stall.Reset(after)
	}
}

// leave takes the stream off a lost server: its part of the path is given to
// others while the run goes on; where that fails the run is ended, and resumed
// elsewhere.
func (st *stream) leave(fault string) {
	if !st.move(fault) {
		st.mu.Lock()
		run := st.run
		st.mu.Unlock()
		run(&stalledError{fault: fault})
	}
}

// leaveSlow gives the part of a slow server to others, or ends the run on a slow
// first server where another can take the request. Where that fails the stream
// waits.
func (st *stream) leaveSlow(addr string) {
	first := st.choice().Target()
	if first.Addr != addr {
		if !st.move(addr) {
			st.x.r.log.Info().Str("request", st.x.req.ID).Str("addr", addr).Msg("stream stays on a slow server")
		}
		return
	}
	x := st.x
	x.r.mu.Lock()
	elsewhere := x.r.core.CanSendElsewhere(x.r.clock.now(), &x.req, first.Instance.ID)
	x.r.mu.Unlock()
	if !elsewhere || st.begun() {
		return
	}
	st.mu.Lock()
	run := st.run
	st.mu.Unlock()
	run(&stalledError{fault: addr})
}

// move gives the part of a server to others and reports whether there was nothing
// to do or it was done.
func (st *stream) move(addr string) bool {
	st.mu.Lock()
	old := st.send.choice
	if st.ended || st.moving || !passes(old, addr) {
		st.mu.Unlock()
		return true
	}
	st.moving = true
	st.mu.Unlock()

	next := st.repath(old, addr)

	st.mu.Lock()
	st.moving = false
	moved := next != nil && !st.ended
	if moved {
		st.send.choice = next
	}
	st.heard = time.Now()
	st.mu.Unlock()
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

// maxRepaths bounds the tries to change the path of a stream: each refusal names a
// further server to do without.
const maxRepaths = 3

// repath finds others for the part of a lost server and orders the first server to
// use them. It returns nil where either fails.
func (st *stream) repath(old *dispatch.Choice, fault string) *dispatch.Choice {
	x := st.x
	log := x.r.log.With().Str("request", x.req.ID).Str("fault", fault).Logger()
	for range maxRepaths {
		x.r.mu.Lock()
		next := x.r.core.Replace(x.r.clock.now(), &x.req, old, fault)
		x.r.mu.Unlock()
		if next == nil {
			log.Info().Msg("stream stays where it is: nobody else has room for its layers")
			return nil
		}
		status, at, err := x.r.repath(next, x.req.ID)
		if err == nil && status/100 == 2 {
			x.r.met.repathed.Inc()
			log.Info().Str("path", platform.EncodePath(next.Stages)).Msg("stream goes on over another path")
			return next
		}
		x.release(next)
		log.Info().Err(err).Int("status", status).Str("at", at).Msg("stream stays where it is: order to change its path refused")
		if err != nil || at == "" || !x.avoid(at) {
			return nil
		}
	}
	return nil
}

// givenUp reports whether the server at addr, where it is not the first, holds the
// stream's layers no more.
func (st *stream) givenUp(addr string, held backend.Layers) bool {
	ch := st.choice()
	for i, p := range ch.Stages {
		if p.Addr == addr {
			return i > 0 && !held.Contains(p.Layers)
		}
	}
	return false
}

func passes(ch *dispatch.Choice, addr string) bool {
	for _, p := range ch.Stages {
		if p.Addr == addr {
			return true
		}
	}
	return false
}

// repath orders the first server of a path to go on with a request over it.
func (r *Router) repath(ch *dispatch.Choice, requestID string) (status int, fault string, err error) {
	body, err := platform.EncodeRepathOrder(requestID, ch.Stages)
	if err != nil {
		return 0, "", err
	}
	return r.order(ch.Target().Addr, body)
}

// stalledError says that a run waits for the server at fault.
type stalledError struct{ fault string }

func (e *stalledError) Error() string { return "the run waits for the server at " + e.fault }

// faultOf is the address of the server to blame for a run on first that ended:
// the one that the run waited for, none where the caller left, otherwise first.
func faultOf(run context.Context, first string) string {
	var s *stalledError
	switch cause := context.Cause(run); {
	case cause == nil:
		return first
	case errors.As(cause, &s):
		return s.fault
	default:
		return ""
	}
}

// stalledAt asks an engine which server a request waits for.
func (r *Router) stalledAt(first, requestID string) string {
	rep, err := r.report(first)
	if err != nil {
		r.log.Info().Err(err).Str("addr", first).Msg("report not read")
		return ""
	}
	r.paced(first, rep.SlowdownFactor)
	return rep.Stalled[requestID]
}

// askPaces asks the servers of a path on which a stream is late whether they are
// slow, but for those that were asked lately.
func (r *Router) askPaces(ch *dispatch.Choice) {
	for _, p := range ch.Stages {
		r.mu.Lock()
		may := r.core.Backends.AllowReportRequest(r.clock.now(), p.Instance)
		r.mu.Unlock()
		if !may {
			continue
		}
		rep, err := r.report(p.Addr)
		if err != nil {
			r.log.Info().Err(err).Str("addr", p.Addr).Msg("report not read")
			continue
		}
		r.paced(p.Addr, rep.SlowdownFactor)
	}
}

// paced takes in a server's own word of its pace.
func (r *Router) paced(addr string, slowX float64) {
	r.mu.Lock()
	s := r.core.Backends.ByAddr(addr)
	news := s != nil && r.core.RecordSlowdown(r.clock.now(), s.Instance(), slowX)
	r.mu.Unlock()
	if !news {
		return
	}
	r.log.Info().Str("server", string(s.ID)).Str("addr", addr).Float64("slowX", slowX).Msg("backend server's pace")
	if slowX >= r.cfg.LeaveSlow {
		r.leaveSlow([]string{addr})
	}
}

// streamTable holds the streams in progress, to find those that pass a lost
// server.
type streamTable struct {
	mu  sync.Mutex
	all map[*stream]struct{}
}

func newStreamTable() *streamTable { return &streamTable{all: map[*stream]struct{}{}} }

func (t *streamTable) add(st *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[st] = struct{}{}
}

func (t *streamTable) remove(st *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, st)
}

// over returns the streams whose path passes addr.
func (t *streamTable) over(addr string) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for st := range t.all {
		if ch := st.choice(); ch != nil && passes(ch, addr) {
			out = append(out, st)
		}
	}
	return out
}
