package loads

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// net is some VMs that hand each other their messages at once.
type net struct {
	t    *testing.T
	vms  map[string]*Core
	own  map[string]map[Key]Load
	cut  map[string]bool
	now  time.Duration
	news map[string][]Key
	slow map[string][]float64
}

func newNet(t *testing.T, domains map[string]string) *net {
	n := &net{t: t, vms: map[string]*Core{}, own: map[string]map[Key]Load{}, cut: map[string]bool{}, news: map[string][]Key{}, slow: map[string][]float64{}}
	var members []Member
	for vm, domain := range domains {
		members = append(members, Member{VM: vm, Domain: domain, Addr: vm})
	}
	for _, m := range members {
		n.vms[m.VM] = New(DefaultConfig(), m, 1)
		n.vms[m.VM].SetMembers(members)
		n.own[m.VM] = map[Key]Load{}
	}
	return n
}

func (n *net) round() {
	n.now += 200 * time.Millisecond
	for vm, c := range n.vms {
		if n.cut[vm] {
			continue
		}
		for _, s := range c.Tick(n.now, n.own[vm]) {
			if !n.cut[s.Addr] {
				n.took(s.Addr, n.vms[s.Addr].Receive(n.now, s.Message))
			}
		}
	}
}

func (n *net) took(vm string, news Findings) {
	n.news[vm] = append(n.news[vm], news.Lost...)
	for _, x := range news.Slow {
		n.slow[vm] = append(n.slow[vm], x)
	}
}

func sixVMs() map[string]string {
	return map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}
}

const server Key = 7

func TestEveryVMKnowsTheWorkOfAll(t *testing.T) {
	n := newNet(t, sixVMs())
	total := 0.0
	for i, vm := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
		load := Load{Streams: float64(i + 1), TokenLayers: float64(100 * (i + 1))}
		n.own[vm] = map[Key]Load{server: load}
		total += load.Streams
	}
	for range 4 {
		n.round()
	}
	for vm, c := range n.vms {
		own := n.own[vm][server]
		require.InDelta(t, total, own.Streams+c.EstimateOthers(n.now, server, own).Streams, 1e-9, vm)
	}
}

// The estimate before the exchange of loads was own work times the number of VMs:
// a VM with most of the callers refused requests while the servers were empty.
func TestWorkOfOneVMIsNotMultiplied(t *testing.T) {
	n := newNet(t, sixVMs())
	own := Load{Streams: 30, TokenLayers: 30000}
	n.own["c1"] = map[Key]Load{server: own}
	for range 4 {
		n.round()
	}
	require.Zero(t, n.vms["c1"].EstimateOthers(n.now, server, own).Streams)
	require.InDelta(t, 30, n.vms["a2"].EstimateOthers(n.now, server, Load{}).Streams, 1e-9)
}

func TestSilenceFallsBackToTheNeighboursWorkingAlike(t *testing.T) {
	n := newNet(t, sixVMs())
	own := Load{Streams: 4}
	require.InDelta(t, 8, n.vms["a1"].EstimateOthers(0, server, own).Streams, 1e-9)
	require.Zero(t, n.vms["c1"].EstimateOthers(0, server, own).Streams)
}

func TestADeadVMsWorkIsForgotten(t *testing.T) {
	n := newNet(t, sixVMs())
	n.own["a2"] = map[Key]Load{server: {Streams: 9}}
	for range 4 {
		n.round()
	}
	n.cut["a2"] = true
	for range 40 { // 8 s
		n.round()
	}
	require.Zero(t, n.vms["b1"].EstimateOthers(n.now, server, Load{}).Streams)
}

func TestOlderMessageChangesNothing(t *testing.T) {
	c := New(DefaultConfig(), Member{VM: "a2", Domain: "a"}, 1)
	c.SetMembers([]Member{{VM: "a1", Domain: "a"}, {VM: "a2", Domain: "a"}})
	c.Receive(0, Message{From: "a1", Domain: "a", Scope: ScopeAll, Seq: 9, Loads: map[Key]PackedLoad{server: {5}}})
	c.Receive(1, Message{From: "a1", Domain: "a", Scope: ScopeAll, Seq: 8, Loads: map[Key]PackedLoad{server: {50}}})
	require.InDelta(t, 5, c.EstimateOthers(2, server, Load{}).Streams, 1e-9)
}

func TestALostServerIsToldToAllOnce(t *testing.T) {
	n := newNet(t, sixVMs())
	require.True(t, n.vms["b2"].RecordLost(n.now, server))
	require.False(t, n.vms["b2"].RecordLost(n.now, server), "known already")
	for range 5 {
		n.round()
	}
	for vm := range n.vms {
		if vm == "b2" {
			continue
		}
		require.Equal(t, []Key{server}, n.news[vm], vm)
	}
	for range 10 { // the news ages out and does not go round for ever
		n.round()
	}
	require.Len(t, n.news["a1"], 1)
}

func TestASlowServerIsToldToAllOnceAndSoIsItsRecovery(t *testing.T) {
	n := newNet(t, sixVMs())
	n.vms["b2"].RecordSlowdown(n.now, server, 3)
	for range 15 {
		n.round()
	}
	n.vms["c1"].RecordSlowdown(n.now, server, 1)
	for range 15 {
		n.round()
	}
	for vm := range n.vms {
		switch vm {
		case "b2":
			require.Equal(t, []float64{1}, n.slow[vm])
		case "c1":
			require.Equal(t, []float64{3}, n.slow[vm])
		default:
			require.Equal(t, []float64{3, 1}, n.slow[vm], vm)
		}
	}
}
