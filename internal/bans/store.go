package bans

import (
	"errors"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
)

const prefix = "ban-" // of a file's name; a server's name follows, escaped as in a URL's path

// store keeps bans in a folder, one empty file a server. The folder is the only truth: whatever process changes it,
// each reads it again. A file is made or removed whole, so two processes cannot lose each other's changes. All
// errors are *StoreError.
type store struct{ dir string }

func (s store) path(nodo string) string { return filepath.Join(s.dir, prefix+url.PathEscape(nodo)) }

func (s store) add(nodo string) error {
	f, err := os.OpenFile(s.path(nodo), os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close(), s.sync())
	}
	return failed(Keep, s.path(nodo), err)
}

func (s store) remove(nodo string) error {
	err := os.Remove(s.path(nodo))
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = s.sync()
	}
	return failed(Drop, s.path(nodo), err)
}

// sync makes a change of the folder durable.
func (s store) sync() error {
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
		return nil, failed(Read, s.dir, err)
	}
	ids := map[string]bool{}
	for _, e := range entries {
		if name, ok := strings.CutPrefix(e.Name(), prefix); ok {
			if id, err := url.PathUnescape(name); err == nil {
				ids[id] = true
			}
		}
	}
	return ids, nil
}
