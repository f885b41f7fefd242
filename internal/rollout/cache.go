package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"merlinpick/internal/atomicfile"
)

const (
	cacheFile     = "config"
	cacheKind     = "proxy-config"
	maxCacheBytes = maxResponseBytes + 1<<10 // the document and the header of the file
	damagedSuffix = ".damaged"               // added to the name of a damaged file
)

// CachedConfig is the configuration that was applied when a process ended. The tags are the field names in
// the file.
type CachedConfig struct {
	Service  string          `json:"service"`
	Epoch    string          `json:"line"`
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

func (c *CachedConfig) encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: strings, and a document that was decoded from JSON
	}
	return text
}

func newCacheWriter(dir string, logger *slog.Logger) *atomicfile.Writer {
	return atomicfile.NewWriter(dir, cacheFile, cacheKind, "applied configuration", logger)
}

// LoadCached returns the configuration of a service that a previous process cached in a state directory, or
// nil if there is none. A damaged file is renamed, so that the next start does not read it; the error then
// wraps atomicfile.ErrDamaged.
func LoadCached(dir, service string) (*CachedConfig, error) {
	path := filepath.Join(dir, cacheFile)
	cached, err := readCache(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if errors.Is(err, atomicfile.ErrDamaged) {
		renamed := path + damagedSuffix
		err = errors.Join(
			fmt.Errorf("cached configuration %s: %w; the file is renamed to %s",
				path, err, filepath.Base(renamed)),
			os.Rename(path, renamed))
	}
	if err != nil {
		return nil, err
	}
	if cached.Service != service {
		return nil, nil
	}
	return cached, nil
}

func readCache(path string) (*CachedConfig, error) {
	body, err := atomicfile.ReadFile(path, cacheKind, maxCacheBytes)
	if err != nil {
		return nil, err
	}
	var cached CachedConfig
	if err := json.Unmarshal(body, &cached); err != nil {
		return nil, fmt.Errorf("%w: %w", atomicfile.ErrDamaged, err)
	}
	if cached.Epoch == "" || cached.Version <= 0 || len(cached.Document) == 0 {
		return nil, fmt.Errorf("%w: epoch, version or document is missing", atomicfile.ErrDamaged)
	}
	return &cached, nil
}
