package backpressure

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/wire"
)

// maxSharedLimits bounds the entries of an Update.
const maxSharedLimits = 64

// Shared is the limit of a server in a message to other VMs.
type Shared struct {
	_ struct{} `cbor:",toarray"`
	// PerSecond is negative if the limit has ended.
	PerSecond float32
	// Age is the time since the server's last response that said so.
	Age time.Duration
}

// UnmarshalCBOR ignores elements that a later build appended.
func (s *Shared) UnmarshalCBOR(body []byte) error {
	return wire.DecodeElements(body, &s.PerSecond, &s.Age)
}

// Update returns the limits that began, changed or ended within Config.ShareTTL.
func (c *Core) Update(now time.Duration) map[Key]Shared {
	var out map[Key]Shared
	for k, l := range c.limits {
		if now-l.changedAt > c.cfg.ShareTTL || len(out) >= maxSharedLimits {
			continue
		}
		if out == nil {
			out = map[Key]Shared{}
		}
		out[k] = Shared{PerSecond: float32(l.perSecond), Age: now - l.at}
	}
	return out
}

// Receive applies another VM's Update and reports whether it changed a limit. Invalid entries
// are ignored.
func (c *Core) Receive(now time.Duration, update map[Key]Shared) (changed bool) {
	for k, s := range update {
		perSecond := float64(s.PerSecond)
		if s.Age < 0 || s.Age > c.cfg.LimitTTL || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || (perSecond < 0 && perSecond != ended) {
			continue
		}
		if l := c.limits[k]; l == nil && perSecond == ended {
			continue
		}
		changed = c.set(now, now-s.Age, k, perSecond) || changed
	}
	return changed
}
