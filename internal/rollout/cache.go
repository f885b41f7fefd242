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
	maxCacheBytes = maxResponseBytes + 1<<10
	damagedSuffix = ".damaged" // after the name of a file that was set aside
)

// Kept is what was in force when a process ended.
type CachedConfig struct {
	Service  string          `json:"service"`
	Epoch    string          `json:"line"`
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

func (k *CachedConfig) encode() []byte {
	text, err := json.Marshal(k)
	if err != nil {
		panic(err) // words, and a document that was read as JSON
	}
	return text
}

func newCacheWriter(dir string, log *slog.Logger) *atomicfile.Writer {
	return atomicfile.NewWriter(dir, cacheFile, cacheKind, "rollout: the configuration in force", log)
}

// Read is what was kept of a service in a folder; nil if nothing was. A damaged file is set aside and is an error.
func LoadCached(dir, service string) (*CachedConfig, error) {
	path := filepath.Join(dir, cacheFile)
	body, err := atomicfile.ReadFile(path, cacheKind, maxCacheBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var k CachedConfig
	if err == nil {
		if bad := json.Unmarshal(body, &k); bad != nil || k.Epoch == "" || k.Version <= 0 || len(k.Document) == 0 {
			err = fmt.Errorf("%w: no configuration: %v", atomicfile.ErrDamaged, bad)
		}
	}
	if errors.Is(err, atomicfile.ErrDamaged) {
		err = errors.Join(fmt.Errorf("%s: %w; it is set aside as %s", path, err, filepath.Base(path)+damagedSuffix), os.Rename(path, path+damagedSuffix))
	}
	if err != nil {
		return nil, err
	}
	if k.Service != service {
		return nil, nil
	}
	return &k, nil
}
