package experiment

import (
	"encoding/json"
	"testing"
)

// The digest of a plan is computed from its faults in JSON. A renamed field of Fault must keep its JSON key,
// since otherwise digests could not be compared with those in old results.
func TestFaultKeepsItsKeysInDigests(t *testing.T) {
	text, err := json.Marshal(Fault{})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"At":0,"For":0,"Kind":"","Zone":"","Proxies":null,"Servers":null,"Members":null,"Share":0,"Spread":0,"Link":"","Direction":"",` +
		`"FromZone":"","ToZone":"","Ms":0,"Part":0,"Factor":0,"Versions":0,"Service":0,"Count":0,"Liars":0,"Clients":0,"Faulty":false,"Keep":false}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
