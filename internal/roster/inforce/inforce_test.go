package inforce

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// What is not said again is forgotten, what is full takes what it knows, and makes room of what is old.
func TestWordsAreBounded(t *testing.T) {
	var table Table
	at := time.Now()
	for i := range ProxiesMost {
		if !table.Say("a", Word{Name: fmt.Sprint("p", i)}, at.Add(time.Duration(i%2)*time.Second)) {
			t.Fatalf("%d were too many", i)
		}
	}
	if table.Say("b", Word{Name: "more"}, at.Add(time.Second)) {
		t.Error("one more found room")
	}
	if !table.Say("a", Word{Name: "p1", InForce: 7}, at.Add(2*time.Second)) {
		t.Error("a word that is said again found no room")
	}
	if !table.Say("b", Word{Name: "more"}, at.Add(Kept)) || table.Len() != ProxiesMost/2+1 {
		t.Errorf("old words hold the room: %d", table.Len())
	}
	late := at.Add(Kept + time.Second)
	if got := table.Of("a", late); !reflect.DeepEqual(got, []Word{{Name: "p1", InForce: 7, AgeMs: (Kept - time.Second).Milliseconds()}}) {
		t.Errorf("got %+.200v", got)
	}
	if table.Of("a", late.Add(Kept)); table.Len() != 0 || len(table.of) != 0 {
		t.Errorf("%d words of %d services are left", table.Len(), len(table.of))
	}
}

// Of several members' words the youngest counts, not the highest version: a proxy may have started anew.
func TestTheYoungestWordCounts(t *testing.T) {
	got := Merge([]Word{{Name: "a", InForce: 9, AgeMs: 40}, {Name: "b", InForce: 1, AgeMs: 5}},
		[]Word{{Name: "a", InForce: 3, AgeMs: 10, Refused: 4, Why: "x"}}, nil, []Word{{Name: "a", InForce: 5, AgeMs: 30}})
	want := []Word{{Name: "a", InForce: 3, AgeMs: 10, Refused: 4, Why: "x"}, {Name: "b", InForce: 1, AgeMs: 5}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v", got)
	}
}
