package words

import (
	"testing"

	"pgregory.net/rapid"

	"fernlanding/internal/fleet/view"
	"fernlanding/logic"
)

// What one module saw, another with its zones numbered otherwise reads as it was meant; whatever it cannot read is counted.
func TestNoticesMeanTheSameElsewhere(t *testing.T) {
	here, there := map[string]int{"a": 0, "b": 1, "c": 2}, map[string]int{"b": 0, "a": 1}
	rapid.Check(t, func(t *rapid.T) {
		n := logic.Notice{Kind: logic.NoticeKind(rapid.IntRange(0, int(logic.ServerLoad)).Draw(t, "kind")),
			Cause: logic.Cause(rapid.IntRange(0, int(logic.Crowded)).Draw(t, "cause")),
			Calls: rapid.Float64Range(0, 1e6).Draw(t, "calls"), Bad: rapid.Float64Range(0, 1).Draw(t, "bad"), Value: 2}
		zone := n.Kind == logic.ZoneBad || n.Kind == logic.ZoneHealthy
		if zone {
			n.Of = rapid.IntRange(0, 4).Draw(t, "of") // 3 and 4 have no name
		} else {
			n.Server, n.Launched = "s", rapid.Int64Range(0, 1<<40).Draw(t, "launched")*1000
		}
		from := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "from")
		items := Items([]logic.Notice{n}, here)
		if len(items) != 1 {
			if !zone || n.Of < 3 {
				t.Fatalf("%+v is not told", n)
			}
			return
		}
		i := items[0]
		e := view.Entry{Kind: i.Kind, Subject: i.Subject, Start: i.Start, Observer: "o", Zone: from, Made: 100, Life: 50, Body: i.Body}
		got, lost := Notices(149, []view.Entry{e}, there)
		of, knows := there[i.Subject]
		number, sound := there[from]
		if !sound || zone && !knows {
			if lost != 1 || len(got) != 0 {
				t.Fatalf("from zone %s: %+v, %d lost", from, got, lost)
			}
			return
		}
		want := n
		want.Observer, want.Zone, want.At = "o", number, 100
		if zone {
			want.Of = of
		}
		if len(got) != 1 || got[0] != want {
			t.Fatalf("%+v is read as %+v", want, got)
		}
		if late, _ := Notices(150, []view.Entry{e}, there); len(late) != 0 {
			t.Fatal("an end is not heeded")
		}
		e.Body.Cause, e.Kind = 200, view.Hand+1
		if odd, lost := Notices(149, []view.Entry{e}, there); len(odd) != 0 || lost != 0 {
			t.Fatalf("an unknown kind: %+v", odd)
		}
	})
}
