package router

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// leavingRetryAfter is sent as Retry-After by a VM that stops: the others can serve at once.
const leavingRetryAfter = 50 * time.Millisecond

// takes reports whether the VM, if it is stopping, still serves a request that arrives now.
func (r *Router) takes(deadline time.Duration, stream bool) bool {
	s := r.shutdown.Load()
	return s == nil || s.Takes(r.clock.now(), deadline, stream)
}

// refuseUnserved refuses a request before any attempt to serve it.
func (r *Router) refuseUnserved(ctx *fasthttp.RequestCtx, fromPeer bool, id string, refusal verdict.Refusal) {
	refusal.Verdict = verdict.NotRun
	r.refuse(ctx, r.log.Info().Str("request", id), refusal)
	if fromPeer {
		setPeerRefusal(ctx, refusal.Verdict, refusal.Cause)
	}
}

// beginShutdown sets the schedule and takes the VM out of the directory.
func (r *Router) beginShutdown() {
	s := r.cfg.Shutdown.Plan(r.clock.now(), r.bounds.Load().Grace)
	r.shutdown.Store(&s)
	r.stopping.Store(true)
	r.locked(r.setReached)
	r.log.Info().Int64("requests", r.openRequests.Load()).Msg("stop: leaving the directory")
}

// drain accepts connections while callers may have the address cached, and returns when the
// last request has ended, or at Schedule.ExitAt.
func (r *Router) drain(callers *fasthttp.Server) {
	s := r.shutdown.Load()
	time.Sleep(s.CloseAt - r.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), s.ExitAt-r.clock.now())
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		r.log.Warn().Err(err).Int64("requests", r.openRequests.Load()).Msg("stop: grace period exceeded")
		return
	}
	for r.openRequests.Load() > 0 && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// closeAuxServers shuts down the other servers, for half of the margin at most: clients of theirs
// that wait for a response must not keep the process until the platform kills it.
func (r *Router) closeAuxServers() {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Shutdown.Margin/2)
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
