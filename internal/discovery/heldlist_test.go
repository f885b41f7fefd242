package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// gatedDiscovery is a discovery service whose calls are answered by the test, one after another.
type gatedDiscovery struct {
	calls   chan string // the version that each call continues from; "" requests the full list
	answers chan string // "" breaks the connection
}

func (d *gatedDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case d.calls <- r.URL.Query().Get("from"):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	select {
	case text := <-d.answers:
		if text == "" {
			return nil, io.ErrUnexpectedEOF
		}
		return okResponse(text), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// runGatedClient runs a client of a gatedDiscovery until the test ends.
func runGatedClient(t *testing.T, source Source, initial *List) (*Client, *gatedDiscovery) {
	t.Helper()
	d := &gatedDiscovery{calls: make(chan string), answers: make(chan string)}
	c := New(Config{Source: source, Logger: slog.New(slog.DiscardHandler)})
	if initial != nil {
		c.SetInitialList(initial)
	}
	c.http.Transport = d
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return c, d
}

// otherProcessList returns a list that another process of the proxy holds.
func otherProcessList(address string, version int64) HeldList {
	return HeldList{Source{Address: address}, &List{Version: version, Snapshot: true}, version}
}

// adoptList passes the list of another process to a client. It returns the client's update; false if there is none.
func adoptList(t *testing.T, c *Client, list HeldList) (Update, bool) {
	t.Helper()
	returned := make(chan struct{})
	go func() { defer close(returned); c.AdoptList(t.Context(), list) }()
	select {
	case update := <-c.Updates():
		<-returned
		if !update.FromOtherProcess || !update.List.Snapshot {
			t.Errorf("got the update %+v, want a full list of another process", update)
		}
		return update, true
	case <-returned:
		return Update{}, false
	}
}

// TestOnlyNewerListOfOtherProcessIsAdopted guards against a process that goes back to an older list than it was
// told. Versions are compared within a source, and before discovery has answered this process with the highest one that
// the other process has held.
func TestOnlyNewerListOfOtherProcessIsAdopted(t *testing.T) {
	const own, other = "127.0.0.1:1", "127.0.0.1:2"
	for name, test := range map[string]struct {
		confirmed bool // discovery has answered with version 5
		list      HeldList
		adopted   bool
		nextCall  string // the version that the call after the one in progress continues from
	}{
		"newer":                          {true, otherProcessList(own, 6), true, "6"},
		"same":                           {true, otherProcessList(own, 5), false, "5"},
		"older":                          {true, otherProcessList(own, 4), false, "5"},
		"of another source":              {true, otherProcessList(other, 9), false, "5"},
		"newer, not confirmed":           {false, otherProcessList(own, 6), true, "6"},
		"older, not confirmed":           {false, otherProcessList(own, 3), false, "5"},
		"counted anew, not confirmed":    {false, HeldList{Source{Address: own}, &List{Version: 3, Snapshot: true}, 5}, true, "3"},
		"of another source, unconfirmed": {false, otherProcessList(other, 9), true, ""},
		"older, of another, unconfirmed": {false, otherProcessList(other, 2), true, ""},
	} {
		bubble(t, name, func(t *testing.T) {
			c, d := runGatedClient(t, Source{Address: own}, &List{Version: 5, Snapshot: true})
			if first := <-d.calls; first != "5" {
				t.Fatalf("the first call continues from %q, want 5", first)
			}
			if test.confirmed {
				d.answers <- `{"index":5,"snapshot":false,"endpoints":[]}`
				<-c.Updates()
				<-d.calls
			}
			if _, got := adoptList(t, c, test.list); got != test.adopted {
				t.Errorf("adopted is %v, want %v", got, test.adopted)
			}
			d.answers <- "" // ends the call in progress
			if next := <-d.calls; next != test.nextCall {
				t.Errorf("the next call continues from %q, want %q", next, test.nextCall)
			}
		})
	}
}

// TestAnswerToCallBeforeAdoptionDoesNotReplaceNewerList guards against an answer that arrives after another
// process's list was adopted and is older than it, or whose changes are to a list that is no longer held.
func TestAnswerToCallBeforeAdoptionDoesNotReplaceNewerList(t *testing.T) {
	const own, other = "127.0.0.1:1", "127.0.0.1:2"
	for name, test := range map[string]struct {
		initial   int64 // version that the call in progress continues from; negative: it requests the full list
		list      HeldList
		answer    string
		published bool
		nextCall  string
	}{
		"older changes":                  {5, otherProcessList(own, 9), `{"index":7,"snapshot":false,"endpoints":[]}`, false, "9"},
		"older full list":                {-1, otherProcessList(own, 9), `{"index":7,"snapshot":true,"endpoints":[]}`, false, "9"},
		"newer changes":                  {5, otherProcessList(own, 9), `{"index":10,"snapshot":false,"endpoints":[]}`, false, "9"},
		"newer full list":                {-1, otherProcessList(own, 9), `{"index":10,"snapshot":true,"endpoints":[]}`, true, "10"},
		"changes to a list not held":     {5, otherProcessList(other, 3), `{"index":7,"snapshot":false,"endpoints":[]}`, false, ""},
		"full list of the own source":    {-1, otherProcessList(other, 9), `{"index":7,"snapshot":true,"endpoints":[]}`, true, "7"},
		"discovery counts versions anew": {9, otherProcessList(own, 9), `{"index":3,"snapshot":false,"endpoints":[]}`, false, ""},
	} {
		bubble(t, name, func(t *testing.T) {
			c, d := runGatedClient(t, Source{Address: own}, &List{Version: test.initial, Snapshot: true})
			<-d.calls
			if _, adopted := adoptList(t, c, test.list); !adopted {
				t.Fatal("the list of the other process was not adopted")
			}
			d.answers <- test.answer
			published, called := false, ""
			select {
			case <-c.Updates():
				published = true
				called = <-d.calls
			case called = <-d.calls:
			}
			if published != test.published || called != test.nextCall {
				t.Errorf("published is %v and the next call continues from %q, want %v and %q", published, called, test.published, test.nextCall)
			}
		})
	}
}

// TestRegistryListOfOtherProcessIsAdopted checks the same with lists of the registry, whose versions are
// comparable within an epoch.
func TestRegistryListOfOtherProcessIsAdopted(t *testing.T) {
	source := Source{Members: []string{"m1", "m2"}}
	list := func(epoch string, version int64) HeldList {
		return HeldList{source, &List{Version: version, Snapshot: true, Epoch: epoch}, version}
	}
	for name, test := range map[string]struct {
		list    HeldList
		adopted bool
	}{
		"newer":            {list("e", 6), true},
		"older":            {list("e", 4), false},
		"of another epoch": {list("f", 6), false},
	} {
		bubble(t, name, func(t *testing.T) {
			c, d := runGatedClient(t, source, nil)
			<-d.calls
			d.answers <- `{"index":5,"snapshot":true,"line":"e","endpoints":[]}`
			<-c.Updates()
			if from := <-d.calls; from != "5" {
				t.Fatalf("the watch continues from %q, want 5", from)
			}
			if _, got := adoptList(t, c, test.list); got != test.adopted {
				t.Errorf("adopted is %v, want %v", got, test.adopted)
			}
			if test.adopted {
				if held := c.heldRegistryVersion(); held.version != 6 {
					t.Errorf("holds the version %d, want 6", held.version)
				}
			}
		})
	}
	bubble(t, "before the registry has answered", func(t *testing.T) {
		c, d := runGatedClient(t, source, nil)
		<-d.calls
		if _, adopted := adoptList(t, c, list("e", 6)); !adopted {
			t.Error("not adopted")
		}
	})
}

// TestAdoptionEndsWithItsContext checks that a process that ends does not wait for an update that nobody receives.
func TestAdoptionEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		c.AdoptList(ctx, otherProcessList("127.0.0.1:1", 6))
		if ctx.Err() == nil {
			t.Error("returned though nobody has received the update")
		}
	})
}

