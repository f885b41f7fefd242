package discovery

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"fernlanding/internal/durable"
)

const (
	keptFile = "list"
	keptKind = "proxy-list"
	keptMost = maxList + 1<<10
	keepWait = time.Second // between two writes, at least
)

// keeper writes the last list down. A disk that takes none, or is slow, is said once and harms nothing else: the file
// is of use to the next start only.
type keeper struct {
	dir  string
	log  *slog.Logger
	next chan *List // the newest only
	bad  bool
}

func newKeeper(dir string, log *slog.Logger) *keeper {
	return &keeper{dir: dir, log: log, next: make(chan *List, 1)}
}

// put has a list written soon. Only Run's goroutine calls it.
func (k *keeper) put(l *List) {
	select {
	case <-k.next:
	default:
	}
	k.next <- l
}

// run writes until the context ends; what it gives waits for its end.
func (k *keeper) run(ctx context.Context) (ended func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case l := <-k.next:
				k.write(l)
			case <-ctx.Done():
				select {
				case l := <-k.next:
					k.write(l)
				default:
				}
				return
			}
			select {
			case <-time.After(keepWait):
			case <-ctx.Done():
			}
		}
	}()
	return func() { <-done }
}

func (k *keeper) write(l *List) {
	err := os.MkdirAll(k.dir, 0o700)
	if err == nil {
		err = durable.WriteFile(filepath.Join(k.dir, keptFile), durable.Seal(keptKind, l.encode()))
	}
	switch {
	case err != nil && !k.bad:
		k.log.Error("discovery: the last list cannot be kept: a start would have an older one", "dir", k.dir, "error", err)
	case err == nil && k.bad:
		k.log.Info("discovery: the last list is kept again", "dir", k.dir)
	}
	k.bad = err != nil
}

// Kept is the list that was kept in a folder; nil if none was. One that is damaged is an error, and left as it is.
func Kept(dir string) (*List, error) {
	path := filepath.Join(dir, keptFile)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	body, err := durable.Unseal(keptKind, f, keptMost)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	l, err := Parse(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, durable.ErrDamaged, err)
	}
	return l, nil
}
