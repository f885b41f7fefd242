package discovery

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"

	"merlinpick/internal/atomicfile"
)

const (
	cacheFile     = "list"
	cacheKind     = "proxy-list"
	maxCacheBytes = maxListBytes + 1<<10
)

func newCacheWriter(dir string, log *slog.Logger) *atomicfile.Writer {
	return atomicfile.NewWriter(dir, cacheFile, cacheKind, "discovery: the last list", log)
}

// Kept is the list that was kept in a folder; nil if none was. One that is damaged is an error, and left as it is.
func LoadCachedList(dir string) (*List, error) {
	path := filepath.Join(dir, cacheFile)
	body, err := atomicfile.ReadFile(path, cacheKind, maxCacheBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	l, err := Parse(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, atomicfile.ErrDamaged, err)
	}
	return l, nil
}
