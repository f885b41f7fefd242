package atomicfile

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// A text whose write failed is written once the disk works again, even without a newer text.
func TestFailedWriteIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	synctest.Test(t, func(t *testing.T) {
		if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file in place of the directory
			t.Fatal(err)
		}
		writer := NewWriter(dir, "list", "kind", "the list", slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		wait := writer.Run(ctx)
		writer.Put(func() []byte { return []byte("newest") })
		time.Sleep(5 * time.Second)
		if err := os.Remove(dir); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if body, err := ReadFile(filepath.Join(dir, "list"), "kind", 100); err != nil || string(body) != "newest" {
			t.Errorf("file contains %q, %v", body, err)
		}
		stop()
		wait()
	})
}

// A newer text replaces one whose write failed.
func TestLatestTextIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	synctest.Test(t, func(t *testing.T) {
		if err := os.WriteFile(dir, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		writer := NewWriter(dir, "list", "kind", "the list", slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		wait := writer.Run(ctx)
		writer.Put(func() []byte { return []byte("older") })
		time.Sleep(1500 * time.Millisecond)
		writer.Put(func() []byte { return []byte("newer") })
		if err := os.Remove(dir); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		stop()
		wait()
		if body, err := ReadFile(filepath.Join(dir, "list"), "kind", 100); err != nil || string(body) != "newer" {
			t.Errorf("file contains %q, %v", body, err)
		}
	})
}

// A process that is killed between the write of a file and its rename leaves a temporary file. The next start
// removes it, and no other file.
func TestTemporaryFilesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"list.123.new", "list.9.new", "list", "other.1.new"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	wait := NewWriter(dir, "list", "kind", "the list", slog.New(slog.DiscardHandler)).Run(ctx)
	stop()
	wait()
	remaining, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(remaining) != 2 ||
		filepath.Base(remaining[0]) != "list" || filepath.Base(remaining[1]) != "other.1.new" {
		t.Errorf("remaining files %v, %v", remaining, err)
	}
}
