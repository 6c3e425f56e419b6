package limits

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/memnet"
)

// experiment is one scenario for one fleet size and one policy.
type experiment struct {
	Policy   string  `json:"policy"`
	Scenario string  `json:"scenario"`
	VMs      int     `json:"vms"`
	Domains  int     `json:"domains"`
	Rate     float64 `json:"rate"`
	Seed     uint64  `json:"seed"`
}

// result holds the measurements of an experiment.
type result struct {
	experiment
	// Throughput is the admitted amount divided by rate*time, from 5 s after the
	// event on.
	Throughput float64 `json:"throughput_of_bound"`
	// Overshoot is the largest amount admitted above rate*w + burst in any window,
	// in units and as a fraction of the burst.
	Overshoot      float64 `json:"overshoot"`
	OvershootShare float64 `json:"overshoot_of_burst"`
	// Recovery is the time in seconds from the event to the first one-second window
	// with at least 0.9 of the rate admitted; -1 if there is none.
	Recovery float64 `json:"recovery_s"`
}

const (
	eventTime  = 10 * time.Second
	defaultEnd = 30 * time.Second
)

var experimentScenarios = []string{
	"even", "one-vm", "moving", "raise", "vm-killed", "holder-killed", "service-down-10min",
	"domain-cut", "holder-domain-cut",
}

// experimentFleet is a fleet that can run the scenarios under each policy.
type experimentFleet struct {
	*lendingFleet
	exp        experiment
	policy     func(host memnet.Host) admitter
	raiseLimit func(rate float64)
}

func newExperimentFleet(t testing.TB, e experiment) *experimentFleet {
	x := &experimentFleet{exp: e}
	vms := e.VMs
	if e.Policy != "borrowed" {
		vms = 0
	}
	x.lendingFleet = newLendingFleet(t, e.Seed, e.Rate, 0.001, vms, 2)
	x.fleet.drift = e.Policy == "borrowed"
	if e.Policy == "borrowed" {
		x.raiseLimit = x.raise
		return x
	}
	var hosts []memnet.Host
	for i := range e.VMs {
		hosts = append(hosts, memnet.Host(fmt.Sprintf("entry-%03d", i)))
	}
	x.policy = func(host memnet.Host) admitter {
		if e.Policy == "equal" {
			return newEqualShares(x.limits[0].Rate, x.check.burst, e.VMs)
		}
		return newGossipShares(x.fleet, host, hosts, x.limits[0].Rate, x.check.burst)
	}
	for _, h := range hosts {
		x.add(h, x.policy(h))
	}
	x.raiseLimit = x.raiseBaseline
	return x
}

func (x *experimentFleet) raiseBaseline(rate float64) {
	x.raise(rate)
	for _, v := range x.vms {
		switch p := v.policy.(type) {
		case *equalShares:
			p.rate = rate / float64(x.exp.VMs)
			p.burst = max(1, x.check.burst/float64(x.exp.VMs))
		case *gossipShares:
			p.fullRate, p.fullBurst = rate, x.check.burst
		}
	}
}

// spreadDemand sets a total demand of 1.5 times the rate, spread evenly or, if hotVM
// isn't negative, with 98 % of it at that VM.
func (x *experimentFleet) spreadDemand(hotVM int) {
	total := 1.5 * x.limits[0].Rate
	for i, v := range x.vms {
		v.demand = total / float64(len(x.vms))
		if hotVM >= 0 {
			v.demand = 0.02 * total / float64(len(x.vms))
		}
		if i == hotVM {
			v.demand = 0.98 * total
		}
	}
}

func (x *experimentFleet) killVM() {
	v := x.vms[1]
	x.net.Kill(v.host)
	x.net.At(x.net.Now()+5*time.Second, func() {
		if x.policy == nil {
			x.addBorrower(v.host).demand = v.demand
			return
		}
		x.add(v.host, x.policy(v.host)).demand = v.demand
	})
}

