package override

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// A directory that an earlier version of the program wrote is read correctly, and is written with the same
// file names.
func TestGoldenFolder(t *testing.T) {
	ids := []string{"a", "a b", "a/b", "ü%2F", "10.0.0.1:80", ZoneKey("north"), ZoneKey("a/b ü")}
	storedDir := filepath.Join("testdata", "stored")
	overrides, err := Open(Config{Dir: storedDir})
	if err != nil {
		t.Fatal(err)
	}
	if got := slices.Sorted(maps.Keys(overrides.Current())); !slices.Equal(got, slices.Sorted(slices.Values(ids))) {
		t.Errorf("read %q", got)
	}
	store := store{dir: t.TempDir()}
	for _, id := range ids {
		mustSucceed(t, store.add(id))
	}
	files := func(dir string) (names []string) {
		entries, err := os.ReadDir(dir)
		mustSucceed(t, err)
		for _, e := range entries {
			info, err := e.Info()
			mustSucceed(t, err)
			if info.Size() != 0 {
				t.Errorf("%s has %d bytes", e.Name(), info.Size())
			}
			names = append(names, e.Name())
		}
		return names
	}
	if now, before := files(store.dir), files(storedDir); !slices.Equal(now, before) {
		t.Errorf("wrote files %q, want %q", now, before)
	}
}
