package referee

import (
	"maps"
	"slices"
	"testing"
	"time"
)

var began = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// newScenario returns a referee with a client attempt of a class, and servers a1 and a2 in zone a, b1 in zone b.
func newScenario(class Class, config Config) (*Referee, *ClientAttempt) {
	config.Classes = []Class{class}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = 3
	}
	r := New(config)
	var known []Entry
	for name, zone := range map[string]string{"a1": "a", "a2": "a", "b1": "b"} {
		r.RecordServerState(name, ServerState{Zone: zone, Serving: true}, began)
		known = append(known, Entry{name, true, 0})
	}
	r.RecordProxyStart("p", known, began)
	clientAttempt := &ClientAttempt{ID: "1", StartedAt: at(0), Deadline: at(1000)}
	r.RecordSend(clientAttempt, "p")
	r.RecordWritten(clientAttempt, at(1))
	return r, clientAttempt
}

func begin(r *Referee, serverName string, ms int) *Attempt {
	return r.BeginAttempt(Arrival{Server: serverName, ID: "1", FirstByteAt: at(ms), LastByteAt: at(ms + 1)})
}

// TestRules runs one scenario a row and checks which rules it violates.
func TestRules(t *testing.T) {
	keyed := func(scope string) Class {
		return Class{Name: "k", RetryClass: IdempotencyKey, KeyScope: scope, KeyWindow: 300 * time.Millisecond}
	}
	nonIdempotent, idempotent := Class{Name: "u", RetryClass: NonIdempotent}, Class{Name: "s"}
	rejected := func(r *Referee, attempt *Attempt) { r.RecordRejected(attempt); r.RecordOutcomeWritten(attempt) }
	err := func(r *Referee, attempt *Attempt) { r.RecordError(attempt, 0); r.RecordOutcomeWritten(attempt) }
	hedging := Config{HedgingAllowed: true}
	for _, test := range []struct {
		name   string
		class  Class
		config Config
		run    func(r *Referee, clientAttempt *ClientAttempt)
		want   []string
	}{
		{"non-idempotent retried after a rejection", nonIdempotent, Config{}, func(r *Referee, _ *ClientAttempt) { rejected(r, begin(r, "a1", 5)); begin(r, "a2", 9) }, nil},
		{"non-idempotent retried after an unwritten rejection", nonIdempotent, hedging,
			func(r *Referee, _ *ClientAttempt) { r.RecordRejected(begin(r, "a1", 5)); begin(r, "a2", 9) }, []string{"repeat"}},
		{"non-idempotent retried after an error", nonIdempotent, Config{}, func(r *Referee, _ *ClientAttempt) { err(r, begin(r, "a1", 5)); begin(r, "a2", 9) }, []string{"repeat"}},
		{"non-idempotent rejected after an error", nonIdempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				err(r, begin(r, "a1", 5))
				r.RecordResponse(c, at(20), 503, 0)
			}, []string{"repeat"}},
		{"non-idempotent rejected unsent", nonIdempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordResponse(c, at(20), 503, 0) }, nil},
		{"non-idempotent failed after an error", nonIdempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				err(r, begin(r, "a1", 5))
				r.RecordResponse(c, at(20), 502, 0)
			}, nil},
		{"idempotent retried and rejected", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				err(r, begin(r, "a1", 5))
				err(r, begin(r, "b1", 9))
				r.RecordResponse(c, at(20), 503, 0)
			}, nil},
		{"over the limit of attempts", idempotent, Config{MaxAttempts: 1},
			func(r *Referee, _ *ClientAttempt) { err(r, begin(r, "a1", 5)); begin(r, "b1", 9) }, []string{"repeat"}},
		{"hedged without hedging", idempotent, Config{}, func(r *Referee, _ *ClientAttempt) { begin(r, "a1", 5); begin(r, "b1", 9) }, []string{"repeat"}},
		{"hedged", idempotent, hedging,
			func(r *Referee, _ *ClientAttempt) { begin(r, "a1", 5); begin(r, "b1", 9) }, nil},
		{"keyed within its zone", keyed("zone"), Config{}, func(r *Referee, _ *ClientAttempt) { err(r, begin(r, "a1", 5)); begin(r, "a2", 9) }, nil},
		{"keyed to another zone", keyed("zone"), Config{}, func(r *Referee, _ *ClientAttempt) { err(r, begin(r, "a1", 5)); begin(r, "b1", 9) }, []string{"repeat"}},
		{"keyed to another zone after a rejection", keyed("zone"), Config{}, func(r *Referee, _ *ClientAttempt) { rejected(r, begin(r, "a1", 5)); begin(r, "b1", 9) }, nil},
		{"keyed after its window", keyed("all"), Config{}, func(r *Referee, _ *ClientAttempt) { err(r, begin(r, "a1", 5)); begin(r, "b1", 400) }, []string{"repeat"}},
		{"keyed in all zones rejected", keyed("all"), Config{},
			func(r *Referee, c *ClientAttempt) {
				err(r, begin(r, "a1", 5))
				r.RecordResponse(c, at(20), 503, 0)
			}, nil},
		{"keyed in a zone rejected", keyed("zone"), Config{},
			func(r *Referee, c *ClientAttempt) {
				err(r, begin(r, "a1", 5))
				r.RecordResponse(c, at(20), 503, 0)
			}, []string{"repeat"}},
		{"within the grace of a drain", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordUpdate("p", ListUpdate{Entries: []Entry{{"a1", false, 0}}}, at(0))
				begin(r, "a1", 990)
			}, nil},
		{"after the grace of a drain", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordUpdate("p", ListUpdate{Entries: []Entry{{"a1", false, 0}}}, at(0))
				begin(r, "a1", 1100)
			}, []string{"drain"}},
		{"missing in a complete list", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordUpdate("p", ListUpdate{Entries: []Entry{{"a2", true, 0}}, Snapshot: true}, at(0))
				begin(r, "a1", 100)
			}, []string{"drain"}},
		{"never listed", idempotent, Config{}, func(r *Referee, _ *ClientAttempt) { begin(r, "c1", 5) }, []string{"drain"}},
		{"not notified of a drain, polling", idempotent, Config{PollInterval: 100 * time.Millisecond},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordPoll("p")
				r.RecordServerState("a1", ServerState{Zone: "a", Serving: false}, at(0))
				begin(r, "a1", 900)
			}, nil},
		{"not notified of a drain, not polling", idempotent, Config{PollInterval: 100 * time.Millisecond},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordServerState("a1", ServerState{Zone: "a", Serving: false}, at(0))
				begin(r, "a1", 900)
			}, []string{"drain"}},
		{"a drain overdue and never notified", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) { r.RecordListed("a1", false, 0, at(0)); begin(r, "a1", 7100) }, []string{"drain"}},
		{"a drain overdue, within its grace", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) { r.RecordListed("a1", false, 0, at(0)); begin(r, "a1", 7040) }, nil},
		{"a drain during the proxy's list outage", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", false, 0, at(0))
				r.BeginListOutage("p", at(3000))(at(4000))
				begin(r, "a1", 10900)
			}, nil},
		{"a drain during another proxy's list outage", idempotent, Config{DrainGrace: time.Second},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", false, 0, at(0))
				r.BeginListOutage("q", at(3000))(at(4000))
				begin(r, "a1", 7100)
			}, []string{"drain"}},
		{"a return that counts as notified", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", false, 0, at(0))
				r.RecordListed("a1", true, 5, at(1000))
				begin(r, "a1", 7100)
			}, nil},
		{"a return notified in time", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", false, 0, at(0))
				r.RecordListed("a1", true, 5, at(3000))
				r.RecordUpdate("p", ListUpdate{Entries: []Entry{{"a1", true, 5}}}, at(4000))
				begin(r, "a1", 7100)
			}, nil},
		{"a return that does not count as notified yet", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", false, 0, at(0))
				r.RecordListed("a1", true, 5, at(3000))
				begin(r, "a1", 7100)
			}, []string{"drain"}},
		{"a process that starts from an old list", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordListed("a1", true, 0, at(-9000))
				r.RecordListed("a1", false, 0, at(0))
				r.RecordProxyStart("p", []Entry{{"a1", true, 0}}, at(5000))
				begin(r, "a1", 7100)
			}, []string{"drain"}},
		{"answered late", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordResponse(c, at(1400), 502, 0) }, nil},
		{"answered too late", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordResponse(c, at(1600), 502, 0) }, []string{"lost"}},
		{"never answered", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordTimeout(c, at(1600)) }, []string{"lost"}},
		{"never answered while killed", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				r.BeginExcusedSpan("p", at(500))(at(600))
				r.RecordTimeout(c, at(1600))
			}, nil},
		{"never answered though killed before", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				r.BeginExcusedSpan("p", at(-500))(at(-100))
				r.RecordTimeout(c, at(1600))
			}, []string{"lost"}},
		{"closed without an answer", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordConnectionClosed(c, at(50), false, false) },
			[]string{"lost"}},
		{"the one in 200 whose new connection is closed", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordConnectionClosed(c, at(50), false, true) }, nil},
		{"closed within its response", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) { r.RecordConnectionClosed(c, at(50), true, false) }, nil},
		{"served a body that no server sent", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				r.RecordServed(begin(r, "a1", 5), 7, 0)
				r.RecordResponse(c, at(50), 200, 8)
			}, []string{"garbled"}},
		{"served a server's body", idempotent, Config{},
			func(r *Referee, c *ClientAttempt) {
				r.RecordServed(begin(r, "a1", 5), 7, 0)
				r.RecordResponse(c, at(50), 200, 7)
			}, nil},
		{"overloaded by notified proxies", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordUpdate("p", ListUpdate{Entries: []Entry{{"a1", true, 9}}}, at(0))
				r.RecordOverload("a1", 9, map[string]time.Duration{"p": 7, "q": 3}, at(5))
			}, []string{"tip"}},
		{"overloaded by unnotified proxies", idempotent, Config{},
			func(r *Referee, _ *ClientAttempt) {
				r.RecordOverload("a1", 9, map[string]time.Duration{"p": 7, "q": 3}, at(5))
			}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, clientAttempt := newScenario(test.class, test.config)
			test.run(r, clientAttempt)
			if got := slices.Sorted(maps.Keys(r.Close().ViolationCounts)); !slices.Equal(got, test.want) {
				t.Errorf("violated rules %v, want %v", got, test.want)
			}
		})
	}
}

