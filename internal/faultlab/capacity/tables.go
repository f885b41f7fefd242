package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// table is a table of Markdown.
type table struct{ text strings.Builder }

func newTable(heads ...string) *table {
	t := &table{}
	t.row(heads...)
	t.text.WriteString(strings.Repeat("| --- ", len(heads)) + "|\n")
	return t
}

func (t *table) row(cells ...string) {
	for _, c := range cells {
		t.text.WriteString("| " + strings.ReplaceAll(c, "|", "\\|") + " ")
	}
	t.text.WriteString("|\n")
}

// Tables are the page's generated parts by name.
func (p *Model) Tables() (map[string]string, error) {
	stands := p.AssessDuties()
	duties, err := p.dutyTable(stands)
	failures, err2 := p.failureTable()
	missing, err3 := p.missingTable()
	if err := errors.Join(err, err2, err3); err != nil {
		return nil, err
	}
	return map[string]string{"letter": p.letterTable(), "assumptions": p.assumptionTable(), "sizes": p.sizeTable(), "duties": duties,
		"figures": p.figureTable(stands), "totals": p.totalTable(), "missing": missing, "failures": failures,
		"slopes": p.slopeTable(), "single": p.measurementTable()}, nil
}

func (p *Model) letterTable() string {
	t := newTable("number", "value")
	l := p.targetValues()
	for _, k := range slices.Sorted(maps.Keys(l)) {
		t.row("`"+k+"`", formatNumber(l[k]))
	}
	return t.text.String()
}

func (p *Model) assumptionTable() string {
	t := newTable("assumption", "unit", "low", "likely", "high", "why")
	for _, a := range p.Assumptions {
		t.row("`"+a.Key+"`", a.Unit, formatNumber(a.Low), formatNumber(a.Likely), formatNumber(a.High), a.Why)
	}
	return t.text.String()
}

func (p *Model) sizeTable() string {
	t := newTable("what grows", "at the size to plan for", "at twice its nodos", "")
	cell := func(r Range) string { return formatRange(r, classCount) }
	for _, of := range dimensionNames() {
		t.row(of, cell(p.Size(of, false)), cell(p.Size(of, true)), dimensions[of].description)
	}
	return t.text.String()
}

func (p *Model) dutyTable(stands []*DutyAssessment) (string, error) {
	t := newTable("role", "duty", "state", "messages a second, ordinary", "in the worst minute", "mechanism", "word", "why")
	var found []error
	for _, s := range stands {
		cells := []string{s.Role, s.Duty.Description}
		for _, text := range []string{s.State, s.TypicalRate, s.PeakRate} {
			c, err := p.expand(text)
			if err != nil {
				found = append(found, err)
			}
			cells = append(cells, c)
		}
		t.row(append(cells, s.Mechanism, "**"+s.Verdict+"**", s.Reason)...)
	}
	return t.text.String(), errors.Join(found...)
}

func (p *Model) figureTable(stands []*DutyAssessment) string {
	t := newTable("role", "figure", "at the size to plan for", "how", "at twice", "how", "budget", "ratio", "passes its budget at", "word", "at twice")
	for _, s := range stands {
		for _, r := range s.Projections {
			class := r.Class()
			budget, ratio, crosses := "-", "-", "-"
			if r.HasBudget {
				budget, ratio = formatQuantity(r.Budget.Value, class), formatNumber(r.BudgetRatio)
				if !strings.HasPrefix(r.Budget.Source, "letter") {
					budget += " (ours)"
				}
				if crosses = p.formatSize(r.CrossesAt); p.formatSize(r.CrossesAtHigh) != crosses {
					crosses += ", " + p.formatSize(r.CrossesAtHigh) + " at high"
				}
			}
			t.row(r.Role, r.Metric, formatRange(r.Value, class), formatBasis(r.Basis), formatRange(r.Doubled, class), formatBasis(r.DoubledBasis), budget, ratio, crosses, formatVerdicts(r.Verdicts), formatVerdicts(r.DoubledVerdicts))
		}
	}
	return t.text.String()
}

// hows are how three values are known, as one word if they are alike.
func formatBasis(h [3]string) string {
	if h[0] == h[1] && h[1] == h[2] {
		return h[1]
	}
	return strings.Join(h[:], " / ")
}

// size is a part of the size to plan for in servers.
func (p *Model) formatSize(part float64) string {
	switch {
	case math.IsNaN(part):
		return "not known"
	case math.IsInf(part, 1):
		return "none"
	case part == 0:
		return "any size"
	case part*p.Target.Servers < 1:
		return "under 1 nodo"
	}
	return formatNumber(part*p.Target.Servers) + " nodos"
}

func (p *Model) totalTable() string {
	t := newTable("sum", "of", "at the size to plan for", "at twice", "budget", "ratio", "passes it at", "word", "not measured")
	for _, s := range p.AssessSums() {
		lacks := "-"
		if len(s.Unmeasured) > 0 {
			lacks = "`" + strings.Join(s.Unmeasured, "`, `") + "`"
		}
		value, twice, ratio, crosses := formatQuantity(s.Value, s.Class), formatQuantity(s.Doubled, s.Class), formatNumber(s.Value/s.Budget.Value), p.formatSize(s.CrossesAt)
		if len(s.Unmeasured) == len(s.SlopeNames) {
			value, twice, ratio, crosses = "-", "-", "-", "-"
		}
		t.row(s.Title, s.Class, value, twice, formatQuantity(s.Budget.Value, s.Class), ratio, crosses, "**"+s.Verdict+"**", lacks)
	}
	return t.text.String()
}

