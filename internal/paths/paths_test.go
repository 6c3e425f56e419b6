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

func holder(s *engine.Spec, id, domain, card string, from, to int) paths.Candidate {
	return paths.Candidate{Instance: backend.Instance{ID: backend.ID(id)}, Addr: id, Domain: domain, Accelerator: s.Accelerators[card],
		Held: backend.Layers{From: from, To: to}, Slowdown: 1}
}

func request(domain string) paths.Request {
	return paths.Request{PromptTokens: 760, AnswerTokens: 200, Domain: domain, MaxUtilization: 0.9}
}

func text(p paths.Path) string {
	out := ""
	for _, part := range p.Stages {
		out += fmt.Sprintf("%s=%d-%d ", part.Addr, part.Layers.From, part.Layers.To)
	}
	return out
}

func TestFastServersOfTheOwnDomainComeFirst(t *testing.T) {
	s := spec(t)
	holders := []paths.Candidate{holder(s, "slow", "a", "l4", 0, 40), holder(s, "fast", "a", "a100", 0, 40),
		holder(s, "far", "b", "a100", 0, 40), holder(s, "rest", "a", "v100", 40, 80), holder(s, "far2", "b", "a100", 40, 80)}
	holders[0].Accelerator.MemoryMB, holders[3].Accelerator.MemoryMB = 100000, 100000
	holders[1].Accelerator.MemoryMB, holders[2].Accelerator.MemoryMB, holders[4].Accelerator.MemoryMB = 100000, 100000, 100000
	p, ok := paths.Find(paths.DefaultConfig(), s, holders, request("a"))
	require.True(t, ok)
	require.Equal(t, "fast=0-40 rest=40-80 ", text(p))
}

func TestAFullServerIsPassedByAndAWholePathElsewhereGoesBeforeCrossing(t *testing.T) {
	s := spec(t)
	var holders []paths.Candidate
	for _, d := range []string{"a", "b"} {
		for i := range 10 {
			holders = append(holders, holder(s, fmt.Sprintf("%s%d", d, i), d, "l4", i*8, i*8+8))
		}
	}
	holders[3].TokenLayers = 1e9
	p, ok := paths.Find(paths.DefaultConfig(), s, holders, request("a"))
	require.True(t, ok)
	for _, part := range p.Stages {
		require.Equal(t, "b", part.Addr[:1], text(p))
	}
}

func TestCrossingOnlyWhileThePipeCarriesIt(t *testing.T) {
	s := spec(t)
	var holders []paths.Candidate
	for i := range 10 {
		d := "a"
		if i == 4 {
			d = "b"
		}
		holders = append(holders, holder(s, fmt.Sprintf("s%d", i), d, "l4", i*8, i*8+8))
	}
	r := request("a")
	_, ok := paths.Find(paths.DefaultConfig(), s, holders, r)
	require.True(t, ok)
	r.LinkUtilization = 1
	_, ok = paths.Find(paths.DefaultConfig(), s, holders, r)
	require.False(t, ok, "a full pipe stalls every path that crosses")
	require.True(t, paths.Covered(s, holders))
}

func TestPieceOfAPath(t *testing.T) {
	s := spec(t)
	holders := []paths.Candidate{holder(s, "x", "a", "v100", 20, 25), holder(s, "y", "a", "l4", 22, 30), holder(s, "z", "b", "a100", 0, 30)}
	r := request("a")
	r.Layers, r.NextDomain = backend.Layers{From: 20, To: 28}, "a"
	p, ok := paths.Find(paths.DefaultConfig(), s, holders, r)
	require.True(t, ok)
	require.Equal(t, "x=20-25 y=25-28 ", text(p))
}

func TestRefusalNamesTheLayersWithoutRoom(t *testing.T) {
	s := spec(t)
	holders := []paths.Candidate{holder(s, "x", "a", "a100", 0, 30), holder(s, "y", "a", "a100", 30, 60), holder(s, "z", "a", "a100", 55, 80)}
	holders[1].TokenLayers = 1e9
	_, ok := paths.Find(paths.DefaultConfig(), s, holders, request("a"))
	require.False(t, ok)
	require.Equal(t, backend.Layers{From: 30, To: 55}, paths.MissingLayers(s, holders, request("a")))
}

// Whatever the servers hold, a path runs every layer once and in order, on servers
// that hold their part, none twice, at most 32; and there is one where the servers
// with room cover the model.
func TestEveryPathIsACover(t *testing.T) {
	s := spec(t)
	rapid.Check(t, func(t *rapid.T) {
		var holders []paths.Candidate
		byAddr := map[string]paths.Candidate{}
		cards := []string{"a100", "v100", "l4"}
		for i := range rapid.IntRange(1, 40).Draw(t, "servers") {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			to := min(80, from+rapid.IntRange(1, 30).Draw(t, "len"))
			h := holder(s, fmt.Sprintf("s%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				rapid.SampledFrom(cards).Draw(t, "card"), from, to)
			h.Accelerator.MemoryMB = 200000
			h.Streams = float64(rapid.IntRange(0, 50).Draw(t, "streams"))
			holders = append(holders, h)
			byAddr[h.Addr] = h
		}
		p, ok := paths.Find(paths.DefaultConfig(), s, holders, request("a"))
		if !ok {
			require.False(t, paths.Covered(s, holders))
			return
		}
		next, seen := 0, map[string]bool{}
		for _, part := range p.Stages {
			require.Equal(t, next, part.Layers.From)
			require.Positive(t, part.Layers.Len())
			require.False(t, seen[part.Addr], "a server twice")
			require.True(t, byAddr[part.Addr].Held.Contains(part.Layers))
			seen[part.Addr], next = true, part.Layers.To
		}
		require.Equal(t, 80, next)
		require.LessOrEqual(t, len(p.Stages), paths.MaxStages)
	})
}

// 600 servers, the size of the users' target.
func BenchmarkFind(b *testing.B) {
	s := spec(b)
	var holders []paths.Candidate
	for i := range 600 {
		from := i * 8 % 80
		holders = append(holders, holder(s, fmt.Sprintf("s%d", i), string(rune('a'+i/100)), "l4", from, from+8))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := paths.Find(paths.DefaultConfig(), s, holders, request("a")); !ok {
			b.Fatal("no path")
		}
	}
}
