package atomicfile

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

// keepWait is between two writes, at least.
const writeInterval = time.Second

// Keeper writes the newest of something down, in a goroutine of its own, and again while the disk does not take it. A disk
// that takes none, or is slow, is said once and harms nothing else: the file is of use to the next start only.
type Writer struct {
	dir, file, kind, description string
	log                          *slog.Logger
	pending                      chan func() []byte // the newest only
	failing                      bool
}

// NewKeeper keeps a sealed text of a kind in a folder's file; what names it in the log.
func NewWriter(dir, file, kind, what string, log *slog.Logger) *Writer {
	return &Writer{dir: dir, file: file, kind: kind, description: what, log: log, pending: make(chan func() []byte, 1)}
}

// Put has a text written soon; it is made then. Only one goroutine calls it.
func (k *Writer) Put(text func() []byte) {
	select {
	case <-k.pending:
	default:
	}
	k.pending <- text
}

// Run writes until the context ends; what it gives waits for its end.
func (k *Writer) Run(ctx context.Context) (ended func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := removeLeftovers(filepath.Join(k.dir, k.file)); err != nil {
			k.log.Warn(k.description+": leftovers of a former process stay", "dir", k.dir, "error", err)
		}
		var unwritten func() []byte // what the disk has not taken
		for {
			var again <-chan time.Time
			if unwritten != nil {
				again = time.After(writeInterval)
			}
			select {
			case unwritten = <-k.pending:
			case <-again:
			case <-ctx.Done():
				select {
				case unwritten = <-k.pending:
				default:
				}
				if unwritten != nil {
					k.write(unwritten())
				}
				return
			}
			if k.write(unwritten()) {
				unwritten = nil
			}
			select {
			case <-time.After(writeInterval):
			case <-ctx.Done():
			}
		}
	}()
	return func() { <-done }
}

// write tells whether the disk has taken a text.
func (k *Writer) write(text []byte) bool {
	err := os.MkdirAll(k.dir, 0o700)
	if err == nil {
		err = WriteFile(filepath.Join(k.dir, k.file), Seal(k.kind, text))
	}
	switch {
	case err != nil && !k.failing:
		k.log.Error(k.description+" cannot be kept: a start would have an older one", "dir", k.dir, "error", err)
	case err == nil && k.failing:
		k.log.Info(k.description+" is kept again", "dir", k.dir)
	}
	k.failing = err != nil
	return err == nil
}

// ReadFile reads a sealed file of a kind, of at most so many bytes.
func ReadFile(path, kind string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Unseal(kind, f, most)
}
