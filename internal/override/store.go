package override

import (
	"errors"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
)

// Prefixes of file names. The name of a server or zone follows, escaped as in the path of a URL.
const (
	serverPrefix = "ban-"
	zonePrefix   = "zone-" // not read by older builds
)

// store keeps overrides in a directory, one empty file for each server or zone. Each read goes to the directory, since
// another process may change it; a file is created or removed in one step, so processes do not lose each other's changes.
// All errors are *StoreError.
type store struct {
	dir   string
	delay func() // of a slow disk, in tests; else nil
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

// sync makes a change of the directory durable.
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

// load returns the stored ids. Files with other names are ignored.
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

// idOfFile returns the id that a file stands for, if any.
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
