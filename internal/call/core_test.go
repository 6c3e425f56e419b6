package call

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const second = time.Second

var homeInstance = ident.Instance{VM: "a", Incarnation: 3}

func newCore(t *testing.T) *Core {
	c, err := New(DefaultConfig(homeInstance))
	require.NoError(t, err)
	return c
}

func newRequest(id RequestID, key string) Request {
	return Request{ID: id, Team: "clubs", Service: "ordrebok", Key: key, BodyHash: 1, Deadline: 10 * second}
}

func TestKeyRunsOnceThenRepliesFromTable(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(homeInstance, 0) + "x"
	require.IsType(t, PickReplica{}, c.Step(second, newRequest(1, key))[0])
	require.IsType(t, Send{}, c.Step(second, Picked{ID: 1, Try: 1, Server: "s1"})[0])
	busy := c.Step(second, newRequest(2, key))[0].(Refuse)
	require.Equal(t, verdict.CauseKeyInUse, busy.Refusal.Cause)
	require.Equal(t, []Action{Answer{ID: 1, Status: 201, Body: "b"}},
		c.Step(2*second, SendEnded{ID: 1, Try: 1, Result: Replied, Status: 201, Body: "b"}))
	require.Equal(t, []Action{Answer{ID: 3, Status: 201, Body: "b", Stored: true}}, c.Step(3*second, newRequest(3, key)))
	other := newRequest(4, key)
	other.BodyHash = 2
	require.Equal(t, verdict.CauseKeyReused, c.Step(3*second, other)[0].(Refuse).Refusal.Cause)
	require.Zero(t, c.OpenRequests())
}

func TestSendThatMayHaveRunIsNotRetried(t *testing.T) {
	c := newCore(t)
	c.Step(second, newRequest(1, ""))
	c.Step(second, Picked{ID: 1, Try: 1, Server: "s1"})
	require.IsType(t, PickReplica{}, c.Step(second, SendEnded{ID: 1, Try: 1, Result: ConnectFailed})[0])
	c.Step(second, Picked{ID: 1, Try: 2, Server: "s2"})
	actions := c.Step(second, SendEnded{ID: 1, Try: 2, Result: ReplyLost})
	require.Equal(t, verdict.MayHaveRun, actions[0].(Refuse).Refusal.Verdict)
}

// forwardedRequest returns a request that another entry forwarded.
func forwardedRequest(id, fromID RequestID, key string, accepted time.Duration) Request {
	r := newRequest(id, key)
	r.Deadline = 1000 * second
	r.Forwarded = &Forwarded{From: ident.Instance{VM: "b"}, FromID: fromID, AcceptedAt: accepted}
	return r
}

func requireRefusal(t *testing.T, actions []Action) verdict.Refusal {
	require.NotEmpty(t, actions)
	require.IsType(t, Refuse{}, actions[0])
	return actions[0].(Refuse).Refusal
}

var noReplica = verdict.Refusal{Cause: verdict.CauseNoBackend}

func TestForwardAcceptedBeforeNotRunIsRefused(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(homeInstance, 0) + "x"
	c.Step(2*second, newRequest(1, key))
	require.Equal(t, verdict.NotRun, requireRefusal(t, c.Step(3*second, NonePicked{ID: 1, Try: 1, Refusal: noReplica})).Verdict)
	require.Equal(t, verdict.MayHaveRun, requireRefusal(t, c.Step(4*second, forwardedRequest(2, 9, key, 3*second))).Verdict)
	require.IsType(t, PickReplica{}, c.Step(4*second, forwardedRequest(3, 10, key, 3*second+1))[0])
}

func TestForwardOlderThanTombstonesIsRefused(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(homeInstance, 0) + "x"
	c.Step(2*second, newRequest(1, key))
	c.Step(3*second, NonePicked{ID: 1, Try: 1, Refusal: noReplica})
	c.Step(90*second, Tick{})
	require.Equal(t, verdict.MayHaveRun, requireRefusal(t, c.Step(90*second, forwardedRequest(2, 9, key, 2*second))).Verdict)
}

