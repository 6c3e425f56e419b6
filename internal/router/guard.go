package router

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

var errPanic = errors.New("internal error")

// locked runs f while holding mu. The lock is released also if f panics, so that the rest
// of the process can go on.
func (r *Router) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// guard runs f and turns a panic into a log line and an error: one malformed message or
// request must not end the process and all the other requests with it.
func (r *Router) guard(task, subject string, f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.metrics.panics.Inc()
			r.log.Error().Str("task", task).Str("subject", subject).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("internal error: the task was abandoned")
			err = errPanic
		}
	}()
	f()
	return nil
}

// runGuarded is guard for tasks whose only consequence of a panic is the log line.
func (r *Router) runGuarded(task, subject string, f func()) {
	_ = r.guard(task, subject, f) // logged by guard
}
