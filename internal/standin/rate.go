package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// rate is a token bucket that holds one second's worth.
type rate struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	last      time.Time
}

// newRate returns a bucket; perSecond 0 is no limit.
func newRate(perSecond float64) *rate {
	return &rate{perSecond: perSecond, tokens: perSecond, last: time.Now()}
}

// take takes n tokens and returns 0, or takes none and returns how long to
// wait. A request for more than the bucket holds may overdraw a full bucket.
func (r *rate) take(now time.Time, n float64) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	r.last = now
	if need := min(n, r.perSecond); r.tokens < need {
		return time.Duration((need - r.tokens) / r.perSecond * float64(time.Second))
	}
	r.tokens -= n
	return 0
}

// overRate answers 429 with Retry-After.
func overRate(ctx *fasthttp.RequestCtx, wait time.Duration) {
	fail(ctx, fasthttp.StatusTooManyRequests, "over the rate")
	seconds := max(wait.Seconds(), 0.001)
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
}
