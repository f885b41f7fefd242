package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Row is a figure at the size to plan for.
type Projection struct {
	*Slope
	Value, Doubled            Range // in the class's own unit
	Basis, DoubledBasis       [3]string
	Budget                    Budget
	HasBudget                 bool
	BudgetRatio               float64   // of the likely value to the budget
	CrossesAt                 float64   // the part of the size to plan for, all grown together, at which the budget is passed
	CrossesAtHigh             float64   // the same with the assumptions high
	Verdicts, DoubledVerdicts [3]string // at low, likely and high; Two at twice the size
}

// word is the word at the likely value, with what the others make of it.
func formatVerdicts(w [3]string) string {
	out := cmp.Or(w[1], "-")
	for i, at := range [...]string{"low", "", "high"} {
		if w[i] != w[1] {
			out += ", " + w[i] + " at " + at
		}
	}
	return out
}

// Row works a slope out.
func (p *Model) Project(s *Slope) *Projection {
	r := &Projection{Slope: s}
	value := func(x float64) float64 { v, _, _ := s.At(x); return v }
	size, two := p.Size(s.Dimension, false), p.Size(s.Dimension, true)
	r.Value, r.Doubled = size.transform(value), two.transform(value)
	once, twice := size.values(), two.values()
	for i := range once {
		_, _, r.Basis[i] = s.At(once[i])
		_, _, r.DoubledBasis[i] = s.At(twice[i])
	}
	if r.Budget, r.HasBudget = p.budget(s.Role, s.Class(), s.Metric); r.HasBudget {
		r.BudgetRatio = r.Value.Likely / r.Budget.Value
		r.CrossesAt = s.CrossingSize(r.Budget.Value) / size.Likely
		r.CrossesAtHigh = s.CrossingSize(r.Budget.Value) / size.High
		for i, x := range size.values() {
			r.Verdicts[i], r.DoubledVerdicts[i] = s.Verdict(x, r.Budget.Value), s.Verdict(two.values()[i], r.Budget.Value)
		}
	}
	return r
}

// Stand is a duty with its word and why.
type DutyAssessment struct {
	Duty
	Projections []*Projection
	Verdict     string
	Reason      string
}

// Stands are the duties, in the order of the roles; a slope whose duty is not among them has one of its own.
func (p *Model) AssessDuties() []*DutyAssessment {
	var out []*DutyAssessment
	at := map[string]*DutyAssessment{}
	for _, d := range p.Duties {
		s := &DutyAssessment{Duty: d}
		at[d.Key+"\n"+d.Role] = s
		out = append(out, s)
	}
	for _, s := range p.Slopes {
		key := s.DutyKey() + "\n" + s.Role
		if at[key] == nil {
			at[key] = &DutyAssessment{Duty: Duty{Key: s.DutyKey(), Role: s.Role, Description: s.DutyKey() + " (not in duties.toml)", Mechanism: "-", State: "-", TypicalRate: "-", PeakRate: "-"}}
			out = append(out, at[key])
		}
		at[key].Projections = append(at[key].Projections, p.Project(s))
	}
	slices.SortStableFunc(out, func(a, b *DutyAssessment) int {
		return cmp.Compare(slices.Index(Roles, a.Role), slices.Index(Roles, b.Role))
	})
	for _, s := range out {
		s.assess()
	}
	return out
}

func (s *DutyAssessment) assess() {
	if s.AbsentReason != "" {
		s.Verdict, s.Reason = Absent, s.AbsentReason
		return
	}
	s.Verdict = WithinBudget
	var over, unproven []string
	for _, r := range s.Projections {
		switch {
		case !r.HasBudget:
		case r.Verdicts[1] == OverBudget:
			over = append(over, r.Metric)
		case r.Verdicts[1] == Unproven:
			unproven = append(unproven, r.Metric)
		}
	}
	for _, c := range s.RequiredClasses {
		if !slices.ContainsFunc(s.Projections, func(r *Projection) bool { return r.Class() == c && r.HasBudget }) {
			unproven = append(unproven, c+" not measured")
		}
	}
	switch {
	case len(over) > 0:
		s.Verdict, s.Reason = OverBudget, strings.Join(over, "; ")
	case len(unproven) > 0:
		s.Verdict, s.Reason = Unproven, strings.Join(unproven, "; ")
	case len(s.Projections) == 0:
		s.Verdict, s.Reason = Unproven, "no slope"
	}
}

