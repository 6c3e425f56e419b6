package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// newCutCore returns the Core of a VM that is cut off from the servers of a service, with peers
// in three failure domains.
func newCutCore(t *testing.T, service string, how reach.Failure) *dispatch.Core {
	c := newCore(t)
	c.SetPeers([]dispatch.Peer{{VM: "a2", Domain: "a", Addr: "a2:1"}, {VM: "a3", Domain: "a", Addr: "a3:1"}, {VM: "b1", Domain: "b", Addr: "b1:1"}, {VM: "c1", Domain: "c", Addr: "c1:1"}})
	cutOff(c, service, how)
	return c
}

func cutOff(c *dispatch.Core, service string, how reach.Failure) {
	var ids []backend.ID
	for _, s := range c.Backends.ByService(service) {
		ids = append(ids, s.ID)
	}
	c.Reach.SetServers(0, service, len(ids))
	for _, id := range ids[:3] {
		c.Reach.Failed(0, service, id, how)
	}
}

// cutsOf returns what a VM that is cut off from a service tells the others.
func cutsOf(t *testing.T, vm, service string) map[string]reach.Cut {
	other := newCutCore(t, service, reach.NoConnection)
	return reach.NewPeers().Share(0, vm, other.Reach)
}

func TestRequestsOfCutOffVMSpreadOverPeersOfItsDomain(t *testing.T) {
	c := newCutCore(t, model, reach.NoConnection)
	counts := map[backend.ID]int{}
	for i := range 100 {
		ch, refusal := c.Choose(0, streamRequest(c, fmt.Sprint(i)))
		require.Nil(t, refusal)
		require.True(t, ch.IsPeer())
		counts[ch.Target().Instance.ID]++
		c.Release(ch)
	}
	require.Len(t, counts, 2)
	require.InDelta(t, 50, counts[dispatch.PeerID("a2")], 25)
	ch, _ := c.Choose(0, plainRequest(c, 2))
	require.False(t, ch.IsPeer(), "the other service is reached")
}

func TestPeersThatAreCutOffOrRefuseAreLeftOut(t *testing.T) {
	c := newCutCore(t, model, reach.NoConnection)
	c.Receive(0, loads.Message{From: "a2", CutOff: cutsOf(t, "a2", model)})
	r := streamRequest(c, "r")
	var tried []backend.ID
	for {
		ch, refusal := c.Choose(time.Millisecond, r)
		if refusal != nil {
			require.Equal(t, verdict.CauseUnreachable, refusal.Cause)
			require.Equal(t, verdict.NotRun, refusal.Verdict)
			require.Positive(t, refusal.RetryAfter)
			break
		}
		tried = append(tried, ch.Target().Instance.ID)
		c.RecordPeerRefused(time.Millisecond, r, ch, true)
	}
	require.ElementsMatch(t, []backend.ID{dispatch.PeerID("a3"), dispatch.PeerID("b1"), dispatch.PeerID("c1")}, tried)
	require.Equal(t, dispatch.PeerID("a3"), tried[0], "its own failure domain first")
	_, refusal := c.Choose(2*time.Millisecond, streamRequest(c, "next"))
	require.NotNil(t, refusal, "known to refuse: not asked again at once")
	ch, _ := c.Choose(time.Second, streamRequest(c, "later"))
	require.True(t, ch.IsPeer())
}

