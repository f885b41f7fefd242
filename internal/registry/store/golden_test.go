package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// goldenEntry returns log entry i of the directory in testdata.
func goldenEntry(i uint64) raft.Log {
	l := raft.Log{Index: i, Term: 1 + i/5, Type: raft.LogCommand, Data: fmt.Appendf(nil, "command %d", i)}
	switch i {
	case 1:
		l.Type = raft.LogConfiguration
	case 6:
		l.Type, l.Data = raft.LogNoop, nil
	case 7:
		l.Extensions = []byte("extension")
	case 8:
		l.AppendedAt = time.Unix(1_700_000_000, 123).UTC()
	}
	return l
}

const goldenEntryCount = 12

// A directory that an earlier version wrote is read completely, and the identity file has the same encoding
// as then.
func TestDirectoryOfEarlierVersionIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/member")); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(filepath.Join(dir, "log.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(dir, "identity.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got := encodeIdentity("r1"); !bytes.Equal(got, want) {
		t.Errorf("identity is %q, not %q", got, want)
	}
	s, empty, err := Open(dir, "r1", 0, discardLogger)
	if err != nil || empty {
		t.Fatal(empty, err)
	}
	t.Cleanup(func() { s.Close() })
	if term, err := s.GetUint64([]byte("CurrentTerm")); err != nil || term != 7 {
		t.Errorf("term %d, %v", term, err)
	}
	for key, want := range map[string]string{"LastVoteCand": "r2", "Abstains": "\x01"} {
		if got, err := s.Get([]byte(key)); err != nil || string(got) != want {
			t.Errorf("%s is %q, not %q: %v", key, got, want, err)
		}
	}
	first, err1 := s.FirstIndex()
	last, err2 := s.LastIndex()
	if first != 1 || last != goldenEntryCount || err1 != nil || err2 != nil {
		t.Errorf("entries %d to %d: %v, %v", first, last, err1, err2)
	}
	for i := range uint64(goldenEntryCount) {
		var got raft.Log
		if err := s.GetLog(i+1, &got); err != nil {
			t.Fatal(err)
		}
		want := goldenEntry(i + 1)
		if got.Index != want.Index || got.Term != want.Term || got.Type != want.Type || !bytes.Equal(got.Data, want.Data) ||
			!bytes.Equal(got.Extensions, want.Extensions) || !got.AppendedAt.Equal(want.AppendedAt) {
			t.Errorf("entry %d is %+v, not %+v", i+1, got, want)
		}
	}
}

// The encoding of a record in the file is byte for byte that of earlier versions.
func TestSealedRecordMatchesGolden(t *testing.T) {
	const want = `398da6ff{"t":1}`
	sealed := seal(indexKey(1), []byte(`{"t":1}`))
	if got := fmt.Sprintf("%x%s", sealed[:checksumBytes], sealed[checksumBytes:]); got != want {
		t.Errorf("got %s", got)
	}
}
