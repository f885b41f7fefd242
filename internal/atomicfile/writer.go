package atomicfile

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

const writeInterval = time.Second // between two writes, at least

// Writer keeps the latest version of a text in a sealed file, from a goroutine of its own. A disk that fails or is slow is
// logged once, the write is repeated, and the caller is not affected: only the next start reads the file.
type Writer struct {
	dir, file, kind string
	description     string // of the text, in log lines
	log             *slog.Logger
	pending         chan func() []byte // the latest only
	failing         bool               // the last write failed
}

// NewWriter returns a writer of a file in a directory. The kind is that of Seal; the description names the text in the
// log. Run has it write.
func NewWriter(dir, file, kind, description string, logger *slog.Logger) *Writer {
	return &Writer{dir: dir, file: file, kind: kind, description: description, log: logger, pending: make(chan func() []byte, 1)}
}

// Put has a text written soon, in place of one that is not written yet. The text is requested when it is written. Only one
// goroutine may call it.
func (w *Writer) Put(text func() []byte) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- text
}

// Run starts the goroutine, which ends with the context, after it has written what is pending. The function returned waits
// for that.
func (w *Writer) Run(ctx context.Context) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := removeLeftovers(filepath.Join(w.dir, w.file)); err != nil {
			w.log.Warn("temporary files not removed", "file", w.file, "dir", w.dir, "error", err)
		}
		w.writeUntilDone(ctx)
	}()
	return func() { <-done }
}

func (w *Writer) writeUntilDone(ctx context.Context) {
	var unwritten func() []byte // the last write of it failed
	for {
		var retry <-chan time.Time
		if unwritten != nil {
			retry = time.After(writeInterval)
		}
		select {
		case unwritten = <-w.pending:
		case <-retry:
		case <-ctx.Done():
			select {
			case unwritten = <-w.pending:
			default:
			}
			if unwritten != nil {
				w.write(unwritten())
			}
			return
		}
		if w.write(unwritten()) {
			unwritten = nil
		}
		select {
		case <-time.After(writeInterval):
		case <-ctx.Done():
		}
	}
}

// write reports whether a text was written.
func (w *Writer) write(text []byte) bool {
	err := os.MkdirAll(w.dir, 0o700)
	if err == nil {
		err = WriteFile(filepath.Join(w.dir, w.file), Seal(w.kind, text))
	}
	switch {
	case err != nil && !w.failing:
		w.log.Error("cache write failed; a restart would read an older version", "file", w.file, "content", w.description,
			"dir", w.dir, "error", err)
	case err == nil && w.failing:
		w.log.Info("cache write succeeded again", "file", w.file, "content", w.description, "dir", w.dir)
	}
	w.failing = err != nil
	return err == nil
}
