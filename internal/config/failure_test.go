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

func makeSheet(t require.TestingT, day string, values map[string]int) Sheet {
	var b strings.Builder
	b.WriteString("day,team,service,limit,unit\n")
	for team, value := range values {
		fmt.Fprintf(&b, "%s,%s,skrivar,%d,tokens/s\n", day, team, value)
	}
	sheet, faults := ParseSheet("s.csv", []byte(b.String()))
	require.Empty(t, faults)
	return sheet
}

func (sim *simulation) scheduleFault(t *rapid.T) {
	at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * ms
	end := at + time.Duration(rapid.IntRange(1, 10000).Draw(t, "lasts"))*ms
	v := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")]
	other := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "other")].host()
	switch rapid.SampledFrom([]string{"kill", "pause", "cut", "cut-kv", "kv-down", "kv-silent", "all-restart"}).Draw(t, "fault") {
	case "kill":
		sim.net.At(at, func() { v.kill(); sim.sendMembers() })
		sim.net.At(end, v.restart)
	case "pause":
		sim.net.At(at, func() { sim.net.Pause(v.host()) })
		sim.net.At(end, func() { sim.net.Resume(v.host()) })
	case "cut":
		sim.net.At(at, func() { sim.net.Cut(v.host(), other, true) })
		sim.net.At(end, func() { sim.net.Cut(v.host(), other, false) })
	case "cut-kv":
		sim.net.At(at, func() { sim.net.Cut(v.host(), "kv", true) })
		sim.net.At(end, func() { sim.net.Cut(v.host(), "kv", false) })
	case "kv-down":
		sim.net.At(at, func() { sim.kv.down = true })
		sim.net.At(end, func() { sim.kv.down = false })
	case "kv-silent":
		sim.net.At(at, func() { sim.kv.silent = true })
		sim.net.At(end, func() { sim.kv.silent = false })
	case "all-restart":
		sim.net.At(end, func() {
			for _, v := range sim.vms {
				v.restart()
			}
		})
	}
}

// TestAcceptedLimitsNeverRevertAndReachEveryVM runs concurrent operators with overlapping
// sheets while VMs, links and the service fail.
func TestAcceptedLimitsNeverRevertAndReachEveryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{2 * ms, 200 * ms, time.Second}).Draw(t, "delay")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 3).Draw(t, "per domain"), loss, delay)
		sim.kv.raises = map[string]int{}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			sim.scheduleFault(t)
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "sheets") {
			values := map[string]int{}
			for range rapid.IntRange(1, 3).Draw(t, "rows") {
				values[fmt.Sprintf("team%d", rapid.IntRange(0, 3).Draw(t, "team"))] = rapid.IntRange(1, 6).Draw(t, "limit")
			}
			sheet := makeSheet(t, rapid.SampledFrom([]string{"2026-12-04", "2026-12-05"}).Draw(t, "day"), values)
			v := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "operator's vm")]
			at := time.Duration(rapid.SampledFrom([]int{1000, 1000, 5000, 9000}).Draw(t, "when")) * ms
			sim.net.At(at, func() {
				if v.up {
					sim.apply(v, sheet, fmt.Sprintf("operator%d", i))
				}
			})
		}
		sim.net.RunUntil(90 * time.Second)
		require.Empty(t, sim.check())
	})
}

