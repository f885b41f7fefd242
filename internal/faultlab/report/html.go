package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/result"
)

// FileName is the page in a run's directory.
const FileName = "report.html"

const slowestShown = 5

// HTML writes the page of a run: one file, its pictures in it, that opens from disk with no network.
func HTML(dir string, r *result.Result) error {
	page, err := pageOf(r)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if err := os.WriteFile(path+".part", out.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// page is what the template shows.
type page struct {
	*result.Result
	Verdict string
	Rows    []row
	Plays   []play
	Slowest []slow
	Rules   map[string]string
}

type row struct {
	Name, Median, Spread string
}

type play struct {
	result.Play
	N        int
	Pictures []template.HTML
	Zoned    []zoneRow
}

type zoneRow struct {
	From string
	To   []int
}

type slow struct {
	Play int
	result.Event
}

func pageOf(r *result.Result) (*page, error) {
	p := &page{Result: r, Verdict: verdict(r), Rules: experiment.RuleText}
	for _, name := range r.Names() {
		g := r.Metrics[name]
		p.Rows = append(p.Rows, row{name, num(g.Median), spread(g)})
	}
	for i, one := range r.Plays {
		shown := play{Play: one, N: i + 1}
		for _, draw := range []func(result.Play) (template.HTML, error){overTime, percentiles} {
			picture, err := draw(one)
			if err != nil {
				return nil, err
			}
			shown.Pictures = append(shown.Pictures, picture)
		}
		for _, z := range one.Zones {
			shown.Zoned = append(shown.Zoned, zoneRow{z, one.Attempts[z]})
		}
		p.Plays = append(p.Plays, shown)
		for _, ev := range one.Events {
			p.Slowest = append(p.Slowest, slow{i + 1, ev})
		}
	}
	slices.SortStableFunc(p.Slowest, func(a, b slow) int { return cmp.Compare(b.Recovery, a.Recovery) })
	p.Slowest = p.Slowest[:min(slowestShown, len(p.Slowest))]
	return p, nil
}

func verdict(r *result.Result) string {
	switch {
	case r.Partial != "":
		return "PARTIAL: " + r.Partial + ". Nothing is judged."
	case r.Void() != "":
		return "VOID: " + r.Void()
	case !r.Held:
		return "NOT HELD"
	}
	return "HELD"
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"num": num, "join": strings.Join, "percentile": func(i int) string { return num(result.Percentiles[i]) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { border: 1px solid #ccc; padding: .2em .6em; text-align: left }
td.n { text-align: right; font-variant-numeric: tabular-nums } .bad { background: #fdd } .good { background: #dfd }
.note { color: #666 } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.Title}}</h1>
<p class="{{if eq .Verdict "HELD"}}good{{else}}bad{{end}}"><b>{{.Verdict}}</b></p>
<p class="note">{{.File}}, begun {{.Began.Format "2006-01-02 15:04:05"}} UTC, program {{.Version}}, {{.Machine.Cores}} cores,
load of the machine {{index .Machine.LoadBefore 0}} before and {{index .Machine.LoadAfter 0}} after.</p>
<h2>What was expected</h2>
<table><tr><th>figure</th><th>bound</th><th>median</th><th>span of arrivals</th><th></th></tr>
{{range .Expected}}<tr class="{{if .Held}}good{{else}}bad{{end}}"><td>{{.Figure}}</td>
<td class="n">{{with .Min}}&ge; {{num .}} {{end}}{{with .Max}}&le; {{num .}}{{end}}</td><td class="n">{{num .Range.Median}}</td>
<td>{{if or .From .To}}{{num .From}} to {{num .To}} s{{end}}</td><td>{{.Text}}</td></tr>
{{end}}</table>
{{if .Slowest}}<h2>Slowest to recover</h2>
<table><tr><th>play</th><th>fault</th><th>targets</th><th>from, to (s)</th><th>worth in time before</th><th>back to 95 % after (s)</th></tr>
{{range .Slowest}}<tr><td>{{.Play}}</td><td>{{.N}}: {{.Kind}}</td><td>{{join .Target " "}}</td><td>{{printf "%.1f, %.1f" .From .To}}</td>
<td class="n">{{printf "%.3f" .Before}}</td><td class="n">{{if .Below}}not within {{end}}{{printf "%.1f" .Recovery}}</td></tr>
{{end}}</table>{{end}}
{{range $play := .Plays}}<h2>Play {{.N}}, seed {{.Seed}}</h2>
{{if .Void}}<p class="bad">VOID: {{.Void}}</p>{{end}}{{if .Partial}}<p class="bad">PARTIAL: it was interrupted.</p>{{end}}
<p class="note">The lab was late by {{printf "%.2f" .Late.P50}} / {{printf "%.2f" .Late.P99}} / {{printf "%.1f" .Late.Max}} ms
(p50, p99, most), stood still for {{printf "%.1f" .Late.Stall}} ms at most, and took {{printf "%.0f" .LabMB}} MB.</p>
{{range .Pictures}}{{.}}
{{end}}
<table><tr><th>latency, ms</th>{{range $i, $_ := $.Percentiles}}<th>p{{percentile $i}}</th>{{end}}</tr>
{{range $class, $ms := .Latency}}<tr><td>{{$class}}</td>{{range $ms}}<td class="n">{{printf "%.1f" .}}</td>{{end}}</tr>{{end}}</table>
<table><tr><th>attempts from \ to</th>{{range .Zones}}<th>{{.}}</th>{{end}}</tr>
{{range .Zoned}}<tr><td>{{.From}}</td>{{range .To}}<td class="n">{{.}}</td>{{end}}</tr>{{end}}</table>
{{if .Violations}}<h3>Broken rules</h3><table><tr><th>rule</th><th>at</th><th>proxy</th><th>nodo</th><th>request</th><th></th></tr>
{{range .Violations}}<tr class="bad"><td title="{{index $.Rules .Rule}}">{{.Rule}}</td><td>{{.At.Format "15:04:05.000"}}</td>
<td>{{.Proxy}}</td><td>{{.Server}}</td><td>{{.Attempt}}</td><td>{{.Text}}</td></tr>{{end}}</table>{{end}}
{{end}}
<h2>All figures</h2>
<table><tr><th>figure</th><th>median</th><th>spread</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td class="n">{{.Median}}</td><td class="n">{{.Spread}}</td></tr>
{{end}}</table>
</body></html>
`))

// Percentiles are the columns of the latency table.
func (p *page) Percentiles() []float64 { return result.Percentiles }
