package routing

import (
	"fmt"
	"testing"
	"time"
)

func (f *fleetRun) metrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 95, 99} {
		b.ReportMetric(float64(f.first.ValueAtQuantile(p))/1000, fmt.Sprintf("first-p%.0f-ms", p))
		b.ReportMetric(float64(f.between.ValueAtQuantile(p))/1000, fmt.Sprintf("token-p%.0f-ms", p))
	}
	b.ReportMetric(f.served/(f.duration.Seconds()*0.75), "tokens/s")
	if f.hints != "" {
		b.ReportMetric(float64(f.hits)/float64(f.total), "hits")
	}
}

var policies = []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyExpectedTime}

// BenchmarkPolicies compares the policies at 40 replicas and 6 entries.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.6, 0.85} {
		for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			for _, policy := range policies {
				b.Run(fmt.Sprintf("load=%.2f/lag=%s/%s", load, lag, policy), func(b *testing.B) {
					for range b.N {
						f := fleetRun{policy: policy, replicas: 40, entries: 6, lag: lag, load: load, choices: DefaultConfig().Choices, duration: time.Minute, seed: 1}
						f.run()
						f.metrics(b)
					}
				})
			}
		}
	}
}

// BenchmarkChoices varies the number of compared replicas.
func BenchmarkChoices(b *testing.B) {
	for _, lag := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		for _, choices := range []int{2, 4, 8, 0} {
			b.Run(fmt.Sprintf("lag=%s/choices=%d", lag, choices), func(b *testing.B) {
				for range b.N {
					f := fleetRun{policy: PolicyExpectedTime, replicas: 40, entries: 6, lag: lag, load: 0.85, choices: choices, duration: time.Minute, seed: 1}
					f.run()
					f.metrics(b)
				}
			})
		}
	}
}
