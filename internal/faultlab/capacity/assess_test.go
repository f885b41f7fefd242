package capacity

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// modelWith returns the recorded inputs with other duties and slopes.
func modelWith(t *testing.T, duties []Duty, sums []Sum, slopes ...*Slope) *Model {
	t.Helper()
	inputs, err := ReadInputs(os.DirFS(capacityDir))
	if err != nil {
		t.Fatal(err)
	}
	return &Model{inputs, &dutyFile{Duties: duties, Sums: sums}, slopes}
}

// slopeOverBudgetAt returns a slope that exceeds 19 KB/s at a number of proxies, with points up to 1,300.
func slopeOverBudgetAt(name, role string, at float64) *Slope {
	s := slopeOf([2]float64{13, 19 * 13 / at}, [2]float64{130, 19 * 130 / at}, [2]float64{1300, 19 * 1300 / at})
	s.Name, s.Role, s.File = name, role, "slopes/a.toml"
	return s
}

// Gaps are ordered by urgency, and each duty and sum gets the verdict that its metrics prove.
func TestGaps(t *testing.T) {
	follower, member := Roles[1], Roles[2]
	model := modelWith(t, []Duty{
		{Key: "lists", Role: follower, Description: "waits", AbsentReason: "none", RequestedBy: "services",
			Fallback: "one list"},
		{Key: "list", Role: follower, Description: "later", RequiredClasses: []string{classBytes}},
		{Key: "fleet", Role: member, Description: "early", RequiredClasses: []string{classBytes}},
		{Key: "fine", Role: member, Description: "fine", RequiredClasses: []string{classBytes}},
		{Key: "half", Role: member, Description: "half", RequiredClasses: []string{classBytes, classCPU}},
		{Key: "config", Role: follower, Description: "asked for", AbsentReason: "none",
			RequestedBy: "changes_per_day"},
	}, []Sum{{Title: "all", Role: follower, Class: classBytes,
		SlopeNames: []string{"list.proxy.bytes", "fleet.proxy.bytes"}},
		{Title: "lacking", Role: follower, Class: classBytes,
			SlopeNames: []string{"fine.proxy.bytes", "none.proxy.bytes"}}},
		slopeOverBudgetAt("list.proxy.bytes", follower, 700),
		slopeOverBudgetAt("fleet.proxy.bytes", member, 30),
		slopeOverBudgetAt("fine.proxy.bytes", member, 3000),
		slopeOverBudgetAt("half.proxy.bytes", member, 3000), slopeOverBudgetAt("new.proxy.bytes", member, 3000))
	var got []string
	for _, gap := range model.Gaps() {
		got = append(got, gap.Verdict+" "+gap.Title+" "+model.formatSize(gap.CrossesAt))
	}
	if want := "absent asked for any size; over all, bytes in all 28.8 nodos; over early 30 nodos; over later 700 nodos; absent waits none"; strings.Join(got, "; ") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, "; "), want)
	}
	got = nil
	for _, assessment := range model.AssessDuties() {
		got = append(got, assessment.Duty.Description+": "+assessment.Verdict+" "+assessment.Reason)
	}
	want := "waits: absent none; later: over f; asked for: absent none; early: over f; fine: carried ; half: unproven cpu not measured; " +
		"new (not in duties.toml): carried "
	if strings.Join(got, "; ") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, "; "), want)
	}
	for i, verdict := range []string{OverBudget, Unproven} {
		if sum := model.AssessSums()[i]; sum.Verdict != verdict {
			t.Errorf("%s: %s", sum.Title, sum.Verdict)
		}
	}
}

