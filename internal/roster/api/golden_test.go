package api

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"fernlanding/internal/roster/inforce"
)

// The answers are byte for byte what earlier versions sent.
func TestAnswersAreAsBefore(t *testing.T) {
	word := inforce.Word{Name: "p1", InForce: 3, Refused: 4, Why: "limits: no", AgeMs: 5}
	var text bytes.Buffer
	out := json.NewEncoder(&text)
	for _, v := range []any{
		Taken{}, Taken{Index: 2, Status: "SERVING", LeaseMs: 5000},
		Restored{Line: "5f0e", Index: 2, Nodos: 3},
		Fault{Error: "no"}, Fault{Error: "no", End: "ended"},
		ConfigFault{}, ConfigFault{Fault: Fault{Error: "no", End: "conflict"}, Key: "limits", Remedy: "look", Version: 7},
		ServiceConfig{}, ServiceConfig{Service: "shop", Line: "5f0e", Version: 7, Former: 6, Document: json.RawMessage(`{"a":1}`)},
		[]inforce.Word{{}, word},
		ProxyStatus{State: Refused, Word: word},
		ConfigStatus{}, ConfigStatus{Service: "shop", Line: "5f0e", Version: 7, Partial: true, Silent: []string{"r2"},
			Counts: map[string]int{InForce: 1, Behind: 2, Refused: 3, Unheard: 4}, Lowest: 5, Highest: 6,
			Proxies: []ProxyStatus{{State: Behind, Word: word}}},
	} {
		if err := out.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	for _, words := range [][]inforce.Word{nil, {{Name: "a", InForce: 7}, {Name: "b", InForce: 6, Refused: 7}, {Name: "c", InForce: 5},
		{Name: "d", InForce: 7, AgeMs: 15_000}}} {
		for _, all := range []bool{false, true} {
			st := ConfigStatus{Version: 7}
			st.fill(words, all)
			if err := out.Encode(st); err != nil {
				t.Fatal(err)
			}
		}
	}
	const path = "testdata/answers.golden"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text.Bytes(), want) {
		t.Errorf("got\n%s\nnot\n%s", text.Bytes(), want)
	}
}
