package load

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/report"
)

const (
	// recoveryWindow is the width of the windows in which throughput is taken.
	recoveryWindow = time.Second
	// recoveredShare is the part of the throughput before that counts as
	// recovered.
	recoveredShare = 0.95
	// noiseSigmas is how many standard deviations of a Poisson count a window
	// may lie below that without counting as a dip. Answers come later than
	// their requests, so a window never holds just the answers to its arrivals.
	noiseSigmas = 1
	// beforeMax is how much of the run before a failure is looked at.
	beforeMax = 10 * time.Second
)

// counts are the arrivals and the successes of a run, by bucket.
type counts struct {
	planned   []int
	succeeded []int
}

// recovery looks for the dip between a failure at "at" and "until". Each window
// that lies wholly after the failure is compared with the successes that its own
// arrivals would have had before it, from "from" on: arrivals vary by themselves.
func recovery(c counts, from, at, until time.Duration, label string) report.Recovery {
	out := report.Recovery{AtS: at.Seconds(), Label: label, Recovered: true, WorstRatio: 1}
	from = max(from, at-beforeMax)
	planned, before := sum(c.planned, from, at), sum(c.succeeded, from, at)
	if before == 0 || planned == 0 || at <= from {
		return out
	}
	out.BeforePerS = float64(before) / (at - from).Seconds()
	share := float64(before) / float64(planned)
	for start := at; start+recoveryWindow <= until; start += bucket {
		expected := share * float64(sum(c.planned, start, start+recoveryWindow))
		if expected == 0 {
			continue
		}
		n := float64(sum(c.succeeded, start, start+recoveryWindow))
		out.WorstRatio = min(out.WorstRatio, n/expected)
		if n < recoveredShare*expected-noiseSigmas*math.Sqrt(expected) {
			out.RecoveryS = (start + bucket - at).Seconds()
			out.Recovered = start+recoveryWindow+bucket <= until
		}
	}
	return out
}

// sum adds the buckets of [from, to).
func sum(buckets []int, from, to time.Duration) int {
	n := 0
	for i := int(from / bucket); i < int(to/bucket) && i < len(buckets); i++ {
		n += buckets[i]
	}
	return n
}
