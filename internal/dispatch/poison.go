package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// refuseBlocked returns the refusal of a request that is blocked, or whose prompt has a
// blocked part, or nil.
func (c *Core) refuseBlocked(now time.Duration, r *Request) *verdict.Refusal {
	b, blocked := c.Poison.Find(now, r.Subject)
	if !blocked || r.Trial {
		return nil
	}
	if r.Sends == 0 && c.runsTrialsOf(b.Part) && c.Poison.BeginTrial(now, b.Part) {
		r.Trial = true
		return nil
	}
	cause, what := verdict.CausePromptBlocked, fmt.Sprintf("part %s of the prompt", b.Part)
	if b.Part.IsRequest() {
		cause, what = verdict.CauseRequestBlocked, "this request"
	}
	return &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.BlockedRetryAfter,
		Detail: fmt.Sprintf("%s crashes backend servers, blocked for %.1f s after %d crashes", what, (now - b.Since).Seconds(), b.Crashes)}
}

// runsTrialsOf reports whether this VM is the one that lets a blocked request through: the VMs
// share few trials.
func (c *Core) runsTrialsOf(part poison.Part) bool {
	own := pairFraction(string(part), c.cfg.VM)
	return !slices.ContainsFunc(c.peers, func(p Peer) bool { return pairFraction(string(part), p.VM) < own })
}

// RecordCrash records that the first server of a path reset the run of r, which was sent at
// sentAt, before its second event if it is a stream. It returns what is blocked from now on.
// A server that is leaving ends by plan. A server that was only silent has crashed if its
// record is gone by now, or soon is.
func (c *Core) RecordCrash(now, sentAt time.Duration, r *Request, in backend.Instance, silent bool) []poison.Block {
	s := c.Backends.Get(in.ID)
	gone := s == nil
	if (gone && !silent) || (!gone && s.State != backend.Ready) {
		return nil
	}
	if !silent {
		c.unconfirmed.add(unconfirmedFailure{key: LoadKey(in), service: s.Service, at: now, crash: true})
	}
	return c.Poison.RecordCrash(now, poison.CutRun{Server: uint32(LoadKey(in)), Subject: r.Subject, SentAt: sentAt, EndedAt: now, Doubtful: !gone})
}

// RecordResponse records that a server responded to a request that was sent at sentAt, so
// that it has not crashed before, and that its service can be reached. It returns what that
// changes of the blocked requests.
func (c *Core) RecordResponse(now, sentAt time.Duration, in backend.Instance) poison.Result {
	p := c.Poison.RecordResponse(now, sentAt, uint32(LoadKey(in)))
	if s := c.Backends.Get(in.ID); s != nil {
		c.Reach.Heard(now, s.Service)
	}
	result := c.confirmFailures(now)
	result.New, result.Unblocked = result.New || p.News, p.Unblocked
	return result
}

// ConfirmCrashes removes the doubt about the crashes of servers whose records are gone, and of
// those after which another server has responded.
func (c *Core) ConfirmCrashes(now time.Duration) poison.Result {
	result := c.confirmFailures(now)
	exists := map[uint32]bool{}
	for _, id := range c.Backends.IDs() {
		exists[uint32(LoadKey(c.Backends.Get(id).Instance()))] = true
	}
	gone := c.Poison.Confirm(now, func(server uint32) bool { return !exists[server] })
	result.New = result.New || gone.New
	result.Blocked = append(append(result.Blocked, gone.Blocked...), c.Poison.Judge(now)...)
	return result
}
