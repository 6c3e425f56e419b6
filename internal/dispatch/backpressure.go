package dispatch

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/backpressure"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

func limitKey(in backend.Instance) backpressure.Key { return backpressure.Key(LoadKey(in)) }

// takesRequests reports whether a server's limit, if it has one, lets this VM send it a request
// now.
func (c *Core) takesRequests(now time.Duration, s *backend.Server) bool {
	key := LoadKey(s.Instance())
	return c.Backpressure.Allows(now, backpressure.Key(key), c.Loads.FirstStageShare(now, key))
}

// refuseWithoutFirst returns the refusal of a request for which no path was found if the reason
// is that no server takes it as first stage: all want a pause or have no token left. Its
// Retry-After is the time until the first one does. Otherwise it returns nil.
func (c *Core) refuseWithoutFirst(now time.Duration, r *Request) *verdict.Refusal {
	wait, paused := time.Duration(math.MaxInt64), true
	for _, s := range c.Backends.ByService(r.Service.Name) {
		if s.State != backend.Ready || r.Avoid[s.ID] || (r.Service.Engine != nil && (s.Held.Len() == 0 || s.Held.From > 0)) {
			continue
		}
		key := LoadKey(s.Instance())
		left := c.Backpressure.Wait(now, backpressure.Key(key), c.Loads.FirstStageShare(now, key))
		if left == 0 {
			return nil
		}
		wait = min(wait, left)
		paused = paused && c.Backpressure.Paused(now, backpressure.Key(key)) > 0
	}
	if wait == math.MaxInt64 {
		return nil
	}
	refusal := c.notRun(verdict.CauseNoCapacity, "the servers of "+r.Service.Name+" have named limits that are used up")
	if paused {
		refusal = c.notRun(verdict.CauseBackendPaused, "the servers of "+r.Service.Name+" have asked for a pause")
	}
	refusal.RetryAfter = max(refusal.RetryAfter, wait)
	return refusal
}

// RecordPause records that a server refused a request and asked this VM for a pause.
func (c *Core) RecordPause(now time.Duration, in backend.Instance, pause time.Duration) {
	c.Backpressure.PauseRequested(now, limitKey(in), pause)
}

// Paused reports whether a server wants no request of this VM now.
func (c *Core) Paused(now time.Duration, in backend.Instance) bool {
	return c.Backpressure.Paused(now, limitKey(in)) > 0
}

// Limited reports whether a server names a limit.
func (c *Core) Limited(now time.Duration, in backend.Instance) bool {
	_, limited := c.Backpressure.Limit(now, limitKey(in))
	return limited
}

// RecordLimit records the limit that a response of a server named, in requests per second of
// all VMs together. It reports whether that is new, so that the other VMs need to know.
func (c *Core) RecordLimit(now time.Duration, in backend.Instance, perSecond float64) bool {
	return c.Backpressure.Named(now, limitKey(in), perSecond)
}

// RecordNoLimit records a response of a server that named no limit. It reports whether that
// ended one.
func (c *Core) RecordNoLimit(now time.Duration, in backend.Instance) bool {
	return c.Backpressure.NotNamed(now, limitKey(in))
}

// RecordControlCall counts a report or an order sent to a server, which its limit includes.
func (c *Core) RecordControlCall(in backend.Instance) { c.Backpressure.Sent(limitKey(in)) }

// forgetLimits drops the limits of servers that are gone.
func (c *Core) forgetLimits(now time.Duration) {
	exists := map[backpressure.Key]bool{}
	for _, id := range c.Backends.IDs() {
		exists[limitKey(c.Backends.Get(id).Instance())] = true
	}
	c.Backpressure.Forget(now, func(k backpressure.Key) bool { return exists[k] })
}
