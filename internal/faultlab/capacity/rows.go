package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Row is a figure at the size to plan for.
type Row struct {
	*Slope
	Value, Twice Range // in the class's own unit
	How, HowTwo  [3]string
	Budget       Budget
	Budgeted     bool
	Ratio        float64   // of the likely value to the budget
	Crosses      float64   // the part of the size to plan for, all grown together, at which the budget is passed
	CrossesHigh  float64   // the same with the assumptions high
	Words, Two   [3]string // at low, likely and high; Two at twice the size
}

// word is the word at the likely value, with what the others make of it.
func word(w [3]string) string {
	out := cmp.Or(w[1], "-")
	for i, at := range [...]string{"low", "", "high"} {
		if w[i] != w[1] {
			out += ", " + w[i] + " at " + at
		}
	}
	return out
}

// Row works a slope out.
func (p *Page) Row(s *Slope) *Row {
	r := &Row{Slope: s}
	value := func(x float64) float64 { v, _, _ := s.At(x); return v }
	size, two := p.Size(s.Of, false), p.Size(s.Of, true)
	r.Value, r.Twice = size.by(value), two.by(value)
	once, twice := size.three(), two.three()
	for i := range once {
		_, _, r.How[i] = s.At(once[i])
		_, _, r.HowTwo[i] = s.At(twice[i])
	}
	if r.Budget, r.Budgeted = p.budget(s.Role, s.Class(), s.Figure); r.Budgeted {
		r.Ratio = r.Value.Likely / r.Budget.Value
		r.Crosses = s.Crosses(r.Budget.Value) / size.Likely
		r.CrossesHigh = s.Crosses(r.Budget.Value) / size.High
		for i, x := range size.three() {
			r.Words[i], r.Two[i] = s.Judge(x, r.Budget.Value), s.Judge(two.three()[i], r.Budget.Value)
		}
	}
	return r
}

// Stand is a duty with its word and why.
type Stand struct {
	Duty
	Rows []*Row
	Word string
	Why  string
}

// Stands are the duties, in the order of the roles; a slope whose duty is not among them has one of its own.
func (p *Page) Stands() []*Stand {
	var out []*Stand
	at := map[string]*Stand{}
	for _, d := range p.Duties {
		s := &Stand{Duty: d}
		at[d.Key+"\n"+d.Role] = s
		out = append(out, s)
	}
	for _, s := range p.Slopes {
		key := s.Duty() + "\n" + s.Role
		if at[key] == nil {
			at[key] = &Stand{Duty: Duty{Key: s.Duty(), Role: s.Role, Duty: s.Duty() + " (not in duties.toml)", Mechanism: "-", State: "-", Ordinary: "-", Worst: "-"}}
			out = append(out, at[key])
		}
		at[key].Rows = append(at[key].Rows, p.Row(s))
	}
	slices.SortStableFunc(out, func(a, b *Stand) int {
		return cmp.Compare(slices.Index(Roles, a.Role), slices.Index(Roles, b.Role))
	})
	for _, s := range out {
		s.judge()
	}
	return out
}

func (s *Stand) judge() {
	if s.Absent != "" {
		s.Word, s.Why = Absent, s.Absent
		return
	}
	s.Word = Carried
	var over, unproven []string
	for _, r := range s.Rows {
		switch {
		case !r.Budgeted:
		case r.Words[1] == Over:
			over = append(over, r.Figure)
		case r.Words[1] == Unproven:
			unproven = append(unproven, r.Figure)
		}
	}
	for _, c := range s.Needs {
		if !slices.ContainsFunc(s.Rows, func(r *Row) bool { return r.Class() == c && r.Budgeted }) {
			unproven = append(unproven, c+" not measured")
		}
	}
	switch {
	case len(over) > 0:
		s.Word, s.Why = Over, strings.Join(over, "; ")
	case len(unproven) > 0:
		s.Word, s.Why = Unproven, strings.Join(unproven, "; ")
	case len(s.Rows) == 0:
		s.Word, s.Why = Unproven, "no slope"
	}
}

