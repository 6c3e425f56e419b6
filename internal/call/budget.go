package call

import "time"

// budget bounds the extra sends that retries and hedges make to a share of the
// first ones, with a bounded reserve.
type budget struct {
	share float64
	most  float64
	saved float64
}

// earn counts a first send.
func (b *budget) earn() { b.saved = min(b.most, b.saved+b.share) }

// spend takes one extra send, if the budget has one.
func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

const (
	latencyQuantile = 0.95
	latencyStep     = 0.05
	maxServices     = 1024
)

// observe moves the estimate of the service's 95th percentile by stochastic
// approximation: up by step*q on a larger sample, down by step*(1-q) otherwise.
func (c *Core) observe(r *request, took time.Duration) {
	estimate, ok := c.latency[r.Service]
	if !ok {
		if len(c.latency) < maxServices {
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

// hedgeAfter is the wait before a late call to the service is hedged.
func (c *Core) hedgeAfter(r *request) time.Duration {
	return max(c.cfg.MinHedge, 2*c.latency[r.Service])
}
