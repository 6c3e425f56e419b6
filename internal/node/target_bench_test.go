package node

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// targetSnapshot returns an accepted configuration that limits every team on every model
// in both units.
func targetSnapshot(tb testing.TB, teams, models int) config.Snapshot {
	tb.Helper()
	var text strings.Builder
	text.WriteString("day,team,service,limit,unit\n")
	for t := range teams {
		for m := range models {
			for _, unit := range config.Units {
				fmt.Fprintf(&text, "2026-12-04,team-%04d,model-%02d,%d,%s\n", t, m, 100+t, unit)
			}
		}
	}
	sheet, faults := config.ParseSheet("target.csv", []byte(text.String()))
	require.Empty(tb, faults)
	apply, err := config.NewApply(config.DefaultApplyConfig(), sheet, "morning", nil)
	require.NoError(tb, err)
	for _, ev := range []config.ApplyEvent{config.ApplyBegin{}, config.HeadLoaded{}, config.PartsStored{}, config.HeadSwapped{}} {
		apply.Step(0, ev)
	}
	snapshot, created := apply.Result()
	require.True(tb, created)
	return snapshot
}

func targetServers(replicas, stages int) []peer.BackendServer {
	var servers []peer.BackendServer
	for r := range replicas {
		for s := range stages {
			servers = append(servers, peer.BackendServer{
				ID: ident.BackendServer(fmt.Sprintf("model-%02d-%03d-s%d", r%18, r, s)), VM: ident.VM(fmt.Sprintf("engine-%03d-%d", r, s)),
				Place: ident.Place{Region: "vestland", FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", r%7))},
				Kind:  peer.KindEngine, Service: ident.Service(fmt.Sprintf("model-%02d", r%18)),
				Addr: fmt.Sprintf("10.%d.%d.%d:9000", r/250, r%250, s), Replica: fmt.Sprintf("r%03d", r),
				LayerFrom: s * 10, LayerTo: s*10 + 10, LayersTotal: stages * 10, Accelerator: "a100", AcceptsWork: true,
			})
		}
	}
	return servers
}

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

func newTestControl(tb testing.TB) *Control {
	tb.Helper()
	c, err := NewControl(DefaultControlConfig(ControlSettings{
		Self: ident.Instance{VM: "a", Incarnation: 1}, ControlAddr: "127.0.0.1:1", EntryAddr: "127.0.0.1:2", EntryPeerAddr: "127.0.0.1:3",
		Place: ident.Place{Region: "vestland", FailureDomain: "d"}, Seed: 1,
	}))
	require.NoError(tb, err)
	return c
}

// BenchmarkTargetState measures the memory of both cores and the size of the snapshot sent
// to the entry process, up to the target size: 1,100 teams by 18 models in two units, 600
// replicas of 8 stages.
func BenchmarkTargetState(b *testing.B) {
	for _, size := range []struct{ teams, models, replicas, stages int }{{10, 2, 40, 3}, {275, 18, 150, 8}, {550, 18, 300, 8}, {1100, 18, 600, 8}} {
		b.Run(fmt.Sprintf("limits=%d/servers=%d", size.teams*size.models*2, size.replicas*size.stages), func(b *testing.B) {
			for range b.N {
				measureTarget(b, targetSnapshot(b, size.teams, size.models), targetServers(size.replicas, size.stages))
			}
		})
	}
}

func measureTarget(b *testing.B, snapshot config.Snapshot, servers []peer.BackendServer) {
	before := heapMB()
	c := newTestControl(b)
	started := time.Now()
	c.handleSpreadActions(0, c.spread.Step(0, config.SelfApplied{Snapshot: snapshot}))
	b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "ms/adopt")
	c.Step(0, ServersListed{Servers: servers})
	b.ReportMetric(heapMB()-before, "MB/control")
	reply := c.snapshotSince(peer.SnapshotVersions{})
	raw, err := cbor.Marshal(reply)
	require.NoError(b, err)
	b.ReportMetric(float64(len(raw))/1e6, "MB/snapshot")
	beforeEntry := heapMB()
	h := newHarness(b, 1, 1, 1)
	h.step(Snapshot{Reply: reply})
	b.ReportMetric(heapMB()-beforeEntry, "MB/entry")
	runtime.KeepAlive(c)
	runtime.KeepAlive(h)
	runtime.KeepAlive(snapshot)
}
