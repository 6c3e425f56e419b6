package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// tokenBucket is a token bucket whose capacity is one second of its rate.
type tokenBucket struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	last      time.Time
}

// newTokenBucket returns a full bucket; perSecond 0 means no limit.
func newTokenBucket(perSecond float64) *tokenBucket {
	return &tokenBucket{perSecond: perSecond, tokens: perSecond, last: time.Now()}
}

// take removes n tokens and returns 0, or removes none and returns the time to
// wait. A request for more than the capacity overdraws a full bucket.
func (r *tokenBucket) take(now time.Time, n float64) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	r.last = now
	if required := min(n, r.perSecond); r.tokens < required {
		return time.Duration((required - r.tokens) / r.perSecond * float64(time.Second))
	}
	r.tokens -= n
	return 0
}

// writeRateLimited answers 429 with Retry-After in seconds.
func writeRateLimited(ctx *fasthttp.RequestCtx, wait time.Duration) {
	writeError(ctx, fasthttp.StatusTooManyRequests, "over the rate")
	seconds := max(wait.Seconds(), 0.001)
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
}
