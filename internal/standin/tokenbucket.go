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

// take removes n tokens and returns 0. If there are too few, it removes none and returns
// the time to wait. An n above the capacity needs only a full bucket and overdraws it.
func (b *tokenBucket) take(now time.Time, n float64) time.Duration {
	if b.perSecond == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.last).Seconds()*b.perSecond)
	b.last = now
	if required := min(n, b.perSecond); b.tokens < required {
		return time.Duration((required - b.tokens) / b.perSecond * float64(time.Second))
	}
	b.tokens -= n
	return 0
}

// writeRateLimited responds with 429 and Retry-After in fractional seconds.
func writeRateLimited(ctx *fasthttp.RequestCtx, wait time.Duration) {
	writeError(ctx, fasthttp.StatusTooManyRequests, "rate limit exceeded")
	seconds := max(wait.Seconds(), 0.001)
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
}
