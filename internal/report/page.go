package report

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrNoReports is returned by Write if no report is given.
var ErrNoReports = errors.New("at least one report must be given")

// Read decodes one report as printed by catkin-load.
func Read(r io.Reader) (LoadTest, error) {
	var l LoadTest
	if err := json.NewDecoder(r).Decode(&l); err != nil {
		return LoadTest{}, errors.Wrap(err, "decode the report")
	}
	return l, nil
}

// Write writes one self-contained HTML page with plots of all reports. Every report after
// the first is also compared with the first.
func Write(w io.Writer, runs ...LoadTest) error {
	if len(runs) == 0 {
		return ErrNoReports
	}
	view := pageView{}
	latency, err := latencyPlot(runs)
	if err != nil {
		return err
	}
	view.Latency = latency
	for _, l := range runs {
		run, err := newRunView(l)
		if err != nil {
			return err
		}
		view.Runs = append(view.Runs, run)
	}
	for _, l := range runs[1:] {
		view.Comparisons = append(view.Comparisons, Compare(runs[0], l))
	}
	return errors.Wrap(pageTemplate.Execute(w, view), "write the page")
}

type pageView struct {
	Latency     template.HTML
	Runs        []runView
	Comparisons []Comparison
}

type runView struct {
	LoadTest
	Plot      template.HTML
	Latencies []namedPercentiles
	Counts    []namedCount
}

type namedPercentiles struct {
	Name string
	Percentiles
}

type namedCount struct {
	Group string
	Name  string
	Count int
}

func newRunView(l LoadTest) (runView, error) {
	plot, err := seriesPlot(l)
	if err != nil {
		return runView{}, err
	}
	view := runView{LoadTest: l, Plot: plot}
	for _, name := range latencyNames([]LoadTest{l}) {
		view.Latencies = append(view.Latencies, namedPercentiles{Name: name, Percentiles: l.LatencyMillis[name]})
	}
	view.addCounts("outcome", l.Outcomes)
	view.addCounts("verdict", l.Verdicts)
	view.addCounts("cause", l.Refused)
	return view, nil
}

func (v *runView) addCounts(group string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		v.Counts = append(v.Counts, namedCount{Group: group, Name: name, Count: counts[name]})
	}
}

// Ratio compares one figure of two reports. Factor is Other divided by Base, 0 if Base is 0.
type Ratio struct {
	Name   string
	Base   float64
	Other  float64
	Factor float64
}

// Text formats Factor, as a dash if Base is 0.
func (r Ratio) Text() string {
	if r.Base == 0 || math.IsNaN(r.Factor) {
		return "–"
	}
	return fmt.Sprintf("%.3f", r.Factor)
}

// Comparison holds the figures of one report divided by those of a base report.
type Comparison struct {
	BaseName  string
	OtherName string
	Ratios    []Ratio
}

// Compare divides the figures of other by those of base.
func Compare(base, other LoadTest) Comparison {
	c := Comparison{BaseName: base.Name, OtherName: other.Name}
	add := func(name string, a, b float64) {
		r := Ratio{Name: name, Base: a, Other: b}
		if a != 0 {
			r.Factor = b / a
		}
		c.Ratios = append(c.Ratios, r)
	}
	add("completions per second", base.Throughput.Completions, other.Throughput.Completions)
	add("tokens per second", base.Throughput.Tokens, other.Throughput.Tokens)
	add("reads per second", base.Throughput.Reads, other.Throughput.Reads)
	add("reservations per second", base.Throughput.Reservations, other.Throughput.Reservations)
	for _, name := range latencyNames([]LoadTest{base, other}) {
		a, b := base.LatencyMillis[name], other.LatencyMillis[name]
		add(name+" p50 ms", a.P50, b.P50)
		add(name+" p95 ms", a.P95, b.P95)
	}
	add("worst recovery s", worstRecovery(base), worstRecovery(other))
	return c
}

