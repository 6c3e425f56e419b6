package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// kind says by which rules a request is sent.
type kind uint8

const (
	// kindIdempotent may run any number of times.
	kindIdempotent kind = iota
	// kindOnce may run once and has no key.
	kindOnce
	// kindHome may run once and this entry is its key's home.
	kindHome
	// kindForward may run once and another entry is its key's home.
	kindForward
	// kindClaim may run once under a key that the caller chose.
	kindClaim
)

// attempt is one try to send a request.
type attempt struct {
	try    int
	server ident.BackendServer
	sentAt time.Duration
	// sent is set once Send was emitted, ended once its result is in.
	sent, ended bool
}

// request is a Request in progress.
type request struct {
	Request
	kind     kind
	accepted time.Duration
	answered bool
	// mayHaveRun is set once a send may have reached a backend server.
	mayHaveRun bool
	tries      []attempt
	hedged     bool
	lastCause  verdict.Cause

	forward forwarding
	claim   claiming
	// waiters are forwards of the same attempt, repeated by their entry.
	waiters []RequestID
}

func (c *Core) classify(ev Request) kind {
	if ev.Idempotent {
		return kindIdempotent
	}
	if ev.Key == "" {
		return kindOnce
	}
	key, issued := ParseKey(ev.Key)
	if !issued {
		return kindClaim
	}
	if key.Home == c.cfg.Self {
		return kindHome
	}
	return kindForward
}

// unfit refuses what can't be taken on at all.
func (c *Core) unfit(now time.Duration, r *request) *verdict.Refusal {
	refuse := func(cause verdict.Cause, retryAfter time.Duration, detail string) *verdict.Refusal {
		refusal := verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: retryAfter, Detail: detail}
		if r.kind >= kindHome {
			refusal = AtLeastMayHaveRun(refusal)
		}
		return &refusal
	}
	switch {
	case len(r.Key) > MaxKeyBytes:
		return refuse(verdict.CauseBadRequest, 0, "the idempotency key is longer than 256 bytes")
	case r.Forwarded != nil && r.kind != kindHome:
		return refuse(verdict.CauseKeyHomeGone, 0, "this VM is not the home of the key")
	case r.kind >= kindHome && r.Forwarded == nil && c.stall.suspects(now):
		return refuse(verdict.CauseInternalFailure, c.cfg.BusyRetryAfter, "this entry was stopped and the request may have waited; try another entry")
	case now >= r.Deadline:
		return refuse(verdict.CauseDeadline, 0, "the deadline had passed on arrival")
	case len(c.open) >= c.cfg.MaxOpen:
		return refuse(verdict.CauseQueueFull, c.cfg.BusyRetryAfter, "too many requests in progress")
	}
	return nil
}

// Unsettled is the refusal of a request with a key by an entry that did not ask
// the key's single sender: another entry may have sent the key before.
func AtLeastMayHaveRun(refusal verdict.Refusal) verdict.Refusal {
	refusal.Verdict = verdict.Worse(refusal.Verdict, verdict.MayHaveRun)
	return refusal
}

func (r *request) listeners() []RequestID {
	return append([]RequestID{r.ID}, r.waiters...)
}

// inFlight counts the sends that have not ended.
func (r *request) inFlight() int {
	n := 0
	for _, a := range r.tries {
		if a.sent && !a.ended {
			n++
		}
	}
	return n
}

func (r *request) attempt(try int) *attempt {
	if try < 1 || try > len(r.tries) {
		return nil
	}
	return &r.tries[try-1]
}

// picking reports whether a replica is being chosen.
func (r *request) picking() bool {
	n := len(r.tries)
	return n > 0 && r.tries[n-1].server == ""
}
