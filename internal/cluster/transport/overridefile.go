package transport

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/cluster/state"
)

const (
	overrideFileName     = "fleet-hands" // named by an older version; other versions read it
	overrideFileKind     = "fleet-hands"
	maxOverrideFileBytes = 4 << 20 // the 4,096 records of a Store take a quarter of it
)

// overrideFileBody is the file's content. SavedAtMs is wall clock time, because no other clock continues
// across a reboot. Setting the clock changes only how long a resumption is remembered.
type overrideFileBody struct {
	SavedAtMs int64                  `json:"at_ms"`
	Overrides []state.OverrideRecord `json:"hands"`
}

// overrideFile writes operators' overrides in a separate goroutine, because a disk that hangs must not block
// the owner goroutine.
type overrideFile struct {
	path   string
	writes chan overrideWrite
}

// overrideWrite is a request to write all overrides; done is called with the result.
type overrideWrite struct {
	overrides []state.OverrideRecord
	done      func(error)
}

func newOverrideFile(path string) *overrideFile {
	return &overrideFile{path: path, writes: make(chan overrideWrite, 8)}
}

// run executes the writes until the context ends.
func (f *overrideFile) run(ctx context.Context) {
	for {
		select {
		case w := <-f.writes:
			w.done(f.write(w.overrides))
		case <-ctx.Done():
			return
		}
	}
}

// enqueue schedules a write without blocking. It returns false if too many writes wait.
func (f *overrideFile) enqueue(w overrideWrite) bool {
	select {
	case f.writes <- w:
		return true
	default:
		return false
	}
}

func (f *overrideFile) write(overrides []state.OverrideRecord) error {
	body, err := json.Marshal(overrideFileBody{time.Now().UnixMilli(), overrides})
	if err == nil {
		err = atomicfile.WriteFile(f.path, atomicfile.Encode(overrideFileKind, body))
	}
	if err != nil {
		return &StoreError{f.path, err}
	}
	return nil
}

// read returns the stored overrides with their current ages, or none if there is no file.
func (f *overrideFile) read() ([]state.OverrideRecord, error) {
	file, err := os.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &StoreError{f.path, err}
	}
	defer file.Close()
	text, err := atomicfile.Decode(overrideFileKind, file, maxOverrideFileBytes)
	if err != nil {
		return nil, &StoreError{f.path, err}
	}
	var body overrideFileBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, &StoreError{f.path, err}
	}
	downtimeMs := max(0, time.Now().UnixMilli()-body.SavedAtMs)
	for i := range body.Overrides {
		body.Overrides[i].AgeMs += downtimeMs
	}
	return body.Overrides, nil
}
