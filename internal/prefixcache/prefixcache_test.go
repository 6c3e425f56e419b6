package prefixcache_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

var (
	instance = backend.Instance{ID: "s", StartedMs: 5}
	layers   = backend.Layers{From: 10, To: 20}
	server   = prefixcache.Server{Instance: instance, Layers: layers, FreeKV: 1e6}
)

func newCore() *prefixcache.Core {
	cfg := prefixcache.DefaultConfig()
	cfg.Retention = time.Minute
	return prefixcache.New(cfg)
}

// prompt returns a prompt of team t with the given parts of 100 tokens each.
func prompt(ids ...string) prefixcache.Prompt {
	var parts []prefixcache.Part
	for _, id := range ids {
		parts = append(parts, prefixcache.Part{ID: id, Tokens: 100})
	}
	return prefixcache.NewPrompt("m", "t", parts)
}

// tokens returns the sum of the held tokens, regardless of layers.
func tokens(held []prefixcache.Held) float64 {
	sum := 0.0
	for _, h := range held {
		sum += h.Tokens
	}
	return sum
}

// Guards against counting tokens that do not stand at the same place of the prompt, or that
// another team's or model's request has left.
func TestOnlyUnbrokenRunOfSameTeamCounts(t *testing.T) {
	c := newCore()
	c.Record(0, instance, layers, prompt("a", "b", "x"))
	parts := []prefixcache.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 100}}
	longer := []prefixcache.Part{{ID: "a", Tokens: 150}, {ID: "b", Tokens: 100}}
	for name, test := range map[string]struct {
		prompt prefixcache.Prompt
		want   float64
	}{
		"all parts":             {prompt("a", "b", "x"), 300},
		"other last part":       {prompt("a", "b", "y"), 200},
		"shorter":               {prompt("a"), 100},
		"other first part":      {prompt("c", "b", "x"), 0},
		"gap":                   {prompt("a", "c", "x"), 100},
		"not from the start":    {prompt("b", "x"), 0},
		"no parts":              {prompt(), 0},
		"first part has grown":  {prefixcache.NewPrompt("m", "t", longer), 100},
		"other team":            {prefixcache.NewPrompt("m", "u", parts), 0},
		"other model":           {prefixcache.NewPrompt("n", "t", parts), 0},
		"names joined the same": {prefixcache.NewPrompt("", "mt", parts), 0},
	} {
		require.Equal(t, test.want, tokens(c.Lookup(0, server, test.prompt)), name)
	}
}

// Guards against relying on what an engine has dropped for one of the listed reasons.
func TestForgets(t *testing.T) {
	other := func(change func(*prefixcache.Server)) prefixcache.Server {
		s := server
		change(&s)
		return s
	}
	p := prompt("a", "b")
	for name, test := range map[string]struct {
		at   time.Duration
		seen []prefixcache.Server // earlier look-ups
		now  prefixcache.Server
		want []prefixcache.Held
	}{
		"within the retention time": {at: time.Minute - 1, now: server, want: []prefixcache.Held{{Layers: layers, Tokens: 200}}},
		"retention time passed":     {at: time.Minute, now: server},
		"new incarnation":           {now: other(func(s *prefixcache.Server) { s.Instance.StartedMs = 6 })},
		"old incarnation":           {now: other(func(s *prefixcache.Server) { s.Instance.StartedMs = 4 })},
		"part of the layers released": {now: other(func(s *prefixcache.Server) { s.Layers.To = 15 }),
			want: []prefixcache.Held{{Layers: backend.Layers{From: 10, To: 15}, Tokens: 200}}},
		"layers released and loaded again": {seen: []prefixcache.Server{other(func(s *prefixcache.Server) { s.Layers = backend.Layers{From: 20, To: 30} })}, now: server},
		"no memory free":                   {now: other(func(s *prefixcache.Server) { s.FreeKV = 0 })},
		"memory was short before":          {seen: []prefixcache.Server{other(func(s *prefixcache.Server) { s.FreeKV = -1 })}, now: server},
		"memory for one part": {now: other(func(s *prefixcache.Server) { s.FreeKV = 1999 }),
			want: []prefixcache.Held{{Layers: layers, Tokens: 100}}},
	} {
		c := newCore()
		c.Record(0, instance, layers, p)
		for _, s := range test.seen {
			c.Lookup(test.at, s, p)
		}
		require.Equal(t, test.want, c.Lookup(test.at, test.now, p), name)
	}
}

