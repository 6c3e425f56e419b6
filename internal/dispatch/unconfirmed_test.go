package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/poison"
)

// A VM whose links are cut took the servers for failed, and the others avoided them.
func TestFailuresArePassedOnOnlyAfterAnotherServerResponded(t *testing.T) {
	c := newCore(t)
	c.Loads.SetMembers([]loads.Member{{VM: "a1", Domain: "a"}, {VM: "a2", Domain: "a", Addr: "a2"}})
	failing := func(now time.Duration) int {
		n := 0
		for _, s := range c.Tick(now) {
			n += len(s.Message.Failing)
		}
		return n
	}
	s := c.Backends.Get("app0")
	c.RecordFailing(10*time.Millisecond, s.Instance())
	require.True(t, s.Suspect(20*time.Millisecond), "this VM avoids it at once")
	require.Zero(t, failing(100*time.Millisecond))
	c.Reach.Heard(150*time.Millisecond, plain)
	require.Equal(t, 1, failing(200*time.Millisecond))
}

// The connections of a VM to all servers are reset, one after the other: that blocks nothing.
func TestCrashesCountOnlyAfterAnotherServerResponded(t *testing.T) {
	c := newCore(t)
	r := plainRequest(c, 3)
	r.Subject.Request = poison.RequestPart("popular")
	crash := func(at time.Duration, id string) {
		s := c.Backends.Get(backend.ID(id))
		c.RecordCrash(at, at-10*time.Millisecond, r, s.Instance(), false)
	}
	blocked := func(now time.Duration) bool {
		c.ConfirmCrashes(now)
		_, blocked := c.Poison.Find(now, r.Subject)
		return blocked
	}
	crash(100*time.Millisecond, "app0")
	crash(200*time.Millisecond, "app1")
	crash(300*time.Millisecond, "app2")
	require.False(t, blocked(500*time.Millisecond))
	c.RecordResponse(600*time.Millisecond, 550*time.Millisecond, c.Backends.Get("app0").Instance())
	require.False(t, blocked(700*time.Millisecond), "the links may have been down until a moment ago")
}

// What the store says of a server is evidence without a response of another.
func TestCrashesOfServersThatAreGoneCount(t *testing.T) {
	c := newCore(t)
	r := plainRequest(c, 3)
	r.Subject.Request = poison.RequestPart("deadly")
	for i, id := range []string{"app0", "app1"} {
		at := time.Duration(i+1) * 100 * time.Millisecond
		c.RecordCrash(at, at-10*time.Millisecond, r, c.Backends.Get(backend.ID(id)).Instance(), i == 0)
	}
	c.Backends.Remove(time.Second, "app0", 0, false)
	c.Backends.Remove(time.Second, "app1", 0, false)
	c.ConfirmCrashes(time.Second)
	_, refusal := c.Choose(2*time.Second, r)
	require.NotNil(t, refusal)
	require.Positive(t, refusal.RetryAfter)
	require.Contains(t, refusal.Detail, "crashes backend servers")
}
