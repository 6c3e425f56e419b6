package load

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/report"
)

const (
	// recoveryWindow is the width of the windows over which throughput is measured.
	recoveryWindow = time.Second
	// recoveredRatio is the share of the expected throughput that counts as recovered.
	recoveredRatio = 0.95
	// noiseSigmas is the tolerance below recoveredRatio, in standard deviations of a
	// Poisson count. Answers arrive later than their requests, so a window never holds
	// exactly the answers to its own arrivals.
	noiseSigmas = 1
	// maxBaseline is the longest time before a failure over which the baseline is measured.
	maxBaseline = 10 * time.Second
)

// counts holds the arrivals and successes of a run in buckets of bucketWidth.
type counts struct {
	arrivals  []int
	succeeded []int
}

// measureRecovery measures the throughput dip between a failure at "at" and "until". The
// baseline is the share of the arrivals that succeeded between "from" and the failure. Each
// window after the failure is compared with that share of its own arrivals, because their
// number varies.
func measureRecovery(c counts, from, at, until time.Duration, label string) report.Recovery {
	out := report.Recovery{AtS: at.Seconds(), Label: label, Recovered: true, WorstRatio: 1}
	from = max(from, at-maxBaseline)
	arrivals, successes := sumBuckets(c.arrivals, from, at), sumBuckets(c.succeeded, from, at)
	if successes == 0 || arrivals == 0 || at <= from {
		return out
	}
	out.BeforePerS = float64(successes) / (at - from).Seconds()
	share := float64(successes) / float64(arrivals)
	for start := at; start+recoveryWindow <= until; start += bucketWidth {
		expected := share * float64(sumBuckets(c.arrivals, start, start+recoveryWindow))
		if expected == 0 {
			continue
		}
		n := float64(sumBuckets(c.succeeded, start, start+recoveryWindow))
		out.WorstRatio = min(out.WorstRatio, n/expected)
		if n < recoveredRatio*expected-noiseSigmas*math.Sqrt(expected) {
			out.RecoveryS = (start + bucketWidth - at).Seconds()
			out.Recovered = start+recoveryWindow+bucketWidth <= until
		}
	}
	return out
}

// sumBuckets adds the buckets of [from, to).
func sumBuckets(buckets []int, from, to time.Duration) int {
	n := 0
	for i := int(from / bucketWidth); i < int(to/bucketWidth) && i < len(buckets); i++ {
		n += buckets[i]
	}
	return n
}
