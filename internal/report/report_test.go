package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sampleRun(name string, perSecond int) LoadTest {
	l := LoadTest{
		Name:          name,
		DurationS:     3,
		Throughput:    Rates{Reads: float64(perSecond)},
		LatencyMillis: map[string]Percentiles{"read": {Count: 9, P50: 2, P95: 5}},
		Outcomes:      map[string]int{"read ok": 3 * perSecond},
		Recoveries:    []Recovery{{AtS: 1, Label: "kv <down>", RecoveryS: 0.5, Recovered: true}},
	}
	for range 3 {
		l.Series = append(l.Series, SecondCounts{Reads: perSecond})
	}
	return l
}

func TestPageIsSelfContainedAndEscaped(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Write(&out, sampleRun("base", 10), sampleRun("other", 20)))
	html := out.String()
	require.Equal(t, 3, strings.Count(html, "<svg"))
	require.Contains(t, html, "kv &lt;down&gt;")
	require.Contains(t, html, "2.000")
	for _, external := range []string{"<script", "src=", "<link", "@import", "<?xml"} {
		require.NotContains(t, html, external)
	}
	require.ErrorIs(t, Write(&out), ErrNoReports)
}

func TestWriteEmptyRun(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Write(&out, LoadTest{Name: "empty"}))
	require.Contains(t, out.String(), "empty")
}

func TestCompareDividesByBase(t *testing.T) {
	c := Compare(sampleRun("a", 10), sampleRun("b", 5))
	factors := map[string]string{}
	for _, r := range c.Ratios {
		factors[r.Name] = r.Text()
	}
	require.Equal(t, "0.500", factors["reads per second"])
	require.Equal(t, "1.000", factors["read p95 ms"])
	require.Equal(t, "–", factors["tokens per second"])
}

func TestFaultsCountsEveryKind(t *testing.T) {
	require.Zero(t, Checks{Answers: 5, Unresolved: 2}.Faults())
	require.Equal(t, 6, Checks{WrongAnswers: 1, Incomplete: 1, Lost: 1, Doubled: 1, WrongNotRun: 1, LedgerMissing: true}.Faults())
}

// TestPlotsExtremeValuesQuickly checks that a report with values that no real run produces
// is drawn within 5 s.
func TestPlotsExtremeValuesQuickly(t *testing.T) {
	for _, value := range []float64{1e22, 1e300, -1e300, -3, 1e-300} {
		l := sampleRun("extreme", 5)
		l.Recoveries[0].AtS = value
		l.LatencyMillis["read"] = Percentiles{P95: value}
		started := time.Now()
		require.NoError(t, Write(&bytes.Buffer{}, l), value)
		require.Less(t, time.Since(started), 5*time.Second, value)
	}
}

func FuzzReadAndWrite(f *testing.F) {
	raw, err := json.Marshal(sampleRun("seed", 1))
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		_ = Write(&bytes.Buffer{}, l)
	})
}
