package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// goldenState is the hash of the results, versions, changes and snapshots of a replayed log, over their
// encodings on the wire. A change that only moves or renames code does not change it.
const goldenState = "ec863e87c09f2ee7"

const commandCount = 48_000 // beyond MaxRetainedChanges and MaxEndedInstances

// randomCommand returns a command of any kind. It uses few names and services, so that most commands concern
// an existing one.
func randomCommand(r *rand.Rand, at int, s *State) Command {
	name := func() string { return fmt.Sprintf("n%d", r.IntN(40)) }
	instance := func() string { return fmt.Sprintf("i%d", max(0, at/100-r.IntN(3))) }
	ref := func() InstanceRef {
		n := name()
		if current, ok := s.Get(n); ok && r.IntN(10) > 0 {
			return InstanceRef{n, current.Instance}
		}
		return InstanceRef{n, instance()}
	}
	switch k := r.IntN(100); {
	case k < 40:
		c := Command{Kind: CommandRegister, Record: record(name(), instance(), int64(at/100))}
		c.Record.Zone, c.Record.Type = string(rune('a'+r.IntN(3))), "web"
		c.Record.Address = fmt.Sprintf("10.0.0.%d:80", r.IntN(4))
		c.Record.Cell, c.Record.Weight = r.IntN(3), float64(1+r.IntN(5))/2
		c.Record.LeaseMs = int64(1000 * r.IntN(700)) // some are out of bounds
		return c
	case k < 50:
		return Command{Kind: CommandDrain, Refs: []InstanceRef{ref()}}
	case k < 75:
		return Command{Kind: CommandDeregister, Refs: []InstanceRef{ref()}}
	case k < 85:
		return Command{Kind: CommandExpire, Refs: []InstanceRef{ref(), ref(), ref()}[r.IntN(3):]}
	case k < 97:
		service := fmt.Sprintf("s%d", r.IntN(5))
		current, _ := s.Configuration(service)
		text := fmt.Sprintf(`{"limits":{"calls":%d}}`, r.IntN(50))
		if r.IntN(20) == 0 {
			text = `{ "not": "canonical" }`
		}
		return configureCommand(service, current.Version-int64(r.IntN(3)/2), text)
	case k < 98:
		return Command{Kind: CommandBegin, Epoch: fmt.Sprintf("l%d", at), FirstVersion: int64(at)}
	case k < 99:
		return Command{Kind: "of a later version", Refs: []InstanceRef{ref()}}
	}
	return Command{Kind: CommandRegister}
}

// hashState adds the state and its retained changes to a hash.
func hashState(t *testing.T, to hash.Hash, s *State) {
	t.Helper()
	snapshot, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(to, "state %s %d %d %d %d %s\n", s.Epoch(), s.Version(), s.Len(), s.ConfigurationsLen(),
		s.ConfigRevision(), snapshot)
	for back := int64(3800); back < 5400; back += 25 {
		_, retained := s.Changes(s.Version() - back)
		fmt.Fprint(to, retained)
	}
	for _, from := range []int64{s.Version() + 1, s.Version(), s.Version() - 10, s.Version() - 4000, s.Version() - 6000} {
		changes, retained := s.Changes(from)
		fmt.Fprintln(to, "changes", from, retained)
		for _, c := range changes {
			entries, err := json.Marshal(c.Endpoints)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(to, "%d %s\n", c.Version, entries)
		}
	}
}

// stateHash applies a log of random commands, each encoded and decoded as on a member, and returns the hash
// of all results. The function change may modify the commands.
func stateHash(t *testing.T, change func(at int, c *Command)) string {
	t.Helper()
	sum := sha256.New()
	r := rand.New(rand.NewPCG(37, 1))
	s := New()
	for at := range commandCount {
		c := randomCommand(r, at, s)
		if at == 20 {
			c = Command{Kind: CommandBegin, Epoch: "l", FirstVersion: 100}
		}
		change(at, &c)
		text := c.Encode()
		c, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		result := s.Apply(c)
		fmt.Fprintf(sum, "%d %s %s %d %t\n", at, text, result.Code, result.Version, result.Changed)
		if at%1000 == 999 {
			hashState(t, sum, s)
		}
		if at == commandCount/2 { // as on a member that loads a snapshot
			var text bytes.Buffer
			if err := s.Snapshot().Write(&text); err != nil {
				t.Fatal(err)
			}
			i, err := ReadSnapshot(&text)
			if err != nil {
				t.Fatal(err)
			}
			i = i.Rebase("l2", FirstVersion(time.Unix(1_700_000_000, 0), i.NewestVersion()), []Configuration{{Service: "other", Version: 3, Document: []byte(`{}`)}})
			s = New()
			if err := s.Load(i); err != nil {
				t.Fatal(err)
			}
		}
	}
	return fmt.Sprintf("%x", sum.Sum(nil)[:8])
}