// Guards against a late answer of an earlier incarnation that counts for the current one.
func TestOldIncarnationIsNotRecorded(t *testing.T) {
	c := newCore()
	c.Record(0, instance, layers, prompt("a"))
	c.Record(0, backend.Instance{ID: "s", StartedMs: 4}, layers, prompt("b"))
	require.Empty(t, c.Lookup(0, server, prompt("b")))
	require.NotEmpty(t, c.Lookup(0, server, prompt("a")))
}

// Guards against a part that counts in layers through which only shorter prompts have passed.
func TestEachPartCountsInItsOwnLayers(t *testing.T) {
	c := newCore()
	c.Record(0, instance, backend.Layers{From: 10, To: 15}, prompt("a", "b"))
	c.Record(0, instance, backend.Layers{From: 15, To: 20}, prompt("a"))
	require.Equal(t, []prefixcache.Held{{Layers: layers, Tokens: 100}, {Layers: backend.Layers{From: 10, To: 15}, Tokens: 100}},
		c.Lookup(0, server, prompt("a", "b")))
}

// Guards against forgetting a shared part, which is used often, before last parts of single
// requests.
func TestShortMemoryDropsLeastRecentlyUsed(t *testing.T) {
	c := newCore()
	for i := range 5 {
		c.Record(time.Duration(i), instance, layers, prompt("a", fmt.Sprint("own", i)))
	}
	s := server
	s.FreeKV = 100*10 + 2*100*10 // the shared part and two last parts
	require.Equal(t, 200.0, tokens(c.Lookup(5, s, prompt("a", "own3"))))
	require.Equal(t, 100.0, tokens(c.Lookup(5, s, prompt("a", "own2"))))
}

// Guards against unbounded memory.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := prefixcache.New(prefixcache.Config{Retention: 50, MaxPartsPerServer: 5, MaxParts: 12})
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))
			in := backend.Instance{ID: backend.ID(rapid.SampledFrom([]string{"s", "t", "u", "v"}).Draw(t, "server")), StartedMs: rapid.Int64Range(1, 3).Draw(t, "incarnation")}
			p := prompt(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 7).Draw(t, "parts")...)
			from := rapid.IntRange(0, 10).Draw(t, "from")
			held := backend.Layers{From: from, To: from + rapid.IntRange(0, 10).Draw(t, "layers")}
			if rapid.Bool().Draw(t, "record") {
				c.Record(now, in, held, p)
			} else {
				free := rapid.Float64Range(-10, 5000).Draw(t, "free")
				for _, h := range c.Lookup(now, prefixcache.Server{Instance: in, Layers: held, FreeKV: free}, p) {
					require.True(t, held.Contains(h.Layers))
					require.LessOrEqual(t, h.Tokens*float64(h.Layers.Len()), free)
				}
			}
			require.LessOrEqual(t, c.Len(), 12)
		}
		c.Record(now+100, backend.Instance{ID: "w"}, layers, prompt("a", "b", "c", "d", "e", "f"))
		require.Equal(t, 5, c.Len(), "all others have expired")
	})
}

// Guards against work or memory without a retention time.
func TestDisabled(t *testing.T) {
	c, p := prefixcache.New(prefixcache.DefaultConfig()), prompt("a")
	require.Zero(t, testing.AllocsPerRun(10, func() { c.Record(0, instance, layers, p) }))
	require.Zero(t, c.Len())
}
