package transport

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/cluster/state"
)

var record = flag.Bool("golden.record", false, "write golden files that do not exist yet")

// TestOverrideFileMatchesGoldenFile checks the name and the format of the file of operators' suspensions: a
// file that an earlier version wrote can be read, and the same records are written as the same bytes except
// for the time of writing.
func TestOverrideFileMatchesGoldenFile(t *testing.T) {
	const name, writtenAt = "fleet-hands", 1_790_000_000_000
	records := []state.OverrideRecord{{Subject: "server-1", Suspended: true, Version: 7, Actor: "proxy-a", AgeMs: 1500},
		{Subject: "server-2", Version: 9, Actor: "proxy-b", AgeMs: 0}}
	path := filepath.Join("testdata", name)
	body, err := json.Marshal(overrideFileBody{writtenAt, records})
	if err != nil {
		t.Fatal(err)
	}
	data := atomicfile.Encode(overrideFileKind, body)
	if _, err := os.Stat(path); os.IsNotExist(err) && *record {
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(data, want) || overrideFileName != name {
		t.Errorf("the file %s differs from the golden file (%v)\ngot  %s\nwant %s", overrideFileName, err,
			data, want)
	}
	before := time.Now().UnixMilli() - writtenAt
	got, err := newOverrideFile(path).read()
	after := time.Now().UnixMilli() - writtenAt
	if err != nil || len(got) != len(records) {
		t.Fatalf("reading the golden file gives %v, error %v", got, err)
	}
	for i := range got {
		if age := got[i].AgeMs - records[i].AgeMs; age < max(0, before) || age > max(0, after) {
			t.Errorf("%s: the age grew by %d ms, want %d to %d", got[i].Subject, age, before, after)
		}
		got[i].AgeMs = records[i].AgeMs
	}
	if !slices.Equal(got, records) {
		t.Errorf("read %+v, want %+v", got, records)
	}
}
