package platform

import "time"

// bucket is a token bucket.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	at     time.Duration
}

func newBucket(rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, tokens: burst}
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

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = rate
}
