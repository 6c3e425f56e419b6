package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/memnet"
)

func sheetOf(t require.TestingT, day string, values map[string]int) Sheet {
	var b strings.Builder
	b.WriteString("day,team,service,limit,unit\n")
	for team, value := range values {
		fmt.Fprintf(&b, "%s,%s,skrivar,%d,tokens/s\n", day, team, value)
	}
	sheet, faults := ParseSheet("s.csv", []byte(b.String()))
	require.Empty(t, faults)
	return sheet
}

func (w *world) plan(t *rapid.T) {
	at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * ms
	end := at + time.Duration(rapid.IntRange(1, 10000).Draw(t, "lasts"))*ms
	v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	other := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "other")].host()
	switch rapid.SampledFrom([]string{"kill", "pause", "cut", "cut-kv", "kv-down", "kv-silent", "all-restart"}).Draw(t, "fault") {
	case "kill":
		w.net.At(at, func() { v.kill(); w.members() })
		w.net.At(end, v.restart)
	case "pause":
		w.net.At(at, func() { w.net.Pause(v.host()) })
		w.net.At(end, func() { w.net.Resume(v.host()) })
	case "cut":
		w.net.At(at, func() { w.net.Cut(v.host(), other, true) })
		w.net.At(end, func() { w.net.Cut(v.host(), other, false) })
	case "cut-kv":
		w.net.At(at, func() { w.net.Cut(v.host(), "kv", true) })
		w.net.At(end, func() { w.net.Cut(v.host(), "kv", false) })
	case "kv-down":
		w.net.At(at, func() { w.kv.down = true })
		w.net.At(end, func() { w.kv.down = false })
	case "kv-silent":
		w.net.At(at, func() { w.kv.silent = true })
		w.net.At(end, func() { w.kv.silent = false })
	case "all-restart":
		w.net.At(end, func() {
			for _, v := range w.vms {
				v.restart()
			}
		})
	}
}

// TestAcceptedNeverRevertsAndReachesAll lets operators race with overlapping
// sheets while VMs, links and the service fail.
func TestAcceptedNeverRevertsAndReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{2 * ms, 200 * ms, time.Second}).Draw(t, "delay")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 3).Draw(t, "per domain"), loss, delay)
		w.kv.raised = map[string]int{}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			w.plan(t)
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "sheets") {
			values := map[string]int{}
			for range rapid.IntRange(1, 3).Draw(t, "rows") {
				values[fmt.Sprintf("team%d", rapid.IntRange(0, 3).Draw(t, "team"))] = rapid.IntRange(1, 6).Draw(t, "limit")
			}
			sheet := sheetOf(t, rapid.SampledFrom([]string{"2026-12-04", "2026-12-05"}).Draw(t, "day"), values)
			v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "operator's vm")]
			at := time.Duration(rapid.SampledFrom([]int{1000, 1000, 5000, 9000}).Draw(t, "when")) * ms
			w.net.At(at, func() {
				if v.up {
					w.apply(v, sheet, fmt.Sprintf("operator%d", i))
				}
			})
		}
		w.net.RunUntil(90 * time.Second)
		require.Empty(t, w.check())
	})
}