func TestPlayedLogStateMatchesGolden(t *testing.T) {
	if got := stateHash(t, func(int, *Command) {}); got != goldenState {
		t.Errorf("the replayed log has the hash %s, want %s", got, goldenState)
	}
}

func TestStateHashNoticesOneChangedCommand(t *testing.T) {
	got := stateHash(t, func(at int, c *Command) {
		if at > 5000 && at < 5020 && c.Kind == CommandRegister && c.Record != nil {
			c.Record.Weight++
		}
	})
	if got == goldenState {
		t.Error("the hash did not change with a command")
	}
}

// golden compares bytes with those of a file in testdata that an earlier version wrote.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nnot\n%s", path, got, want)
	}
}

func goldenSnapshots() map[string]Snapshot {
	plain := Snapshot{Epoch: "5f0e", Version: 1 << 40, EndedInstances: []InstanceRef{{"gone", "i0"}}}
	for _, name := range []string{"n1", "n2"} {
		r := *record(name, "i1", 1_700_000_000_000)
		r.Zone, r.Type, r.Cell, r.Weight = "b", "web<&>", 2, 0.5
		plain.Records = append(plain.Records, r)
	}
	plain.Records[1].Status = StatusDraining
	withConfigs := plain
	withConfigs.Configs = []Configuration{
		{Service: "shop", Version: 7, After: -1, Document: json.RawMessage(`{"a":1}`)},
		{Service: "site", Version: 9, After: 8, Document: json.RawMessage(`{"a":2}`),
			Previous: &PreviousDocument{Version: 8, Document: json.RawMessage(`{"a":1}`)}},
	}
	return map[string]Snapshot{"snapshot.golden": plain, "snapshot-configs.golden": withConfigs,
		"snapshot-empty.golden": {}}
}

func TestSnapshotFilesMatchGolden(t *testing.T) {
	for name, snapshot := range goldenSnapshots() {
		var text bytes.Buffer
		if err := snapshot.Write(&text); err != nil {
			t.Fatal(err)
		}
		golden(t, name, text.Bytes())
		f, err := os.Open(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { f.Close() })
		read, err := ReadSnapshot(f)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, _ := json.Marshal(read)
		want, _ := json.Marshal(snapshot)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: read as %s, not %s", name, got, want)
		}
	}
}

func TestCommandsMatchGolden(t *testing.T) {
	r := *record("n1", "i1", 1_700_000_000_000)
	r.Zone, r.Type, r.Cell, r.Weight = "b", "web", 2, 0.5
	var text bytes.Buffer
	for _, c := range []Command{
		{Kind: CommandBegin, Epoch: "5f0e", FirstVersion: 1 << 40},
		{Kind: CommandRegister, Record: &r},
		{Kind: CommandDrain, Refs: refs("n1", "i1")},
		{Kind: CommandDeregister, Refs: refs("n1", "i1")},
		{Kind: CommandExpire, Refs: []InstanceRef{{"n1", "i1"}, {"n2", "i2"}}},
		configureCommand("shop", 7, `{"a":1}`),
	} {
		fmt.Fprintf(&text, "%s\n", c.Encode())
		again, err := Decode(c.Encode())
		if err != nil || !bytes.Equal(again.Encode(), c.Encode()) {
			t.Errorf("%s was decoded as %s: %v", c.Encode(), again.Encode(), err)
		}
	}
	golden(t, "commands.golden", text.Bytes())
}
