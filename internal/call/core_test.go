package call

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const second = time.Second

var home = ident.Instance{VM: "a", Incarnation: 3}

func newCore(t *testing.T) *Core {
	c, err := New(DefaultConfig(home))
	require.NoError(t, err)
	return c
}

func request1(id RequestID, key string) Request {
	return Request{ID: id, Team: "clubs", Service: "ordrebok", Key: key, BodyHash: 1, Deadline: 10 * second}
}

func TestKeyRunsOnceAndIsAnsweredFromTheTable(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(home, 0) + "x"
	require.IsType(t, PickReplica{}, c.Step(second, request1(1, key))[0])
	require.IsType(t, Send{}, c.Step(second, Picked{ID: 1, Try: 1, Server: "s1"})[0])
	busy := c.Step(second, request1(2, key))[0].(Refuse)
	require.Equal(t, verdict.CauseKeyInUse, busy.Refusal.Cause)
	require.Equal(t, []Action{Answer{ID: 1, Status: 201, Body: "b"}},
		c.Step(2*second, SendEnded{ID: 1, Try: 1, Result: Replied, Status: 201, Body: "b"}))
	require.Equal(t, []Action{Answer{ID: 3, Status: 201, Body: "b", Stored: true}}, c.Step(3*second, request1(3, key)))
	other := request1(4, key)
	other.BodyHash = 2
	require.Equal(t, verdict.CauseKeyReused, c.Step(3*second, other)[0].(Refuse).Refusal.Cause)
	require.Zero(t, c.Open())
}

func TestSendThatMayHaveRunIsNotRepeated(t *testing.T) {
	c := newCore(t)
	c.Step(second, request1(1, ""))
	c.Step(second, Picked{ID: 1, Try: 1, Server: "s1"})
	require.IsType(t, PickReplica{}, c.Step(second, SendEnded{ID: 1, Try: 1, Result: ConnectFailed})[0])
	c.Step(second, Picked{ID: 1, Try: 2, Server: "s2"})
	actions := c.Step(second, SendEnded{ID: 1, Try: 2, Result: ReplyLost})
	require.Equal(t, verdict.MayHaveRun, actions[0].(Refuse).Refusal.Verdict)
}

func TestForwardAcceptedBeforeNotRunIsRefused(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(home, 0) + "x"
	c.Step(2*second, request1(1, key))
	refused := c.Step(3*second, NonePicked{ID: 1, Try: 1, Refusal: verdict.Refusal{Cause: verdict.CauseNoBackend}})
	require.Equal(t, verdict.NotRun, refused[0].(Refuse).Refusal.Verdict)
	late := request1(2, key)
	late.Forwarded = &Forwarded{From: ident.Instance{VM: "b"}, FromID: 9, Accepted: 3 * second}
	require.Equal(t, verdict.MayHaveRun, c.Step(4*second, late)[0].(Refuse).Refusal.Verdict)
	late.ID, late.Forwarded = 3, &Forwarded{From: ident.Instance{VM: "b"}, FromID: 10, Accepted: 3*second + 1}
	require.IsType(t, PickReplica{}, c.Step(4*second, late)[0])
}

func FuzzParseKey(f *testing.F) {
	f.Add("ck1.bergen-a-1.7.1764800000.x.y")
	f.Add("ck1..7.1.x")
	f.Fuzz(func(t *testing.T, text string) {
		key, ok := ParseKey(text)
		if ok {
			require.Equal(t, text, KeyPrefix(key.Home, key.IssueSecond)+key.Suffix)
		}
	})
}