// TestFreshVMInAnOutage starts a VM while the service is down: it serves nothing
// until it has the version from its peers, and never an older one.
func TestFreshVMInAnOutage(t *testing.T) {
	w := newWorld(5, 3, 2, 0, 2*ms)
	w.kv.raised = map[string]int{}
	w.apply(w.vms[0], sheetOf(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
	w.net.RunUntil(5 * time.Second)
	w.kv.down = true
	fresh := w.vms[5]
	fresh.restart()
	require.False(t, fresh.spread.Ready())
	w.net.RunUntil(6 * time.Second)
	require.True(t, fresh.spread.Ready())
	require.Equal(t, uint64(1), fresh.spread.Version())
	require.Less(t, fresh.adopted-fresh.started, 300*ms)
}

// TestFreshVMPassesOverAStaleDomain starts a VM during an outage, while one
// failure domain has missed a version and answers first.
func TestFreshVMPassesOverAStaleDomain(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 3, 2, 0, 2*ms)
		w.kv.raised = map[string]int{}
		w.apply(w.vms[0], sheetOf(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
		w.net.RunUntil(5 * time.Second)
		for _, stale := range w.vms[4:] {
			w.net.Cut(stale.host(), "kv", true)
			for _, other := range w.vms[:4] {
				w.net.Cut(stale.host(), other.host(), true)
			}
		}
		w.apply(w.vms[0], sheetOf(t, "2026-12-05", map[string]int{"clubs": 60}), "kari")
		w.net.RunUntil(10 * time.Second)
		w.kv.down = true
		fresh := w.vms[3]
		w.net.Cut(fresh.host(), w.vms[4].host(), false)
		w.net.Cut(fresh.host(), w.vms[5].host(), false)
		fresh.restart()
		for !fresh.spread.Ready() && w.net.Now() < 14*time.Second {
			w.net.RunUntil(w.net.Now() + ms)
		}
		require.Equal(t, uint64(2), fresh.spread.Version())
		require.Less(t, w.net.Now()-fresh.started, 1200*ms)
	}
}

// TestOlderVersionIsNeverAdopted offers an older version by every way in.
func TestOlderVersionIsNeverAdopted(t *testing.T) {
	snapshotOf := func(version, value uint64) Snapshot {
		key := LimitKey{Team: "clubs", Service: "skrivar", Unit: UnitTokens}
		state := NewState(map[LimitKey]Limit{key: {Value: value}})
		return newSnapshot(Head{Version: version, Parts: state.Hashes()}, state)
	}
	older, newer := snapshotOf(3, 40), snapshotOf(4, 60)
	s, err := NewSpread(DefaultSpreadConfig("a", "d1"))
	require.NoError(t, err)
	s.Step(0, SelfApplied{Snapshot: newer})
	for _, ev := range []SpreadEvent{
		SelfApplied{Snapshot: older},
		PeerParts{From: "b", Head: older.Head, Texts: older.Texts()},
		HeadRead{Found: true, Head: older.Head, Revision: 9},
		PartsRead{Texts: older.Texts()},
		PeerVersion{From: "b", Version: 3},
	} {
		for _, action := range s.Step(time.Second, ev) {
			require.NotContains(t, []string{"config.Adopted", "config.ReadParts", "config.SendPull"}, fmt.Sprintf("%T", action))
		}
		require.Equal(t, newer, s.Snapshot())
	}
}

// TestTwoOperatorsAtOnce races two sheets that clash in one row: one wins whole,
// the other is told the row.
func TestTwoOperatorsAtOnce(t *testing.T) {
	w := newWorld(5, 3, 2, 0, 2*ms)
	w.kv.raised = map[string]int{}
	w.apply(w.vms[0], sheetOf(t, "2026-12-04", map[string]int{"clubs": 40, "coaches": 5}), "kari")
	w.apply(w.vms[3], sheetOf(t, "2026-12-04", map[string]int{"clubs": 30, "treasurers": 5}), "ola")
	w.net.RunUntil(5 * time.Second)
	kari, ola := w.applies[0].outcome, w.applies[1].outcome
	if kari.Kind == OutcomeRefused {
		kari, ola = ola, kari
	}
	require.Equal(t, OutcomeAccepted, kari.Kind)
	if ola.Kind == OutcomeRefused {
		require.Len(t, ola.Faults, 1)
		require.Contains(t, ola.Faults[0].Problem, "clubs")
		require.Contains(t, []string{"kari", "ola"}, ola.LostRaceTo)
	}
	require.Empty(t, w.check())
}

// TestSpreadTimes reports the time from acceptance to force everywhere.
func TestSpreadTimes(t *testing.T) {
	for _, c := range []struct {
		domains, perDomain int
		loss               float64
		outage             bool
	}{{3, 2, 0, false}, {7, 47, 0, false}, {7, 47, 0.05, false}, {3, 2, 0, true}, {7, 47, 0, true}} {
		worst := time.Duration(0)
		for seed := range uint64(2) {
			w := newWorld(seed, c.domains, c.perDomain, c.loss, 3*ms)
			w.kv.raised = map[string]int{}
			w.net.RunUntil(5 * time.Second)
			w.apply(w.vms[0], sheetOf(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
			if c.outage {
				for _, v := range w.vms[1:] {
					w.net.Cut(v.host(), "kv", true)
				}
			}
			w.net.RunUntil(30 * time.Second)
			require.Empty(t, w.check()[:min(3, len(w.check()))])
			for _, v := range w.vms {
				worst = max(worst, v.adopted-w.kv.swappedAt)
			}
		}
		t.Logf("%d VMs, loss %.2f, service reached by one VM only %v: in force everywhere after %s", c.domains*c.perDomain, c.loss, c.outage, worst)
		require.Less(t, worst, 5*time.Second)
	}
}

// TestPausedWatcherTakesNothingBack freezes the watchers of a domain across a
// change and thaws them.
func TestPausedWatcherTakesNothingBack(t *testing.T) {
	w := newWorld(3, 3, 3, 0, 2*ms)
	w.kv.raised = map[string]int{}
	w.apply(w.vms[0], sheetOf(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
	w.net.RunUntil(2 * time.Second)
	var frozen []memnet.Host
	for _, v := range w.vms[3:] {
		if v.spread.Watching() {
			frozen = append(frozen, v.host())
			w.net.Pause(v.host())
		}
	}
	w.apply(w.vms[0], sheetOf(t, "2026-12-05", map[string]int{"clubs": 60}), "ola")
	w.net.RunUntil(20 * time.Second)
	for _, host := range frozen {
		w.net.Resume(host)
	}
	w.net.RunUntil(25 * time.Second)
	require.Empty(t, w.check())
}