func (p *Model) missingTable() (string, error) {
	t := newTable("", "word", "role", "what", "from", "why", "meanwhile")
	var found []error
	for i, m := range p.Gaps() {
		from := p.formatSize(m.CrossesAt)
		if m.Verdict == Absent {
			from = "any size"
		}
		why, err := p.expand(m.Reason)
		instead, err2 := p.expand(m.Fallback)
		found = append(found, err, err2)
		t.row(fmt.Sprint(i+1), "**"+m.Verdict+"**", m.Role, m.Title, from, why, cmp.Or(instead, "nothing"))
	}
	return t.text.String(), errors.Join(found...)
}

func (p *Model) failureTable() (string, error) {
	t := newTable("failure", "known", "serves on", "lost", "played so far")
	var found []error
	for _, f := range p.Failures {
		cells := []string{}
		for _, text := range []string{f.Event, f.Detection, f.StillServed, f.Impact, f.TestResult} {
			c, err := p.expand(text)
			if err != nil {
				found = append(found, err)
			}
			cells = append(cells, c)
		}
		t.row(cells...)
	}
	return t.text.String(), errors.Join(found...)
}

// slopeTable has the slopes as recorded. The last entry of a file is the newest: what was recorded elsewhere or at another
// commit than that one is said to be.
func (p *Model) slopeTable() string {
	newest := map[string]*Slope{}
	for _, s := range p.Slopes {
		newest[s.File] = s
	}
	t := newTable("slope", "figure", "line", "slopes of the repeats", "measured at", "straight", "at", "command", "note")
	for _, s := range p.Slopes {
		xs, _, _, _ := columns(s.Points)
		var at []string
		for _, x := range xs {
			at = append(at, formatNumber(x))
		}
		notes := []string{}
		if s.Note != "" {
			notes = append(notes, s.Note)
		}
		if n := newest[s.File]; s.Commit != n.Commit {
			notes = append(notes, fmt.Sprintf("**at another commit** than the newest of its file (%s)", n.Commit))
		}
		if n := newest[s.File]; s.Machine != n.Machine {
			notes = append(notes, fmt.Sprintf("**on another machine** than the newest of its file (%s)", n.Machine))
		}
		t.row("`"+s.Name+"`", s.Metric+", "+s.Unit, fmt.Sprintf("%s + %s for each of %s", formatNumber(s.Intercept), formatNumber(s.Gradient), s.Dimension),
			formatNumber(s.GradientRange[0])+" to "+formatNumber(s.GradientRange[1]), strings.Join(at, ", "), pick2(s.Linear, "yes", "no"),
			s.Commit+", "+s.Machine, "`"+s.Command+"`", strings.Join(notes, "; "))
	}
	return t.text.String()
}

func (p *Model) measurementTable() string {
	t := newTable("figure", "value", "at", "command", "note")
	for _, f := range p.Measurements {
		t.row("`"+f.Name+"`", formatNumber(f.Value)+" "+f.Unit, f.Commit+", "+f.Machine, "`"+f.Command+"`", f.Note)
	}
	return t.text.String()
}

const (
	tableStart = "<!-- computed: "
	markerEnd  = " -->"
	tableEnd   = "<!-- end of computed -->"
)

// Fill puts the tables between a page's markers. Each table has to stand on it once, and nothing else may be marked.
func FillTables(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	seen := map[string]bool{}
	inside := ""
	for i, l := range strings.SplitAfter(page, "\n") {
		text := strings.TrimSpace(l)
		name, is := strings.CutPrefix(text, tableStart)
		switch {
		case is:
			name = strings.TrimSuffix(name, markerEnd)
			t, ok := tables[name]
			if inside != "" || !ok || seen[name] {
				return "", fmt.Errorf("line %d: %q is no table, stands twice or in another", i+1, name)
			}
			inside, seen[name] = name, true
			out.WriteString(l + t)
		case text == tableEnd:
			if inside == "" {
				return "", fmt.Errorf("line %d: an end without a beginning", i+1)
			}
			inside = ""
			out.WriteString(l)
		case inside == "":
			out.WriteString(l)
		}
	}
	if inside != "" {
		return "", fmt.Errorf("%q has no end", inside)
	}
	for name := range tables {
		if !seen[name] {
			return "", fmt.Errorf("the table %q is not on the page", name)
		}
	}
	return out.String(), nil
}

// Part is the first line in which a page parts from the arithmetic; empty if none does.
func FirstDifference(page, filled string) string {
	a, b := strings.Split(page, "\n"), strings.Split(filled, "\n")
	for i := range max(len(a), len(b)) {
		at := func(l []string) string {
			if i < len(l) {
				return l[i]
			}
			return "(no line)"
		}
		if at(a) != at(b) {
			return fmt.Sprintf("line %d:\n  the page has   %s\n  worked out is  %s", i+1, at(a), at(b))
		}
	}
	return ""
}
