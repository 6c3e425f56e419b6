package store

import "time"

// bucket is a token bucket.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	at     time.Duration
}

func newBucket(burst float64) bucket {
	return bucket{burst: burst, tokens: burst}
}

// refill adds what has accrued since the last call.
func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take takes one token if more than keep would be left.
func (b *bucket) take(now time.Duration, keep float64) bool {
	b.refill(now)
	if b.tokens < 1+keep {
		return false
	}
	b.tokens--
	return true
}

// set changes the rate and the burst from now on. Only the first time the
// bucket is full at once.
func (b *bucket) set(now time.Duration, rate, burst float64) {
	b.refill(now)
	if b.rate == 0 {
		b.tokens = burst
	}
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
