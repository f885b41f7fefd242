package words

import (
	"testing"

	"fernlanding/internal/fleet/view"
	"fernlanding/logic"
)

// TestNumbersOnTheWire holds the numbers of kinds and faults that proxies of other versions read. They are never changed
// or given to another meaning.
func TestNumbersOnTheWire(t *testing.T) {
	kinds := map[logic.NoticeKind]uint8{logic.ServerBad: 1, logic.ServerHealthy: 2, logic.ZoneBad: 3, logic.ZoneHealthy: 4,
		logic.ServerFlap: 5, logic.ServerLoad: 6}
	faults := map[logic.Cause]uint8{logic.NoCause: 0, logic.Failing: 1, logic.Silent: 2, logic.Slow: 3, logic.Crowded: 4}
	zones := map[string]int{"a": 0}
	for kind, number := range kinds {
		for fault, cause := range faults {
			n := logic.Notice{Kind: kind, Cause: fault, Server: "s"}
			items := Items([]logic.Notice{n}, zones)
			if len(items) != 1 || uint8(items[0].Kind) != number || items[0].Body.Cause != cause {
				t.Fatalf("kind %d with fault %d is written as %+v, want numbers %d and %d", kind, fault, items, number, cause)
			}
			e := view.Entry{Kind: view.Kind(number), Subject: items[0].Subject, Observer: "o", Zone: "a", Made: 1, Life: 10,
				Body: view.Body{Cause: cause}}
			got, _ := Notices(2, []view.Entry{e}, zones)
			if len(got) != 1 || got[0].Kind != kind || got[0].Cause != fault {
				t.Errorf("numbers %d and %d are read as %+v, want kind %d and fault %d", number, cause, got, kind, fault)
			}
		}
	}
	if view.Hand != 7 {
		t.Errorf("an operator's override has number %d, want 7", view.Hand)
	}
	unknown := view.Entry{Kind: 1, Subject: "s", Observer: "o", Zone: "a", Made: 1, Life: 10, Body: view.Body{Cause: 5}}
	if got, _ := Notices(2, []view.Entry{unknown}, zones); len(got) != 1 || got[0].Cause != logic.Failing {
		t.Errorf("the fault of a newer version is read as %+v, want the general one", got)
	}
}
