package call

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// kind determines the rules by which a request is sent. The kinds from kindHome on have a
// key.
type kind uint8

const (
	// kindIdempotent may run any number of times.
	kindIdempotent kind = iota
	// kindOnce may run at most once and has no key.
	kindOnce
	// kindHome may run at most once; this entry is its key's home.
	kindHome
	// kindForward may run at most once; another entry is its key's home.
	kindForward
	// kindClaim may run at most once; the caller chose its key.
	kindClaim
)

// sendAttempt is one try to send a request to a replica.
type sendAttempt struct {
	try    int
	server ident.BackendServer
	sentAt time.Duration
	// sent is set once Send was emitted, ended once its result is known or not needed.
	sent, ended bool
}

// request is the state of a Request in progress.
type request struct {
	Request
	kind       kind
	acceptedAt time.Duration
	answered   bool
	// mayHaveRun is set once a send may have reached a backend server.
	mayHaveRun bool
	sends      []sendAttempt
	hedged     bool
	lastCause  verdict.Cause // of the last failure

	forward forwardState
	claim   claimState
	// waiters are the ids of retried forwards of the same attempt. They get the same
	// answer.
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

// checkRequest returns a refusal if the request can't be accepted, otherwise nil.
func (c *Core) checkRequest(now time.Duration, r *request) *verdict.Refusal {
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
	case r.kind >= kindHome && r.Forwarded == nil && c.stallDetector.mayHaveWaited(now):
		return refuse(verdict.CauseInternalFailure, c.cfg.BusyRetryAfter, "this entry was stopped and the request may have waited; try another entry")
	case now >= r.Deadline:
		return refuse(verdict.CauseDeadline, 0, "the deadline had passed on arrival")
	case len(c.requests) >= c.cfg.MaxOpen:
		return refuse(verdict.CauseQueueFull, c.cfg.BusyRetryAfter, "too many requests in progress")
	}
	return nil
}

// AtLeastMayHaveRun raises a refusal's verdict from NotRun to MayHaveRun. An entry uses it
// to refuse a request with a key without asking the key's single sender, since another
// entry may have sent the key before.
func AtLeastMayHaveRun(refusal verdict.Refusal) verdict.Refusal {
	refusal.Verdict = verdict.Worse(refusal.Verdict, verdict.MayHaveRun)
	return refusal
}

// recipients returns the ids under which this request is answered.
func (r *request) recipients() []RequestID {
	return append([]RequestID{r.ID}, r.waiters...)
}

// inFlight returns the number of sends that have not ended.
func (r *request) inFlight() int {
	n := 0
	for _, a := range r.sends {
		if a.sent && !a.ended {
			n++
		}
	}
	return n
}

// sendAttempt returns the given try, counted from 1, or nil.
func (r *request) sendAttempt(try int) *sendAttempt {
	if try < 1 || try > len(r.sends) {
		return nil
	}
	return &r.sends[try-1]
}

// isPicking reports whether a PickReplica is unanswered.
func (r *request) isPicking() bool {
	n := len(r.sends)
	return n > 0 && r.sends[n-1].server == ""
}
