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
type table struct{ b strings.Builder }

func newTable(heads ...string) *table {
	t := &table{}
	t.row(heads...)
	t.b.WriteString(strings.Repeat("| --- ", len(heads)) + "|\n")
	return t
}

func (t *table) row(cells ...string) {
	for _, c := range cells {
		t.b.WriteString("| " + strings.ReplaceAll(c, "|", "\\|") + " ")
	}
	t.b.WriteString("|\n")
}

// Tables are the page's generated parts by name.
func (p *Page) Tables() (map[string]string, error) {
	stands := p.Stands()
	duties, err := p.dutyTable(stands)
	failures, err2 := p.failureTable()
	missing, err3 := p.missingTable()
	if err := errors.Join(err, err2, err3); err != nil {
		return nil, err
	}
	return map[string]string{"letter": p.letterTable(), "assumptions": p.assumptionTable(), "sizes": p.sizeTable(), "duties": duties,
		"figures": p.figureTable(stands), "totals": p.totalTable(), "missing": missing, "failures": failures,
		"slopes": p.slopeTable(), "single": p.singleTable()}, nil
}

func (p *Page) letterTable() string {
	t := newTable("number", "value")
	l := p.letter()
	for _, k := range slices.Sorted(maps.Keys(l)) {
		t.row("`"+k+"`", number(l[k]))
	}
	return t.b.String()
}

func (p *Page) assumptionTable() string {
	t := newTable("assumption", "unit", "low", "likely", "high", "why")
	for _, a := range p.Assumptions {
		t.row("`"+a.Key+"`", a.Unit, number(a.Low), number(a.Likely), number(a.High), a.Why)
	}
	return t.b.String()
}

func (p *Page) sizeTable() string {
	t := newTable("what grows", "at the size to plan for", "at twice its nodos", "")
	cell := func(r Range) string { return quantities(r, classCount) }
	for _, of := range known() {
		t.row(of, cell(p.Size(of, false)), cell(p.Size(of, true)), dimensions[of].what)
	}
	return t.b.String()
}

func (p *Page) dutyTable(stands []*Stand) (string, error) {
	t := newTable("role", "duty", "state", "messages a second, ordinary", "in the worst minute", "mechanism", "word", "why")
	var found []error
	for _, s := range stands {
		cells := []string{s.Role, s.Duty.Duty}
		for _, text := range []string{s.State, s.Ordinary, s.Worst} {
			c, err := p.expand(text)
			if err != nil {
				found = append(found, err)
			}
			cells = append(cells, c)
		}
		t.row(append(cells, s.Mechanism, "**"+s.Word+"**", s.Why)...)
	}
	return t.b.String(), errors.Join(found...)
}

func (p *Page) figureTable(stands []*Stand) string {
	t := newTable("role", "figure", "at the size to plan for", "how", "at twice", "how", "budget", "ratio", "passes its budget at", "word", "at twice")
	for _, s := range stands {
		for _, r := range s.Rows {
			class := r.Class()
			budget, ratio, crosses := "-", "-", "-"
			if r.Budgeted {
				budget, ratio = quantity(r.Budget.Value, class), number(r.Ratio)
				if !strings.HasPrefix(r.Budget.From, "letter") {
					budget += " (ours)"
				}
				if crosses = p.size(r.Crosses); p.size(r.CrossesHigh) != crosses {
					crosses += ", " + p.size(r.CrossesHigh) + " at high"
				}
			}
			t.row(r.Role, r.Figure, quantities(r.Value, class), hows(r.How), quantities(r.Twice, class), hows(r.HowTwo), budget, ratio, crosses, word(r.Words), word(r.Two))
		}
	}
	return t.b.String()
}

// hows are how three values are known, as one word if they are alike.
func hows(h [3]string) string {
	if h[0] == h[1] && h[1] == h[2] {
		return h[1]
	}
	return strings.Join(h[:], " / ")
}

// size is a part of the size to plan for in servers.
func (p *Page) size(part float64) string {
	switch {
	case math.IsNaN(part):
		return "not known"
	case math.IsInf(part, 1):
		return "none"
	case part == 0:
		return "any size"
	case part*p.Letter.Nodos < 1:
		return "under 1 nodo"
	}
	return number(part*p.Letter.Nodos) + " nodos"
}

