package routing

import (
	"fmt"
	"testing"
	"time"
)

func (f *simulation) reportMetrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 95, 99} {
		b.ReportMetric(float64(f.answerTime.ValueAtQuantile(p))/1000, fmt.Sprintf("answer-p%.0f-ms", p))
		b.ReportMetric(float64(f.first.ValueAtQuantile(p))/1000, fmt.Sprintf("first-p%.0f-ms", p))
		b.ReportMetric(float64(f.tokenGap.ValueAtQuantile(p))/1000, fmt.Sprintf("token-p%.0f-ms", p))
	}
	b.ReportMetric(f.served/(f.duration.Seconds()*0.75), "tokens/s")
	if f.hints != "" {
		b.ReportMetric(float64(f.hits)/float64(f.total), "hits")
		b.ReportMetric(f.routers[0].Stats().HintTrust, "trust")
	}
}

var policies = []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyExpectedTime}

var lags = []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}

// currentScale is a system with 40 replicas and 6 entries; targetScale has 600 replicas
// and 330 entries, each of which uses 48 of the replicas.
func currentScale() simulation {
	cfg := DefaultConfig()
	return simulation{
		policy: cfg.Policy, choices: cfg.Choices, gain: cfg.PeerGain, subset: cfg.SubsetPerDomain,
		prompt: 512, replicas: 40, entries: 6, lag: time.Second, load: 0.85, duration: time.Minute, seed: 1,
	}
}

func targetScale() simulation {
	f := currentScale()
	f.replicas = 600
	f.entries = 330
	f.duration = 30 * time.Second
	return f
}

func runBenchmark(b *testing.B, name string, f simulation) {
	b.Run(name, func(b *testing.B) {
		for range b.N {
			f.run()
			f.reportMetrics(b)
		}
	})
}

// BenchmarkPolicies compares the policies at the current size.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.6, 0.85} {
		for _, lag := range lags {
			for _, policy := range policies {
				f := currentScale()
				f.load, f.lag, f.policy = load, lag, policy
				runBenchmark(b, fmt.Sprintf("load=%.2f/lag=%s/%s", load, lag, policy), f)
			}
		}
	}
}

// BenchmarkTarget compares the policies at the target size.
func BenchmarkTarget(b *testing.B) {
	for _, lag := range lags {
		for _, policy := range policies {
			f := targetScale()
			f.lag, f.policy = lag, policy
			runBenchmark(b, fmt.Sprintf("lag=%s/%s", lag, policy), f)
		}
	}
}

// BenchmarkGain varies the correction of the other entries' load.
func BenchmarkGain(b *testing.B) {
	for _, gain := range []float64{0, 0.5, 0.7, 1} {
		f := currentScale()
		f.lag, f.gain = 5*time.Second, gain
		runBenchmark(b, fmt.Sprintf("today/gain=%g", gain), f)
		f.skew = 0.7
		runBenchmark(b, fmt.Sprintf("one-entry-has-75%%/gain=%g", gain), f)
		f = targetScale()
		f.lag, f.gain = 5*time.Second, gain
		runBenchmark(b, fmt.Sprintf("target/gain=%g", gain), f)
	}
}

// BenchmarkChoices varies the size of the sample that is compared.
func BenchmarkChoices(b *testing.B) {
	for _, choices := range []int{2, 4, 8, 0} {
		f := currentScale()
		f.lag, f.choices = 5*time.Second, choices
		runBenchmark(b, fmt.Sprintf("today/choices=%d", choices), f)
		f = targetScale()
		f.lag, f.choices = 5*time.Second, choices
		runBenchmark(b, fmt.Sprintf("target/choices=%d", choices), f)
	}
}

// BenchmarkSubset varies the replicas per entry at the target size.
func BenchmarkSubset(b *testing.B) {
	for _, subset := range []int{4, 8, 16, 32} {
		f := targetScale()
		f.subset = subset
		runBenchmark(b, fmt.Sprintf("per-domain=%d", subset), f)
	}
}

// BenchmarkHints compares no cache events with correct ones, with 30 % of them lost, and
// with wrong ones.
func BenchmarkHints(b *testing.B) {
	for _, hints := range []string{"ignored", "right", "gaps", "wrong"} {
		f := currentScale()
		f.hints, f.prompt = hints, 2048
		for _, load := range []float64{0.6, 0.85} {
			f.load = load
			runBenchmark(b, fmt.Sprintf("load=%.2f/%s", load, hints), f)
		}
	}
}

// BenchmarkPick measures one Pick and Done with a subset of 48 replicas.
func BenchmarkPick(b *testing.B) {
	r := newRouter(b, nil)
	r.Step(0, Servers{List: serverList(600, 4, "a", "b", "c")})
	b.ReportAllocs()
	for range b.N {
		p, _ := r.Pick(0, Request{Service: "skrivar"})
		r.Step(0, Done{ID: p.ID})
	}
}

// BenchmarkLoad measures one load report.
func BenchmarkLoad(b *testing.B) {
	r := newRouter(b, nil)
	r.Step(0, Servers{List: serverList(48, 1, "a")})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		r.Step(now, Load{Server: "r000.0", Running: i % 16, Capacity: 16, MeasuredAt: now})
	}
}