// An attempt may begin for 0.1 s after its client cancelled; the client's attempt does not count as lost.
func TestAttemptAfterClientCancel(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{cancelGrace + socketSlack, 0}, {cancelGrace + socketSlack + 1, 1}} {
		r, began := New(Config{Classes: []Class{{}}, MaxAttempts: 3}), time.Unix(1000, 0)
		r.RecordProxyStart("p", []Entry{{Server: "s", Serving: true}}, began)
		clientAttempt := &ClientAttempt{ID: "1", Method: "GET", Path: "/", Deadline: began.Add(time.Second)}
		r.RecordSend(clientAttempt, "p")
		r.RecordWritten(clientAttempt, began)
		if !r.RecordClientCancel(clientAttempt, began) || r.RecordClientCancel(clientAttempt, began.Add(1)) {
			t.Error("a client must be able to cancel exactly once")
		}
		at := began.Add(c.after)
		r.BeginAttempt(Arrival{Server: "s", ID: "1", Method: "GET", Path: "/", FirstByteAt: at, LastByteAt: at})
		if got := r.Close().ViolationCounts; got["gone"] != c.want || got["lost"] != 0 {
			t.Errorf("attempt %v after the cancel: violations %v", c.after, got)
		}
	}
}

// A successor may send to a server of its own list, even if its predecessor was told that the server was
// removed or never heard of it. A proxy without such a list may not.
func TestSuccessorUsesItsOwnList(t *testing.T) {
	for _, known := range []bool{true, false} {
		r, began := New(Config{Classes: []Class{{}}, MaxAttempts: 3}), time.Unix(1000, 0)
		r.RecordProxyStart("p", []Entry{{Server: "gone"}}, began)
		if known {
			r.RecordInheritedList("p", []Entry{{Server: "gone", Serving: true, Since: 7}, {Server: "new", Serving: true}}, began.Add(time.Minute))
		}
		at := began.Add(time.Hour)
		for _, serverName := range []string{"gone", "new"} {
			r.RecordSend(&ClientAttempt{ID: serverName, Method: "GET", Path: "/", Deadline: at}, "p")
			r.BeginAttempt(Arrival{Server: serverName, ID: serverName, Method: "GET", Path: "/", FirstByteAt: at, LastByteAt: at})
		}
		if got := r.Close().ViolationCounts["drain"]; (got == 2) == known || known && got != 0 {
			t.Errorf("successor with its own list %v: drain violated %d times", known, got)
		}
	}
}

