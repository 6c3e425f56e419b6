package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeSheet returns a sheet with a row for each team, service and unit.
func largeSheet(t testing.TB, day string, teams, services int, value func(team, service int) int) Sheet {
	var b strings.Builder
	b.WriteString("day,team,service,limit,unit\n")
	for team := range teams {
		for service := range services {
			for _, unit := range Units {
				fmt.Fprintf(&b, "%s,team-%04d,model-%02d,%d,%s\n", day, team, service, value(team, service), unit)
			}
		}
	}
	sheet, faults := ParseSheet("big.csv", []byte(b.String()))
	require.Empty(t, faults)
	return sheet
}

func largeState(t testing.TB) State {
	state, faults := Evaluate(State{}, "", largeSheet(t, "2026-12-04", 1100, 18, func(int, int) int { return 1000 }))
	require.Empty(t, faults)
	return state
}

// TestPartSizesAtTargetScale reports the sizes for 1,100 teams by 18 models by 2 units. A
// part must stay below 1 MiB, the largest value of the key-value service.
func TestPartSizesAtTargetScale(t *testing.T) {
	state := largeState(t)
	total, largest := 0, 0
	head := Head{Version: 1, Day: "2026-12-04", Parts: state.Hashes()}
	for _, text := range newSnapshot(head, state).Parts {
		total += len(text)
		largest = max(largest, len(text))
	}
	text, err := json.Marshal(head)
	require.NoError(t, err)
	t.Logf("%d limits: %d bytes in %d parts, the largest %d; head %d bytes", state.Len(), total, PartCount, largest, len(text))
	require.Less(t, largest, 1<<20)
}

// TestSpreadTrafficAtTargetScale reports the bytes that a VM sends to its peers when idle
// and for each change of one limit.
func TestSpreadTrafficAtTargetScale(t *testing.T) {
	state := largeState(t)
	for _, size := range []struct{ domains, perDomain int }{{3, 2}, {7, 47}} {
		sim := newSimulation(1, size.domains, size.perDomain, 0, 3*ms)
		sim.kv.raises = map[string]int{}
		sim.preload(state)
		sim.net.RunUntil(10 * time.Second)
		sim.countBytes = true
		sim.net.RunUntil(30 * time.Second)
		vms := float64(len(sim.vms))
		idle := float64(sim.bytesSent()) / vms / 20
		const changes = 4
		for i := range changes {
			sim.apply(sim.vms[i], makeSheet(t, "2026-12-05", map[string]int{fmt.Sprintf("team-%04d", i): 5}), "ola")
			sim.net.RunUntil(sim.net.Now() + 5*time.Second)
		}
		require.Empty(t, sim.check())
		perChange := (float64(sim.bytesSent())/vms - idle*(20+5*changes)) / changes
		perSecond := idle + 510*perChange/86400
		t.Logf("%d VMs: idle %.0f B/s for each VM, %.0f B for each change, %.0f B/s at 510 changes a day", len(sim.vms), idle, perChange, perSecond)
		require.Less(t, perSecond, 1000.0)
	}
}

// preload puts a state in force on all VMs without decoding it on each.
func (sim *simulation) preload(state State) {
	head := Head{Version: 1, Day: "2026-12-04", Parts: state.Hashes()}
	snapshot := newSnapshot(head, state)
	sim.kv.head, sim.kv.revision, sim.kv.state = head, 1, state
	maps.Copy(sim.kv.parts, snapshot.Texts())
	for _, v := range sim.vms {
		v.step(SelfApplied{Snapshot: snapshot})
	}
}

func (sim *simulation) bytesSent() int {
	total := 0
	for _, n := range sim.bytes {
		total += n
	}
	return total
}

func BenchmarkParseSheet(b *testing.B) {
	text := []byte("day,team,service,limit,unit\n")
	for team := range 1100 {
		for model := range 18 {
			text = fmt.Appendf(text, "2026-12-04,team-%04d,model-%02d,1000,tokens/s\n", team, model)
		}
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, faults := ParseSheet("b.csv", text); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

// BenchmarkAssemble decodes a complete version, as a starting VM does.
func BenchmarkAssemble(b *testing.B) {
	benchmarkAssemble(b, func(state State) State { return State{} })
}

// BenchmarkAssembleChange decodes a version that differs from the held one in one limit.
func BenchmarkAssembleChange(b *testing.B) {
	benchmarkAssemble(b, func(state State) State {
		key := state.Keys()[0]
		return state.with(map[LimitKey]Limit{key: {Value: 1}})
	})
}

func benchmarkAssemble(b *testing.B, base func(State) State) {
	state := largeState(b)
	head := Head{Version: 1, Parts: state.Hashes()}
	texts, held := newSnapshot(head, state).Texts(), base(state)
	b.ReportAllocs()
	for b.Loop() {
		snapshot, err := Assemble(head, texts, held)
		if err != nil {
			b.Fatal(err)
		}
		snapshot.State.Join(held)
	}
}