func TestForwardFromFutureIsRestamped(t *testing.T) {
	c := newCore(t)
	require.Equal(t, []Action{Restamp{ID: 2}}, c.Step(4*second, forwardedRequest(2, 9, KeyPrefix(homeInstance, 0)+"x", 5*second)))
	require.Zero(t, c.OpenRequests())
}

// TestRetriedForwardGetsSameNotRun retries a forward whose answer was lost. The repeated
// NotRun must also refuse attempts that were accepted since the first one.
func TestRetriedForwardGetsSameNotRun(t *testing.T) {
	c := newCore(t)
	key := KeyPrefix(homeInstance, 0) + "x"
	c.Step(2*second, forwardedRequest(1, 9, key, 2*second))
	require.Equal(t, verdict.NotRun, requireRefusal(t, c.Step(3*second, NonePicked{ID: 1, Try: 1, Refusal: noReplica})).Verdict)
	require.Equal(t, verdict.NotRun, requireRefusal(t, c.Step(5*second, forwardedRequest(2, 9, key, 2*second))).Verdict)
	require.Equal(t, verdict.MayHaveRun, requireRefusal(t, c.Step(6*second, forwardedRequest(3, 10, key, 4*second))).Verdict)
}

// TestClaimNotRunWaitsForRecordedOutcome loses the reply to the outcome's write: NotRun
// must not be given before the record is confirmed.
func TestClaimNotRunWaitsForRecordedOutcome(t *testing.T) {
	c := newCore(t)
	c.Step(second, newRequest(1, "order-7"))
	claim := c.Step(second, Picked{ID: 1, Try: 1, Server: "s1"})[0].(Claim)
	c.Step(second, ClaimEnded{ID: 1, Result: WriteApplied, Record: claim.Record, Revision: 4})
	c.Step(second, SendEnded{ID: 1, Try: 1, Result: NotRunByServer})
	actions := c.Step(second, NonePicked{ID: 1, Try: 2, Refusal: noReplica})
	require.Len(t, actions, 1)
	outcome := actions[0].(RecordOutcome)
	require.Equal(t, StateNotRun, outcome.Record.State)
	require.Empty(t, c.Step(2*second, OutcomeRecorded{ID: 1, Result: WriteUnknown}))
	require.IsType(t, RecordOutcome{}, c.Step(3*second, Tick{})[0])
	stands := OutcomeRecorded{ID: 1, Result: WriteConflict, Record: outcome.Record, Revision: 5}
	require.Equal(t, verdict.NotRun, requireRefusal(t, c.Step(3*second, stands)).Verdict)
	require.Zero(t, c.OpenRequests())
}

// TestIdempotentRetriesStayWithinBudget loses the first send of every call and checks that
// retries stay below 10 % of the calls.
func TestIdempotentRetriesStayWithinBudget(t *testing.T) {
	c := newCore(t)
	sends, calls, now := 0, 2000, second
	for id := range RequestID(calls) {
		r := newRequest(id+1, "")
		r.Idempotent, r.Deadline = true, now+10*second
		actions := c.Step(now, r)
		for len(actions) > 0 {
			var next []Action
			switch a := actions[0].(type) {
			case PickReplica:
				next = c.Step(now, Picked{ID: a.ID, Try: a.Try, Server: ident.BackendServer(fmt.Sprint(a.Try))})
			case Send:
				sends++
				result := SendEnded{ID: a.ID, Try: a.Try, Result: ReplyLost}
				if a.Try > 1 {
					result.Result = Replied
				}
				next = c.Step(now, result)
			}
			actions = append(actions[1:], next...)
		}
	}
	t.Logf("%d sends for %d calls: amplification %.3f", sends, calls, float64(sends)/float64(calls))
	require.Less(t, float64(sends), 1.1*float64(calls))
	require.Zero(t, c.OpenRequests())
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
