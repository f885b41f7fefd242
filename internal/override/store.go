package override

import (
	"errors"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
)

// What a file's name begins with; a server's or a zone's name follows, escaped as in a URL's path.
const (
	serverPrefix = "ban-"
	zonePrefix   = "zone-" // former versions do not read these
)

// store keeps bans in a folder, one empty file a server or zone. The folder is the only truth: whatever process changes it,
// each reads it again. A file is made or removed whole, so two processes cannot lose each other's changes. All
// errors are *StoreError.
type store struct {
	dir   string
	delay func() // a disk that takes its time, in tests; else nil
}

func (s store) path(id string) string {
	if zone, ok := zoneOfKey(id); ok {
		return filepath.Join(s.dir, zonePrefix+url.PathEscape(zone))
	}
	return filepath.Join(s.dir, serverPrefix+url.PathEscape(id))
}

func (s store) add(nodo string) error {
	f, err := os.OpenFile(s.path(nodo), os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close(), s.sync())
	}
	return storeError(StoreOpAdd, s.path(nodo), err)
}

func (s store) remove(nodo string) error {
	err := os.Remove(s.path(nodo))
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = s.sync()
	}
	return storeError(StoreOpRemove, s.path(nodo), err)
}

// sync makes a change of the folder durable.
func (s store) sync() error {
	if s.delay != nil {
		s.delay()
	}
	d, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (s store) has(nodo string) bool {
	_, err := os.Stat(s.path(nodo))
	return err == nil
}

func (s store) load() (map[string]bool, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, storeError(StoreOpRead, s.dir, err)
	}
	ids := map[string]bool{}
	for _, e := range entries {
		if name, ok := strings.CutPrefix(e.Name(), serverPrefix); ok {
			id, err := url.PathUnescape(name)
			if _, zone := zoneOfKey(id); err == nil && !zone {
				ids[id] = true
			}
		} else if name, ok := strings.CutPrefix(e.Name(), zonePrefix); ok {
			if zone, err := url.PathUnescape(name); err == nil {
				ids[ZoneKey(zone)] = true
			}
		}
	}
	return ids, nil
}
