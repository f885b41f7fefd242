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

// table is a Markdown table.
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

// Tables returns the generated tables of docs/CAPACITY.md by the names of their markers.
func (m *Model) Tables() (map[string]string, error) {
	assessments := m.AssessDuties()
	duties, dutiesErr := m.dutyTable(assessments)
	failures, failuresErr := m.failureTable()
	gaps, gapsErr := m.gapTable()
	if err := errors.Join(dutiesErr, failuresErr, gapsErr); err != nil {
		return nil, err
	}
	return map[string]string{"letter": m.targetTable(), "assumptions": m.assumptionTable(), "sizes": m.sizeTable(), "duties": duties,
		"figures": m.projectionTable(assessments), "totals": m.sumTable(), "missing": gaps, "failures": failures,
		"slopes": m.slopeTable(), "single": m.measurementTable()}, nil
}

func (m *Model) targetTable() string {
	t := newTable("number", "value")
	values := m.targetValues()
	for _, key := range slices.Sorted(maps.Keys(values)) {
		t.row("`"+key+"`", formatNumber(values[key]))
	}
	return t.text.String()
}

func (m *Model) assumptionTable() string {
	t := newTable("assumption", "unit", "low", "likely", "high", "why")
	for _, a := range m.Assumptions {
		t.row("`"+a.Key+"`", a.Unit, formatNumber(a.Low), formatNumber(a.Likely), formatNumber(a.High), a.Why)
	}
	return t.text.String()
}

func (m *Model) sizeTable() string {
	t := newTable("what grows", "at the size to plan for", "at twice its nodos", "")
	cell := func(r Range) string { return formatRange(r, classCount) }
	for _, name := range dimensionNames() {
		t.row(name, cell(m.Size(name, false)), cell(m.Size(name, true)), dimensions[name].description)
	}
	return t.text.String()
}

// expandAll expands texts of duties.toml. The error joins the errors of all texts.
func (m *Model) expandAll(texts ...string) (expanded []string, err error) {
	var errs []error
	for _, text := range texts {
		cell, err := m.expand(text)
		expanded, errs = append(expanded, cell), append(errs, err)
	}
	return expanded, errors.Join(errs...)
}

func (m *Model) dutyTable(assessments []*DutyAssessment) (string, error) {
	t := newTable("role", "duty", "state", "messages a second, ordinary", "in the worst minute", "mechanism", "word", "why")
	var errs []error
	for _, a := range assessments {
		cells, err := m.expandAll(a.State, a.TypicalRate, a.PeakRate)
		errs = append(errs, err)
		t.row(a.Role, a.Description, cells[0], cells[1], cells[2], a.Mechanism, "**"+a.Verdict+"**", a.Reason)
	}
	return t.text.String(), errors.Join(errs...)
}

func (m *Model) projectionTable(assessments []*DutyAssessment) string {
	t := newTable("role", "figure", "at the size to plan for", "how", "at twice", "how", "budget", "ratio", "passes its budget at", "word", "at twice")
	for _, a := range assessments {
		for _, p := range a.Projections {
			budget, ratio, crosses := "-", "-", "-"
			if p.HasBudget {
				budget, ratio, crosses = formatBudget(p), formatNumber(p.BudgetRatio), m.formatCrossing(p)
			}
			t.row(p.Role, p.Metric, formatRange(p.Value, p.Class()), formatBasis(p.Basis), formatRange(p.Doubled, p.Class()),
				formatBasis(p.DoubledBasis), budget, ratio, crosses, formatVerdicts(p.Verdicts), formatVerdicts(p.DoubledVerdicts))
		}
	}
	return t.text.String()
}

// formatBudget returns a projection's budget and marks one that the operators did not set.
func formatBudget(p *Projection) string {
	text := formatQuantity(p.Budget.Value, p.Class())
	if !strings.HasPrefix(p.Budget.Source, "letter") {
		text += " (ours)"
	}
	return text
}

// formatCrossing returns the size at which a projection exceeds its budget, and that under the high
// assumptions if it differs.
func (m *Model) formatCrossing(p *Projection) string {
	likely, high := m.formatSize(p.CrossesAt), m.formatSize(p.CrossesAtHigh)
	if high != likely {
		return likely + ", " + high + " at high"
	}
	return likely
}

// formatBasis returns the bases at low, likely and high, or one if they are equal.
func formatBasis(basis [3]string) string {
	if basis[0] == basis[1] && basis[1] == basis[2] {
		return basis[1]
	}
	return strings.Join(basis[:], " / ")
}

