package model

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

const layers = 12

// pipeline holds the states of one stream at consecutive stages.
type pipeline []*State

func newPipeline(t require.TestingT, boundaries ...int) pipeline {
	var p pipeline
	from := 0
	for _, to := range append(boundaries, layers) {
		s, err := NewState(Range{From: from, To: to, Total: layers})
		require.NoError(t, err)
		p = append(p, s)
		from = to
	}
	return p
}

func (p pipeline) runToken(t require.TestingT, index int, data string) (string, bool) {
	var eos bool
	var err error
	for _, s := range p {
		data, eos, err = s.Run(index, data)
		require.NoError(t, err)
	}
	return data, eos
}

func TestAnswerIsIndependentOfStageBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "prompt")
		seed := rapid.Int64().Draw(t, "seed")
		boundary := rapid.IntRange(1, layers-2).Draw(t, "cut")
		want := ExpectedTokens(prompt, seed, 20, layers)
		p := newPipeline(t, boundary, boundary+1)
		data := PrefillData(prompt, seed)
		for i := range want {
			data, _ = p.runToken(t, i, data)
			require.Equal(t, want[i], data)
		}
	})
}

func TestPrefillOfPromptAndTokensContinuesAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "prompt")
		want := ExpectedTokens(prompt, 7, 20, layers)
		done := rapid.IntRange(0, len(want)-1).Draw(t, "done")
		got := ExpectedTokens(prompt+strings.Join(want[:done], ""), 7, 20-done, layers)
		require.Equal(t, want[done:], got)
	})
}

func TestSkippedOrRepeatedStageChangesAnswer(t *testing.T) {
	prompt := "ten pairs of gloves"
	want := ExpectedTokens(prompt, 1, 5, layers)
	require.Len(t, want, 5)
	data := PrefillData(prompt, 1)

	skipped := newPipeline(t, 4, 8)
	first, _, err := skipped[0].Run(0, data)
	require.NoError(t, err)
	text, _, err := skipped[2].Run(0, first)
	require.NoError(t, err)
	require.NotEqual(t, want[0], text, "skipping a stage must change the answer")

	repeated := newPipeline(t, 4, 8)
	values, _, err := repeated[0].Run(0, data)
	require.NoError(t, err)
	values, _, err = repeated[1].Run(0, values)
	require.NoError(t, err)
	rerun, err := Import(Range{From: 4, To: 8, Total: layers}, strings.Replace(repeated[1].Export(), "4 8 12 1", "4 8 12 0", 1))
	require.NoError(t, err)
	values, _, err = rerun.Run(0, values)
	require.NoError(t, err)
	text, _, err = repeated[2].Run(0, values)
	require.NoError(t, err)
	require.NotEqual(t, want[0], text, "running a stage twice must change the answer")

	outOfOrder := newPipeline(t, 4, 8)
	_, _, err = outOfOrder[0].Run(1, want[0])
	require.ErrorIs(t, err, ErrOutOfOrder)
}

func TestExportedStateContinues(t *testing.T) {
	prompt, seed := "wraps for the junior team", int64(3)
	want := ExpectedTokens(prompt, seed, 6, layers)
	p := newPipeline(t, 4, 8)
	data := PrefillData(prompt, seed)
	for i := range want {
		data, _ = p.runToken(t, i, data)
		require.Equal(t, want[i], data)
		moved, err := Import(Range{From: 4, To: 8, Total: layers}, p[1].Export())
		require.NoError(t, err)
		p[1] = moved
	}
	_, err := Import(Range{From: 0, To: 4, Total: layers}, p[1].Export())
	require.ErrorIs(t, err, ErrMalformed)
}

func FuzzStateRun(f *testing.F) {
	f.Add(0, 0, "1\nhello")
	f.Add(4, 0, "ff,0")
	f.Fuzz(func(t *testing.T, from, token int, data string) {
		s, err := NewState(Range{From: from, To: from + 2, Total: layers})
		if err != nil {
			return
		}
		_, _, err = s.Run(token, data)
		if err != nil {
			require.Zero(t, s.Position())
		}
	})
}
