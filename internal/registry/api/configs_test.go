package api

import (
	"encoding/json"
	"fmt"
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/registry/rollout"
	"merlinpick/internal/settings"
)

// document returns a valid document, distinguished by n.
func document(n int) string {
	return fmt.Sprintf(`{"settings":{"contract":{},"failure_domains":["a"],"limits":{"dial_timeout_us":1,"idle_close_us":1,`+
		`"try_limit":%d},"membership_mode":"automatic","profiles":[{"give_up_us":8,"name":"look","objective_us":4,`+
		`"repeat":"idempotent","worth":1}],"siblings":1}}`, n)
}

// putDocument writes document(n) as the version after the given one, and returns its version.
func putDocument(t testing.TB, s *Server, service string, after int64, n int) int64 {
	t.Helper()
	status, _, text := call(t, s, "PUT", fmt.Sprintf("/config/%s?from=%d", service, after), document(n))
	var c ServiceConfig
	if err := json.Unmarshal([]byte(text), &c); status != 200 || err != nil || c.Version <= after || c.Service != service || c.Epoch == "" {
		t.Fatalf("%d %s (%v)", status, text, err)
	}
	return c.Version
}

// The response to an invalid write names the key at fault and the remedy, and the write changes nothing. A
// repeated write takes effect once.
func TestPutConfig(t *testing.T) {
	node, s := openServer(t, 10)
	first := putDocument(t, s, "tarifas", 0, 1)
	at := fmt.Sprint("/config/tarifas?from=", first)
	long := strings.Replace(document(1), `"siblings"`, `"x":"`+strings.Repeat("x", settings.MaxDocumentBytes)+`","siblings"`, 1)
	for _, c := range []struct {
		path, body    string
		want          int
		key, wantText string
	}{
		{"/config/tarifas", document(1), 400, "", "from"},
		{"/config/tarifas?from=-1", document(1), 400, "", "from"},
		{"/config/tarifas?from=x", document(1), 400, "", "from"},
		{"/config/a%20b?from=0", document(1), 400, "", "service"},
		{"/config/" + strings.Repeat("a", 101) + "?from=0", document(1), 400, "", "100 bytes"},
		{at, "", 400, "", "unexpected end"},
		{at, document(1) + "x", 400, "", "invalid character"},
		{at, document(0), 400, "settings.limits.try_limit", "fewer than one"},
		{at, strings.Replace(document(1), `{"settings"`, `{"discovery":"x","settings"`, 1), 400, "discovery", "under way"},
		{at, strings.Replace(document(1), `"give_up_us":8`, `"give_up_us":"8"`, 1), 400, "settings.profiles.give_up_us", "JSON string"},
		{at, long, 400, "", "bytes"},
		{at, long + strings.Repeat(" ", settings.MaxDocumentBytes), 400, "", "too large"},
		{"/config/tarifas?from=0", document(2), 409, "", "not 0"},
		{fmt.Sprint("/config/tarifas?from=", first+1), document(2), 409, "", fmt.Sprint("at version ", first)},
		{"/config/tarifas?from=0", document(1), 200, "", ""},       // repeated
		{"/config/tarifas?from=0", " " + document(1), 200, "", ""}, // and with spaces
	} {
		status, _, text := call(t, s, "PUT", c.path, c.body)
		var rejection ConfigErrorBody
		if err := json.Unmarshal([]byte(text), &rejection); status != c.want || err != nil ||
			rejection.Key != c.key || !strings.Contains(rejection.ErrorBody.Error, c.wantText) {
			t.Errorf("%s %.60s: %d %.200s, wanted %d, %q and %q", c.path, c.body, status, text, c.want, c.key,
				c.wantText)
		}
		if status == 409 && rejection.Version != first || status == 400 && c.key != "" &&
			rejection.Remedy == "" {
			t.Errorf("%s: %+v", c.path, rejection)
		}
	}
	if _, c, _ := node.Configuration("tarifas"); c.Version != first || string(c.Document) != document(1) {
		t.Errorf("after invalid and repeated writes the configuration is %+v, want the first one", c)
	}
	second := putDocument(t, s, "tarifas", first, 2)
	for path, want := range map[string]ServiceConfig{
		"/config/tarifas":              {"tarifas", "", second, first, json.RawMessage(document(2))},
		"/config/tarifas?consistent=1": {"tarifas", "", second, first, json.RawMessage(document(2))},
		"/config/tarifas?former=1":     {"tarifas", "", first, 0, json.RawMessage(document(1))},
	} {
		status, _, text := call(t, s, "GET", path, "")
		var got ServiceConfig
		err := json.Unmarshal([]byte(text), &got)
		if want.Epoch = got.Epoch; status != 200 || err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %d %s (%v)", path, status, text, err)
		}
	}
	for _, path := range []string{"/config/other", "/config/other?former=1"} {
		if status, _, text := call(t, s, "GET", path, ""); status != 404 || !strings.Contains(text, "other") {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
}

// Depending on its version and epoch, a watch gets the document, waits, or learns that there is no newer
// version.
func TestConfigWatch(t *testing.T) {
	node, s := openServer(t, 2)
	epoch, _ := node.Version()
	first := putDocument(t, s, "a", 0, 1)
	for _, c := range []struct {
		service, query string
		version        int64
		hasDocument    bool
		status         int
	}{
		{"a", "from=0", first, true, 200},
		{"a", "from=0&hold_ms=60000&line=" + epoch, first, true, 200},
		{"a", fmt.Sprint("from=", first, "&hold_ms=1"), first, false, 200},
		{"a", fmt.Sprint("from=", first, "&hold_ms=60000&line=other"), first, true, 200},
		{"a", fmt.Sprint("from=", first+7, "&hold_ms=60000"), first, true, 200},          // rolled back, as far as a client without an epoch knows
		{"a", fmt.Sprint("from=", first+7, "&hold_ms=1&line=", epoch), 0, false, 503},    // this member is behind
		{"none", "from=0&hold_ms=1", 0, false, 200},                                      // nothing was written
		{"none", fmt.Sprint("from=", first, "&hold_ms=60000&line=other"), 0, false, 200}, // nor in another epoch
		{"a", "from=x", 0, false, 400}, {"a", "from=1&hold_ms=-1", 0, false, 400},        //
		{"a", "from=0&name=p&in_force=x", 0, false, 400}, {"a b", "from=0", 0, false, 400}, //
		{"a", "from=0&name=" + strings.Repeat("p", rollout.MaxNameBytes+1), 0, false, 400}, {"a", "from=0&name=p&refused=-1", 0, false, 400},
	} {
		status, after, text := call(t, s, "GET", "/config/"+url.PathEscape(c.service)+"?"+c.query, "")
		var got ServiceConfig
		if err := json.Unmarshal([]byte(text), &got); status != c.status || err != nil ||
			got.Version != c.version ||
			(got.Document != nil) != c.hasDocument || (status == 503) != (after != "") {
			t.Errorf("%s?%s: %d %s (%v)", c.service, c.query, status, text, err)
		}
	}
	// A write answers the watches in flight; a change of the list or of another service does not; one watch
	// too many is rejected.
	type response struct {
		status int
		text   string
	}
	ended := make(chan response, 2)
	for range 2 {
		go func() {
			status, _, text := call(t, s, "GET", fmt.Sprint("/config/a?hold_ms=60000&from=", first, "&line=", epoch), "")
			ended <- response{status, text}
		}()
	}
	for s.Metrics().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	if status, after, _ := call(t, s, "GET", fmt.Sprint("/config/a?hold_ms=60000&from=", first), ""); status != 503 || after == "" {
		t.Errorf("a third watch: %d, Retry-After %q", status, after)
	}
	register(t, node, "n", 1)
	putDocument(t, s, "b", 0, 1)
	putDocument(t, s, "a", first, 2)
	for range 2 {
		if e := <-ended; e.status != 200 || !strings.Contains(e.text, `"try_limit":2`) {
			t.Errorf("a watch ended with %+v, want status 200 and the second document", e)
		}
	}
}

// A proxy's state in ConfigStatus depends on its own last report and the report's age.
func TestConfigStatus(t *testing.T) {
	_, s := openServer(t, 10)
	first := putDocument(t, s, "a", 0, 1)
	second := putDocument(t, s, "a", first, 2)
	for _, w := range []string{
		fmt.Sprint("name=p1&in_force=", second),
		fmt.Sprint("name=p2&in_force=", first),
		fmt.Sprint("name=p3&in_force=", first, "&refused=", second, "&why=", url.QueryEscape("settings.profiles[0].worth: is missing")),
		fmt.Sprint("name=p4&in_force=0&refused=", first),
		"hold_ms=1", // no report
	} {
		if status, _, text := call(t, s, "GET", "/config/a?from=0&"+w, ""); status != 200 {
			t.Fatalf("%s: %d %s", w, status, text)
		}
	}
	s.reports.Record("a", rollout.ProxyReport{Name: "p5", AppliedVersion: second},
		time.Now().Add(-staleReportAge))
	ask := func(query string) (st ConfigStatus) {
		t.Helper()
		status, _, text := call(t, s, "GET", "/config/a/status"+query, "")
		if err := json.Unmarshal([]byte(text), &st); status != 200 || err != nil {
			t.Fatalf("%d %s (%v)", status, text, err)
		}
		for i := range st.Proxies {
			st.Proxies[i].AgeMs = 0
		}
		return st
	}
	st := ask("")
	want := ConfigStatus{"a", st.Epoch, second, false, []string{}, map[string]int{StateApplied: 1, StateBehind: 2, StateRejected: 1, StateUnknown: 1}, 0, second,
		[]ProxyStatus{{StateBehind, rollout.ProxyReport{Name: "p2", AppliedVersion: first}},
			{StateRejected, rollout.ProxyReport{Name: "p3", AppliedVersion: first, RejectedVersion: second, RejectReason: "settings.profiles[0].worth: is missing"}},
			{StateBehind, rollout.ProxyReport{Name: "p4", RejectedVersion: first}}, {StateUnknown, rollout.ProxyReport{Name: "p5", AppliedVersion: second}}}}
	if !reflect.DeepEqual(st, want) {
		t.Errorf("got  %+v\nwant %+v", st, want)
	}
	if all := ask("?all=1"); len(all.Proxies) != 5 || all.Proxies[0].State != StateApplied {
		t.Errorf("all: %+v", all)
	}
	if s.Metrics().ProxyReports != 5 {
		t.Errorf("%d reports are kept, want 5", s.Metrics().ProxyReports)
	}
}
