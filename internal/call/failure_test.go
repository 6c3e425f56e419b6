package call

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// fault is one injected failure of an entry, server, link or the key-value service.
type fault struct {
	at, lasts time.Duration
	kind      string
	entry     int // index of the entry
	other     int // index of the other entry or of the server
}

var faultKinds = []string{"none", "kill", "pause", "cut", "cut-kv", "cut-server", "server-dead", "server-leaving", "kv-down", "kv-silent"}

func (cl *cluster) schedule(f fault) {
	e := cl.entries[f.entry%len(cl.entries)]
	other := cl.entries[f.other%len(cl.entries)].host()
	id := ident.BackendServer(fmt.Sprintf("s%d", f.other%len(cl.servers)))
	begin, end := func() {}, func() {}
	cut := func(to memnet.Host) (func(), func()) {
		return func() { cl.net.Cut(e.host(), to, true) }, func() { cl.net.Cut(e.host(), to, false) }
	}
	switch f.kind {
	case "kill":
		begin, end = e.kill, e.restart
	case "pause":
		begin, end = e.pause, e.resume
	case "cut":
		begin, end = cut(other)
	case "cut-kv":
		begin, end = cut("kv")
	case "cut-server":
		begin, end = cut(memnet.Host(id))
	case "server-dead":
		begin, end = func() { cl.servers[id].dead = true }, func() { cl.servers[id].dead = false }
	case "server-leaving":
		begin, end = func() { cl.servers[id].leaving = true }, func() { cl.servers[id].leaving = false }
	case "kv-down":
		begin, end = func() { cl.kv.down = true }, func() { cl.kv.down = false }
	case "kv-silent":
		begin, end = func() { cl.kv.silent = true }, func() { cl.kv.silent = false }
	}
	cl.net.At(f.at, begin)
	cl.net.At(f.at+f.lasts, end)
}

// generateCalls schedules n calls over the given time, with issued or caller-chosen keys.
func (cl *cluster) generateCalls(n int, over time.Duration, issued bool, tries int, giveUp bool) {
	for i := range n {
		cl.net.At(over*time.Duration(i)/time.Duration(n), func() {
			key := fmt.Sprintf("order-%d", i)
			if issued {
				e := cl.entries[cl.net.Rand().IntN(len(cl.entries))]
				key = KeyPrefix(e.self, int64(e.now()/time.Second)) + key
			}
			cl.call(key, tries, giveUp)
		})
	}
}

// TestCallsRunAtMostOnceAndNotRunHolds injects random, overlapping failures while callers
// retry the same key through other entries. No key may run twice, nor run after NotRun.
func TestCallsRunAtMostOnceAndNotRunHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.15}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{3 * ms, 200 * ms, 2 * time.Second}).Draw(t, "delay")
		small := rapid.Bool().Draw(t, "small bounds")
		cl := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "entries"), loss, delay, func(c *Config) {
			if small {
				c.MaxKeys, c.MaxTombstones, c.KeyTTL, c.KeyRetention, c.MaxAttemptAge = 5, 2, 4*time.Second, 5*time.Second, 6*time.Second
			}
		})
		cl.callerTimeout = rapid.SampledFrom([]time.Duration{300 * ms, 1500 * ms}).Draw(t, "patience")
		cl.refuseRate = rapid.SampledFrom([]float64{0, 0.6}).Draw(t, "busy")
		cl.noReplicaRate = rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "scarce")
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			cl.schedule(fault{
				at:    time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * ms,
				lasts: time.Duration(rapid.IntRange(1, 12000).Draw(t, "lasts")) * ms,
				kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				entry: rapid.IntRange(0, 4).Draw(t, "entry"), other: rapid.IntRange(0, 4).Draw(t, "other"),
			})
		}
		tries := rapid.IntRange(1, 5).Draw(t, "tries")
		giveUp := rapid.Bool().Draw(t, "give up at not-run")
		cl.generateCalls(40, 8*time.Second, rapid.Bool().Draw(t, "issued"), tries, giveUp)
		cl.net.RunUntil(60 * time.Second)
		require.Empty(t, cl.check())
	})
}

// TestRefusalRateUnderFaults bounds the share of calls that end without a reply, for each
// kind of failure and of key.
func TestRefusalRateUnderFaults(t *testing.T) {
	cases := []struct {
		name       string
		fault      fault
		maxRefused map[bool]float64 // share of the calls, by whether their keys are issued
	}{
		{"no fault", fault{kind: "none"}, map[bool]float64{true: 0, false: 0}},
		{"entry killed and replaced", fault{kind: "kill", at: 5 * time.Second, lasts: 2 * time.Second}, map[bool]float64{true: 0.05, false: 0.02}},
		{"entry paused for 3 s", fault{kind: "pause", at: 5 * time.Second, lasts: 3 * time.Second}, map[bool]float64{true: 0.05, false: 0.02}},
		{"two entries cut off for 10 s", fault{kind: "cut", at: 5 * time.Second, lasts: 10 * time.Second, other: 1}, map[bool]float64{true: 0.02, false: 0.01}},
		{"server dead for 10 s", fault{kind: "server-dead", at: 5 * time.Second, lasts: 10 * time.Second}, map[bool]float64{true: 0.01, false: 0.01}},
		{"server leaving for 10 s", fault{kind: "server-leaving", at: 5 * time.Second, lasts: 10 * time.Second}, map[bool]float64{true: 0.01, false: 0.01}},
		{"key-value service down for 10 s", fault{kind: "kv-down", at: 5 * time.Second, lasts: 10 * time.Second}, map[bool]float64{true: 0, false: 0.35}},
		{"key-value replies lost for 10 s", fault{kind: "kv-silent", at: 5 * time.Second, lasts: 10 * time.Second}, map[bool]float64{true: 0, false: 0.4}},
	}
	for _, c := range cases {
		for _, issued := range []bool{true, false} {
			cl := newCluster(11, 6, 0, 3*ms, nil)
			cl.schedule(c.fault)
			cl.generateCalls(3000, 30*time.Second, issued, 4, false)
			cl.net.RunUntil(time.Minute)
			require.Empty(t, cl.check())
			counts, share := cl.refusalCounts()
			t.Logf("%-32s issued=%-5v answered %.4f, writes per call %.2f, %v", c.name, issued, 1-share, float64(cl.kv.writes)/3000, counts)
			require.LessOrEqual(t, share, c.maxRefused[issued], c.name)
		}
	}
}

func (cl *cluster) refusalCounts() (map[string]int, float64) {
	counts, refused := map[string]int{}, 0
	for _, c := range cl.calls {
		if c.answered {
			continue
		}
		refused++
		counts[c.final.String()+" "+string(c.cause)]++
		if c.final == verdict.MayHaveRun && cl.ledger[c.key] > 0 {
			counts["of these ran"]++
		}
	}
	return counts, float64(refused) / float64(len(cl.calls))
}