func worstRecovery(l LoadTest) float64 {
	worst := 0.0
	for _, r := range l.Recoveries {
		worst = max(worst, r.RecoveryS)
	}
	return worst
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load reports</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
td, th { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: left; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #b01e1e; font-weight: bold; }
.good { color: #1b6c3a; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Load reports</h1>
{{.Latency}}
{{range .Comparisons}}
<h2>{{.OtherName}} against {{.BaseName}}</h2>
<table><tr><th></th><th class="n">{{.BaseName}}</th><th class="n">{{.OtherName}}</th><th class="n">ratio</th></tr>
{{range .Ratios}}<tr><td>{{.Name}}</td><td class="n">{{printf "%.2f" .Base}}</td><td class="n">{{printf "%.2f" .Other}}</td><td class="n">{{.Text}}</td></tr>
{{end}}</table>
{{end}}
{{range .Runs}}
<h2>{{.Name}}</h2>
<p>{{.Started.Format "2006-01-02 15:04:05"}} UTC, {{printf "%.0f" .DurationS}} s, {{.Callers}} callers, seed {{.Seed}}:
{{.Requests}} requests, {{.Attempts}} attempts, {{.Skipped}} not started by the load generator.</p>
{{.Plot}}
<h3>Checks</h3>
{{with .Checks}}
<p class="{{if .Faults}}bad{{else}}good{{end}}">{{.Answers}} answers and {{.Reservations}} reservations checked:
{{.WrongAnswers}} wrong, {{.Incomplete}} incomplete, {{.Lost}} lost, {{.Doubled}} doubled, {{.WrongNotRun}} wrong "not run"{{if .LedgerMissing}}, ledger missing{{end}};
{{.Unresolved}} reservations may have run.</p>
{{range .Samples}}<p class="bad">{{.}}</p>{{end}}
{{end}}
<h3>Throughput</h3>
<table><tr><th>per second</th><th class="n">completions</th><th class="n">tokens</th><th class="n">reads</th><th class="n">reservations</th><th class="n">reads and reservations</th></tr>
<tr><td>offered</td>{{template "rates" .Offered}}</tr>
<tr><td>served</td>{{template "rates" .Throughput}}</tr>
<tr><td>accepted limit</td>{{template "rates" .Bound}}</tr>
<tr><td>served / limit</td>{{template "rates" .OfBound}}</tr></table>
{{if .Recoveries}}<h3>Failures</h3>
<table><tr><th>failure</th><th class="n">at s</th><th class="n">before, requests per second</th><th class="n">worst second / expected</th><th class="n">recovery s</th></tr>
{{range .Recoveries}}<tr><td>{{.Label}}</td><td class="n">{{printf "%.1f" .AtS}}</td><td class="n">{{printf "%.1f" .BeforePerS}}</td><td class="n">{{printf "%.2f" .WorstRatio}}</td><td class="n">{{if .Recovered}}{{printf "%.1f" .RecoveryS}}{{else}}<span class="bad">not recovered</span>{{end}}</td></tr>
{{end}}</table>{{end}}
<h3>Latency in milliseconds</h3>
<table><tr><th></th><th class="n">count</th><th class="n">p50</th><th class="n">p90</th><th class="n">p95</th><th class="n">p99</th><th class="n">max</th></tr>
{{range .Latencies}}<tr><td>{{.Name}}</td><td class="n">{{.Count}}</td><td class="n">{{printf "%.1f" .P50}}</td><td class="n">{{printf "%.1f" .P90}}</td><td class="n">{{printf "%.1f" .P95}}</td><td class="n">{{printf "%.1f" .P99}}</td><td class="n">{{printf "%.1f" .Max}}</td></tr>
{{end}}</table>
<h3>Counts</h3>
<table>{{range .Counts}}<tr><td>{{.Group}}</td><td>{{.Name}}</td><td class="n">{{.Count}}</td></tr>
{{end}}</table>
{{end}}
</body>
</html>
{{define "rates"}}<td class="n">{{printf "%.2f" .Completions}}</td><td class="n">{{printf "%.2f" .Tokens}}</td><td class="n">{{printf "%.2f" .Reads}}</td><td class="n">{{printf "%.2f" .Reservations}}</td><td class="n">{{printf "%.2f" .Calls}}</td>{{end}}
`))