// Total is a sum with its word.
type Total struct {
	Sum
	Value, Twice float64
	Budget       Budget
	Lacks        []string
	Word         string
	Crosses      float64 // the part of the size at which the sum passes the budget
}

// Totals are the sums.
func (p *Page) Totals() []*Total {
	var out []*Total
	for _, s := range p.Sums {
		t := &Total{Sum: s, Word: Carried}
		var parts []*Slope
		t.Budget, _ = p.budget(s.Role, s.Class, "")
		for _, name := range s.Parts {
			sl := p.slope(name)
			if sl == nil {
				t.Lacks = append(t.Lacks, name)
				continue
			}
			parts = append(parts, sl)
			r := p.Row(sl)
			if math.IsNaN(r.Value.Likely) {
				t.Lacks = append(t.Lacks, name)
			}
			t.Value += r.Value.Likely
			t.Twice += r.Twice.Likely
			if !r.Budgeted || r.Words[1] != Carried {
				t.Word = Unproven
			}
		}
		if len(t.Lacks) > 0 {
			t.Word = Unproven
		}
		if t.Value > t.Budget.Value {
			t.Word = Over
		}
		t.Crosses = crossing(func(part float64) float64 {
			all := 0.
			for _, sl := range parts {
				v, _, _ := sl.At(part * p.Size(sl.Of, false).Likely)
				all += v
			}
			return all
		}, t.Budget.Value)
		out = append(out, t)
	}
	return out
}

// crossing is the part of the size at which a sum passes a limit; infinite if it has not at a thousand times the size. Where a
// part of the sum is not known, NaN, it passes nothing.
func crossing(sum func(part float64) float64, limit float64) float64 {
	const steps, most = 4000, 1000.
	for i := range steps + 1 {
		part := math.Pow(most, 2*float64(i)/steps-1) // from a thousandth
		if sum(part) > limit {
			return part
		}
	}
	return math.Inf(1)
}

// Missing is an entry of the list of what is over or absent.
type Missing struct {
	Word, What, Role, Why, Instead string
	Crosses                        float64 // the part of the size; 0 for what is absent and served by nothing
}

// Missing is the list, in its order, its texts templates over the arithmetic: what is absent and nothing serves in its place comes first, for it is missing at any size;
// then what passes its budget below the size to plan for, the smallest size first; then what is absent and has something in
// its place.
func (p *Page) Missing() []Missing {
	var out []Missing
	for _, s := range p.Stands() {
		if s.Word == Absent {
			m := Missing{Word: Absent, What: s.Duty.Duty, Role: s.Role, Why: s.Absent + "; asked for by " + s.Asks, Instead: s.Instead}
			if s.Instead != "" {
				m.Crosses = math.Inf(1)
			}
			out = append(out, m)
			continue
		}
		var worst *Row
		for _, r := range s.Rows {
			if !r.Budgeted || r.Words[1] != Over {
				continue
			}
			if worst == nil || r.Name == s.Decides || worst.Name != s.Decides && r.Crosses < worst.Crosses {
				worst = r
			}
		}
		if worst != nil {
			out = append(out, Missing{Word: Over, What: s.Duty.Duty, Role: s.Role, Crosses: worst.Crosses, Instead: s.Instead,
				Why: fmt.Sprintf("%s: %s at the size to plan for (%s), %s allowed", worst.Figure, quantity(worst.Value.Likely, worst.Class()),
					worst.How[1], quantity(worst.Budget.Value, worst.Class()))})
		}
	}
	for _, t := range p.Totals() {
		if t.Word == Over {
			out = append(out, Missing{Word: Over, What: t.What + ", " + t.Class + " in all", Role: t.Role, Crosses: t.Crosses,
				Why: fmt.Sprintf("%s at the size to plan for, %s allowed", quantity(t.Value, t.Class), quantity(t.Budget.Value, t.Class))})
		}
	}
	slices.SortStableFunc(out, func(a, b Missing) int { return cmp.Compare(a.Crosses, b.Crosses) })
	return out
}
