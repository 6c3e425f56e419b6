package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// network connects VMs and delivers their messages without delay. It collects the findings
// that each VM receives.
type network struct {
	t            *testing.T
	vms          map[string]*Core
	own          map[string]map[Key]Load
	disconnected map[string]bool
	now          time.Duration
	lost         map[string][]Key
	slow         map[string][]float64
}

func newNetwork(t *testing.T, domains map[string]string) *network {
	n := &network{t: t, vms: map[string]*Core{}, own: map[string]map[Key]Load{}, disconnected: map[string]bool{}, lost: map[string][]Key{}, slow: map[string][]float64{}}
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

func (n *network) round() {
	n.now += 200 * time.Millisecond
	for vm, c := range n.vms {
		if n.disconnected[vm] {
			continue
		}
		for _, s := range c.Tick(n.now, n.own[vm]) {
			if !n.disconnected[s.Addr] {
				n.record(s.Addr, n.vms[s.Addr].Receive(n.now, s.Message))
			}
		}
	}
}

func (n *network) record(vm string, findings Findings) {
	n.lost[vm] = append(n.lost[vm], findings.Lost...)
	for _, factor := range findings.Slow {
		n.slow[vm] = append(n.slow[vm], factor)
	}
}

func sixVMDomains() map[string]string {
	return map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}
}

const server Key = 7

func TestLoadsReachEveryVM(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
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

// If a VM with most of the callers multiplied its own work by the number of VMs, it would
// refuse requests although the servers are empty. It must use the received total instead.
func TestWorkOfOneVMIsNotMultiplied(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
	own := Load{Streams: 30, TokenLayers: 30000}
	n.own["c1"] = map[Key]Load{server: own}
	for range 4 {
		n.round()
	}
	require.Zero(t, n.vms["c1"].EstimateOthers(n.now, server, own).Streams)
	require.InDelta(t, 30, n.vms["a2"].EstimateOthers(n.now, server, Load{}).Streams, 1e-9)
}

func TestEstimateWithoutTotalAssumesEqualWorkInDomain(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
	own := Load{Streams: 4}
	require.InDelta(t, 8, n.vms["a1"].EstimateOthers(0, server, own).Streams, 1e-9)
	require.Zero(t, n.vms["c1"].EstimateOthers(0, server, own).Streams)
}

func TestWorkOfDeadVMExpires(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
	n.own["a2"] = map[Key]Load{server: {Streams: 9}}
	for range 4 {
		n.round()
	}
	n.disconnected["a2"] = true
	for range 40 { // 8 s
		n.round()
	}
	require.Zero(t, n.vms["b1"].EstimateOthers(n.now, server, Load{}).Streams)
}

func TestOlderMessageIsIgnored(t *testing.T) {
	c := New(DefaultConfig(), Member{VM: "a2", Domain: "a"}, 1)
	c.SetMembers([]Member{{VM: "a1", Domain: "a"}, {VM: "a2", Domain: "a"}})
	c.Receive(0, Message{From: "a1", Domain: "a", Scope: ScopeAll, Seq: 9, Loads: map[Key]PackedLoad{server: {5}}})
	c.Receive(1, Message{From: "a1", Domain: "a", Scope: ScopeAll, Seq: 8, Loads: map[Key]PackedLoad{server: {50}}})
	require.InDelta(t, 5, c.EstimateOthers(2, server, Load{}).Streams, 1e-9)
}

func TestLostServerReachesEveryVMOnce(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
	require.True(t, n.vms["b2"].RecordLost(n.now, server))
	require.False(t, n.vms["b2"].RecordLost(n.now, server), "already known")
	for range 5 {
		n.round()
	}
	for vm := range n.vms {
		if vm == "b2" {
			continue
		}
		require.Equal(t, []Key{server}, n.lost[vm], vm)
	}
	for range 10 { // the finding must expire and not circulate forever
		n.round()
	}
	require.Len(t, n.lost["a1"], 1)
}

func TestSlowdownAndRecoveryReachEveryVMOnce(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
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

// A message of findings carries no loads. A VM that took it for loads would count the sender's
// work as none.
func TestFindingsOfAMessageWithoutLoadsAreRead(t *testing.T) {
	n := newNetwork(t, sixVMDomains())
	n.own["a1"][7] = Load{Streams: 5}
	for range 3 {
		n.round()
	}
	require.Len(t, n.vms["a2"].Others(), 5)
	before := n.vms["a2"].EstimateOthers(n.now, 7, Load{})
	for _, scope := range []Scope{ScopeFindings, ScopeFindings + 5} {
		m := n.vms["a1"].LostMessage([]Key{Key(scope)})
		m.Scope = scope
		require.Equal(t, []Key{Key(scope)}, n.vms["a2"].Receive(n.now, m).Lost)
	}
	require.Equal(t, before, n.vms["a2"].EstimateOthers(n.now, 7, Load{}))
	require.NotZero(t, before.Streams)
}

// The aggregator's sum changed in its last digits with the order of a map.
func TestSumsAreTheSameEachTime(t *testing.T) {
	const vms, servers = 12, 200
	members := []Member{{VM: "a00", Domain: "a"}}
	for i := 1; i < vms; i++ {
		members = append(members, Member{VM: fmt.Sprintf("a%02d", i), Domain: "a"}, Member{VM: fmt.Sprintf("z%02d", i), Domain: fmt.Sprint("z", i)})
	}
	sums := func() (out [servers]Load) {
		c := New(DefaultConfig(), members[0], 1)
		c.SetMembers(members)
		for i, m := range members[1:] {
			loads := map[Key]Load{}
			for k := range Key(servers) {
				loads[k] = Load{TokenLayers: 1000 * float64(int(k+1)*i*i*i)}
			}
			scope := ScopeDomain
			if m.Domain == "a" {
				scope = ScopeVM
			}
			c.Receive(0, Message{From: m.VM, Domain: m.Domain, Scope: scope, Seq: 1, Loads: pack(loads)})
		}
		own := map[Key]Load{}
		for k := range Key(servers) {
			own[k] = Load{TokenLayers: 1 / float64(k+3)}
		}
		c.Tick(0, own)
		for k := range Key(servers) {
			out[k], _ = c.LastTotal(0, k)
		}
		return out
	}
	first := sums()
	require.Positive(t, first[servers-1].TokenLayers)
	for range 20 {
		require.Equal(t, first, sums())
	}
}
