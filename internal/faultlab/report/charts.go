package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"merlinpick/internal/faultlab/result"
)

const (
	chartWidth     = 26 * vg.Centimeter
	chartHeight    = 9 * vg.Centimeter
	legendHeadroom = 1.3 // height of the rate chart as a multiple of the highest rate
)

var (
	green       = color.RGBA{R: 40, G: 140, B: 70, A: 255}
	amber       = color.RGBA{R: 230, G: 150, B: 20, A: 255}
	red         = color.RGBA{R: 200, G: 40, B: 40, A: 255}
	blue        = color.RGBA{R: 40, G: 90, B: 180, A: 255}
	faultShade  = color.RGBA{R: 120, G: 120, B: 160, A: 40}
	classColors = []color.RGBA{blue, green, amber, red, {R: 130, G: 60, B: 160, A: 255}}
)

// rateChart draws the rates of arrived, served, rejected and failed requests, with the faults as shaded
// spans.
func rateChart(p result.Play) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text = "requests a second, by arrival"
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "per second"
	chart.Y.Min = 0
	chart.Legend.Top = true
	width := 1.0
	if len(p.Windows) > 1 {
		width = p.Windows[1].Start - p.Windows[0].Start
	}
	highest := 1.0
	for _, w := range p.Windows {
		highest = max(highest, float64(w.Arrived)/width)
	}
	chart.Y.Max = highest * legendHeadroom
	for _, event := range p.Events {
		if err := addFault(chart, event, width/4, highest); err != nil {
			return "", err
		}
	}
	for _, line := range rateLines {
		if err := addRate(chart, line, p.Windows, width); err != nil {
			return "", err
		}
	}
	return svg(chart)
}

// addFault shades the span of a fault, with a width of at least minWidth seconds, and labels it.
func addFault(chart *plot.Plot, event result.Event, minWidth, height float64) error {
	end := max(event.End, event.Start+minWidth)
	span, err := plotter.NewPolygon(plotter.XYs{{X: event.Start, Y: 0}, {X: end, Y: 0}, {X: end, Y: height},
		{X: event.Start, Y: height}})
	if err != nil {
		return err
	}
	span.Color, span.LineStyle.Width = faultShade, 0
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: event.Start, Y: height}},
		Labels: []string{fmt.Sprintf("%d %s", event.Number, event.Kind)}})
	if err != nil {
		return err
	}
	chart.Add(span, label)
	return nil
}

// rateLine is one line of the rate chart.
type rateLine struct {
	name      string
	lineColor color.RGBA
	count     func(result.Window) int
}

var rateLines = []rateLine{
	{"arrived", blue, func(w result.Window) int { return w.Arrived }},
	{"served", green, func(w result.Window) int { return w.Served }},
	{"refused", amber, func(w result.Window) int { return w.Rejected }},
	{"failed", red, func(w result.Window) int { return w.Failed }},
}

// addRate adds a line to the rate chart. Each window is width seconds long.
func addRate(chart *plot.Plot, l rateLine, windows []result.Window, width float64) error {
	if len(windows) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(windows))
	for i, w := range windows {
		points[i] = plotter.XY{X: w.Start + width/2, Y: float64(l.count(w)) / width}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = l.lineColor, vg.Points(1.3)
	chart.Add(line)
	chart.Legend.Add(l.name, line)
	return nil
}

// latencyChart draws each class's latency at rising percentiles.
func latencyChart(p result.Play) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text = "latency of served requests, from the planned arrival"
	chart.X.Label.Text, chart.Y.Label.Text = "percentile", "ms"
	chart.Y.Min = 0
	chart.Legend.Top, chart.Legend.Left = true, true
	var ticks []plot.Tick
	for i, percentile := range result.Percentiles {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: formatNumber(percentile)})
	}
	chart.X.Tick.Marker = plot.ConstantTicks(ticks)
	var names []string
	for name := range p.Latency {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		values := make(plotter.XYs, len(p.Latency[name]))
		for j, ms := range p.Latency[name] {
			values[j] = plotter.XY{X: float64(j), Y: ms}
		}
		line, points, err := plotter.NewLinePoints(values)
		if err != nil {
			return "", err
		}
		lineColor := classColors[i%len(classColors)]
		line.Color, points.Color = lineColor, lineColor
		points.Shape = draw.CircleGlyph{}
		chart.Add(line, points)
		chart.Legend.Add(name, line)
	}
	return svg(chart)
}

// svg draws a chart as an SVG element of a page.
func svg(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The prologue before the element is for an SVG file only.
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
