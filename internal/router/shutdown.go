package router

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

// shutdown is the schedule of a planned stop. Its times are on the router's clock and count
// from the signal, whatever the store's calls take.
type shutdown struct {
	// lastStreamAt is until when new streams are taken; later ones may not end before exitAt.
	lastStreamAt time.Duration
	// closeAt is when the VM stops listening and closes idle connections.
	closeAt time.Duration
	// exitAt is when requests that are still in progress are cut.
	exitAt time.Duration
}

// planShutdown returns the schedule of a stop that begins now.
func planShutdown(now, grace time.Duration, cfg *Config) shutdown {
	return shutdown{lastStreamAt: now + cfg.LastStreamAfterStop, closeAt: now + cfg.ListenAfterStop, exitAt: now + grace - cfg.StopMargin}
}

// takes reports whether a request that arrives now on an open connection is served: it must
// not be cut by the exit.
func (s shutdown) takes(now, deadline time.Duration, stream bool) bool {
	switch {
	case now >= s.exitAt:
		return false
	case stream:
		return now < s.lastStreamAt
	default:
		return now < s.closeAt || deadline <= s.exitAt
	}
}

// leavingRetryAfter is sent as Retry-After by a VM that stops: the others can serve at once.
const leavingRetryAfter = 50 * time.Millisecond

// takes reports whether the VM, if it is stopping, still serves a request that arrives now.
func (r *Router) takes(deadline time.Duration, stream bool) bool {
	s := r.shutdown.Load()
	return s == nil || s.takes(r.clock.now(), deadline, stream)
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
	s := planShutdown(r.clock.now(), r.bounds.Load().Grace, &r.cfg)
	r.shutdown.Store(&s)
	r.stopping.Store(true)
	r.locked(r.setReached)
	r.log.Info().Int64("requests", r.openRequests.Load()).Msg("stop: leaving the directory")
}

// drain accepts connections while callers may have the address cached, and returns when the
// last request has ended, or at exitAt.
func (r *Router) drain(callers *fasthttp.Server) {
	s := r.shutdown.Load()
	time.Sleep(s.closeAt - r.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), s.exitAt-r.clock.now())
	defer cancel()
	if err := callers.ShutdownWithContext(ctx); err != nil {
		r.log.Warn().Err(err).Int64("requests", r.openRequests.Load()).Msg("stop: grace period exceeded")
		return
	}
	for r.openRequests.Load() > 0 && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// closeAuxServers shuts down the other servers, for StopMargin/2 at most: clients of theirs that
// wait for a response must not keep the process until the platform kills it.
func (r *Router) closeAuxServers() {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.StopMargin/2)
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

// waitUntilExit waits for tasks, but not beyond StopMargin/4 after exitAt.
func (r *Router) waitUntilExit(tasks ...*sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		for _, t := range tasks {
			t.Wait()
		}
		close(done)
	}()
	limit := time.NewTimer(r.shutdown.Load().exitAt + r.cfg.StopMargin/4 - r.clock.now())
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		r.log.Warn().Msg("stop: calls in progress are abandoned")
	}
}
