package routing

import (
	"fmt"
	"testing"
	"time"
)

func (sim *simulation) reportMetrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 95, 99} {
		b.ReportMetric(float64(sim.answerTime.ValueAtQuantile(p))/1000, fmt.Sprintf("answer-p%.0f-ms", p))
		b.ReportMetric(float64(sim.firstToken.ValueAtQuantile(p))/1000, fmt.Sprintf("first-p%.0f-ms", p))
		b.ReportMetric(float64(sim.tokenGap.ValueAtQuantile(p))/1000, fmt.Sprintf("token-p%.0f-ms", p))
	}
	b.ReportMetric(sim.served/(sim.duration.Seconds()*0.75), "tokens/s")
	if sim.hints != "" {
		b.ReportMetric(float64(sim.hits)/float64(sim.requests), "hits")
		b.ReportMetric(sim.routers[0].Stats().HintTrust, "trust")
	}
}

var policies = []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyExpectedTime}

var lags = []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}

// currentScale is a system with 40 replicas and 6 entries; targetScale has 600 replicas
// and 330 entries, each of which uses 48 of the replicas.
func currentScale() simulation {
	cfg := DefaultConfig()
	return simulation{
		policy: cfg.Policy, choices: cfg.Choices, peerGain: cfg.PeerGain, subset: cfg.SubsetPerDomain,
		prompt: 512, replicas: 40, entries: 6, lag: time.Second, load: 0.85, duration: time.Minute, seed: 1,
	}
}

func targetScale() simulation {
	sim := currentScale()
	sim.replicas = 600
	sim.entries = 330
	sim.duration = 30 * time.Second
	return sim
}

func runBenchmark(b *testing.B, name string, sim simulation) {
	b.Run(name, func(b *testing.B) {
		for range b.N {
			sim.run()
			sim.reportMetrics(b)
		}
	})
}

// BenchmarkPolicies compares the policies at the current size.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.6, 0.85} {
		for _, lag := range lags {
			for _, policy := range policies {
				sim := currentScale()
				sim.load, sim.lag, sim.policy = load, lag, policy
				runBenchmark(b, fmt.Sprintf("load=%.2f/lag=%s/%s", load, lag, policy), sim)
			}
		}
	}
}

// BenchmarkTarget compares the policies at the target size.
func BenchmarkTarget(b *testing.B) {
	for _, lag := range lags {
		for _, policy := range policies {
			sim := targetScale()
			sim.lag, sim.policy = lag, policy
			runBenchmark(b, fmt.Sprintf("lag=%s/%s", lag, policy), sim)
		}
	}
}

// BenchmarkGain varies Config.PeerGain.
func BenchmarkGain(b *testing.B) {
	for _, gain := range []float64{0, 0.5, 0.7, 1} {
		sim := currentScale()
		sim.lag, sim.peerGain = 5*time.Second, gain
		runBenchmark(b, fmt.Sprintf("today/gain=%g", gain), sim)
		sim.skew = 0.7
		runBenchmark(b, fmt.Sprintf("one-entry-has-75%%/gain=%g", gain), sim)
		sim = targetScale()
		sim.lag, sim.peerGain = 5*time.Second, gain
		runBenchmark(b, fmt.Sprintf("target/gain=%g", gain), sim)
	}
}

// BenchmarkChoices varies the size of the sample that is compared.
func BenchmarkChoices(b *testing.B) {
	for _, choices := range []int{2, 4, 8, 0} {
		sim := currentScale()
		sim.lag, sim.choices = 5*time.Second, choices
		runBenchmark(b, fmt.Sprintf("today/choices=%d", choices), sim)
		sim = targetScale()
		sim.lag, sim.choices = 5*time.Second, choices
		runBenchmark(b, fmt.Sprintf("target/choices=%d", choices), sim)
	}
}

// BenchmarkSubset varies the replicas per entry at the target size.
func BenchmarkSubset(b *testing.B) {
	for _, subset := range []int{4, 8, 16, 32} {
		sim := targetScale()
		sim.subset = subset
		runBenchmark(b, fmt.Sprintf("per-domain=%d", subset), sim)
	}
}

// BenchmarkHints compares no cache events with correct ones, with 30 % of them lost, and
// with wrong ones.
func BenchmarkHints(b *testing.B) {
	for _, hints := range []string{"ignored", "right", "gaps", "wrong"} {
		sim := currentScale()
		sim.hints, sim.prompt = hints, 2048
		for _, load := range []float64{0.6, 0.85} {
			sim.load = load
			runBenchmark(b, fmt.Sprintf("load=%.2f/%s", load, hints), sim)
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
