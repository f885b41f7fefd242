package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"fernlanding/internal/durable"
)

const (
	keptFile = "config"
	keptKind = "proxy-config"
	keptMost = answer + 1<<10
	aside    = ".damaged" // after the name of a file that was set aside
)

// Kept is what was in force when a process ended.
type Kept struct {
	Service  string          `json:"service"`
	Line     string          `json:"line"`
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

func (k *Kept) encode() []byte {
	text, err := json.Marshal(k)
	if err != nil {
		panic(err) // words, and a document that was read as JSON
	}
	return text
}

func newKeeper(dir string, log *slog.Logger) *durable.Keeper {
	return durable.NewKeeper(dir, keptFile, keptKind, "rollout: the configuration in force", log)
}

// Read is what was kept of a service in a folder; nil if nothing was. A damaged file is set aside and is an error.
func Read(dir, service string) (*Kept, error) {
	path := filepath.Join(dir, keptFile)
	body, err := durable.ReadFile(path, keptKind, keptMost)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var k Kept
	if err == nil {
		if bad := json.Unmarshal(body, &k); bad != nil || k.Line == "" || k.Version <= 0 || len(k.Document) == 0 {
			err = fmt.Errorf("%w: no configuration: %v", durable.ErrDamaged, bad)
		}
	}
	if errors.Is(err, durable.ErrDamaged) {
		err = errors.Join(fmt.Errorf("%s: %w; it is set aside as %s", path, err, filepath.Base(path)+aside), os.Rename(path, path+aside))
	}
	if err != nil {
		return nil, err
	}
	if k.Service != service {
		return nil, nil
	}
	return &k, nil
}
