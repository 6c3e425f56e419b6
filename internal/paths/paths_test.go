package paths_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/platform"
)

func spec(t testing.TB) *engine.Spec {
	t.Helper()
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	cfg, err := platform.DecodeConfig(text)
	require.NoError(t, err)
	return cfg.Services["huvo11a"].Engine
}

func candidate(s *engine.Spec, id, domain, accelerator string, from, to int) paths.Candidate {
	return paths.Candidate{Instance: backend.Instance{ID: backend.ID(id)}, Addr: id, Domain: domain, Accelerator: s.Accelerators[accelerator],
		Held: backend.Layers{From: from, To: to}, Slowdown: 1}
}

func request(domain string) paths.Request {
	return paths.Request{PromptTokens: 760, AnswerTokens: 200, Domain: domain, MaxUtilization: 0.9}
}

func formatPath(p paths.Path) string {
	out := ""
	for _, stage := range p.Stages {
		out += fmt.Sprintf("%s=%d-%d ", stage.Addr, stage.Layers.From, stage.Layers.To)
	}
	return out
}

func TestFindPrefersFastServersInOwnDomain(t *testing.T) {
	s := spec(t)
	candidates := []paths.Candidate{candidate(s, "slow", "a", "l4", 0, 40), candidate(s, "fast", "a", "a100", 0, 40),
		candidate(s, "far", "b", "a100", 0, 40), candidate(s, "rest", "a", "v100", 40, 80), candidate(s, "far2", "b", "a100", 40, 80)}
	candidates[0].Accelerator.MemoryMB, candidates[3].Accelerator.MemoryMB = 100000, 100000
	candidates[1].Accelerator.MemoryMB, candidates[2].Accelerator.MemoryMB, candidates[4].Accelerator.MemoryMB = 100000, 100000, 100000
	p, ok := paths.Find(paths.DefaultConfig(), s, candidates, request("a"))
	require.True(t, ok)
	require.Equal(t, "fast=0-40 rest=40-80 ", formatPath(p))
}

func TestFindPrefersOtherDomainToCrossingWhenServerIsFull(t *testing.T) {
	s := spec(t)
	var candidates []paths.Candidate
	for _, d := range []string{"a", "b"} {
		for i := range 10 {
			candidates = append(candidates, candidate(s, fmt.Sprintf("%s%d", d, i), d, "l4", i*8, i*8+8))
		}
	}
	candidates[3].TokenLayers = 1e9
	p, ok := paths.Find(paths.DefaultConfig(), s, candidates, request("a"))
	require.True(t, ok)
	for _, stage := range p.Stages {
		require.Equal(t, "b", stage.Addr[:1], formatPath(p))
	}
}

func TestNoPathCrossesSaturatedLink(t *testing.T) {
	s := spec(t)
	var candidates []paths.Candidate
	for i := range 10 {
		d := "a"
		if i == 4 {
			d = "b"
		}
		candidates = append(candidates, candidate(s, fmt.Sprintf("s%d", i), d, "l4", i*8, i*8+8))
	}
	r := request("a")
	_, ok := paths.Find(paths.DefaultConfig(), s, candidates, r)
	require.True(t, ok)
	r.LinkUtilization = 1
	_, ok = paths.Find(paths.DefaultConfig(), s, candidates, r)
	require.False(t, ok, "path crosses a saturated link")
	require.True(t, paths.Covered(s, candidates))
}

func TestFindLayerSubrange(t *testing.T) {
	s := spec(t)
	candidates := []paths.Candidate{candidate(s, "x", "a", "v100", 20, 25), candidate(s, "y", "a", "l4", 22, 30), candidate(s, "z", "b", "a100", 0, 30)}
	r := request("a")
	r.Layers, r.NextDomain = backend.Layers{From: 20, To: 28}, "a"
	p, ok := paths.Find(paths.DefaultConfig(), s, candidates, r)
	require.True(t, ok)
	require.Equal(t, "x=20-25 y=25-28 ", formatPath(p))
}

func TestMissingLayersWithoutFreeKV(t *testing.T) {
	s := spec(t)
	candidates := []paths.Candidate{candidate(s, "x", "a", "a100", 0, 30), candidate(s, "y", "a", "a100", 30, 60), candidate(s, "z", "a", "a100", 55, 80)}
	candidates[1].TokenLayers = 1e9
	_, ok := paths.Find(paths.DefaultConfig(), s, candidates, request("a"))
	require.False(t, ok)
	require.Equal(t, backend.Layers{From: 30, To: 55}, paths.MissingLayers(s, candidates, request("a")))
}

