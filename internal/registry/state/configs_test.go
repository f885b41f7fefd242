package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"merlinpick/internal/atomicfile"
)

func configureCommand(service string, after int64, document string) Command {
	return Command{Kind: CommandConfigure, Service: service, After: after, Document: json.RawMessage(document)}
}

func newBegunState() *State {
	s := New()
	s.Apply(Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100})
	return s
}

// A write takes effect once, and only if its writer has seen the newest version. The previous document is
// kept.
func TestConfigure(t *testing.T) {
	type step struct {
		c       Command
		code    ResultCode
		version int64
		changes bool
	}
	first, second := step{configureCommand("a", 0, `{"n":1}`), ResultDone, 101, true},
		step{configureCommand("a", 101, `{"n":2}`), ResultDone, 102, true}
	for name, steps := range map[string][]step{
		"one after another": {first, second},
		"repeated at once":  {first, {first.c, ResultDone, 101, false}},
		"repeated after another": {first, second, {second.c, ResultDone, 102, false},
			{first.c, ResultConflict, 102, false}},
		"concurrent write": {first, second,
			{configureCommand("a", 101, `{"n":3}`), ResultConflict, 102, false}},
		"the same document as a new write": {first,
			{configureCommand("a", 101, `{"n":1}`), ResultDone, 102, true}},
		"after a version that does not exist": {{configureCommand("a", 101, `{}`), ResultConflict, 0, false}},
		"as the first write of an existing configuration": {first,
			{configureCommand("a", 0, `{}`), ResultConflict, 101, false}},
		"another service": {first, {configureCommand("b", 0, `{}`), ResultDone, 101, true}},
		"an invalid name": {{configureCommand("a b", 0, `{}`), ResultIgnored, 0, false},
			{configureCommand("", 0, `{}`), ResultIgnored, 0, false}},
		"not canonical": {{configureCommand("a", 0, `{ }`), ResultIgnored, 0, false},
			{configureCommand("a", 0, `[]`), ResultIgnored, 0, false},
			{configureCommand("a", 0, ``), ResultIgnored, 0, false}},
		"too long": {{configureCommand("a", 0,
			`{"a":"`+strings.Repeat("a", 64<<10)+`"}`), ResultIgnored, 0, false}},
	} {
		s := newBegunState()
		for i, step := range steps {
			got := s.Apply(step.c)
			if got.Code != step.code || got.Version != step.version || got.Changed != step.changes ||
				s.Version() != 100 {
				t.Errorf("%s, step %d: got %+v and list version %d", name, i+1, got, s.Version())
			}
		}
	}
	s := newBegunState()
	s.Apply(first.c)
	s.Apply(second.c)
	if c, ok := s.Configuration("a"); !ok || string(c.Document) != `{"n":2}` || c.Previous == nil || string(c.Previous.Document) != `{"n":1}` ||
		c.Previous.Version != 101 {
		t.Errorf("after two writes the configuration is %+v, want both documents", c)
	}
	if r := New().Apply(configureCommand("a", 0, `{}`)); r.Code != ResultIgnored {
		t.Errorf("before the first epoch: %+v", r)
	}
}

// A write over MaxServices or MaxDocumentBytes is rejected and changes nothing; a full state still accepts
// shorter documents.
func TestConfigurationLimits(t *testing.T) {
	s := newBegunState()
	for i := range MaxServices {
		if r := s.Apply(configureCommand(fmt.Sprint("s", i), 0, `{}`)); r.Code != ResultDone {
			t.Fatalf("%d: %+v", i, r)
		}
	}
	if r := s.Apply(configureCommand("more", 0, `{}`)); r.Code != ResultNoRoom {
		t.Errorf("one service over the limit: %+v", r)
	}
	s = newBegunState()
	large := `{"a":"` + strings.Repeat("a", 60<<10) + `"}`
	n, versions := 0, map[string]int64{}
	replace := func(name, text string) ResultCode {
		r := s.Apply(configureCommand(name, versions[name], text))
		versions[name] = r.Version
		return r.Code
	}
	replace("twice", large)
	replace("twice", large)
	for replace(fmt.Sprint("s", n), large) == ResultDone {
		n++
	}
	if end := replace("twice", large); end != ResultDone {
		t.Errorf("a document in place of one of the same size: %s", end)
	}
	if total := (n + 2) * len(large); total > MaxDocumentBytes || total < MaxDocumentBytes-len(large) {
		t.Errorf("%d bytes of documents are kept, want almost MaxDocumentBytes", total)
	}
	if end := replace("s0", large); end != ResultNoRoom {
		t.Errorf("a document over the limit: %s", end)
	}
	for range 2 { // the second drops the previous document
		if end := replace("twice", `{}`); end != ResultDone {
			t.Fatalf("a shorter document: %s", end)
		}
	}
	if end := replace("s0", large); end != ResultDone {
		t.Errorf("after room was made: %s", end)
	}
	snapshot := s.Snapshot()
	if err := snapshot.Check(); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"x", "y", "z"} {
		snapshot.Configs = append(snapshot.Configs,
			Configuration{Service: name, Version: 5, Document: json.RawMessage(large)})
	}
	if err := snapshot.Check(); err == nil {
		t.Error("a snapshot over the limits passes the check")
	}
}

