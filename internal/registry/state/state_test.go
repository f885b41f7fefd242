package state

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func record(name, instance string, since int64) *Record {
	return &Record{Endpoint: Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: StatusServing, Weight: 1, StartedAtMs: since},
		Instance: instance, LeaseMs: 5000}
}

func refs(name, instance string) []InstanceRef { return []InstanceRef{{name, instance}} }

// A repeated command takes effect once, and a delayed command does not undo what came after it.
func TestRepeatedAndLateCommands(t *testing.T) {
	register := Command{Kind: CommandRegister, Record: record("n", "i1", 10)}
	later := Command{Kind: CommandRegister, Record: record("n", "i2", 20)}
	moved := *record("n", "i1", 10)
	moved.Address = "127.0.0.1:2"
	drain := Command{Kind: CommandDrain, Refs: refs("n", "i1")}
	deregister := Command{Kind: CommandDeregister, Refs: refs("n", "i1")}
	expire := Command{Kind: CommandExpire, Refs: refs("n", "i1")}
	type step struct {
		c       Command
		code    ResultCode
		changes bool
		status  string // of n afterwards; empty: not in the list
	}
	for name, steps := range map[string][]step{
		"register twice":                {{register, ResultDone, true, StatusServing}, {register, ResultDone, false, StatusServing}},
		"register again, moved":         {{register, ResultDone, true, StatusServing}, {Command{Kind: CommandRegister, Record: &moved}, ResultDone, true, StatusServing}},
		"drain twice":                   {{register, ResultDone, true, StatusServing}, {drain, ResultDone, true, StatusDraining}, {drain, ResultDone, false, StatusDraining}},
		"register again while draining": {{register, ResultDone, true, StatusServing}, {drain, ResultDone, true, StatusDraining}, {register, ResultDone, false, StatusDraining}},
		"deregister twice": {{register, ResultDone, true, StatusServing},
			{deregister, ResultDone, true, ""}, {deregister, ResultDone, false, ""}},
		"a late registration": {{register, ResultDone, true, StatusServing},
			{deregister, ResultDone, true, ""}, {register, ResultEnded, false, ""}},
		"after its lease it may return": {{register, ResultDone, true, StatusServing},
			{expire, ResultDone, true, ""}, {register, ResultDone, true, StatusServing}},
		"another start takes the name": {{register, ResultDone, true, StatusServing},
			{later, ResultDone, true, StatusServing}, {register, ResultReplaced, false, StatusServing}},
		"a late drain of the one before": {{register, ResultDone, true, StatusServing}, {later, ResultDone, true, StatusServing}, {drain, ResultReplaced, false, StatusServing},
			{expire, ResultReplaced, false, StatusServing}},
		"an endpoint that is not in the list": {{drain, ResultUnknown, false, ""},
			{deregister, ResultUnknown, false, ""},
			{expire, ResultUnknown, false, ""}},
		"a kind of another version": {{register, ResultDone, true, StatusServing}, {Command{Kind: "colour", Refs: refs("n", "i1")}, ResultIgnored, false,
			StatusServing}},
		"an invalid record": {{Command{Kind: CommandRegister, Record: record("", "i", 0)}, ResultIgnored, false, ""},
			{Command{Kind: CommandRegister}, ResultIgnored, false, ""}},
	} {
		s := New()
		s.Apply(Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100})
		for i, step := range steps {
			before := s.Version()
			r := s.Apply(step.c)
			got, _ := s.Get("n")
			if r.Code != step.code || r.Changed != step.changes || got.Status != step.status ||
				(r.Version != before) != step.changes {
				t.Errorf("%s, step %d: got %+v and status %q after version %d", name, i+1, r, got.Status,
					before)
			}
		}
	}
}

// An epoch's first version is above all earlier ones: due to the clock if that is right, and due to the
// earlier version if the clock was set back.
func TestFirstVersionGrowsAcrossEpochs(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first := FirstVersion(now, 0)
	if next := FirstVersion(now.Add(time.Second), 0); next < first+1<<versionsPerSecondShift {
		t.Errorf("first version %d follows %d of the previous epoch", next, first)
	}
	if next := FirstVersion(now.Add(-time.Hour), first+5); next <= first+5 {
		t.Errorf("with the clock set back, first version %d follows %d", next, first+5)
	}
	if first >= maxVersion {
		t.Errorf("version %d is not below 2^53, so float64 readers of JSON may round it", first)
	}
}

// Any changed, missing or added byte of a snapshot is detected.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	s := New()
	s.Apply(Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100})
	s.Apply(Command{Kind: CommandRegister, Record: record("n", "i1", 10)})
	s.Apply(Command{Kind: CommandRegister, Record: record("m", "i2", 10)})
	s.Apply(Command{Kind: CommandDeregister, Refs: refs("m", "i2")})
	var text bytes.Buffer
	if err := s.Snapshot().Write(&text); err != nil {
		t.Fatal(err)
	}
	encoded := text.Bytes()
	decoded, err := ReadSnapshot(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	again := New()
	if err := again.Load(decoded); err != nil || again.Version() != s.Version() || again.Len() != 1 ||
		!again.IsEnded(InstanceRef{"m", "i2"}) {
		t.Errorf("got %+v, %v", again, err)
	}
	for at := range encoded {
		corrupted := bytes.Clone(encoded)
		corrupted[at] ^= 0x20
		for what, b := range map[string][]byte{"cut": encoded[:at], "corrupted": corrupted,
			"grown": append(bytes.Clone(encoded[:at+1]), encoded[at:]...)} {
			if _, err := ReadSnapshot(bytes.NewReader(b)); !errors.Is(err, ErrDamaged) {
				t.Fatalf("%s at byte %d: %v", what, at, err)
			}
		}
	}
}

func FuzzReadSnapshot(f *testing.F) {
	s := New()
	s.Apply(Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100})
	s.Apply(Command{Kind: CommandRegister, Record: record("n", "i1", 10)})
	var text bytes.Buffer
	if err := s.Snapshot().Write(&text); err != nil {
		f.Fatal(err)
	}
	f.Add(text.Bytes())
	f.Add([]byte("roster-snapshot 1 2 00000000\n{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		i, err := ReadSnapshot(bytes.NewReader(data))
		if err != nil {
			return
		}
		if err := New().Load(i); err != nil {
			t.Fatalf("a snapshot that ReadSnapshot accepts cannot be loaded: %v", err)
		}
	})
}

func FuzzCommand(f *testing.F) {
	f.Add(Command{Kind: CommandRegister, Record: record("n", "i1", 10)}.Encode())
	f.Add([]byte(`{"kind":"drain","refs":[{"name":"n"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		s := New()
		s.Apply(Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100})
		s.Apply(c)
		i := s.Snapshot()
		if err := i.Check(); err != nil {
			t.Fatalf("command %s led to an invalid state: %v", data, err)
		}
	})
}
