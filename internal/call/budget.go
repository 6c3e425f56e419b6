package call

import "time"

// budget is a token bucket that bounds the extra sends of retries and hedges to a share of
// the first sends.
type budget struct {
	share     float64 // tokens per first send
	limit     float64 // size of the bucket
	available float64
}

// deposit adds the share of one first send.
func (b *budget) deposit() { b.available = min(b.limit, b.available+b.share) }

// withdraw takes one extra send and reports whether the budget allowed it.
func (b *budget) withdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

const (
	latencyQuantile = 0.95
	// latencyStep is the step size of the latency estimate, as a share of it.
	latencyStep = 0.05
	// maxTrackedServices bounds the services with a latency estimate.
	maxTrackedServices = 1024
)

// recordLatency updates the estimate of the service's 95th percentile of reply times by
// stochastic approximation: up by step*q for a larger sample, down by step*(1-q)
// otherwise.
func (c *Core) recordLatency(r *request, took time.Duration) {
	estimate, ok := c.latency[r.Service]
	if !ok {
		if len(c.latency) < maxTrackedServices {
			c.latency[r.Service] = took
		}
		return
	}
	step := -latencyStep * (1 - latencyQuantile)
	if took > estimate {
		step = latencyStep * latencyQuantile
	}
	c.latency[r.Service] = max(time.Millisecond, estimate+time.Duration(step*float64(estimate)))
}

// hedgeDelay returns the wait after a send before the call is hedged.
func (c *Core) hedgeDelay(r *request) time.Duration {
	return max(c.cfg.MinHedgeDelay, 2*c.latency[r.Service])
}
