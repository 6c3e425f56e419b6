package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
)

const (
	name = "service"
	ms   = time.Millisecond
)

var servers = []backend.ID{"a", "b", "c", "d", "e"}

func list(servers []backend.ID) func() []backend.ID {
	return func() []backend.ID { return servers }
}

func TestVMIsCutOffIfAllProbesFail(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, len(servers))
	require.Empty(t, c.Probes(0, name, list(servers), 0))
	c.Heard(0, name)
	require.False(t, c.Failed(10*ms, name, "a", NoConnection))
	require.Empty(t, c.Probes(15*ms, name, list(servers), 0), "others may still respond")
	probes := c.Probes(100*ms, name, list(servers), 0)
	require.Len(t, probes, 2)
	require.NotContains(t, probes, backend.ID("a"))
	require.Empty(t, c.Probes(150*ms, name, list(servers), 0), "in progress")
	require.False(t, c.Failed(500*ms, name, probes[0], NoConnection))
	require.True(t, c.Failed(500*ms, name, probes[1], NoConnection))
	require.True(t, c.CutOff(name))
	require.True(t, c.Unreachable(name))
	require.False(t, c.Failed(510*ms, name, "e", NoConnection), "known")
}

func TestServerThatFailsAloneLeavesNoDoubt(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, len(servers))
	for i := range 100 {
		now := time.Duration(i) * 20 * ms
		require.False(t, c.Failed(now, name, servers[i%2], NoConnection))
		c.Heard(now+5*ms, name)
		require.Empty(t, c.Probes(now+10*ms, name, list(servers), 10))
	}
}

func TestSilentRunsAreProbed(t *testing.T) {
	c := New(DefaultConfig())
	c.Heard(0, name)
	require.Empty(t, c.Probes(200*ms, name, list(servers), 10))
	require.Empty(t, c.Probes(400*ms, name, list(servers), 2), "two runs may be slow")
	require.Len(t, c.Probes(400*ms, name, list(servers), 10), 3)
	require.False(t, c.ProbeSucceeded(410*ms, name))
	require.Empty(t, c.Probes(600*ms, name, list(servers), 10))
}

func TestOnlyAProbeEndsACut(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, len(servers))
	for _, id := range servers[:3] {
		c.Failed(0, name, id, NoConnection)
	}
	require.True(t, c.CutOff(name))
	c.Heard(100*ms, name)
	require.True(t, c.CutOff(name), "an old connection")
	seen := map[backend.ID]bool{}
	for i := range servers {
		require.Empty(t, c.Probes(time.Duration(i)*250*ms-ms, name, list(servers), 0))
		probes := c.Probes(time.Duration(i)*250*ms, name, list(servers), 0)
		require.Len(t, probes, 1)
		seen[probes[0]] = true
	}
	require.Len(t, seen, len(servers), "all servers in turn")
	require.True(t, c.ProbeSucceeded(2*time.Second, name))
	require.False(t, c.CutOff(name))
}

func TestNewServerIsProbedAtOnce(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, 1)
	require.True(t, c.Failed(0, name, "a", NoConnection), "the only one")
	require.Len(t, c.Probes(0, name, list(servers[:1]), 0), 1)
	require.Empty(t, c.Probes(10*ms, name, list(servers), 0))
	c.ServerAdded(20*ms, name)
	require.Len(t, c.Probes(20*ms, name, list(servers), 0), 1)
}

func TestServersThatOnlyDoNotAnswerMayBeTriedAgain(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, len(servers))
	c.Failed(0, name, "a", NoConnection)
	c.Failed(0, name, "b", NoAnswer)
	require.True(t, c.Failed(0, name, "c", NoConnection))
	require.False(t, c.Unreachable(name))
	c.Failed(ms, name, "b", NoConnection)
	require.True(t, c.Unreachable(name))
}

func TestServicesAreJudgedApart(t *testing.T) {
	c := New(DefaultConfig())
	c.SetServers(0, name, 1)
	c.SetServers(0, "other", 1)
	c.Failed(0, name, "a", NoConnection)
	require.True(t, c.CutOff(name))
	require.False(t, c.CutOff("other"))
	c.Forget(func(n string) bool { return n != name })
	require.False(t, c.CutOff(name))
}
