package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/memnet"
)

// BenchmarkFleet reports, for one size of fleet at rest: messages and CBOR bytes
// sent per VM and second, and the time of a step; with every VM raising its
// versions as 510 changes a day do: the same bytes; and over kills: the time
// until another VM first, and every other VM, holds the killed one gone.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{6, 24, 96, 330} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	const minutes = 2
	f := newFleet(b, uint64(n), lan(0))
	f.grow(n, 7)
	f.run(90 * time.Second)
	f.measure = true
	report := func(unit string, total int, span time.Duration) {
		b.ReportMetric(float64(total)/float64(n)/span.Seconds(), unit)
	}

	f.bytes, f.steps, f.spent = 0, 0, 0
	before := sent(f)
	f.run(minutes * time.Minute)
	report("rest-B/s/VM", f.bytes, minutes*time.Minute)
	report("rest-msg/s/VM", sent(f)-before, minutes*time.Minute)
	b.ReportMetric(float64(f.spent.Nanoseconds())/float64(f.steps), "ns/step")
	report("core-ns/s/VM", int(f.spent.Nanoseconds()), minutes*time.Minute)

	f.bytes = 0
	changing(f, n, minutes*time.Minute)
	report("changing-B/s/VM", f.bytes, minutes*time.Minute)

	measureKills(b, f, n)
}

// changing raises every VM's config version as often as 510 changes a day do.
func changing(f *fleet, n int, span time.Duration) {
	const changesPerDay = 510
	period := 24 * time.Hour / changesPerDay
	end := f.net.Now() + span
	for version := uint64(2); f.net.Now() < end; version++ {
		for i := range n {
			f.step(name(i), f.nodes[name(i)], Versions{Config: version})
		}
		f.run(min(period, end-f.net.Now()))
	}
}

func measureKills(b *testing.B, f *fleet, n int) {
	first := hdrhistogram.New(1, 60_000, 3)
	all := hdrhistogram.New(1, 60_000, 3)
	for k := range min(40, 9600/n) {
		vm := name(k % n)
		f.events = nil
		at := f.net.Now()
		f.kill(vm)
		f.run(20 * time.Second)
		var last time.Duration
		for _, e := range f.events {
			if e.of != vm || e.state != Gone {
				continue
			}
			if last == 0 {
				_ = first.RecordValue((e.at - at).Milliseconds())
			}
			last = e.at - at
		}
		_ = all.RecordValue(last.Milliseconds())
		f.start(vm, f.domain(vm))
		f.run(5*time.Second + time.Duration(k)*37*time.Millisecond)
	}
	b.ReportMetric(float64(first.ValueAtQuantile(50)), "first-p50-ms")
	b.ReportMetric(float64(first.ValueAtQuantile(99)), "first-p99-ms")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "all-p50-ms")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "all-p99-ms")
}

func sent(f *fleet) int {
	total := 0
	for vm := range f.nodes {
		total += f.net.Sent[memnet.Host(vm)]
	}
	return total
}

// BenchmarkCut reports bytes per VM and second while one failure domain is cut
// off, in the first ten seconds after it heals, and the time until all VMs are
// alive to all again.
func BenchmarkCut(b *testing.B) {
	for _, n := range []int{6, 96, 330} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureCut(b, n)
			}
		})
	}
}

func measureCut(b *testing.B, n int) {
	f := newFleet(b, uint64(n), lan(0))
	f.grow(n, 3)
	f.run(60 * time.Second)
	f.cutDomain("domain-1", true)
	f.run(30 * time.Second)
	f.measure = true
	f.bytes = 0
	f.run(time.Minute)
	b.ReportMetric(float64(f.bytes)/float64(n)/60, "cut-B/s/VM")
	f.cutDomain("domain-1", false)
	f.bytes = 0
	healed := f.net.Now()
	for !whole(f) && f.net.Now()-healed < time.Minute {
		f.run(TickPeriod)
	}
	b.ReportMetric(float64((f.net.Now() - healed).Milliseconds()), "heal-ms")
	f.run(healed + 10*time.Second - f.net.Now())
	b.ReportMetric(float64(f.bytes)/float64(n)/10, "heal-B/s/VM")
}

func whole(f *fleet) bool {
	for _, n := range f.nodes {
		if n.m.count[Alive] != len(f.nodes)-1 {
			return false
		}
	}
	return true
}
