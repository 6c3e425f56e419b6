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
	// may lie below that without counting as a dip.
	noiseSigmas = 2
	// beforeMax is how much of the run before a failure is looked at.
	beforeMax = 10 * time.Second
)

// recovery looks for the dip in the buckets of successes between a failure at
// "at" and "until". Windows that lie wholly after the failure are compared with
// the mean before it, from "from" on.
func recovery(buckets []int, from, at, until time.Duration, label string) report.Recovery {
	out := report.Recovery{AtS: at.Seconds(), Label: label, Recovered: true, WorstRatio: 1}
	from = max(from, at-beforeMax)
	before := sum(buckets, from, at)
	if before == 0 || at <= from {
		return out
	}
	perWindow := float64(before) * float64(recoveryWindow) / float64(at-from)
	out.BeforePerS = perWindow / recoveryWindow.Seconds()
	least := recoveredShare*perWindow - noiseSigmas*math.Sqrt(perWindow)
	for start := at; start+recoveryWindow <= until; start += bucket {
		n := float64(sum(buckets, start, start+recoveryWindow))
		out.WorstRatio = min(out.WorstRatio, n/perWindow)
		if n < least {
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
