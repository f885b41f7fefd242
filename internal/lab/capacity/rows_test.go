package capacity

import (
	"os"
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