// TestHeldListIsDecodedAsEncoded checks the encoding of a held list, and that a malformed one is an error.
func TestHeldListIsDecodedAsEncoded(t *testing.T) {
	weight := 0.5
	for _, want := range []HeldList{
		{Source{Address: "127.0.0.1:1"}, &List{Version: 4, Snapshot: true, Endpoints: []Endpoint{
			{Name: "a", Address: "127.0.0.1:2", Zone: "z", Cell: 3, Status: StatusDraining, Weight: &weight, StartedAtMs: 9}}}, 7},
		{Source{Members: []string{"m1", "m2"}}, &List{Snapshot: true, Epoch: "e", Endpoints: []Endpoint{}}, 0},
	} {
		if got, err := ParseHeldList(want.Encode()); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, error %v, want %+v", got, err, want)
		}
	}
	for _, text := range []string{``, `{}`, `{"address":"a:1","list":{"index":1,"snapshot":false,"endpoints":[]}}`,
		`{"address":"a:1","list":{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":"SERVING","address":"nowhere"}]}}`} {
		if _, err := ParseHeldList([]byte(text)); err == nil || !strings.Contains(err.Error(), "held endpoint list") {
			t.Errorf("%s: got the error %v, want one of the held endpoint list", text, err)
		}
	}
}