// formatVerdicts returns the likely verdict, and those at low and high that differ from it.
func formatVerdicts(verdicts [3]string) string {
	likely := verdicts[1]
	out := cmp.Or(likely, "-")
	if verdicts[0] != likely {
		out += ", " + verdicts[0] + " at low"
	}
	if verdicts[2] != likely {
		out += ", " + verdicts[2] + " at high"
	}
	return out
}

// formatSize returns a fraction of the target size as a number of servers.
func (m *Model) formatSize(fraction float64) string {
	servers := fraction * m.Target.Servers
	switch {
	case math.IsNaN(fraction):
		return "not known"
	case math.IsInf(fraction, 1):
		return "none"
	case fraction == 0:
		return "any size"
	case servers < 1:
		return "under 1 nodo"
	}
	return formatNumber(servers) + " nodos"
}

func (m *Model) sumTable() string {
	t := newTable("sum", "of", "at the size to plan for", "at twice", "budget", "ratio", "passes it at", "word", "not measured")
	for _, a := range m.AssessSums() {
		value, doubled := formatQuantity(a.Value, a.Class), formatQuantity(a.Doubled, a.Class)
		ratio, crosses := formatNumber(a.Value/a.Budget.Value), m.formatSize(a.CrossesAt)
		if len(a.Unmeasured) == len(a.SlopeNames) {
			value, doubled, ratio, crosses = "-", "-", "-", "-"
		}
		unmeasured := "-"
		if len(a.Unmeasured) > 0 {
			unmeasured = "`" + strings.Join(a.Unmeasured, "`, `") + "`"
		}
		t.row(a.Title, a.Class, value, doubled, formatQuantity(a.Budget.Value, a.Class), ratio, crosses, "**"+a.Verdict+"**", unmeasured)
	}
	return t.text.String()
}

func (m *Model) gapTable() (string, error) {
	t := newTable("", "word", "role", "what", "from", "why", "meanwhile")
	var errs []error
	for i, gap := range m.Gaps() {
		from := m.formatSize(gap.CrossesAt)
		if gap.Verdict == Absent {
			from = "any size"
		}
		cells, err := m.expandAll(gap.Reason, gap.Fallback)
		errs = append(errs, err)
		t.row(fmt.Sprint(i+1), "**"+gap.Verdict+"**", gap.Role, gap.Title, from, cells[0], cmp.Or(cells[1], "nothing"))
	}
	return t.text.String(), errors.Join(errs...)
}

func (m *Model) failureTable() (string, error) {
	t := newTable("failure", "known", "serves on", "lost", "played so far")
	var errs []error
	for _, f := range m.Failures {
		cells, err := m.expandAll(f.Event, f.Detection, f.StillServed, f.Impact, f.TestResult)
		errs = append(errs, err)
		t.row(cells...)
	}
	return t.text.String(), errors.Join(errs...)
}

// slopeTable returns the table of the recorded slopes. The last entry of a file is the newest: entries that
// were recorded at another commit or on another machine are marked.
func (m *Model) slopeTable() string {
	newest := map[string]*Slope{}
	for _, s := range m.Slopes {
		newest[s.File] = s
	}
	t := newTable("slope", "figure", "line", "slopes of the repeats", "measured at", "straight", "at", "command", "note")
	for _, s := range m.Slopes {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, formatNumber(p[0]))
		}
		t.row("`"+s.Name+"`", s.Metric+", "+s.Unit,
			fmt.Sprintf("%s + %s for each of %s", formatNumber(s.Intercept), formatNumber(s.Gradient), s.Dimension),
			formatNumber(s.GradientRange[0])+" to "+formatNumber(s.GradientRange[1]), strings.Join(sizes, ", "),
			choose(s.Linear, "yes", "no"), s.Commit+", "+s.Machine, "`"+s.Command+"`", strings.Join(slopeNotes(s, newest[s.File]), "; "))
	}
	return t.text.String()
}

// slopeNotes returns a slope's note and how it differs in origin from the newest of its file.
func slopeNotes(s, newest *Slope) []string {
	var notes []string
	if s.Note != "" {
		notes = append(notes, s.Note)
	}
	if s.Commit != newest.Commit {
		notes = append(notes, fmt.Sprintf("**at another commit** than the newest of its file (%s)", newest.Commit))
	}
	if s.Machine != newest.Machine {
		notes = append(notes, fmt.Sprintf("**on another machine** than the newest of its file (%s)", newest.Machine))
	}
	return notes
}

func (m *Model) measurementTable() string {
	t := newTable("figure", "value", "at", "command", "note")
	for _, f := range m.Measurements {
		t.row("`"+f.Name+"`", formatNumber(f.Value)+" "+f.Unit, f.Commit+", "+f.Machine, "`"+f.Command+"`", f.Note)
	}
	return t.text.String()
}
