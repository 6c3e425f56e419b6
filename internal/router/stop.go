package router

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/shutdown"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// leavingRetryAfter is sent as Retry-After by a VM that stops: the others can serve at once.
	leavingRetryAfter = 50 * time.Millisecond
	// minAnswerTime is for the responses to requests that are given up, if the process comes late.
	minAnswerTime = 50 * time.Millisecond
	// writeTime is for the last response, requestsInterval the interval at which requests are counted.
	writeTime        = 20 * time.Millisecond
	requestsInterval = 10 * time.Millisecond
	// minAuxShutdown lets a response that is being written end.
	minAuxShutdown = 20 * time.Millisecond
)

// takes reports whether the VM, if it is stopping, still serves a request that arrives now.
func (x *exchange) takes() bool {
	s := x.r.shutdown.Load()
	if s == nil {
		return true
	}
	a := shutdown.Arrival{Deadline: x.deadline, Stream: x.req.Route.Kind == routes.Stream}
	x.r.locked(func() {
		if d := x.r.streamDurations[x.req.Service.Name]; d != nil {
			a.Duration = d.Estimate(x.req.AnswerTokens)
		}
	})
	return s.Takes(x.r.clock.now(), a)
}

// recordDuration records a stream that was complete from its first event on, for the estimates of
// a stop.
func (x *exchange) recordDuration() {
	if len(x.ctx.Request.Header.Peek(platform.HeaderLastEventID)) > 0 {
		return
	}
	x.r.locked(func() {
		d := x.r.streamDurations[x.req.Service.Name]
		if d == nil {
			d = &shutdown.Durations{}
			x.r.streamDurations[x.req.Service.Name] = d
		}
		d.Record(time.Since(x.receivedAt), x.req.AnswerTokens)
	})
}

// refuseUnserved refuses a request before any attempt to serve it.
func (r *Router) refuseUnserved(ctx *fasthttp.RequestCtx, fromPeer bool, id string, refusal verdict.Refusal) {
	refusal.Verdict = verdict.NotRun
	r.refuse(ctx, r.log.Info().Str("request", id), refusal)
	ingress.Discard(ctx)
	if fromPeer {
		setPeerRefusal(ctx, refusal.Verdict, refusal.Cause)
	}
}

// beginShutdown sets the schedule and takes the VM out of the directory. The platform may have sent
// the signal at any time since the process ran last.
func (r *Router) beginShutdown() {
	now := r.clock.now()
	delay := now - r.pauses.lastSeen(now)
	s := r.cfg.Shutdown.Plan(now, delay, r.bounds.Load().Grace)
	r.shutdown.Store(&s)
	r.stopping.Store(true)
	r.locked(r.setReached)
	r.log.Info().Int64("requests", r.openRequests.Load()).Dur("sinceLastRun", delay).Dur("exitIn", s.ExitAt-now).Msg("stop: leaving the directory")
}

// drain accepts connections while callers may have the address cached, and returns when the
// last request has ended. Those in progress at Schedule.ExitAt are given up, and their responses
// are written until Schedule.LeaveAt.
func (r *Router) drain(callers *fasthttp.Server) {
	s := r.shutdown.Load()
	time.Sleep(s.CloseAt - r.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), s.ExitAt-r.clock.now())
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err == nil && r.awaitRequests(s.ExitAt) {
		return
	}
	r.giveUpRequests()
	if !r.awaitRequests(max(s.LeaveAt, r.clock.now()+minAnswerTime)) {
		r.log.Warn().Int64("requests", r.openRequests.Load()).Msg("stop: requests are cut by the exit")
	}
	time.Sleep(writeTime) // a request counts as ended before its response is written
}

// awaitRequests waits for the last request to end, and reports whether it did by a time.
func (r *Router) awaitRequests(by time.Duration) bool {
	for r.openRequests.Load() > 0 {
		if r.clock.now() >= by {
			return false
		}
		time.Sleep(requestsInterval)
	}
	return true
}

// giveUpRequests ends the requests in progress. One without a response gets it now; a stream that
// has begun ends with its connection, so that its caller can resume it elsewhere.
func (r *Router) giveUpRequests() {
	r.log.Warn().Int64("requests", r.openRequests.Load()).Msg("stop: grace period exceeded")
	r.cancelRequests(errVMStopping)
}

// closeAuxServers shuts down the other servers, until Schedule.GoneAt or for minAuxShutdown: clients
// of theirs that wait for a response must not keep the process until the platform kills it.
func (r *Router) closeAuxServers() {
	within := min(r.cfg.Shutdown.Margin/2, r.shutdown.Load().GoneAt-r.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), max(within, minAuxShutdown))
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range r.auxServers {
		shutdowns.Go(func() {
			if err := s.ShutdownWithContext(ctx); err != nil {
				r.log.Info().Err(err).Msg("stop: a server still has connections")
			}
		})
	}
	shutdowns.Wait()
}

// awaitTasks waits for tasks, until Schedule.LeaveAt at most.
func (r *Router) awaitTasks(tasks ...*sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		for _, t := range tasks {
			t.Wait()
		}
		close(done)
	}()
	limit := time.NewTimer(r.shutdown.Load().LeaveAt - r.clock.now())
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		r.log.Warn().Msg("stop: calls in progress are abandoned")
	}
}