// listHistory is a list of endpoints and all its former versions.
type listHistory struct{ versions []map[string]Endpoint } // by version, then by name

// change appends a version in which one endpoint differs.
func (h *listHistory) change(random *rand.Rand) {
	next := map[string]Endpoint{}
	if len(h.versions) > 0 {
		next = maps.Clone(h.versions[len(h.versions)-1])
	}
	name := string(rune('a' + random.IntN(6)))
	status := []string{StatusServing, StatusDraining, StatusDeleted}[random.IntN(3)]
	(&List{Endpoints: []Endpoint{{Name: name, Address: "127.0.0.1:1", Status: status}}}).ApplyTo(next)
	h.versions = append(h.versions, next)
}

// full returns the full list of a version.
func (h *listHistory) full(version int) *List {
	return &List{Version: int64(version), Snapshot: true, Endpoints: SortedEndpoints(h.versions[version])}
}

// answer returns discovery's answer, of a version, to a call that continues from another; "" requests the full list.
func (h *listHistory) answer(t *testing.T, from string, version int) string {
	t.Helper()
	list := h.full(version)
	if from != "" {
		base, err := strconv.Atoi(from)
		if err != nil {
			t.Fatal(err)
		}
		list = &List{Version: int64(version), Endpoints: h.changes(base, version)}
	}
	text, err := json.Marshal(listMessage{list.Version, list.Snapshot, "", list.Endpoints})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// changes returns the endpoints that have changed after a version, as they are in a later one.
func (h *listHistory) changes(base, version int) []Endpoint {
	changed := []Endpoint{}
	for name := range strings.SplitSeq("a b c d e f", " ") {
		now, listed := h.versions[version][name]
		if !listed {
			now = Endpoint{Name: name, Status: StatusDeleted}
		}
		if before := h.versions[base][name]; before != now {
			changed = append(changed, now)
		}
	}
	return changed
}

// TestHeldListNeverGoesBack plays 300 seeds of changes, answers (late ones among them), lost calls and lists of another
// process in any order. What the client publishes always makes the list of a version, and never an older one than before.
func TestHeldListNeverGoesBack(t *testing.T) {
	const seeds, steps = 300, 60
	for seed := range uint64(seeds) {
		bubble(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			random, history := rand.New(rand.NewPCG(seed, 0)), &listHistory{}
			history.change(random)
			c, d := runGatedClient(t, Source{Address: "127.0.0.1:1"}, history.full(0))
			published, version := maps.Clone(history.versions[0]), 0
			check := func(update Update) {
				t.Helper()
				if update.List.Snapshot {
					clear(published)
				}
				update.List.ApplyTo(published)
				if int(update.List.Version) < version {
					t.Fatalf("went back from version %d to %d", version, update.List.Version)
				}
				if version = int(update.List.Version); !reflect.DeepEqual(published, history.versions[version]) {
					t.Fatalf("publishes %v as version %d, want %v", published, version, history.versions[version])
				}
			}
			from, newestAtCall := <-d.calls, 0
			for range steps {
				newest := len(history.versions) - 1
				switch random.IntN(4) {
				case 0:
					history.change(random)
				case 1: // of another process, which is ahead or behind
					adopted := random.IntN(newest + 1)
					if update, ok := adoptList(t, c, HeldList{c.source, history.full(adopted), int64(adopted)}); ok {
						check(update)
					}
				case 2:
					d.answers <- ""
					from, newestAtCall = <-d.calls, newest
				case 3: // of a version that discovery had at any time since the call
					d.answers <- history.answer(t, from, newestAtCall+random.IntN(newest-newestAtCall+1))
					select {
					case update := <-c.Updates():
						check(update)
						from = <-d.calls
					case from = <-d.calls: // the answer was discarded
					}
					newestAtCall = newest
				}
			}
		})
	}
}
