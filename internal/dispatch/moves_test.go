package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/routes"
)

// loseStage returns a Core with streams, the first of them, and its second stage, whose server
// is about to be lost. Four servers like that one are idle.
func loseStage(t *testing.T, streams int, change func(*routes.Config)) (*dispatch.Core, *dispatch.Choice, paths.Stage) {
	c := newCore(t)
	cfg := loadConfig(t)
	cfg.Version++
	change(cfg)
	require.True(t, c.Apply(routes.NewTable(cfg)))
	var choices []*dispatch.Choice
	for i := range streams {
		ch, refusal := c.Choose(0, streamRequest(c, fmt.Sprint("r", i)))
		require.Nil(t, refusal)
		choices = append(choices, ch)
	}
	lost := choices[0].Stages[1]
	for i := range 4 {
		like := c.Backends.Get(lost.Instance.ID).Record
		like.ID = backend.ID(fmt.Sprint("like", i))
		like.Addr = string(like.ID)
		c.Backends.Put(0, like)
	}
	return c, choices[0], lost
}

// Guards against a division for routes that declare no pause objective: their streams are
// moved as before, all to the same server while the loads stay the same.
func TestOnlyRoutesWithPauseObjectiveDivideMoves(t *testing.T) {
	for _, objective := range []bool{false, true} {
		c, stream, lost := loseStage(t, 40, func(cfg *routes.Config) {
			for i := range cfg.Routes {
				if !objective {
					cfg.Routes[i].MaxGap = 0
				}
			}
		})
		require.True(t, c.RecordLost(0, lost.Instance))
		const moved = 400
		taken := map[string]int{}
		for i := range moved {
			next := c.Replace(0, streamRequest(c, fmt.Sprint("moved", i)), stream, lost.Addr)
			require.NotNil(t, next)
			taken[next.Stages[1].Addr]++
			c.Release(next)
		}
		if !objective {
			require.Len(t, taken, 1, "%v", taken)
			continue
		}
		for i := range 4 { // a fifth each, beside the one that was there before
			require.InDelta(t, moved/5, taken[fmt.Sprint("like", i)], moved/16, "%v", taken)
		}
	}
}

// Guards against new requests that fill the servers which moved streams are about to use:
// these streams count for two message intervals, and not longer.
func TestNewRequestsCountMovedStreams(t *testing.T) {
	c, _, lost := loseStage(t, 40, func(*routes.Config) {})
	uses := c.Backends.Get(lost.Instance.ID).OwnWork.Streams
	r := streamRequest(c, "new")
	sum := func(now time.Duration) (out float64) {
		for i := range 4 {
			out += c.EstimatedStreams(now, r)[backend.ID(fmt.Sprint("like", i))]
		}
		return out
	}
	require.Zero(t, sum(0))
	c.RecordLost(0, lost.Instance)
	require.Greater(t, sum(0), uses/2)
	require.Greater(t, sum(2*c.Loads.Interval()-1), uses/2)
	require.Zero(t, sum(2*c.Loads.Interval()))
}