func (p *Page) totalTable() string {
	t := newTable("sum", "of", "at the size to plan for", "at twice", "budget", "ratio", "passes it at", "word", "not measured")
	for _, s := range p.Totals() {
		lacks := "-"
		if len(s.Lacks) > 0 {
			lacks = "`" + strings.Join(s.Lacks, "`, `") + "`"
		}
		value, twice, ratio, crosses := quantity(s.Value, s.Class), quantity(s.Twice, s.Class), number(s.Value/s.Budget.Value), p.size(s.Crosses)
		if len(s.Lacks) == len(s.Parts) {
			value, twice, ratio, crosses = "-", "-", "-", "-"
		}
		t.row(s.What, s.Class, value, twice, quantity(s.Budget.Value, s.Class), ratio, crosses, "**"+s.Word+"**", lacks)
	}
	return t.b.String()
}

func (p *Page) missingTable() (string, error) {
	t := newTable("", "word", "role", "what", "from", "why", "meanwhile")
	var found []error
	for i, m := range p.Missing() {
		from := p.size(m.Crosses)
		if m.Word == Absent {
			from = "any size"
		}
		why, err := p.expand(m.Why)
		instead, err2 := p.expand(m.Instead)
		found = append(found, err, err2)
		t.row(fmt.Sprint(i+1), "**"+m.Word+"**", m.Role, m.What, from, why, cmp.Or(instead, "nothing"))
	}
	return t.b.String(), errors.Join(found...)
}

func (p *Page) failureTable() (string, error) {
	t := newTable("failure", "known", "serves on", "lost", "played so far")
	var found []error
	for _, f := range p.Failures {
		cells := []string{}
		for _, text := range []string{f.What, f.Known, f.Serves, f.Lost, f.Played} {
			c, err := p.expand(text)
			if err != nil {
				found = append(found, err)
			}
			cells = append(cells, c)
		}
		t.row(cells...)
	}
	return t.b.String(), errors.Join(found...)
}

// slopeTable has the slopes as recorded. The last entry of a file is the newest: what was recorded elsewhere or at another
// commit than that one is said to be.
func (p *Page) slopeTable() string {
	newest := map[string]*Slope{}
	for _, s := range p.Slopes {
		newest[s.File] = s
	}
	t := newTable("slope", "figure", "line", "slopes of the repeats", "measured at", "straight", "at", "command", "note")
	for _, s := range p.Slopes {
		xs, _, _, _ := columns(s.Points)
		var at []string
		for _, x := range xs {
			at = append(at, number(x))
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
		t.row("`"+s.Name+"`", s.Figure+", "+s.Unit, fmt.Sprintf("%s + %s for each of %s", number(s.Base), number(s.Per), s.Of),
			number(s.Spread[0])+" to "+number(s.Spread[1]), strings.Join(at, ", "), pick2(s.Straight, "yes", "no"),
			s.Commit+", "+s.Machine, "`"+s.Command+"`", strings.Join(notes, "; "))
	}
	return t.b.String()
}

func (p *Page) singleTable() string {
	t := newTable("figure", "value", "at", "command", "note")
	for _, f := range p.Figures {
		t.row("`"+f.Name+"`", number(f.Value)+" "+f.Unit, f.Commit+", "+f.Machine, "`"+f.Command+"`", f.Note)
	}
	return t.b.String()
}

const (
	begins = "<!-- computed: "
	closes = " -->"
	ends   = "<!-- end of computed -->"
)

// Fill puts the tables between a page's markers. Each table has to stand on it once, and nothing else may be marked.
func Fill(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	seen := map[string]bool{}
	inside := ""
	for i, l := range strings.SplitAfter(page, "\n") {
		text := strings.TrimSpace(l)
		name, is := strings.CutPrefix(text, begins)
		switch {
		case is:
			name = strings.TrimSuffix(name, closes)
			t, ok := tables[name]
			if inside != "" || !ok || seen[name] {
				return "", fmt.Errorf("line %d: %q is no table, stands twice or in another", i+1, name)
			}
			inside, seen[name] = name, true
			out.WriteString(l + t)
		case text == ends:
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
func Part(page, filled string) string {
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
