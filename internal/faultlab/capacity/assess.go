package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Projection is a metric at the target size. Arrays are at the low, likely and high assumptions.
type Projection struct {
	*Slope
	Value           Range // in the class's display unit
	Doubled         Range // at twice the servers
	Basis           [3]string
	DoubledBasis    [3]string
	Budget          Budget
	HasBudget       bool
	BudgetRatio     float64 // of the likely value to the budget
	CrossesAt       float64 // fraction of the target size over budget; NaN: unknown, infinite: none
	CrossesAtHigh   float64 // CrossesAt under the high assumptions
	Verdicts        [3]string
	DoubledVerdicts [3]string
}

// Project estimates a slope's metric at the target size and compares it with its budget.
func (m *Model) Project(s *Slope) *Projection {
	p := &Projection{Slope: s}
	estimate := func(size float64) float64 { value, _, _ := s.At(size); return value }
	target, doubled := m.Size(s.Dimension, false), m.Size(s.Dimension, true)
	p.Value, p.Doubled = target.transform(estimate), doubled.transform(estimate)
	for i, size := range target.values() {
		_, _, p.Basis[i] = s.At(size)
	}
	for i, size := range doubled.values() {
		_, _, p.DoubledBasis[i] = s.At(size)
	}
	if p.Budget, p.HasBudget = m.budget(s.Role, s.Class(), s.Metric); !p.HasBudget {
		return p
	}
	limit := p.Budget.Value
	p.BudgetRatio = p.Value.Likely / limit
	p.CrossesAt = s.CrossingSize(limit) / target.Likely
	p.CrossesAtHigh = s.CrossingSize(limit) / target.High
	for i, size := range target.values() {
		p.Verdicts[i] = s.Verdict(size, limit)
	}
	for i, size := range doubled.values() {
		p.DoubledVerdicts[i] = s.Verdict(size, limit)
	}
	return p
}

// likelyVerdict is the verdict under the likely assumptions; empty without a budget.
func (p *Projection) likelyVerdict() string { return p.Verdicts[1] }

// DutyAssessment is a duty with the projections of its metrics and the verdict on it.
type DutyAssessment struct {
	Duty
	Projections []*Projection
	Verdict     string
	Reason      string
}

// AssessDuties assesses all duties, in the order of the roles. A duty that only slopes name, not duties.toml,
// is added.
func (m *Model) AssessDuties() []*DutyAssessment {
	type dutyID struct{ key, role string }
	var out []*DutyAssessment
	byID := map[dutyID]*DutyAssessment{}
	for _, duty := range m.Duties {
		a := &DutyAssessment{Duty: duty}
		byID[dutyID{duty.Key, duty.Role}] = a
		out = append(out, a)
	}
	for _, s := range m.Slopes {
		id := dutyID{s.DutyKey(), s.Role}
		if byID[id] == nil {
			byID[id] = &DutyAssessment{Duty: Duty{Key: id.key, Role: id.role, Description: id.key + " (not in duties.toml)",
				Mechanism: "-", State: "-", TypicalRate: "-", PeakRate: "-"}}
			out = append(out, byID[id])
		}
		byID[id].Projections = append(byID[id].Projections, m.Project(s))
	}
	slices.SortStableFunc(out, func(a, b *DutyAssessment) int {
		return cmp.Compare(slices.Index(Roles, a.Role), slices.Index(Roles, b.Role))
	})
	for _, a := range out {
		a.assess()
	}
	return out
}

// assess sets the verdict, which is the worst one of the metrics, and its reason. A required class without a
// metric that has a budget makes the duty Unproven if it is not over budget anyway.
func (a *DutyAssessment) assess() {
	if a.AbsentReason != "" {
		a.Verdict, a.Reason = Absent, a.AbsentReason
		return
	}
	var over, unproven []string
	for _, p := range a.Projections {
		switch p.likelyVerdict() {
		case OverBudget:
			over = append(over, p.Metric)
		case Unproven:
			unproven = append(unproven, p.Metric)
		}
	}
	for _, class := range a.RequiredClasses {
		if !slices.ContainsFunc(a.Projections, func(p *Projection) bool { return p.Class() == class && p.HasBudget }) {
			unproven = append(unproven, class+" not measured")
		}
	}
	switch {
	case len(over) > 0:
		a.Verdict, a.Reason = OverBudget, strings.Join(over, "; ")
	case len(unproven) > 0:
		a.Verdict, a.Reason = Unproven, strings.Join(unproven, "; ")
	case len(a.Projections) == 0:
		a.Verdict, a.Reason = Unproven, "no slope"
	default:
		a.Verdict = WithinBudget
	}
}

// SumAssessment is a sum of estimates with the verdict on it.
type SumAssessment struct {
	Sum
	Value      float64 // in the class's display unit, under the likely assumptions
	Doubled    float64 // at twice the servers
	Budget     Budget
	Unmeasured []string // names of slopes without an estimate at the target size
	Verdict    string
	CrossesAt  float64 // fraction of the target size at which the sum exceeds the budget; infinite if never
}

