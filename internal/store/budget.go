package store

import "time"

// bucket is a token bucket.
type bucket struct {
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

func newBucket(burst float64) bucket {
	return bucket{burst: burst, tokens: burst}
}

// refill adds the tokens that accrued since the last refill.
func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// take takes one token if at least reserve tokens remain afterwards.
func (b *bucket) take(now time.Duration, reserve float64) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// setRate changes the rate and the burst. It fills the bucket only the first time.
func (b *bucket) setRate(now time.Duration, rate, burst float64) {
	b.refill(now)
	if b.rate == 0 {
		b.tokens = burst
	}
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
