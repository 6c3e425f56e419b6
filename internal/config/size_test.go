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

// bigSheet is a sheet of teams by services, requests/s and tokens/s each.
func bigSheet(t testing.TB, day string, teams, services int, value func(team, service int) int) Sheet {
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

func bigState(t testing.TB) State {
	state, faults := Evaluate(State{}, "", bigSheet(t, "2026-12-04", 1100, 18, func(int, int) int { return 1000 }))
	require.Empty(t, faults)
	return state
}

// TestSizesAtTarget reports the sizes of 1,100 teams by 18 models by 2 units.
func TestSizesAtTarget(t *testing.T) {
	state := bigState(t)
	whole, largest := 0, 0
	head := Head{Version: 1, Day: "2026-12-04", Parts: state.Hashes()}
	for _, text := range newSnapshot(head, state).Parts {
		whole += len(text)
		largest = max(largest, len(text))
	}
	text, err := json.Marshal(head)
	require.NoError(t, err)
	t.Logf("%d limits: %d bytes in %d parts, the largest %d; head %d bytes", state.Len(), whole, PartCount, largest, len(text))
	require.Less(t, largest, 1<<20)
}

// TestBytesOfSpreading reports what a VM sends to its peers: idle, and for each
// change of one limit, at the target's size.
func TestBytesOfSpreading(t *testing.T) {
	state := bigState(t)
	for _, size := range []struct{ domains, perDomain int }{{3, 2}, {7, 47}} {
		w := newWorld(1, size.domains, size.perDomain, 0, 3*ms)
		w.kv.raised = map[string]int{}
		w.preload(state)
		w.net.RunUntil(10 * time.Second)
		w.count = true
		w.net.RunUntil(30 * time.Second)
		vms := float64(len(w.vms))
		idle := float64(w.sent()) / vms / 20
		const changes = 4
		for i := range changes {
			w.apply(w.vms[i], sheetOf(t, "2026-12-05", map[string]int{fmt.Sprintf("team-%04d", i): 5}), "ola")
			w.net.RunUntil(w.net.Now() + 5*time.Second)
		}
		require.Empty(t, w.check())
		change := (float64(w.sent())/vms - idle*(20+5*changes)) / changes
		day := idle + 510*change/86400
		t.Logf("%d VMs: idle %.0f B/s for each VM, %.0f B for each change, %.0f B/s at 510 changes a day", len(w.vms), idle, change, day)
		require.Less(t, day, 1000.0)
	}
}

// preload puts a state in force everywhere, without decoding it on each VM.
func (w *world) preload(state State) {
	head := Head{Version: 1, Day: "2026-12-04", Parts: state.Hashes()}
	snapshot := newSnapshot(head, state)
	w.kv.head, w.kv.revision, w.kv.state = head, 1, state
	maps.Copy(w.kv.parts, snapshot.Texts())
	for _, v := range w.vms {
		v.step(SelfApplied{Snapshot: snapshot})
	}
}

func (w *world) sent() int {
	total := 0
	for _, n := range w.bytes {
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

// BenchmarkAssemble decodes a whole version, as a fresh VM does.
func BenchmarkAssemble(b *testing.B) {
	benchmarkAssemble(b, func(state State) State { return State{} })
}

// BenchmarkAssembleChange decodes a version of which one limit is new here.
func BenchmarkAssembleChange(b *testing.B) {
	benchmarkAssemble(b, func(state State) State {
		key := state.Keys()[0]
		return state.with(map[LimitKey]Limit{key: {Value: 1}})
	})
}

func benchmarkAssemble(b *testing.B, base func(State) State) {
	state := bigState(b)
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