// TestAnswerBesideCostlyClientsMayNotBeLate checks that an answer after its deadline breaks the rule only where costly
// clients kept the proxy busy, beyond the slack, and not where a fault of the lab excuses it.
func TestAnswerBesideCostlyClientsMayNotBeLate(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name       string
		answeredAt int // ms; due at 1000
		from, to   int // of the costly clients, ms
		excused    bool
		want       int
	}{
		{"in time", 1000, 0, 2000, false, 0},
		{"within the slack", 1060, 0, 2000, false, 0},
		{"late", 1100, 0, 2000, false, 1},
		{"late after they had ended", 1100, 200, 800, false, 1},
		{"late without them", 1100, 1200, 2000, false, 0},
		{"late while the lab stops the proxy", 1100, 0, 2000, true, 0},
	} {
		r := New(Config{Classes: []Class{{Name: "read"}}, DeadlineSlack: 20 * time.Millisecond})
		r.BeginCostlySpan("p", at(test.from))(at(test.to))
		if test.excused {
			r.BeginExcusedSpan("p", at(500))(at(900))
		}
		attempt := &ClientAttempt{ID: "1", StartedAt: at(0), Deadline: at(1000)}
		r.RecordSend(attempt, "p")
		r.RecordWritten(attempt, at(1))
		r.RecordResponse(attempt, at(test.answeredAt), 504, 0)
		if got := r.Close().ViolationCounts[Late]; got != test.want {
			t.Errorf("%s: rule broken %d times, want %d", test.name, got, test.want)
		}
	}
}

