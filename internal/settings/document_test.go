package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
)

// documentJSON is a valid document: the settings of settingsJSON without the per-proxy ones.
var documentJSON = `{"settings":` + strings.Replace(settingsJSON, `"my_zone":1,"ordinal":0,`, "", 1) + `}`

// TestDocumentErrorsNameKeys checks that CheckDocument rejects an invalid document, so that the registry
// never stores it, and that the error names the key of the invalid setting.
func TestDocumentErrorsNameKeys(t *testing.T) {
	if err := CheckDocument([]byte(documentJSON)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, key, problem string }{
		{documentJSON, ``, "", "unexpected end"},
		{documentJSON, `[]`, "", "JSON array"},
		{documentJSON, `{}`, "settings", "missing"},
		{`{"settings"`, `{"listen":"127.0.0.1:1","settings"`, "listen", "under way"},
		{`"siblings":3`, `"siblings":3,"my_zone":0`, "settings.my_zone", "own"},
		{`"siblings":3`, `"siblings":3,"ordinal":0`, "settings.ordinal", "own"},
		{`"siblings":3`, `"siblings":"three"`, "settings.siblings", "JSON string"},
		{`"siblings":3`, `"siblings":0`, "settings.siblings", "fewer than one"},
		{`"try_limit":5`, `"try_limit":0`, "settings.limits.try_limit", "fewer than one"},
		{`"give_up_us":1200000`, `"give_up_us":0`, "settings.profiles[0].give_up_us", "not positive"},
		{`"dial_timeout_us":200000`, `"dial_timeout_us":-1`, "settings.limits.dial_timeout_us", "not positive"},
		{`"name":"put",`, ``, "settings.profiles[0].name", "missing"},
		{`"deduplicated"`, `"often"`, "settings.profiles[0].repeat", "often"},
		{`"portion":1`, `"portion":-1`, "settings.Tenants[0]", "negative"},
	} {
		err := CheckDocument([]byte(strings.Replace(documentJSON, c.old, c.new, 1)))
		var settingErr *Error
		if !errors.As(err, &settingErr) || settingErr.Key != c.key ||
			!strings.Contains(settingErr.Problem, c.problem) {
			t.Errorf("%.60q in place of %.60q: got error %v, want key %q and a problem with %q",
				c.new, c.old, err, c.key, c.problem)
		}
	}
}

// TestMergeDocument checks that a document replaces the settings of the file except the replica index and the
// zone, which is found in the document's zones by its name.
func TestMergeDocument(t *testing.T) {
	for _, c := range []struct {
		old, new string
		zone     int
		key      string
	}{
		{"", "", 1, ""},
		{`["a","b"]`, `["b","a"]`, 0, ""},
		{`["a","b"]`, `["c","a","b"]`, 2, ""},
		{`["a","b"]`, `["a"]`, 0, "settings.failure_domains"},
		{`"try_limit":5`, `"try_limit":7`, 1, ""},
	} {
		text, err := MergeDocument([]byte(strings.Replace(settingsJSON, `"ordinal":0`, `"ordinal":2`, 1)),
			[]byte(strings.Replace(documentJSON, c.old, c.new, 1)))
		var settingErr *Error
		if c.key != "" {
			if !errors.As(err, &settingErr) || settingErr.Key != c.key {
				t.Errorf("%q: got %v", c.new, err)
			}
			continue
		}
		if err != nil {
			t.Fatalf("%q: %v", c.new, err)
		}
		s, err := Read(text)
		if err != nil || s.Balancer.Zone != c.zone || s.Balancer.ReplicaIndex != 2 || strings.Contains(c.new, "7") != (s.Balancer.MaxAttempts == 7) {
			t.Errorf("%q: got %+v, %v", c.new, s, err)
		}
	}
}

// FuzzCanonical checks that the canonical form is stable, also when encoding/json encodes it within another
// value: the same document must have the same bytes each time it is sent.
func FuzzCanonical(f *testing.F) {
	f.Add([]byte(documentJSON))
	f.Add([]byte("{ \"a\" : \"<&>\u2028\\u0041\xff\" }"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Canonical(text)
		if err != nil {
			return
		}
		again, err := Canonical(c)
		out, marshal := json.Marshal(map[string]json.RawMessage{"d": c})
		if err != nil || marshal != nil || !bytes.Equal(again, c) || !bytes.Equal(out, slices.Concat([]byte(`{"d":`), c, []byte("}"))) {
			t.Errorf("%q is %q, then %q, %q (%v, %v)", text, c, again, out, err, marshal)
		}
	})
}