// A nonlinear slope is not extrapolated: neither in the page's cells, nor in a sum, nor to find the size at
// which it exceeds a budget.
func TestNonlinearIsNotExtrapolated(t *testing.T) {
	follower := Roles[1]
	noisy := slopeOf([2]float64{15, 34}, [2]float64{150, 3}, [2]float64{1300, 1})
	noisy.Name, noisy.Dimension, noisy.File = "list.proxy.noisy", "proxies", "slopes/a.toml"
	short := slopeOf([2]float64{15, 1}, [2]float64{150, 9}, [2]float64{600, 2})
	short.Name, short.Dimension, short.File = "list.proxy.short", "proxies", "slopes/a.toml"
	model := modelWith(t, []Duty{{Key: "list", Role: follower, Description: "d",
		RequiredClasses: []string{classBytes}}},
		[]Sum{{Title: "all", Role: follower, Class: classBytes,
			SlopeNames: []string{noisy.Name, short.Name}}}, noisy, short)
	projection := model.Project(noisy)
	if got := []any{projection.Value.Likely, projection.Basis[1], projection.Verdicts[1], projection.DoubledBasis[1], model.formatSize(projection.CrossesAt)}; !slices.Equal(got, []any{1., Measured, OverBudget, Nonlinear, "15 nodos"}) {
		t.Error(got)
	}
	if projection := model.Project(short); projection.Basis[1] != Nonlinear || projection.Verdicts[1] != Unproven || model.formatSize(projection.CrossesAt) != "not known" {
		t.Errorf("%+v", projection)
	}
	sum := model.AssessSums()[0]
	if sum.Verdict != Unproven || !slices.Equal(sum.Unmeasured, []string{short.Name}) {
		t.Errorf("%+v", sum)
	}
	for _, line := range strings.Split(strings.TrimSpace(model.projectionTable(model.AssessDuties())),
		"\n")[2:] {
		if !strings.Contains(line, "| - | not straight |") || strings.Contains(line, "-0") ||
			strings.Contains(line, "NaN") {
			t.Error(line)
		}
	}
	// Declared linear, the same slopes are extrapolated.
	noisy.Linear, short.Linear = true, true
	if projection := model.Project(short); projection.Basis[1] != Extrapolated || projection.Verdicts[1] != WithinBudget && projection.Verdicts[1] != OverBudget {
		t.Errorf("%+v", projection)
	}
}

// A duty's DecidingSlope selects which of several over-budget metrics ranks it.
func TestDecidingSlope(t *testing.T) {
	duties := []Duty{{Key: "list", Role: Roles[1], Description: "d", RequiredClasses: []string{classBytes}}}
	model := modelWith(t, duties, nil, slopeOverBudgetAt("list.proxy.first", Roles[1], 30), slopeOverBudgetAt("list.proxy.second", Roles[1], 700))
	if gaps := model.Gaps(); len(gaps) != 1 || model.formatSize(gaps[0].CrossesAt) != "30 nodos" {
		t.Errorf("%+v", gaps)
	}
	// A metric within its budget does not hide another.
	model.Slopes = append(model.Slopes, slopeOverBudgetAt("list.proxy.fine", Roles[1], 3000))
	duties[0].DecidingSlope = "list.proxy.fine"
	if gaps := model.Gaps(); len(gaps) != 1 || model.formatSize(gaps[0].CrossesAt) != "30 nodos" {
		t.Errorf("%+v", gaps)
	}
	duties[0].DecidingSlope = "list.proxy.second"
	if gaps := model.Gaps(); len(gaps) != 1 || model.formatSize(gaps[0].CrossesAt) != "700 nodos" {
		t.Errorf("%+v", gaps)
	}
}

// Entries of another machine or commit than the newest of their file are marked.
func TestOlderEntriesAreMarked(t *testing.T) {
	otherCommit, otherMachine, newest := slopeOverBudgetAt("a.b.old", Roles[1], 30),
		slopeOverBudgetAt("a.b.far", Roles[1], 30), slopeOverBudgetAt("a.b.now", Roles[1], 30)
	otherCommit.Commit, otherMachine.Machine = "1234567", "another"
	for i, line := range strings.Split(strings.TrimSpace(
		modelWith(t, nil, nil, otherCommit, otherMachine, newest).slopeTable()), "\n")[2:] {
		if strings.Contains(line, "at another commit") != (i == 0) ||
			strings.Contains(line, "on another machine") != (i == 1) {
			t.Error(line)
		}
	}
}
