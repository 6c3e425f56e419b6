package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// EstimatedStreams returns the streams that new requests are assumed to meet at each server.
func (c *Core) EstimatedStreams(now time.Duration, r *Request) map[backend.ID]float64 {
	out := map[backend.ID]float64{}
	for _, candidate := range c.candidates(now, r) {
		out[candidate.Instance.ID] = candidate.Streams
	}
	return out
}
