package detector

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) refill(now time.Duration, perSecond, burst float64) {
	b.tokens = min(burst, b.tokens+perSecond*(now-b.at).Seconds())
	b.at = now
}

// after returns when the bucket holds the given number of tokens.
func (b *bucket) after(now time.Duration, perSecond, tokens float64) time.Duration {
	if b.tokens >= tokens {
		return now
	}
	return now + time.Duration((tokens-b.tokens)/perSecond*float64(time.Second)) + time.Microsecond
}
