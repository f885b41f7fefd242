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
	pictureWidth  = 26 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
	legendRoom    = 1.3 // of the highest rate
)

var (
	green = color.RGBA{R: 40, G: 140, B: 70, A: 255}
	amber = color.RGBA{R: 230, G: 150, B: 20, A: 255}
	red   = color.RGBA{R: 200, G: 40, B: 40, A: 255}
	blue  = color.RGBA{R: 40, G: 90, B: 180, A: 255}
	shade = color.RGBA{R: 120, G: 120, B: 160, A: 40}
	hues  = []color.RGBA{blue, green, amber, red, {R: 130, G: 60, B: 160, A: 255}}
)

// overTime shows served, refused and failed requests a second, with the faults as shaded spans.
func overTime(p result.Play) (template.HTML, error) {
	g := plot.New()
	g.Title.Text = "requests a second, by arrival"
	g.X.Label.Text, g.Y.Label.Text = "seconds", "per second"
	g.Y.Min = 0
	g.Legend.Top = true
	width := 1.0
	if len(p.Windows) > 1 {
		width = p.Windows[1].Start - p.Windows[0].Start
	}
	most := 1.0
	for _, w := range p.Windows {
		most = max(most, float64(w.Arrived)/width)
	}
	g.Y.Max = most * legendRoom
	for _, ev := range p.Events {
		to := max(ev.End, ev.Start+width/4)
		span, err := plotter.NewPolygon(plotter.XYs{{X: ev.Start, Y: 0}, {X: to, Y: 0}, {X: to, Y: most}, {X: ev.Start, Y: most}})
		if err != nil {
			return "", err
		}
		span.Color, span.LineStyle.Width = shade, 0
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: ev.Start, Y: most}},
			Labels: []string{fmt.Sprintf("%d %s", ev.Number, ev.Kind)}})
		if err != nil {
			return "", err
		}
		g.Add(span, label)
	}
	lines := []struct {
		name string
		hue  color.RGBA
		of   func(result.Window) int
	}{
		{"arrived", blue, func(w result.Window) int { return w.Arrived }},
		{"served", green, func(w result.Window) int { return w.Served }},
		{"refused", amber, func(w result.Window) int { return w.Rejected }},
		{"failed", red, func(w result.Window) int { return w.Failed }},
	}
	for _, l := range lines {
		xys := make(plotter.XYs, len(p.Windows))
		for i, w := range p.Windows {
			xys[i] = plotter.XY{X: w.Start + width/2, Y: float64(l.of(w)) / width}
		}
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = l.hue, vg.Points(1.3)
		g.Add(line)
		g.Legend.Add(l.name, line)
	}
	return svg(g)
}

// percentiles shows each class's latency at rising percentiles.
func percentiles(p result.Play) (template.HTML, error) {
	g := plot.New()
	g.Title.Text = "latency of what was served, from the planned arrival"
	g.X.Label.Text, g.Y.Label.Text = "percentile", "ms"
	g.Y.Min = 0
	g.Legend.Top, g.Legend.Left = true, true
	var ticks []plot.Tick
	for i, q := range result.Percentiles {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: num(q)})
	}
	g.X.Tick.Marker = plot.ConstantTicks(ticks)
	var names []string
	for name := range p.Latency {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		xys := make(plotter.XYs, len(p.Latency[name]))
		for j, ms := range p.Latency[name] {
			xys[j] = plotter.XY{X: float64(j), Y: ms}
		}
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return "", err
		}
		hue := hues[i%len(hues)]
		line.Color, points.Color = hue, hue
		points.Shape = draw.CircleGlyph{}
		g.Add(line, points)
		g.Legend.Add(name, line)
	}
	return svg(g)
}

func svg(g *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	g.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// What stands before the element is for a file of its own.
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
