package router

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	// suspectInterval is the interval at which a suspect looks whether it may be sent.
	suspectInterval = 10 * time.Millisecond
	// maxTurn bounds how long one suspect keeps the others waiting: a server may be silent.
	maxTurn = 400 * time.Millisecond
	// suspectRetryAfter is the Retry-After time of a suspect that could not be sent in time.
	suspectRetryAfter = 500 * time.Millisecond
)

// awaitTurn holds a plain request that may have crashed a backend server, or repeats one that
// may have, until it may be sent. A VM sends one of them at a time, so that the next crash
// shows which one it was. It returns the refusal if that takes longer than SuspectWait.
func (x *exchange) awaitTurn() *verdict.Refusal {
	start := time.Now()
	deadline := start.Add(min(x.r.cfg.SuspectWait, x.timeLeft()))
	for !x.beginTurn() {
		if x.abandoned() || time.Now().After(deadline) {
			return &verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseRequestSuspect, RetryAfter: suspectRetryAfter,
				Detail: "requests that may crash backend servers are sent one at a time"}
		}
		time.Sleep(suspectInterval)
	}
	if waited := time.Since(start); waited >= suspectInterval {
		x.r.log.Info().Str("request", x.req.ID).Str("fingerprint", x.fingerprint).Dur("waited", waited).Bool("suspect", x.turnUntil > 0).Msg("waited after a crash that the request may have caused")
	}
	return nil
}

// beginTurn reports whether the request may be sent now. A suspect then holds the VM's turn
// until endTurn or maxTurn.
func (x *exchange) beginTurn() bool {
	r := x.r
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.now()
	if _, blocked := r.core.Poison.Find(now, x.req.Subject); blocked {
		return true // to be refused, or tried
	}
	at, suspect := r.core.Poison.SendAfter(x.req.Subject.Request)
	switch {
	case !suspect:
		return true
	case now < at || now < r.turnUntil:
		return false
	}
	r.turnUntil = now + maxTurn
	x.turnUntil = r.turnUntil
	return true
}

// endTurn lets the next suspect be sent.
func (x *exchange) endTurn() {
	x.r.locked(func() {
		if x.turnUntil == x.r.turnUntil {
			x.r.turnUntil = 0
		}
	})
	x.turnUntil = 0
}
