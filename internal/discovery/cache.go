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
	maxCacheBytes = maxListBytes + 1<<10 // the list and the header of the file
)

func newCacheWriter(dir string, logger *slog.Logger) *atomicfile.Writer {
	return atomicfile.NewWriter(dir, cacheFile, cacheKind, "endpoint list", logger)
}

// LoadCachedList returns the list that a previous process cached in a state directory, or nil if there is
// none. A damaged file is left in place; the error then wraps atomicfile.ErrDamaged.
func LoadCachedList(dir string) (*List, error) {
	path := filepath.Join(dir, cacheFile)
	body, err := atomicfile.ReadFile(path, cacheKind, maxCacheBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("cached endpoint list %s: %w", path, err)
	}
	list, err := Parse(body)
	if err != nil {
		return nil, fmt.Errorf("cached endpoint list %s: %w: %w", path, atomicfile.ErrDamaged, err)
	}
	return list, nil
}
