package capacity

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// plain is the numbers as set, with duties and slopes of a test's own.
func plain(t *testing.T, d []Duty, sums []Sum, s ...*Slope) *Page {
	t.Helper()
	n, err := ReadNumbers(os.DirFS(folder))
	if err != nil {
		t.Fatal(err)
	}
	return &Page{n, &duties{Duties: d, Sums: sums}, s}
}

// grows is a slope of a proxy's that passes a budget of 19 KB/s at so many proxies, measured up to 1,300.
func grows(name, role string, at float64) *Slope {
	s := slopeOf([2]float64{13, 19 * 13 / at}, [2]float64{130, 19 * 130 / at}, [2]float64{1300, 19 * 1300 / at})
	s.Name, s.Role, s.File = name, role, "slopes/a.toml"
	return s
}

func TestMissing(t *testing.T) {
	following, member := Roles[1], Roles[2]
	p := plain(t, []Duty{
		{Key: "lists", Role: following, Duty: "waits", Absent: "none", Asks: "services", Instead: "one list"},
		{Key: "list", Role: following, Duty: "later", Needs: []string{classBytes}},
		{Key: "fleet", Role: member, Duty: "early", Needs: []string{classBytes}},
		{Key: "fine", Role: member, Duty: "fine", Needs: []string{classBytes}},
		{Key: "half", Role: member, Duty: "half", Needs: []string{classBytes, classCPU}},
		{Key: "config", Role: following, Duty: "asked for", Absent: "none", Asks: "changes_per_day"},
	}, []Sum{{What: "all", Role: following, Class: classBytes, Parts: []string{"list.proxy.bytes", "fleet.proxy.bytes"}},
		{What: "lacking", Role: following, Class: classBytes, Parts: []string{"fine.proxy.bytes", "none.proxy.bytes"}}},
		grows("list.proxy.bytes", following, 700), grows("fleet.proxy.bytes", member, 30), grows("fine.proxy.bytes", member, 3000),
		grows("half.proxy.bytes", member, 3000), grows("new.proxy.bytes", member, 3000))
	var got []string
	for _, m := range p.Missing() {
		got = append(got, m.Word+" "+m.What+" "+p.size(m.Crosses))
	}
	if want := "absent asked for any size; over all, bytes in all 28.8 nodos; over early 30 nodos; over later 700 nodos; absent waits none"; strings.Join(got, "; ") != want {
		t.Errorf("%s\nnot %s", strings.Join(got, "; "), want)
	}
	got = nil
	for _, s := range p.Stands() {
		got = append(got, s.Duty.Duty+": "+s.Word+" "+s.Why)
	}
	want := "waits: absent none; later: over f; asked for: absent none; early: over f; fine: carried ; half: unproven cpu not measured; " +
		"new (not in duties.toml): carried "
	if strings.Join(got, "; ") != want {
		t.Errorf("%s\nnot %s", strings.Join(got, "; "), want)
	}
	for i, word := range []string{Over, Unproven} {
		if total := p.Totals()[i]; total.Word != word {
			t.Errorf("%s: %s", total.What, total.Word)
		}
	}
}

// What is not straight is not drawn on: not on the page's cells, nor into a sum, nor to where it passes a budget.
func TestNotStraightIsNotDrawnOn(t *testing.T) {
	following := Roles[1]
	noisy := slopeOf([2]float64{15, 34}, [2]float64{150, 3}, [2]float64{1300, 1})
	noisy.Name, noisy.Of, noisy.File = "list.proxy.noisy", "proxies", "slopes/a.toml"
	short := slopeOf([2]float64{15, 1}, [2]float64{150, 9}, [2]float64{600, 2})
	short.Name, short.Of, short.File = "list.proxy.short", "proxies", "slopes/a.toml"
	p := plain(t, []Duty{{Key: "list", Role: following, Duty: "d", Needs: []string{classBytes}}},
		[]Sum{{What: "all", Role: following, Class: classBytes, Parts: []string{noisy.Name, short.Name}}}, noisy, short)
	r := p.Row(noisy)
	if got := []any{r.Value.Likely, r.How[1], r.Words[1], r.HowTwo[1], p.size(r.Crosses)}; !slices.Equal(got, []any{1., Measured, Over, NotStraight, "15 nodos"}) {
		t.Error(got)
	}
	if r := p.Row(short); r.How[1] != NotStraight || r.Words[1] != Unproven || p.size(r.Crosses) != "not known" {
		t.Errorf("%+v", r)
	}
	total := p.Totals()[0]
	if total.Word != Unproven || !slices.Equal(total.Lacks, []string{short.Name}) {
		t.Errorf("%+v", total)
	}
	for _, l := range strings.Split(strings.TrimSpace(p.figureTable(p.Stands())), "\n")[2:] {
		if !strings.Contains(l, "| - | not straight |") || strings.Contains(l, "-0") || strings.Contains(l, "NaN") {
			t.Error(l)
		}
	}
	// Were they straight, lines would be drawn.
	noisy.Straight, short.Straight = true, true
	if r := p.Row(short); r.How[1] != WorkedOut || r.Words[1] != Carried && r.Words[1] != Over {
		t.Errorf("%+v", r)
	}
}

// Of several metrics that are over from the same size on, the duty says which speaks for it.
func TestDecides(t *testing.T) {
	d := []Duty{{Key: "list", Role: Roles[1], Duty: "d", Needs: []string{classBytes}}}
	p := plain(t, d, nil, grows("list.proxy.first", Roles[1], 30), grows("list.proxy.second", Roles[1], 700))
	if m := p.Missing(); len(m) != 1 || p.size(m[0].Crosses) != "30 nodos" {
		t.Errorf("%+v", m)
	}
	// One that is within its budget does not hide the other.
	p.Slopes = append(p.Slopes, grows("list.proxy.fine", Roles[1], 3000))
	d[0].Decides = "list.proxy.fine"
	if m := p.Missing(); len(m) != 1 || p.size(m[0].Crosses) != "30 nodos" {
		t.Errorf("%+v", m)
	}
	d[0].Decides = "list.proxy.second"
	if m := p.Missing(); len(m) != 1 || p.size(m[0].Crosses) != "700 nodos" {
		t.Errorf("%+v", m)
	}
}

// What was recorded elsewhere, or at another commit than the newest entry of its file, is said to be.
func TestOlderIsSaid(t *testing.T) {
	old, far, now := grows("a.b.old", Roles[1], 30), grows("a.b.far", Roles[1], 30), grows("a.b.now", Roles[1], 30)
	old.Commit, far.Machine = "1234567", "another"
	for i, l := range strings.Split(strings.TrimSpace(plain(t, nil, nil, old, far, now).slopeTable()), "\n")[2:] {
		if strings.Contains(l, "at another commit") != (i == 0) || strings.Contains(l, "on another machine") != (i == 1) {
			t.Error(l)
		}
	}
}
