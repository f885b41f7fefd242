package override

import (
	"errors"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
)

// Prefixes of file names. The name of the server or zone follows, escaped as a URL path segment.
const (
	serverPrefix = "ban-"
	zonePrefix   = "zone-" // ignored by older builds
)

// store keeps overrides in a directory, with one empty file for each server or zone. Every read goes to the
// directory, since another process may change it. Files are created and removed atomically, so processes do
// not lose each other's changes. All errors are *StoreError.
type store struct {
	dir   string
	delay func() // simulates a slow disk in tests; otherwise nil
}

func (s store) path(id string) string {
	if zone, ok := zoneOfKey(id); ok {
		return filepath.Join(s.dir, zonePrefix+url.PathEscape(zone))
	}
	return filepath.Join(s.dir, serverPrefix+url.PathEscape(id))
}

func (s store) add(id string) error {
	f, err := os.OpenFile(s.path(id), os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close(), s.sync())
	}
	return storeError(StoreOpAdd, s.path(id), err)
}

func (s store) remove(id string) error {
	err := os.Remove(s.path(id))
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = s.sync()
	}
	return storeError(StoreOpRemove, s.path(id), err)
}

// sync makes changes of the directory durable.
func (s store) sync() error {
	if s.delay != nil {
		s.delay()
	}
	dir, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s store) has(id string) bool {
	_, err := os.Stat(s.path(id))
	return err == nil
}

// load returns the stored IDs. Files with other names are ignored.
func (s store) load() (map[string]bool, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, storeError(StoreOpRead, s.dir, err)
	}
	ids := map[string]bool{}
	for _, entry := range entries {
		if id, ok := idOfFile(entry.Name()); ok {
			ids[id] = true
		}
	}
	return ids, nil
}

// idOfFile returns the ID that a file name stands for, if any.
func idOfFile(name string) (id string, ok bool) {
	if escaped, found := strings.CutPrefix(name, serverPrefix); found {
		id, err := url.PathUnescape(escaped)
		_, zone := zoneOfKey(id)
		return id, err == nil && !zone
	}
	if escaped, found := strings.CutPrefix(name, zonePrefix); found {
		zone, err := url.PathUnescape(escaped)
		return ZoneKey(zone), err == nil
	}
	return "", false
}
