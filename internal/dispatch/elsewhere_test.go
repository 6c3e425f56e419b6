package dispatch_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/internal/retry"
)

// Guards against a run that is given up although Choose then refuses the stream (LOST).
func TestRunIsLeftOnlyForOneThatCanBegin(t *testing.T) {
	for name, c := range map[string]struct {
		core    func(*testing.T) *dispatch.Core
		request func(*dispatch.Request)
		fault   func(*dispatch.Choice) backend.ID
		doubt   dispatch.Doubt
		want    bool
	}{
		"another server":         {nil, nil, nil, dispatch.Suspected, true},
		"not resumable":          {nil, func(r *dispatch.Request) { setRoute(r, false, 2) }, nil, dispatch.FoundLost, false},
		"only attempt":           {nil, func(r *dispatch.Request) { setRoute(r, true, 1) }, nil, dispatch.FoundLost, false},
		"only attempt, later":    {nil, func(r *dispatch.Request) { setRoute(r, true, 1) }, laterServer, dispatch.FoundLost, true},
		"attempts through peers": {nil, func(r *dispatch.Request) { r.SentTo["earlier run 0"] = true }, nil, dispatch.FoundLost, false},
		"another VM":             {func(t *testing.T) *dispatch.Core { return newCutCore(t, model, reach.NoConnection) }, nil, nil, dispatch.Suspected, true},
		"last VM": {func(t *testing.T) *dispatch.Core {
			core := newCutCore(t, model, reach.NoConnection)
			core.SetPeers([]dispatch.Peer{{VM: "a2", Domain: "a", Addr: "a2:1"}})
			return core
		}, nil, nil, dispatch.FoundLost, false},
	} {
		core := newCore(t)
		if c.core != nil {
			core = c.core(t)
		}
		r := streamRequest(core, name)
		if c.request != nil {
			c.request(r)
		}
		ch, refusal := core.Choose(0, r)
		require.Nil(t, refusal, name)
		fault := backend.ID("")
		if c.fault != nil {
			fault = c.fault(ch)
		}
		before := *r
		before.SentTo, before.Avoid = maps.Clone(r.SentTo), maps.Clone(r.Avoid)
		require.Equal(t, c.want, core.ReserveRunElsewhere(0, r, ch, fault, c.doubt), name)
		before.CountedSends = r.CountedSends
		require.Equal(t, before, *r, name)
	}
}

func setRoute(r *dispatch.Request, resumable bool, attempts int) {
	route := *r.Route
	route.Resumable, route.MaxAttempts = resumable, attempts
	r.Route = &route
}

func laterServer(ch *dispatch.Choice) backend.ID { return ch.Stages[len(ch.Stages)-1].Instance.ID }

// Guards against more runs being given up at once than the retry budget lets begin again (LOST).
func TestRunsLeftTogetherReserveTheirRetries(t *testing.T) {
	c := newCore(t)
	c.SetRetryBudget(0, retry.Config{Ratio: 0.01, Window: 10 * time.Second, Slack: 20, UsableShare: 1})
	type run struct {
		r  *dispatch.Request
		ch *dispatch.Choice
	}
	var runs []run
	for i := range 60 {
		r := streamRequest(c, fmt.Sprint(i))
		r.PromptTokens, r.AnswerTokens = 10, 10
		ch, refusal := c.Choose(0, r)
		require.Nil(t, refusal)
		r.Begun = true
		runs = append(runs, run{r, ch})
	}
	var left []run
	for _, run := range runs {
		if c.ReserveRunElsewhere(0, run.r, run.ch, "", dispatch.Suspected) {
			left = append(left, run)
		}
	}
	require.NotEmpty(t, left)
	require.Less(t, len(left), len(runs))
	for _, run := range left {
		c.Release(run.ch)
		run.r.Sends++
		run.r.SentTo[run.ch.Target().Instance.ID], run.r.Avoid[run.ch.Target().Instance.ID] = true, true
		_, refusal := c.Choose(0, run.r)
		require.Nil(t, refusal)
	}
}

// Guards against a silent run that is given up when no server has room (LOST).
func TestSilentRunIsKeptWhileNobodyHasRoom(t *testing.T) {
	c := newCore(t)
	c.SetRetryBudget(0, retry.Config{Ratio: 1, Window: 10 * time.Second, Slack: 1e6, UsableShare: 1})
	var last *dispatch.Request
	var ch *dispatch.Choice
	for i := range 10_000 {
		r := streamRequest(c, fmt.Sprint(i))
		next, refusal := c.Choose(0, r)
		if refusal != nil {
			break
		}
		last, ch = r, next
	}
	require.NotNil(t, last)
	require.False(t, c.ReserveRunElsewhere(0, last, ch, "", dispatch.Suspected))
	require.True(t, c.ReserveRunElsewhere(0, last, ch, "", dispatch.FoundLost), "it would be cut anyway")
}
