package report

import (
	"bytes"
	"html/template"
	"image/color"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
)

var (
	colorOK       = color.RGBA{R: 0x1b, G: 0x6c, B: 0x3a, A: 0xff}
	colorFailed   = color.RGBA{R: 0xb0, G: 0x1e, B: 0x1e, A: 0xff}
	colorRefused  = color.RGBA{R: 0xd0, G: 0x8a, B: 0x00, A: 0xff}
	colorRecovery = color.RGBA{R: 0x44, G: 0x44, B: 0xaa, A: 0xff}
	palette       = []color.Color{colorOK, colorRecovery, colorRefused, colorFailed}
)

// seriesPlot draws the requests per second of a run, with a vertical line at each failure.
func seriesPlot(l LoadTest) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = l.Name + ": requests per second"
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := []struct {
		name  string
		color color.Color
		value func(SecondCounts) int
	}{
		{"succeeded", colorOK, SecondCounts.Requests},
		{"refused responses", colorRefused, func(s SecondCounts) int { return s.Refused }},
		{"abandoned", colorFailed, func(s SecondCounts) int { return s.Failed }},
	}
	highest := 1.0
	for _, line := range lines {
		points := make(plotter.XYs, len(l.Series))
		for i, s := range l.Series {
			points[i].X = float64(i)
			points[i].Y = float64(line.value(s))
			highest = max(highest, points[i].Y)
		}
		if err := addLine(p, line.name, points, line.color); err != nil {
			return "", err
		}
	}
	for _, r := range l.Recoveries {
		points := plotter.XYs{{X: r.AtS, Y: 0}, {X: r.AtS, Y: highest}}
		if err := addLine(p, "", points, colorRecovery); err != nil {
			return "", err
		}
	}
	return renderSVG(p)
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "line %q", name)
	}
	line.Color = c
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// latencyPlot draws the 95th percentiles of all runs side by side.
func latencyPlot(runs []LoadTest) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "latency, 95th percentile"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	p.Legend.Top = true
	names := latencyNames(runs)
	if len(names) == 0 {
		return "", nil
	}
	for i, l := range runs {
		values := make(plotter.Values, len(names))
		for j, name := range names {
			values[j] = l.LatencyMillis[name].P95
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.Wrap(err, "draw the latency bars")
		}
		bars.Color = palette[i%len(palette)]
		bars.Offset = barWidth * vg.Length(2*i-len(runs)+1) / 2
		p.Add(bars)
		p.Legend.Add(l.Name, bars)
	}
	p.NominalX(names...)
	return renderSVG(p)
}

func latencyNames(runs []LoadTest) []string {
	seen := map[string]bool{}
	var names []string
	for _, l := range runs {
		for name := range l.LatencyMillis {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// renderSVG renders p as an <svg> element without the XML header, for embedding in HTML.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "render the plot")
	}
	raw := out.Bytes()
	if at := bytes.Index(raw, []byte("<svg")); at > 0 {
		raw = raw[at:]
	}
	return template.HTML(raw), nil
}
