package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// A configuration that an earlier version of the program cached is read correctly, and is written as the same
// bytes.
func TestGoldenCachedConfig(t *testing.T) {
	want := &CachedConfig{Service: "tarifas", Epoch: "8f3a", Version: 4711, Document: json.RawMessage(`{"settings":{"x":[1,"ü"]}}`)}
	got, err := LoadCached(filepath.Join("testdata", "cached"), "tarifas")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	dir := t.TempDir()
	writer := newCacheWriter(dir, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	wait := writer.Run(ctx)
	writer.Put(want.encode)
	stop()
	wait()
	before, err := os.ReadFile(filepath.Join("testdata", "cached", "config"))
	if err != nil {
		t.Fatal(err)
	}
	if now, err := os.ReadFile(filepath.Join(dir, "config")); err != nil || !bytes.Equal(now, before) {
		t.Errorf("wrote %q, %v, want %q", now, err, before)
	}
}
