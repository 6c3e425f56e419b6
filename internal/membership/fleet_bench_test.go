package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/memnet"
)

// BenchmarkFleet reports for each fleet size: when idle, the messages and CBOR bytes sent
// per VM and second and the time of a step; with 510 configuration changes per day, the
// same bytes; after kills, the time until the first and until the last of the other VMs
// declares the killed VM gone.
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
	f.startVMs(n, 7)
	f.run(90 * time.Second)
	f.countBytes = true
	report := func(unit string, total int, span time.Duration) {
		b.ReportMetric(float64(total)/float64(n)/span.Seconds(), unit)
	}

	f.bytes, f.steps, f.stepTime = 0, 0, 0
	before := messagesSent(f)
	f.run(minutes * time.Minute)
	report("rest-B/s/VM", f.bytes, minutes*time.Minute)
	report("rest-msg/s/VM", messagesSent(f)-before, minutes*time.Minute)
	b.ReportMetric(float64(f.stepTime.Nanoseconds())/float64(f.steps), "ns/step")
	report("core-ns/s/VM", int(f.stepTime.Nanoseconds()), minutes*time.Minute)

	f.bytes = 0
	changeVersions(f, n, minutes*time.Minute)
	report("changing-B/s/VM", f.bytes, minutes*time.Minute)

	measureKills(b, f, n)
}

// changeVersions raises every VM's config version at the rate of 510 changes per day.
func changeVersions(f *fleet, n int, span time.Duration) {
	const changesPerDay = 510
	period := 24 * time.Hour / changesPerDay
	end := f.net.Now() + span
	for version := uint64(2); f.net.Now() < end; version++ {
		for i := range n {
			f.step(vmName(i), f.vms[vmName(i)], Versions{Config: version})
		}
		f.run(min(period, end-f.net.Now()))
	}
}

func measureKills(b *testing.B, f *fleet, n int) {
	first := hdrhistogram.New(1, 60_000, 3)
	all := hdrhistogram.New(1, 60_000, 3)
	for k := range min(40, 9600/n) {
		vm := vmName(k % n)
		f.events = nil
		at := f.net.Now()
		f.kill(vm)
		f.run(20 * time.Second)
		var last time.Duration
		for _, e := range f.events {
			if e.subject != vm || e.state != Gone {
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

func messagesSent(f *fleet) int {
	total := 0
	for vm := range f.vms {
		total += f.net.Sent[memnet.Host(vm)]
	}
	return total
}

// BenchmarkPartition reports the bytes per VM and second during a partition of one failure
// domain and in the first ten seconds after it heals, and the time until every VM sees
// all others as alive again.
func BenchmarkPartition(b *testing.B) {
	for _, n := range []int{6, 96, 330} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			for b.Loop() {
				measurePartition(b, n)
			}
		})
	}
}

func measurePartition(b *testing.B, n int) {
	f := newFleet(b, uint64(n), lan(0))
	f.startVMs(n, 3)
	f.run(60 * time.Second)
	f.partitionDomain("domain-1", true)
	f.run(30 * time.Second)
	f.countBytes = true
	f.bytes = 0
	f.run(time.Minute)
	b.ReportMetric(float64(f.bytes)/float64(n)/60, "cut-B/s/VM")
	f.partitionDomain("domain-1", false)
	f.bytes = 0
	healed := f.net.Now()
	for !allAlive(f) && f.net.Now()-healed < time.Minute {
		f.run(TickPeriod)
	}
	b.ReportMetric(float64((f.net.Now() - healed).Milliseconds()), "heal-ms")
	f.run(healed + 10*time.Second - f.net.Now())
	b.ReportMetric(float64(f.bytes)/float64(n)/10, "heal-B/s/VM")
}

func allAlive(f *fleet) bool {
	for _, n := range f.vms {
		if n.m.stateCounts[Alive] != len(f.vms)-1 {
			return false
		}
	}
	return true
}