// For any held ranges, a path runs every layer once and in order, on at most MaxStages
// distinct servers that hold their layers. A path is found whenever the servers cover the
// model; all have free KV cache.
func TestPathCoversEveryLayerOnceInOrder(t *testing.T) {
	s := spec(t)
	rapid.Check(t, func(t *rapid.T) {
		var candidates []paths.Candidate
		byAddr := map[string]paths.Candidate{}
		accelerators := []string{"a100", "v100", "l4"}
		for i := range rapid.IntRange(1, 40).Draw(t, "servers") {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			to := min(80, from+rapid.IntRange(1, 30).Draw(t, "len"))
			c := candidate(s, fmt.Sprintf("s%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				rapid.SampledFrom(accelerators).Draw(t, "card"), from, to)
			c.Accelerator.MemoryMB = 200000
			c.Streams = float64(rapid.IntRange(0, 50).Draw(t, "streams"))
			candidates = append(candidates, c)
			byAddr[c.Addr] = c
		}
		p, ok := paths.Find(paths.DefaultConfig(), s, candidates, request("a"))
		if !ok {
			require.False(t, paths.Covered(s, candidates))
			return
		}
		next, seen := 0, map[string]bool{}
		for _, stage := range p.Stages {
			require.Equal(t, next, stage.Layers.From)
			require.Positive(t, stage.Layers.Len())
			require.False(t, seen[stage.Addr], "server used twice")
			require.True(t, byAddr[stage.Addr].Held.Contains(stage.Layers))
			seen[stage.Addr], next = true, stage.Layers.To
		}
		require.Equal(t, 80, next)
		require.LessOrEqual(t, len(p.Stages), paths.MaxStages)
	})
}

// firstStages returns servers of all layers: the first, an a100, has the given number of the
// 100 first-stage streams, the n others, slower ones, have none, and a far server has the rest.
func firstStages(s *engine.Spec, streams float64, n int) []paths.Candidate {
	out := []paths.Candidate{candidate(s, "fast", "a", "a100", 0, 80)}
	for i := range n {
		out = append(out, candidate(s, fmt.Sprint("slow", i), "a", "v100", 0, 80))
	}
	out = append(out, candidate(s, "far", "b", "a100", 0, 80))
	for i := range out {
		out[i].Accelerator.MemoryMB = 300000
	}
	out[0].FirstStageStreams, out[n+1].FirstStageStreams = streams, 100-streams
	return out
}

// Guards against a fleet whose streams nearly all start at its fastest servers.
func TestFirstStageAboveItsShareCostsMore(t *testing.T) {
	s := spec(t)
	first := func(candidates []paths.Candidate, spread bool) string {
		r := request("a")
		r.SpreadFirst = spread
		p, ok := paths.Find(paths.DefaultConfig(), s, candidates, r)
		require.True(t, ok)
		require.Positive(t, p.Pause)
		return p.Stages[0].Addr
	}
	require.Equal(t, "fast", first(firstStages(s, 10, 10), true), "below the bound")
	require.Equal(t, "slow0", first(firstStages(s, 50, 10), true))
	require.Equal(t, "fast", first(firstStages(s, 50, 10), false), "bound not asked for")
	require.Equal(t, "fast", first(firstStages(s, 30, 1), true), "below one over the number of first stages")
	few := firstStages(s, 18, 10)
	few[len(few)-1].FirstStageStreams = 0
	require.Equal(t, "fast", first(few, true), "fewer than 20 streams, with the new one")
	require.Equal(t, "fast", first(firstStages(s, 95, 0), true), "the bound is no reason to start in another failure domain")
	busy := firstStages(s, 50, 10)
	for i := 1; i <= 10; i++ {
		busy[i].TokenLayers = 1e9
	}
	require.Equal(t, "fast", first(busy, true), "nothing is forbidden")
}

// BenchmarkFind uses 600 servers, the fleet size that must be supported.
func BenchmarkFind(b *testing.B) {
	s := spec(b)
	var candidates []paths.Candidate
	for i := range 600 {
		from := i * 8 % 80
		candidates = append(candidates, candidate(s, fmt.Sprintf("s%d", i), string(rune('a'+i/100)), "l4", from, from+8))
	}
	benchmarkFind(b, s, candidates, request("a"))
}

// BenchmarkFindSpreadFirst is BenchmarkFind with the bound on first stages.
func BenchmarkFindSpreadFirst(b *testing.B) {
	s := spec(b)
	var candidates []paths.Candidate
	for i := range 600 {
		from := i * 8 % 80
		candidates = append(candidates, candidate(s, fmt.Sprintf("s%d", i), string(rune('a'+i/100)), "l4", from, from+8))
		candidates[i].FirstStageStreams = float64(i % 70)
	}
	r := request("a")
	r.SpreadFirst = true
	benchmarkFind(b, s, candidates, r)
}

func benchmarkFind(b *testing.B, s *engine.Spec, candidates []paths.Candidate, r paths.Request) {
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := paths.Find(paths.DefaultConfig(), s, candidates, r); !ok {
			b.Fatal("no path")
		}
	}
}
