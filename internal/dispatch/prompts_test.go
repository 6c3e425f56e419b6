package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
)

// promptRequest returns a request of a team whose prompt is shared rules and a part of its own.
func promptRequest(c *dispatch.Core, id, team string) *dispatch.Request {
	r := streamRequest(c, id)
	r.Prompt = prefixcache.NewPrompt(model, team, []prefixcache.Part{{ID: "rules", Tokens: 700}, {ID: id, Tokens: 60}})
	return r
}

func newPromptCore(t testing.TB) *dispatch.Core {
	c := newCore(t)
	c.Prompts = prefixcache.New(prefixcache.Config{Retention: time.Minute, MaxPartsPerServer: 256, MaxParts: 16384})
	return c
}

// serve chooses for r, and completes it.
func serve(t testing.TB, c *dispatch.Core, r *dispatch.Request) *dispatch.Choice {
	t.Helper()
	ch, refusal := c.Choose(0, r)
	require.Nil(t, refusal)
	c.RecordPromptRead(0, r, ch)
	c.RecordSuccess(ch)
	c.Release(ch)
	return ch
}

// Guards against knowledge of a prompt that reaches another team's requests, or that counts
// where it must not: in timeouts, for a new incarnation, and in moves of streams.
func TestHeldPromptCountsForItsTeamOnly(t *testing.T) {
	c := newPromptCore(t)
	first := serve(t, c, promptRequest(c, "r1", "clubs"))
	require.False(t, first.HolderKnown)
	second := serve(t, c, promptRequest(c, "r2", "clubs"))
	require.True(t, second.HolderKnown)
	require.InDelta(t, 700, second.HeldTokens, 1)
	require.Equal(t, first.Stages, second.Stages)
	require.Equal(t, first.FirstToken, second.FirstToken)
	require.False(t, serve(t, c, promptRequest(c, "r3", "shops")).HolderKnown)

	restarted := c.Backends.Get(first.Stages[1].Instance.ID).Record
	restarted.StartedMs++
	c.Backends.Put(0, restarted)
	require.Less(t, serve(t, c, promptRequest(c, "r4", "clubs")).HeldTokens, 700.0)
}

// Guards against a preference for a server that has dropped the prompt for lack of memory, or
// that gives up its layers while the request runs.
func TestHolderShortOfMemoryCountsForNothing(t *testing.T) {
	c := newPromptCore(t)
	ch := serve(t, c, promptRequest(c, "r1", "clubs"))
	spec := c.Spec(model)
	for _, stage := range ch.Stages {
		s := c.Backends.Get(stage.Instance.ID)
		full := backend.Work{Streams: 1, TokenLayers: spec.KVCapacity(spec.Accelerators[s.Accelerator], s.Held.Len())}
		c.Backends.AddWork(s.Instance(), full)
		defer c.Backends.RemoveWork(s.Instance(), full)
	}
	next, refusal := c.Choose(0, promptRequest(c, "r2", "clubs"))
	require.Nil(t, refusal)
	require.False(t, next.HolderKnown)
	require.Zero(t, c.Prompts.Len())

	released := c.Backends.Get(next.Stages[0].Instance.ID).Record
	released.Held = backend.Layers{}
	c.Backends.Put(0, released)
	c.RecordPromptRead(0, promptRequest(c, "r2", "clubs"), next)
	require.Equal(t, 2*(len(next.Stages)-1), c.Prompts.Len())
}

// Guards against records and look-ups without a retention time.
func TestDisabledPromptsAreNotRecorded(t *testing.T) {
	c := newCore(t)
	require.False(t, c.Prompts.Enabled())
	serve(t, c, promptRequest(c, "r1", "clubs"))
	require.False(t, serve(t, c, promptRequest(c, "r2", "clubs")).HolderKnown)
	require.Zero(t, c.Prompts.Len())
}

// BenchmarkChoose measures a choice with prompts off, and on with prompts that are unknown and
// known.
func BenchmarkChoose(b *testing.B) {
	run := func(name string, c *dispatch.Core, r *dispatch.Request) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ch, _ := c.Choose(0, r)
				c.Release(ch)
			}
		})
	}
	c := newCore(b)
	run("off", c, streamRequest(c, "r"))
	c = newPromptCore(b)
	for i := range 50 {
		serve(b, c, promptRequest(c, fmt.Sprint(i), "clubs"))
	}
	run("unknown", c, promptRequest(c, "r", "shops"))
	run("held", c, promptRequest(c, "r", "clubs"))
}
