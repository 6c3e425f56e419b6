package routing

import (
	"fmt"
	"testing"
	"time"
)

func (f *fleetRun) metrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 95, 99} {
		b.ReportMetric(float64(f.whole.ValueAtQuantile(p))/1000, fmt.Sprintf("answer-p%.0f-ms", p))
		b.ReportMetric(float64(f.first.ValueAtQuantile(p))/1000, fmt.Sprintf("first-p%.0f-ms", p))
		b.ReportMetric(float64(f.between.ValueAtQuantile(p))/1000, fmt.Sprintf("token-p%.0f-ms", p))
	}
	b.ReportMetric(f.served/(f.duration.Seconds()*0.75), "tokens/s")
	if f.hints != "" {
		b.ReportMetric(float64(f.hits)/float64(f.total), "hits")
		b.ReportMetric(f.routers[0].Stats().HintTrust, "trust")
	}
}

var policies = []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyExpectedTime}

var lags = []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}

// today is 40 replicas before 6 entries; target is 600 before 330, of which
// each entry sees 48.
func today() fleetRun {
	cfg := DefaultConfig()
	return fleetRun{
		policy: cfg.Policy, choices: cfg.Choices, gain: cfg.PeerGain, subset: cfg.SubsetPerDomain,
		prompt: 512, replicas: 40, entries: 6, lag: time.Second, load: 0.85, duration: time.Minute, seed: 1,
	}
}

func target() fleetRun {
	f := today()
	f.replicas = 600
	f.entries = 330
	f.duration = 30 * time.Second
	return f
}

func bench(b *testing.B, name string, f fleetRun) {
	b.Run(name, func(b *testing.B) {
		for range b.N {
			f.run()
			f.metrics(b)
		}
	})
}

// BenchmarkPolicies compares the policies today.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.6, 0.85} {
		for _, lag := range lags {
			for _, policy := range policies {
				f := today()
				f.load, f.lag, f.policy = load, lag, policy
				bench(b, fmt.Sprintf("load=%.2f/lag=%s/%s", load, lag, policy), f)
			}
		}
	}
}

// BenchmarkTarget compares the policies at the target size.
func BenchmarkTarget(b *testing.B) {
	for _, lag := range lags {
		for _, policy := range policies {
			f := target()
			f.lag, f.policy = lag, policy
			bench(b, fmt.Sprintf("lag=%s/%s", lag, policy), f)
		}
	}
}

// BenchmarkGain shows what the correction of others' load is worth.
func BenchmarkGain(b *testing.B) {
	for _, gain := range []float64{0, 0.5, 0.7, 1} {
		f := today()
		f.lag, f.gain = 5*time.Second, gain
		bench(b, fmt.Sprintf("today/gain=%g", gain), f)
		f.skew = 0.7
		bench(b, fmt.Sprintf("one-entry-has-75%%/gain=%g", gain), f)
		f = target()
		f.lag, f.gain = 5*time.Second, gain
		bench(b, fmt.Sprintf("target/gain=%g", gain), f)
	}
}

// BenchmarkChoices varies the number of compared replicas.
func BenchmarkChoices(b *testing.B) {
	for _, choices := range []int{2, 4, 8, 0} {
		f := today()
		f.lag, f.choices = 5*time.Second, choices
		bench(b, fmt.Sprintf("today/choices=%d", choices), f)
		f = target()
		f.lag, f.choices = 5*time.Second, choices
		bench(b, fmt.Sprintf("target/choices=%d", choices), f)
	}
}

// BenchmarkSubset varies how many replicas an entry sees at the target size.
func BenchmarkSubset(b *testing.B) {
	for _, subset := range []int{4, 8, 16, 32} {
		f := target()
		f.subset = subset
		bench(b, fmt.Sprintf("per-domain=%d", subset), f)
	}
}

// BenchmarkHints shows what cache events are worth: right, with 3 in 10 lost,
// and wrong, against none.
func BenchmarkHints(b *testing.B) {
	for _, hints := range []string{"ignored", "right", "gaps", "wrong"} {
		f := today()
		f.hints, f.prompt = hints, 2048
		for _, load := range []float64{0.6, 0.85} {
			f.load = load
			bench(b, fmt.Sprintf("load=%.2f/%s", load, hints), f)
		}
	}
}

// BenchmarkPick gives the cost of one choice with 48 replicas in sight.
func BenchmarkPick(b *testing.B) {
	r := newRouter(b, nil)
	r.Step(0, Servers{List: fleet(600, 4, "a", "b", "c")})
	b.ReportAllocs()
	for range b.N {
		p, _ := r.Pick(0, Request{Service: "skrivar"})
		r.Step(0, Done{ID: p.ID})
	}
}

// BenchmarkLoad gives the cost of one load report.
func BenchmarkLoad(b *testing.B) {
	r := newRouter(b, nil)
	r.Step(0, Servers{List: fleet(48, 1, "a")})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		r.Step(now, Load{Server: "r000.0", Running: i % 16, Capacity: 16, MeasuredAt: now})
	}
}
