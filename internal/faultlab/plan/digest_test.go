package plan

import (
	"encoding/json"
	"testing"
)

// The digest is computed from the plan in JSON. A renamed field must keep its JSON key, since otherwise
// digests could not be compared with those in old results.
func TestPlanKeepsItsKeysInDigests(t *testing.T) {
	text, err := json.Marshal(Plan{Seed: 1, Arrivals: []Arrival{{Number: 2}},
		Faults: []PlannedFault{{Number: 3, Targets: []Target{{Name: "a"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Seed":1,"Arrivals":[{"N":2,"At":0,"Class":0,"Zone":0,"Work":0,"Try":0,"Answer":0,"Body":0,"Key":""}],"Strikes":[{"N":3,` +
		`"Fault":{"At":0,"For":0,"Kind":"","Zone":"","Proxies":null,"Servers":null,"Members":null,"Share":0,"Spread":0,"Link":"","Direction":"",` +
		`"FromZone":"","ToZone":"","Ms":0,"Part":0,"Factor":0,"Versions":0,"Service":0,"Count":0,"Liars":0,"Clients":0,"Faulty":false,"Keep":false},` +
		`"At":0,"For":0,"Turns":[{"At":0,"Target":"a"}]}]}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
