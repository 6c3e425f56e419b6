package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutReachesOtherVMsAndEnds(t *testing.T) {
	cutVM := New(DefaultConfig())
	cutVM.SetServers(0, name, 1)
	cutVM.Failed(0, name, "a", NoConnection)
	own, aggregator, other := NewPeers(), NewPeers(), NewPeers()
	sound := New(DefaultConfig())
	require.True(t, aggregator.Receive(5*ms, "aggregator", own.Share(0, "cut", cutVM)))
	require.True(t, other.Receive(10*ms, "other", aggregator.Share(5*ms, "aggregator", sound)))
	require.True(t, other.CutOff(20*ms, "cut", name))
	require.False(t, other.CutOff(20*ms, "cut", "another service"))
	require.False(t, other.CutOff(20*ms, "aggregator", name))
	require.False(t, other.Receive(200*ms, "other", aggregator.Share(200*ms, "aggregator", sound)), "nothing newer")
	cutVM.ProbeSucceeded(300*ms, name)
	require.True(t, other.CutOff(310*ms, "cut", name))
	require.True(t, other.Receive(310*ms, "other", own.Share(300*ms, "cut", cutVM)))
	require.False(t, other.CutOff(320*ms, "cut", name))
	require.Empty(t, other.Share(3*time.Second, "other", sound))
	require.Empty(t, own.Share(3*time.Second, "cut", cutVM))
}

// The order of the services changed with each message, and each change was passed on at once.
func TestUnchangedCutsAreNoNews(t *testing.T) {
	cutVM := New(DefaultConfig())
	for i := range 8 {
		service := fmt.Sprint("service-", i)
		cutVM.SetServers(0, service, 1)
		cutVM.Failed(0, service, "a", NoConnection)
	}
	own, other := NewPeers(), NewPeers()
	require.True(t, other.Receive(0, "other", own.Share(0, "cut", cutVM)))
	for i := range 100 {
		now := time.Duration(i+1) * 10 * ms
		require.False(t, other.Receive(now, "other", own.Share(now, "cut", cutVM)))
	}
}

func TestCutOfSilentVMIsForgotten(t *testing.T) {
	p := NewPeers()
	require.True(t, p.Receive(0, "self", map[string]Cut{"cut": {Services: []uint32{serviceHash(name)}}}))
	require.True(t, p.CutOff(cutTTL, "cut", name))
	require.False(t, p.CutOff(cutTTL+ms, "cut", name))
	require.Empty(t, p.Share(shareTTL+ms, "self", New(DefaultConfig())), "no longer passed on")
}

func TestInvalidCutsAreIgnored(t *testing.T) {
	p := NewPeers()
	require.False(t, p.Receive(time.Second, "self", map[string]Cut{"self": {}, "future": {Age: -1}, "old": {Age: time.Minute}, "large": {Services: make([]uint32, maxCutServices+1)}}))
	many := map[string]Cut{}
	for i := range 2 * maxSharedCuts {
		many[fmt.Sprint(i)] = Cut{Services: []uint32{serviceHash(name)}}
	}
	p.Receive(time.Second, "self", many)
	require.Len(t, p.cuts, maxSharedCuts)
}
