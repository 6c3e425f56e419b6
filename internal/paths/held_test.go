package paths_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
)

// Guards against a preference for holders that weighs more than the prefill that they save:
// against the load of the holder, a domain's border, and the layers that it does not hold the
// prompt in.
func TestHeldPromptIsWeighedByTimeSaved(t *testing.T) {
	s := spec(t)
	all := backend.Layers{To: 80}
	for name, test := range map[string]struct {
		streams        float64
		domain         string
		layers         backend.Layers
		promptTokens   float64
		want           string
		wantHeldTokens float64
	}{
		"idle holder":                                {layers: all, domain: "a", promptTokens: 760, want: "holder=0-80 ", wantHeldTokens: 700},
		"holder of some layers":                      {layers: backend.Layers{To: 20}, domain: "a", promptTokens: 760, want: "holder=0-80 ", wantHeldTokens: 175},
		"prompt shorter than recorded":               {layers: all, domain: "a", promptTokens: 400, want: "holder=0-80 ", wantHeldTokens: 400},
		"busy holder":                                {layers: all, domain: "a", streams: 20, promptTokens: 760, want: "other=0-80 "},
		"holder in another failure domain":           {layers: all, domain: "b", promptTokens: 760, want: "other=0-80 "},
		"prompt that takes longer than the crossing": {layers: all, domain: "b", promptTokens: 60000, want: "holder=0-80 ", wantHeldTokens: 59000},
	} {
		other, holder := candidate(s, "other", "a", "a100", 0, 80), candidate(s, "holder", test.domain, "a100", 0, 80)
		other.Accelerator.MemoryMB, holder.Accelerator.MemoryMB = 1e6, 1e6
		holder.Streams = test.streams
		r := request("a")
		r.PromptTokens = test.promptTokens
		plain, ok := paths.Find(paths.DefaultConfig(), s, []paths.Candidate{other, holder}, r)
		require.True(t, ok)
		require.Equal(t, "other", plain.Stages[0].Addr, name)
		held := 700.0
		if test.promptTokens > 10000 {
			held = 59000
		}
		r.HeldPrompt = map[backend.ID][]prefixcache.Held{"holder": {{Layers: test.layers, Tokens: held}}}
		p, ok := paths.Find(paths.DefaultConfig(), s, []paths.Candidate{other, holder}, r)
		require.True(t, ok)
		require.Equal(t, test.want, formatPath(p), name)
		require.InDelta(t, test.wantHeldTokens, p.HeldTokens, 1e-6, name)
		if test.domain == "a" && test.streams == 0 {
			require.Equal(t, plain.FirstToken, p.FirstToken, "%s: timeouts must not depend on what is held", name)
		}
	}
}

// Guards against a request that is refused, or costs more, because servers hold its prompt;
// also where the path with the least cost has too many stages.
func TestHeldPromptNeverRefusesOrCostsMore(t *testing.T) {
	s := spec(t)
	rapid.Check(t, func(t *rapid.T) {
		var candidates []paths.Candidate
		for i := range rapid.IntRange(1, 60).Draw(t, "servers") {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			c := candidate(s, fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), "a100", from, min(80, from+rapid.IntRange(1, 9).Draw(t, "layers")))
			c.Streams = float64(rapid.IntRange(0, 50).Draw(t, "streams"))
			candidates = append(candidates, c)
		}
		for i := range 80 / 2 { // covers the model with 40 stages of two layers
			candidates = append(candidates, candidate(s, fmt.Sprint("pair", i), "a", "a100", 2*i, 2*i+2))
		}
		r := request("a")
		r.PromptTokens = 20000
		r.LinkUtilization = rapid.Float64Range(0, 1.1).Draw(t, "link")
		without, okWithout := paths.Find(paths.DefaultConfig(), s, candidates, r)
		r.HeldPrompt = map[backend.ID][]prefixcache.Held{}
		for _, c := range candidates {
			if rapid.Bool().Draw(t, "holds") {
				r.HeldPrompt[c.Instance.ID] = []prefixcache.Held{{Layers: c.Held, Tokens: 20000}}
			}
		}
		with, okWith := paths.Find(paths.DefaultConfig(), s, candidates, r)
		require.Equal(t, okWithout, okWith)
		if okWith && len(with.Stages) <= paths.MaxStages {
			require.LessOrEqual(t, with.Cost, without.Cost+time.Microsecond) // rounding
		}
	})
}