// Total is a sum with its word.
type SumAssessment struct {
	Sum
	Value, Doubled float64
	Budget         Budget
	Unmeasured     []string
	Verdict        string
	CrossesAt      float64 // the part of the size at which the sum passes the budget
}

// Totals are the sums.
func (p *Model) AssessSums() []*SumAssessment {
	var out []*SumAssessment
	for _, s := range p.Sums {
		t := &SumAssessment{Sum: s, Verdict: WithinBudget}
		var parts []*Slope
		t.Budget, _ = p.budget(s.Role, s.Class, "")
		for _, name := range s.SlopeNames {
			sl := p.slope(name)
			if sl == nil {
				t.Unmeasured = append(t.Unmeasured, name)
				continue
			}
			parts = append(parts, sl)
			r := p.Project(sl)
			if math.IsNaN(r.Value.Likely) {
				t.Unmeasured = append(t.Unmeasured, name)
			}
			t.Value += r.Value.Likely
			t.Doubled += r.Doubled.Likely
			if !r.HasBudget || r.Verdicts[1] != WithinBudget {
				t.Verdict = Unproven
			}
		}
		if len(t.Unmeasured) > 0 {
			t.Verdict = Unproven
		}
		if t.Value > t.Budget.Value {
			t.Verdict = OverBudget
		}
		t.CrossesAt = crossingScale(func(part float64) float64 {
			all := 0.
			for _, sl := range parts {
				v, _, _ := sl.At(part * p.Size(sl.Dimension, false).Likely)
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
func crossingScale(sum func(part float64) float64, limit float64) float64 {
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
type Gap struct {
	Verdict, Title, Role, Reason, Fallback string
	CrossesAt                              float64 // the part of the size; 0 for what is absent and served by nothing
}

// Missing is the list, in its order, its texts templates over the arithmetic: what is absent and nothing serves in its place comes first, for it is missing at any size;
// then what passes its budget below the size to plan for, the smallest size first; then what is absent and has something in
// its place.
func (p *Model) Gaps() []Gap {
	var out []Gap
	for _, s := range p.AssessDuties() {
		if s.Verdict == Absent {
			m := Gap{Verdict: Absent, Title: s.Duty.Description, Role: s.Role, Reason: s.AbsentReason + "; asked for by " + s.RequestedBy, Fallback: s.Fallback}
			if s.Fallback != "" {
				m.CrossesAt = math.Inf(1)
			}
			out = append(out, m)
			continue
		}
		var worst *Projection
		for _, r := range s.Projections {
			if !r.HasBudget || r.Verdicts[1] != OverBudget {
				continue
			}
			if worst == nil || r.Name == s.DecidingSlope || worst.Name != s.DecidingSlope && r.CrossesAt < worst.CrossesAt {
				worst = r
			}
		}
		if worst != nil {
			out = append(out, Gap{Verdict: OverBudget, Title: s.Duty.Description, Role: s.Role, CrossesAt: worst.CrossesAt, Fallback: s.Fallback,
				Reason: fmt.Sprintf("%s: %s at the size to plan for (%s), %s allowed", worst.Metric, formatQuantity(worst.Value.Likely, worst.Class()),
					worst.Basis[1], formatQuantity(worst.Budget.Value, worst.Class()))})
		}
	}
	for _, t := range p.AssessSums() {
		if t.Verdict == OverBudget {
			out = append(out, Gap{Verdict: OverBudget, Title: t.Title + ", " + t.Class + " in all", Role: t.Role, CrossesAt: t.CrossesAt,
				Reason: fmt.Sprintf("%s at the size to plan for, %s allowed", formatQuantity(t.Value, t.Class), formatQuantity(t.Budget.Value, t.Class))})
		}
	}
	slices.SortStableFunc(out, func(a, b Gap) int { return cmp.Compare(a.CrossesAt, b.CrossesAt) })
	return out
}
