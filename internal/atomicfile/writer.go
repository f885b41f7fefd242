package atomicfile

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

const writeInterval = time.Second // minimum time between two writes

// Writer writes the latest version of a text to a file with a header, in a goroutine of its own. If the disk
// fails, the failure is logged once and the write is repeated. Neither that nor a slow disk affects the
// caller: the file is read only at the next start.
type Writer struct {
	dir, file, kind string
	description     string // describes the text in log lines
	log             *slog.Logger
	pending         chan func() []byte // holds only the latest text
	failing         bool               // the last write failed
}

// NewWriter returns a writer of a file in a directory. kind is the kind in the header; description describes
// the text in log lines. Nothing is written until Run is called.
func NewWriter(dir, file, kind, description string, logger *slog.Logger) *Writer {
	return &Writer{dir: dir, file: file, kind: kind, description: description, log: logger,
		pending: make(chan func() []byte, 1)}
}

// Put replaces the text to write. A previous text that is not written yet is dropped. The function is called
// when the text is written. Only one goroutine may call Put.
func (w *Writer) Put(text func() []byte) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- text
}

// Run starts the goroutine that writes. When the context ends, it writes what is pending and returns. The
// returned function waits for that.
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
	var unwritten func() []byte // the text whose last write failed; nil: none
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

// write writes a text and reports whether that succeeded.
func (w *Writer) write(text []byte) bool {
	err := os.MkdirAll(w.dir, 0o700)
	if err == nil {
		err = WriteFile(filepath.Join(w.dir, w.file), Encode(w.kind, text))
	}
	switch {
	case err != nil && !w.failing:
		w.log.Error("cache write failed; a restart would read an older version",
			"file", w.file, "content", w.description, "dir", w.dir, "error", err)
	case err == nil && w.failing:
		w.log.Info("cache write succeeded again", "file", w.file, "content", w.description, "dir", w.dir)
	}
	w.failing = err != nil
	return err == nil
}
