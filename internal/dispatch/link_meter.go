package dispatch

import "time"

const (
	// linkWindow is the sliding window over which tokens that cross failure domains
	// are counted, in linkBuckets buckets. A burst may fill the whole window at once and
	// then waits that long for the link; the first event is due within 500 ms.
	linkWindow  = 400 * time.Millisecond
	linkBuckets = 8
	// maxLinkShare is the usable share of the cross-domain link. Transfers are
	// serialized, so near saturation every path that crosses domains stalls.
	maxLinkShare = 0.85
)

// linkMeter counts the tokens that this VM's requests send over the cross-domain link.
// Prompt and answer are both counted when a request is sent, because the prompt crosses
// the link at once.
type linkMeter struct {
	buckets [linkBuckets]struct {
		index  int64
		tokens float64
	}
}

// add counts tokens in the bucket of now.
func (m *linkMeter) add(now time.Duration, tokens float64) {
	index := int64(now / (linkWindow / linkBuckets))
	b := &m.buckets[index%linkBuckets]
	if b.index != index {
		b.index, b.tokens = index, 0
	}
	b.tokens += tokens
}

// rate returns the tokens per second over the last window.
func (m *linkMeter) rate(now time.Duration) float64 {
	oldest := int64(now/(linkWindow/linkBuckets)) - linkBuckets + 1
	sum := 0.0
	for _, b := range m.buckets {
		if b.index >= oldest {
			sum += b.tokens
		}
	}
	return sum / linkWindow.Seconds()
}
