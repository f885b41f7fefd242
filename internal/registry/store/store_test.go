package store

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

var discardLogger = slog.New(slog.DiscardHandler)

const entryCount = 60

// createFilledDir creates a member's directory with a term and log entries.
func createFilledDir(t *testing.T) (dir string) {
	t.Helper()
	dir = t.TempDir()
	s, empty, err := Open(dir, "r1", 0, discardLogger)
	if err != nil || !empty {
		t.Fatal(empty, err)
	}
	if err := s.SetUint64([]byte("CurrentTerm"), 7); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(entryCount) {
		if err := s.StoreLog(&raft.Log{Index: i + 1, Term: 7, Type: raft.LogCommand, Data: fmt.Appendf(nil, "entry %d %0200d", i+1, i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// checkComplete returns an error if a store lacks data that createFilledDir has written.
func checkComplete(s *Store) error {
	if term, err := s.GetUint64([]byte("CurrentTerm")); err != nil || term != 7 {
		return fmt.Errorf("term %d, %v", term, err)
	}
	for i := range uint64(entryCount) {
		var l raft.Log
		if err := s.GetLog(i+1, &l); err != nil {
			return err
		}
		if want := fmt.Sprintf("entry %d %0200d", i+1, i); string(l.Data) != want || l.Term != 7 || l.Index != i+1 {
			return fmt.Errorf("entry %d is %+v", i+1, l)
		}
	}
	return nil
}

// openDamaged damages a copy of a directory's log and opens it. The store has to be complete, or has to be
// rejected with an unchanged file. It reports whether the store was rejected.
func openDamaged(t *testing.T, dir, what string,
	damage func(path string, text []byte) []byte) (rejected bool) {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(copied, logFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = damage(path, text)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(copied, "r1", 0, discardLogger)
	if err == nil {
		defer s.Close()
		if err := checkComplete(s); err != nil {
			t.Errorf("%s: opened without an error, but %v", what, err)
		}
		return false
	}
	if !errors.Is(err, ErrDamaged) {
		t.Errorf("%s: %v", what, err)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, text) {
		t.Errorf("%s: the file was changed (%v)", what, err)
	}
	return true
}

// A log that was truncated, or has a wrong bit in a record, is rejected and not changed.
func TestDamagedLogIsRejected(t *testing.T) {
	dir := createFilledDir(t)
	info, err := os.Stat(filepath.Join(dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	size := int(info.Size())
	r := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	for range 60 {
		at := r.IntN(size)
		if openDamaged(t, dir, fmt.Sprintf("cut at %d of %d", at, size), func(_ string, b []byte) []byte { return b[:at] }) {
			rejected++
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 60 truncated logs were rejected, want at least 40", rejected)
	}
	for range 60 {
		openDamaged(t, dir, "a bit", func(_ string, b []byte) []byte {
			b[r.IntN(len(b))] ^= 1 << r.IntN(8)
			return b
		})
	}
	if !openDamaged(t, dir, "an entry", func(_ string, b []byte) []byte {
		return bytes.ReplaceAll(b, []byte(`"t":7`), []byte(`"t":8`))
	}) {
		t.Error("a log with a changed entry was accepted")
	}
}

func TestOpen(t *testing.T) {
	dir := createFilledDir(t)
	for name, c := range map[string]struct {
		prepare func(dir string) error
		member  string
		after   uint64 // the snapshot's index
		want    error
	}{
		"intact":           {nil, "r1", 0, nil},
		"another member's": {nil, "r2", 0, ErrWrongMember},
		"the log is missing": {func(d string) error { return os.Remove(filepath.Join(d, logFile)) },
			"r1", 0, ErrDamaged},
		"the log is empty": {func(d string) error { return os.Truncate(filepath.Join(d, logFile), 0) },
			"r1", 0, ErrDamaged},
		"no identity file": {func(d string) error { return os.Remove(filepath.Join(d, identityFile)) },
			"r1", 0, ErrDamaged},
		"damaged identity": {func(d string) error { return os.Truncate(filepath.Join(d, identityFile), 9) },
			"r1", 0, ErrDamaged},
		"a snapshot reaches into it": {nil, "r1", entryCount - 3, nil},
		"a gap before it":            {func(d string) error { return deleteEntries(d, 1, 5) }, "r1", 0, ErrDamaged},
		"a gap that a snapshot has":  {func(d string) error { return deleteEntries(d, 1, 5) }, "r1", 9, nil},
		"a gap in it":                {func(d string) error { return deleteEntries(d, 20, 21) }, "r1", 9, ErrDamaged},
	} {
		copied := t.TempDir()
		if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		if c.prepare != nil {
			if err := c.prepare(copied); err != nil {
				t.Fatal(err)
			}
		}
		s, empty, err := Open(copied, c.member, c.after, discardLogger)
		if !errors.Is(err, c.want) || empty {
			t.Errorf("%s: empty is %v, %v", name, empty, err)
		}
		if err == nil {
			s.Close()
		}
	}
}

// deleteEntries deletes log entries, which raft does not do in this order.
func deleteEntries(dir string, first, last uint64) error {
	s, _, err := Open(dir, "r1", 0, discardLogger)
	if err != nil {
		return err
	}
	return errors.Join(s.DeleteRange(first, last), s.Close())
}

// The log's indexes and errors are those that raft expects.
func TestLogStore(t *testing.T) {
	dir := createFilledDir(t)
	s, _, err := Open(dir, "r1", 0, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.DeleteRange(1, 10); err != nil {
		t.Fatal(err)
	}
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	var l raft.Log
	if first != 11 || last != entryCount || !errors.Is(s.GetLog(10, &l), raft.ErrLogNotFound) {
		t.Errorf("after DeleteRange(1, 10) the log has entries %d to %d, or entry 10", first, last)
	}
	if _, err := s.GetUint64([]byte("no such")); err == nil || err.Error() != "not found" {
		t.Errorf("a key that was never set: %v", err)
	}
	if _, _, err := Open(dir, "r1", 0, discardLogger); !errors.Is(err, ErrInUse) ||
		errors.Is(err, ErrDamaged) {
		t.Errorf("opened twice: %v", err)
	}
}