// AssessSums assesses all sums.
func (m *Model) AssessSums() []*SumAssessment {
	var out []*SumAssessment
	for _, sum := range m.Sums {
		out = append(out, m.assessSum(sum))
	}
	return out
}

func (m *Model) assessSum(sum Sum) *SumAssessment {
	a := &SumAssessment{Sum: sum, Verdict: WithinBudget}
	a.Budget, _ = m.budget(sum.Role, sum.Class, "")
	var parts []*Slope
	for _, name := range sum.SlopeNames {
		s := m.slope(name)
		if s == nil {
			a.Unmeasured = append(a.Unmeasured, name)
			continue
		}
		parts = append(parts, s)
		p := m.Project(s)
		if math.IsNaN(p.Value.Likely) {
			a.Unmeasured = append(a.Unmeasured, name)
		}
		a.Value += p.Value.Likely
		a.Doubled += p.Doubled.Likely
		if p.likelyVerdict() != WithinBudget {
			a.Verdict = Unproven
		}
	}
	if len(a.Unmeasured) > 0 {
		a.Verdict = Unproven
	}
	if a.Value > a.Budget.Value {
		a.Verdict = OverBudget
	}
	a.CrossesAt = crossingScale(func(scale float64) float64 {
		total := 0.
		for _, s := range parts {
			value, _, _ := s.At(scale * m.Size(s.Dimension, false).Likely)
			total += value
		}
		return total
	}, a.Budget.Value)
	return a
}

// crossingScale returns the smallest scale, from a thousandth to a thousand times the target size, at which a
// sum exceeds a limit; infinity if there is none. A sum of NaN exceeds nothing.
func crossingScale(sum func(scale float64) float64, limit float64) float64 {
	const steps, largest = 4000, 1000.
	for i := range steps + 1 {
		scale := math.Pow(largest, 2*float64(i)/steps-1)
		if sum(scale) > limit {
			return scale
		}
	}
	return math.Inf(1)
}

// Gap is a duty or a sum that is over its budget or absent. Reason and Fallback are templates for Model.expand.
type Gap struct {
	Verdict   string
	Title     string
	Role      string
	Reason    string
	Fallback  string
	CrossesAt float64 // fraction of the target size; of an absent duty 0, or infinite if it has a fallback
}

// Gaps returns all gaps, the most urgent first: absent duties without a fallback, then what exceeds its
// budget, by the size from which it does, then absent duties with a fallback.
func (m *Model) Gaps() []Gap {
	var out []Gap
	for _, a := range m.AssessDuties() {
		if gap, ok := a.gap(); ok {
			out = append(out, gap)
		}
	}
	for _, a := range m.AssessSums() {
		if a.Verdict == OverBudget {
			out = append(out, Gap{Verdict: OverBudget, Title: a.Title + ", " + a.Class + " in all", Role: a.Role, CrossesAt: a.CrossesAt,
				Reason: fmt.Sprintf("%s at the size to plan for, %s allowed", formatQuantity(a.Value, a.Class),
					formatQuantity(a.Budget.Value, a.Class))})
		}
	}
	slices.SortStableFunc(out, func(a, b Gap) int { return cmp.Compare(a.CrossesAt, b.CrossesAt) })
	return out
}

// gap returns the duty as a gap, and false if it is not one.
func (a *DutyAssessment) gap() (Gap, bool) {
	out := Gap{Title: a.Description, Role: a.Role, Fallback: a.Fallback}
	if a.Verdict == Absent {
		out.Verdict, out.Reason = Absent, a.AbsentReason+"; asked for by "+a.RequestedBy
		if a.Fallback != "" {
			out.CrossesAt = math.Inf(1)
		}
		return out, true
	}
	p := a.decidingProjection()
	if p == nil {
		return Gap{}, false
	}
	out.Verdict, out.CrossesAt = OverBudget, p.CrossesAt
	out.Reason = fmt.Sprintf("%s: %s at the size to plan for (%s), %s allowed", p.Metric, formatQuantity(p.Value.Likely, p.Class()),
		p.Basis[1], formatQuantity(p.Budget.Value, p.Class()))
	return out, true
}

// decidingProjection returns the metric that ranks an over-budget duty: the one of DecidingSlope if that is
// over budget, else the one that exceeds its budget at the smallest size; nil if none does.
func (a *DutyAssessment) decidingProjection() *Projection {
	var deciding *Projection
	for _, p := range a.Projections {
		if p.likelyVerdict() != OverBudget {
			continue
		}
		if p.Name == a.DecidingSlope {
			return p
		}
		if deciding == nil || p.CrossesAt < deciding.CrossesAt {
			deciding = p
		}
	}
	return deciding
}
