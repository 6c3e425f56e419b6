package dispatch

import (
	"fmt"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// refuseBlocked returns the refusal of a request that is blocked, or whose prompt has a
// blocked part, or nil.
func (c *Core) refuseBlocked(now time.Duration, r *Request) *verdict.Refusal {
	b, blocked := c.Poison.Find(now, r.Subject)
	if !blocked {
		return nil
	}
	cause, what := verdict.CausePromptBlocked, fmt.Sprintf("part %s of the prompt", b.Part)
	if b.Part.IsRequest() {
		cause, what = verdict.CauseRequestBlocked, "this request"
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: min(c.cfg.BlockedRetryAfter, c.Poison.EndsAt(b)-now),
		Detail: fmt.Sprintf("%s crashes backend servers, blocked for %.1f s after %d crashes", what, (now - b.Since).Seconds(), b.Crashes)}
}

// RecordCrash records that the first server of a path reset the run of r, which was sent at
// sentAt, before its second event if it is a stream. It returns what is blocked from now on.
// A server that is leaving ends by plan.
func (c *Core) RecordCrash(now, sentAt time.Duration, r *Request, in backend.Instance) []poison.Block {
	s := c.Backends.Get(in.ID)
	if s == nil || s.State != backend.Ready {
		return nil
	}
	return c.Poison.RecordCrash(now, poison.CutRun{Server: uint32(LoadKey(in)), Subject: r.Subject, SentAt: sentAt, EndedAt: now})
}

// RecordResponse records that a server responded to a request that was sent at sentAt, so
// that it has not crashed before. It returns what is no longer blocked.
func (c *Core) RecordResponse(now, sentAt time.Duration, in backend.Instance) poison.Progress {
	return c.Poison.RecordResponse(now, sentAt, uint32(LoadKey(in)))
}
