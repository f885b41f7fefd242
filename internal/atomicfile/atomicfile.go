// Package atomicfile replaces files atomically, so that after a power loss a file has either its old or its
// new contents, and detects damaged files. It never interprets the contents, and uses the standard library
// only.
//
// A file consists of a header line and a body:
//
//	KIND 1 LENGTH CRC32C\n
//	body
//
// Each byte is covered by the length, the checksum or the exact form of the header, so any truncation,
// corruption or appended data is detected.
package atomicfile

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
)

const (
	formatVersion  = 1
	maxHeaderBytes = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged means that a file, or encoded data, differs from what was written.
var ErrDamaged = errors.New("damaged")

func header(kind string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %d %d %08x\n",
		kind, formatVersion, len(body), crc32.Checksum(body, castagnoli))
}

// Encode returns a body preceded by its header. The kind is a word without spaces.
func Encode(kind string, body []byte) []byte { return append(header(kind, body), body...) }

// Decode reads what Encode returned and returns the body. Data that is damaged, of another kind or longer
// than maxBytes is an error that wraps ErrDamaged.
func Decode(kind string, r io.Reader, maxBytes int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > maxBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrDamaged, maxBytes)
	}
	first, body, found := bytes.Cut(text, []byte("\n"))
	if !found || len(first) > maxHeaderBytes || !bytes.HasPrefix(first, []byte(kind+" ")) {
		return nil, fmt.Errorf("%w: no header of kind %s", ErrDamaged, kind)
	}
	if !bytes.HasPrefix(first, fmt.Appendf(nil, "%s %d ", kind, formatVersion)) {
		return nil, fmt.Errorf("%w: header %q has a format that this build does not read", ErrDamaged, first)
	}
	if want := bytes.TrimSuffix(header(kind, body), []byte("\n")); !bytes.Equal(first, want) {
		return nil, fmt.Errorf("%w: header %q does not match the body, whose header is %q",
			ErrDamaged, first, want)
	}
	return body, nil
}

// ReadFile returns the body of a file that was written with a header, as Decode does.
func ReadFile(path, kind string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Decode(kind, f, maxBytes)
}

// WriteFile creates or replaces a file atomically, also if the power is lost. It returns once the new
// contents are durable.
func WriteFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), temporaryName(filepath.Base(path)))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails after the rename, when the file has another name
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// temporaryName returns the pattern of the names under which WriteFile writes a file before it renames it.
func temporaryName(name string) string { return name + ".*.new" }

// removeLeftovers removes the temporary files of processes that were killed within WriteFile.
func removeLeftovers(path string) error {
	leftovers, err := filepath.Glob(temporaryName(path))
	if err != nil {
		return err
	}
	var errs []error
	for _, leftover := range leftovers {
		errs = append(errs, os.Remove(leftover))
	}
	return errors.Join(errs...)
}