// TestTimeOfAttemptCountsBetweenSockets checks that a proxy's time counts from the last byte of the request that the lab
// wrote to the last one of the response that the lab read: a lab that is held up does not make an answer late or lost, and
// hides no late one.
func TestTimeOfAttemptCountsBetweenSockets(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const never = 0
	for _, test := range []struct {
		name           string
		written        int // ms; due 1000 later
		received, seen int // ms; received never: a client that ended its wait when seen
		want           string
	}{
		{"in time after a late write", 400, 1390, 1390, ""},
		{"late after a late write", 400, 1500, 1500, Late},
		{"lost after a late write", 400, 2000, 2000, "lost"},
		{"in time and seen late", 1, 990, 1800, ""},
		{"late and seen later", 1, 1100, 1800, Late},
		{"no answer in the time after a late write", 400, never, 1600, ""},
		{"no answer", 400, never, 2000, "lost"},
	} {
		r := New(Config{Classes: []Class{{Name: "read"}}, DeadlineSlack: 20 * time.Millisecond})
		r.BeginCostlySpan("p", at(0))(at(3000))
		attempt := &ClientAttempt{ID: "1", StartedAt: at(0), Deadline: at(1000)}
		r.RecordSend(attempt, "p")
		r.RecordWritten(attempt, at(test.written))
		if test.received == never {
			r.RecordTimeout(attempt, at(test.seen))
		} else {
			r.RecordReceived(attempt, at(test.received))
			r.RecordResponse(attempt, at(test.seen), 504, 0)
		}
		got := r.Close().ViolationCounts
		if len(got) > 1 || test.want == "" && len(got) > 0 || test.want != "" && got[test.want] != 1 {
			t.Errorf("%s: got %v, want one of %q, or none if that is empty", test.name, got, test.want)
		}
	}
}