// killHolder kills the slot holder. A new one takes over 2.1 s later, which is the
// takeover time of package lease.
func (x *experimentFleet) killHolder() {
	x.net.Kill(x.lenders[0].host)
	x.handOver(1, 2100*time.Millisecond)
}

// cutDomain partitions every Domains-th VM, and the holder if withHolder is set, from
// the others. A partitioned holder keeps lending for its promise term of 2 s.
func (x *experimentFleet) cutDomain(withHolder bool) {
	inside := func(i int) bool { return i%x.exp.Domains == 0 }
	for i, a := range x.vms {
		for j, b := range x.vms {
			if inside(i) != inside(j) {
				x.net.Cut(a.host, b.host, true)
			}
		}
		x.net.Cut(a.host, x.lenders[0].host, inside(i) != withHolder)
		x.net.Cut(a.host, x.lenders[1].host, inside(i))
	}
	if withHolder {
		x.net.At(x.net.Now()+2*time.Second, func() { x.handOver(1, 200*time.Millisecond) })
	}
}

// runScenario runs the scenario, whose event happens at eventTime, and returns the
// end time.
func (x *experimentFleet) runScenario() time.Duration {
	end := defaultEnd
	hotVM := -1
	if x.exp.Scenario == "one-vm" || x.exp.Scenario == "moving" || x.exp.Scenario == "service-down-10min" {
		hotVM = 0
	}
	x.spreadDemand(hotVM)
	x.run(eventTime)
	switch x.exp.Scenario {
	case "moving":
		for i := range 4 {
			x.spreadDemand(i + 1)
			x.run(5 * time.Second)
		}
	case "raise":
		x.raiseLimit(2 * x.exp.Rate)
		x.spreadDemand(-1)
	case "vm-killed":
		x.killVM()
	case "holder-killed":
		x.killHolder()
	case "service-down-10min":
		end = eventTime + 10*time.Minute
	case "domain-cut":
		x.cutDomain(false)
	case "holder-domain-cut":
		x.cutDomain(true)
	}
	x.net.RunUntil(end)
	return end
}

func runExperiment(t testing.TB, e experiment) result {
	x := newExperimentFleet(t, e)
	end := x.runScenario()
	rate := x.limits[0].Rate
	span := (end - eventTime - 5*time.Second).Seconds()
	r := result{experiment: e}
	r.Throughput = float64(x.admitted(eventTime+5*time.Second, end)) / (rate * span)
	r.Overshoot = max(0, x.check.maxOvershoot)
	r.OvershootShare = r.Overshoot / x.check.burst
	r.Recovery = -1
	for at := eventTime; at+time.Second <= end; at += fleetBin {
		if float64(x.admitted(at, at+time.Second)) >= 0.9*rate {
			r.Recovery = (at - eventTime).Seconds()
			break
		}
	}
	return r
}

// BenchmarkPolicies reports throughput/bound, overshoot and recovery time of each
// policy in each scenario, as metrics and as a line of JSON.
func BenchmarkPolicies(b *testing.B) {
	sizes := []experiment{{VMs: 6, Domains: 3, Rate: 300}, {VMs: 330, Domains: 7, Rate: 5300}}
	for _, size := range sizes {
		for _, scenario := range experimentScenarios {
			for _, policy := range []string{"borrowed", "equal", "gossip"} {
				e := size
				e.Policy, e.Scenario, e.Seed = policy, scenario, 1
				b.Run(fmt.Sprintf("%d-vms/%s/%s", e.VMs, scenario, policy), func(b *testing.B) {
					var r result
					for range b.N {
						r = runExperiment(b, e)
					}
					b.ReportMetric(r.Throughput, "throughput/bound")
					b.ReportMetric(r.Overshoot, "overshoot")
					b.ReportMetric(r.Recovery, "recovery-s")
					line, _ := json.Marshal(r)
					b.Log(string(line))
				})
			}
		}
	}
}