// Guards against a VM that is asked again and again while its configuration is older, and against
// one that is left out for good.
func TestPeerWithOlderConfigurationGetsNothingUntilItHasCaughtUp(t *testing.T) {
	c := newCutCore(t, model, reach.NoConnection)
	c.SetPeers([]dispatch.Peer{{VM: "a2", Domain: "a", Addr: "a2:1"}})
	takes := func(now time.Duration) bool {
		ch, _ := c.Choose(now, streamRequest(c, fmt.Sprint(now)))
		require.True(t, ch == nil || ch.PeerVM() == "a2")
		return ch != nil
	}
	require.True(t, takes(0))
	c.RecordPeerOlder(0, 1, "a2")
	require.False(t, takes(time.Millisecond))
	require.False(t, takes(1999*time.Millisecond))
	require.True(t, takes(2*time.Second), "it may have caught up without a word")
	c.RecordPeerOlder(2*time.Second, 2*time.Second, "a2")
	require.False(t, takes(2*time.Second))
	c.PeerCaughtUp(2*time.Second, "a2")
	require.True(t, takes(2*time.Second))
	c.RecordPeerOlder(3*time.Second, time.Second, "a2")
	require.True(t, takes(3*time.Second), "a refusal that is read after it has caught up")
	c.RecordPeerOlder(3*time.Second, 2500*time.Millisecond, "a2")
	require.False(t, takes(3*time.Second))
}

func TestRequestIsPassedOnOnce(t *testing.T) {
	c := newCutCore(t, model, reach.NoConnection)
	r := streamRequest(c, "r")
	r.FromPeer = true
	_, refusal := c.Choose(0, r)
	require.Equal(t, verdict.CauseUnreachable, refusal.Cause)
}

// Servers that accept connections and do not answer may only have too much to do.
func TestServersThatMayOnlyBeSlowAreTriedIfNoPeerTakesTheRequest(t *testing.T) {
	c := newCutCore(t, plain, reach.NoAnswer)
	r := plainRequest(c, 2)
	r.PeerSends = 3
	ch, refusal := c.Choose(0, r)
	require.Nil(t, refusal)
	require.False(t, ch.IsPeer())
}

func TestRequestWithoutServersGoesToPeers(t *testing.T) {
	c := newCutCore(t, plain, reach.NoConnection) // the model's servers are reached
	for _, s := range c.Backends.ByService(model) {
		if s.Held.From == 0 {
			c.Backends.RecordFailure(0, s.Instance(), time.Second)
		}
	}
	ch, refusal := c.Choose(0, streamRequest(c, "r"))
	require.Nil(t, refusal)
	require.True(t, ch.IsPeer())
}

// The sends of a request are counted by the VM that decides on them, each once.
func TestSendsThatArePassedOnCountOnceAgainstTheRetryBudget(t *testing.T) {
	c := newCutCore(t, model, reach.NoConnection)
	spent := 0
	for range 400 { // UsableShare of the slack, half of it for retries: 78
		r := streamRequest(c, fmt.Sprint(spent))
		r.Sends = 1
		ch, refusal := c.Choose(0, r)
		if refusal != nil {
			require.Equal(t, verdict.CauseRetryBudget, refusal.Cause)
			break
		}
		c.RecordPeerRefused(0, r, ch, false)
		again, refusal := c.Choose(0, r)
		require.Nil(t, refusal)
		require.True(t, again.IsPeer(), "refused before it ran: not counted again")
		c.SetPeers([]dispatch.Peer{{VM: fmt.Sprint("x", spent), Addr: "x"}, {VM: fmt.Sprint("y", spent), Addr: "y"}}) // have not refused
		spent++
	}
	require.Equal(t, 78, spent)
	other := newCore(t)
	r := streamRequest(other, "r")
	r.FromPeer, r.Sends, r.CountedSends = true, 1, 1
	for range 200 {
		_, refusal := other.Choose(0, r)
		require.Nil(t, refusal, "counted by the VM that passed it on")
	}
}

func TestVMThatIsCutOffPassesNoFailuresOn(t *testing.T) {
	c := newCutCore(t, plain, reach.NoConnection)
	c.Loads.SetMembers([]loads.Member{{VM: "a1", Domain: "a"}, {VM: "a2", Domain: "a", Addr: "a2"}})
	c.RecordFailing(10*time.Millisecond, c.Backends.Get("app0").Instance())
	c.Reach.Heard(20*time.Millisecond, plain)
	for _, now := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		for _, s := range c.Tick(now) {
			require.Empty(t, s.Message.Failing)
			require.Len(t, s.Message.CutOff, 1)
		}
	}
}