// A snapshot without configurations is byte for byte what builds without configurations write. One with
// configurations is of a kind that such builds reject, and any damage to it is detected.
func TestSnapshotsWithConfigurations(t *testing.T) {
	s := newBegunState()
	s.Apply(Command{Kind: CommandRegister, Record: record("n", "i1", 10)})
	written := func() []byte {
		var text bytes.Buffer
		if err := s.Snapshot().Write(&text); err != nil {
			t.Fatal(err)
		}
		return text.Bytes()
	}
	const wantPlain = "roster-snapshot 1 191 18658e20\n" +
		`{"line":"l","index":101,"nodos":[{"name":"n","address":"127.0.0.1:1","zone":"a",` +
		`"type":"","group":0,"status":"SERVING","weight":1,"since_ms":10,"instance":"i1","lease_ms":5000}],"ended":null}`
	if got := string(written()); got != wantPlain {
		t.Errorf("without configurations: %s", got)
	}
	s.Apply(configureCommand("a", 0, `{"n":1}`))
	s.Apply(configureCommand("a", 102, `{"n":2,"s":"\u003c"}`))
	encoded := written()
	if _, err := atomicfile.Decode("roster-snapshot", bytes.NewReader(encoded),
		MaxSnapshotBytes); !errors.Is(err, atomicfile.ErrDamaged) {
		t.Errorf("a build without configurations would read it: %v", err)
	}
	decoded, err := ReadSnapshot(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	again := New()
	if err := again.Load(decoded); err != nil ||
		!bytes.Equal(encoded, func() []byte { s = again; return written() }()) {
		t.Errorf("the snapshot differs after it was written and read: %v", err)
	}
	if r := again.Apply(configureCommand("a", 102, `{"n":2,"s":"\u003c"}`)); r.Code != ResultDone ||
		r.Changed {
		t.Errorf("a repeated write after a restart: %+v", r)
	}
	for at := range encoded {
		corrupted := bytes.Clone(encoded)
		corrupted[at] ^= 0x20
		for what, b := range map[string][]byte{"cut": encoded[:at], "corrupted": corrupted} {
			if _, err := ReadSnapshot(bytes.NewReader(b)); !errors.Is(err, ErrDamaged) {
				t.Fatalf("%s at byte %d: %v", what, at, err)
			}
		}
	}
	// A snapshot's kind has to match its content.
	bare := Snapshot{Epoch: "l", Version: 1}
	body, _ := json.Marshal(bare)
	if _, err := ReadSnapshot(bytes.NewReader(atomicfile.Encode("roster-snapshot-configs", body))); !errors.Is(err, ErrDamaged) {
		t.Errorf("a snapshot of the kind with configurations that has none: %v", err)
	}
}

// The versions of a restored snapshot's configurations are above all earlier ones, and configurations that
// the snapshot lacks are kept.
func TestRebase(t *testing.T) {
	s := newBegunState()
	s.Apply(configureCommand("a", 0, `{"n":1}`))
	saved := s.Snapshot()
	s.Apply(configureCommand("a", 101, `{"n":2}`))
	s.Apply(configureCommand("b", 0, `{"n":3}`))
	now := s.Snapshot()
	rebased := saved.Rebase("m", now.NewestVersion()+50, now.Configs)
	again := New()
	if err := again.Load(rebased); err != nil {
		t.Fatal(err)
	}
	a, _ := again.Configuration("a")
	b, _ := again.Configuration("b")
	if string(a.Document) != `{"n":1}` || string(b.Document) != `{"n":3}` || a.Version <= now.NewestVersion() || b.Version <= now.NewestVersion() {
		t.Errorf("a %+v, b %+v", a, b)
	}
	if r := again.Apply(configureCommand("a", 101, `{"n":2}`)); r.Code != ResultConflict {
		t.Errorf("a repeated write of the previous epoch: %+v", r)
	}
	if r := again.Apply(configureCommand("a", 0, `{"n":1}`)); r.Code != ResultConflict {
		t.Errorf("a repeated write of the restored document: %+v", r)
	}
	if saved.Configs[0].Version != 101 {
		t.Error("Rebase changed the snapshot that it was called on")
	}
}

// After any sequence of commands and snapshots, the configurations equal those of a model, a map in which
// only a write after the newest version takes effect.
func TestConfigurationsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			n    int64
			text string
		}
		model := map[string][]version{}
		s := newBegunState()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			all := model[name]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				s.Apply(Command{Kind: CommandRegister, Record: record(fmt.Sprint("n", s.Version()), "i", 1)})
			case 1:
				again := New()
				if err := again.Load(s.Snapshot()); err != nil {
					t.Fatal(err)
				}
				s = again
			default:
				seen := []int64{0}
				for _, v := range all {
					seen = append(seen, v.n)
				}
				after := rapid.SampledFrom(seen).Draw(t, "after")
				text := fmt.Sprintf(`{"n":%d}`, rapid.IntRange(1, 3).Draw(t, "document"))
				r := s.Apply(configureCommand(name, after, text))
				last, before := version{}, version{}
				if n := len(all); n > 0 {
					last = all[n-1]
					if n > 1 {
						before = all[n-2]
					}
				}
				switch {
				case len(all) > 0 && after == before.n && text == last.text:
					if r.Code != ResultDone || r.Changed || r.Version != last.n {
						t.Fatalf("a repeated write: %+v", r)
					}
				case after == last.n:
					if r.Code != ResultDone || !r.Changed || r.Version <= last.n {
						t.Fatalf("a write after the newest version: %+v", r)
					}
					model[name] = append(all, version{r.Version, text})
				case r.Code != ResultConflict || r.Changed || r.Version != last.n:
					t.Fatalf("a write after an older version: %+v", r)
				}
			}
			for name, all := range model {
				c, ok := s.Configuration(name)
				last := all[len(all)-1]
				if !ok || c.Version != last.n || string(c.Document) != last.text || (c.Previous != nil) != (len(all) > 1) {
					t.Fatalf("configuration of %s is %+v, want %+v", name, c, last)
				}
			}
		}
	})
}
