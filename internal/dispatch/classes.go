package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// observeInterval is the interval at which the used capacity of a service is estimated. The
// loads of other VMs change no more often.
const observeInterval = 50 * time.Millisecond

// observedUse is the used share of the usable capacity of a service at a time.
type observedUse struct {
	at    time.Duration
	share float64
}

// observeUse returns the used share of the usable capacity of the service of r, which Classes
// gets too. A request that avoids servers sees less capacity than there is.
func (c *Core) observeUse(now time.Duration, r *Request, candidates []paths.Candidate) float64 {
	last, observed := c.observedUse[r.Service.Name]
	if len(r.Avoid) > 0 || observed && now-last.at < observeInterval {
		return last.share
	}
	share := usedShare(r.Service.Engine, candidates) / c.maxKVShare()
	c.observedUse[r.Service.Name] = observedUse{at: now, share: share}
	c.Classes.Observe(r.Service.Name, share)
	return share
}

// classShare returns the share, 0 to 1, of each server's usable KV cache and slots that r may
// use by its class.
func (c *Core) classShare(now time.Duration, r *Request) float64 {
	if r.Class == nil {
		return 1
	}
	return c.Classes.Share(now, r.Class, r.Begun)
}

// usedShare returns the used share of the KV cache of all candidates in the layer that has the
// least left, or of the slots of the first stages if that is larger.
func usedShare(spec *engine.Spec, candidates []paths.Candidate) float64 {
	used, capacity := make([]float64, spec.Layers+1), make([]float64, spec.Layers+1) // differences between layers
	streams, slots := 0.0, 0.0
	for i := range candidates {
		held := candidates[i].Held
		if held.From < 0 || held.To > spec.Layers || held.Len() == 0 {
			continue
		}
		n := float64(held.Len())
		kv := spec.KVCapacity(candidates[i].Accelerator, held.Len()) / n
		tokens := min(kv, candidates[i].TokenLayers/n)
		used[held.From] += tokens
		used[held.To] -= tokens
		capacity[held.From] += kv
		capacity[held.To] -= kv
		if held.From == 0 && !candidates[i].NotFirst {
			streams += candidates[i].FirstStageStreams
			slots += candidates[i].Slots
		}
	}
	largest := 0.0
	if slots > 0 {
		largest = streams / slots
	}
	usedHere, capacityHere := 0.0, 0.0
	for l := range spec.Layers {
		usedHere += used[l]
		capacityHere += capacity[l]
		if capacityHere > 0 {
			largest = max(largest, usedHere/capacityHere)
		}
	}
	return largest
}

// RefuseByClass counts the refusal of r for lack of capacity and sets its Retry-After to the
// time at which capacity is expected, or bounds it if that is unknown. One that a server named
// stays.
func (c *Core) RefuseByClass(now time.Duration, r *Request, refusal *verdict.Refusal) {
	if r.Class == nil || refusal.Verdict != verdict.NotRun || !lacksCapacity(refusal.Cause) {
		return
	}
	wait, known := c.Classes.Refused(now, r.Class)
	switch {
	case refusal.RetryAfter > c.cfg.RetryAfter:
	case known:
		refusal.RetryAfter = wait
	default:
		refusal.RetryAfter = min(refusal.RetryAfter, c.Classes.RetryAfterLimit(now, r.Class))
	}
}

// lacksCapacity reports whether a request with this cause of refusal may be served once
// capacity comes free.
func lacksCapacity(cause verdict.Cause) bool {
	return cause == verdict.CauseNoCapacity || cause == verdict.CauseBackendRefused || cause == verdict.CauseRetryBudget
}