// TestNewVMGetsVersionFromPeersDuringOutage starts a VM while the service is down. It must
// not be ready before it has the accepted version from its peers.
func TestNewVMGetsVersionFromPeersDuringOutage(t *testing.T) {
	sim := newSimulation(5, 3, 2, 0, 2*ms)
	sim.kv.raises = map[string]int{}
	sim.apply(sim.vms[0], makeSheet(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
	sim.net.RunUntil(5 * time.Second)
	sim.kv.down = true
	newVM := sim.vms[5]
	newVM.restart()
	require.False(t, newVM.spread.Ready())
	sim.net.RunUntil(6 * time.Second)
	require.True(t, newVM.spread.Ready())
	require.Equal(t, uint64(1), newVM.spread.Version())
	require.Less(t, newVM.adopted-newVM.started, 300*ms)
}

// TestNewVMIgnoresStaleDomain starts a VM during an outage while one failure domain has
// missed a version and may answer first. The VM must not become ready with the old
// version.
func TestNewVMIgnoresStaleDomain(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed, 3, 2, 0, 2*ms)
		sim.kv.raises = map[string]int{}
		sim.apply(sim.vms[0], makeSheet(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
		sim.net.RunUntil(5 * time.Second)
		for _, stale := range sim.vms[4:] {
			sim.net.Cut(stale.host(), "kv", true)
			for _, other := range sim.vms[:4] {
				sim.net.Cut(stale.host(), other.host(), true)
			}
		}
		sim.apply(sim.vms[0], makeSheet(t, "2026-12-05", map[string]int{"clubs": 60}), "kari")
		sim.net.RunUntil(10 * time.Second)
		sim.kv.down = true
		newVM := sim.vms[3]
		sim.net.Cut(newVM.host(), sim.vms[4].host(), false)
		sim.net.Cut(newVM.host(), sim.vms[5].host(), false)
		newVM.restart()
		for !newVM.spread.Ready() && sim.net.Now() < 14*time.Second {
			sim.net.RunUntil(sim.net.Now() + ms)
		}
		require.Equal(t, uint64(2), newVM.spread.Version())
		require.Less(t, sim.net.Now()-newVM.started, 1200*ms)
	}
}

// TestOlderVersionIsNeverAdopted delivers an older version through every kind of event.
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

// TestConcurrentConflictingSheets applies two sheets at once that conflict in one row. One
// is accepted completely; if the other is refused, its fault names the row.
func TestConcurrentConflictingSheets(t *testing.T) {
	sim := newSimulation(5, 3, 2, 0, 2*ms)
	sim.kv.raises = map[string]int{}
	sim.apply(sim.vms[0], makeSheet(t, "2026-12-04", map[string]int{"clubs": 40, "coaches": 5}), "kari")
	sim.apply(sim.vms[3], makeSheet(t, "2026-12-04", map[string]int{"clubs": 30, "treasurers": 5}), "ola")
	sim.net.RunUntil(5 * time.Second)
	kari, ola := sim.applications[0].outcome, sim.applications[1].outcome
	if kari.Kind == OutcomeRefused {
		kari, ola = ola, kari
	}
	require.Equal(t, OutcomeAccepted, kari.Kind)
	if ola.Kind == OutcomeRefused {
		require.Len(t, ola.Faults, 1)
		require.Contains(t, ola.Faults[0].Problem, "clubs")
		require.Contains(t, []string{"kari", "ola"}, ola.LostRaceTo)
	}
	require.Empty(t, sim.check())
}

// TestTimeToReachEveryVM reports the time from acceptance until every VM has the version.
func TestTimeToReachEveryVM(t *testing.T) {
	for _, c := range []struct {
		domains, perDomain int
		loss               float64
		outage             bool
	}{{3, 2, 0, false}, {7, 47, 0, false}, {7, 47, 0.05, false}, {3, 2, 0, true}, {7, 47, 0, true}} {
		worst := time.Duration(0)
		for seed := range uint64(2) {
			sim := newSimulation(seed, c.domains, c.perDomain, c.loss, 3*ms)
			sim.kv.raises = map[string]int{}
			sim.net.RunUntil(5 * time.Second)
			sim.apply(sim.vms[0], makeSheet(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
			if c.outage {
				for _, v := range sim.vms[1:] {
					sim.net.Cut(v.host(), "kv", true)
				}
			}
			sim.net.RunUntil(30 * time.Second)
			require.Empty(t, sim.check()[:min(3, len(sim.check()))])
			for _, v := range sim.vms {
				worst = max(worst, v.adopted-sim.kv.swappedAt)
			}
		}
		t.Logf("%d VMs, loss %.2f, service reachable from one VM only %v: in force on every VM after %s", c.domains*c.perDomain, c.loss, c.outage, worst)
		require.Less(t, worst, 5*time.Second)
	}
}

// TestPausedWatcherDoesNotRevertVersion pauses watchers during a change and resumes them.
func TestPausedWatcherDoesNotRevertVersion(t *testing.T) {
	sim := newSimulation(3, 3, 3, 0, 2*ms)
	sim.kv.raises = map[string]int{}
	sim.apply(sim.vms[0], makeSheet(t, "2026-12-04", map[string]int{"clubs": 40}), "kari")
	sim.net.RunUntil(2 * time.Second)
	var paused []memnet.Host
	for _, v := range sim.vms[3:] {
		if v.spread.Watching() {
			paused = append(paused, v.host())
			sim.net.Pause(v.host())
		}
	}
	sim.apply(sim.vms[0], makeSheet(t, "2026-12-05", map[string]int{"clubs": 60}), "ola")
	sim.net.RunUntil(20 * time.Second)
	for _, host := range paused {
		sim.net.Resume(host)
	}
	sim.net.RunUntil(25 * time.Second)
	require.Empty(t, sim.check())
}
