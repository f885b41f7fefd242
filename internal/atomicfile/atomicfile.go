// Package atomicfile writes files that survive a power loss either unchanged or replaced, and detects damaged ones. It
// never interprets their contents, and uses the standard library only.
//
// A sealed text is a header and a body:
//
//	KIND 1 LENGTH CRC32C\n
//	body
//
// Each byte is covered by the length, the checksum or the exact form of the header, so that any truncation, corruption or
// appended text is detected.
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

// ErrDamaged is a text that differs from what was sealed.
var ErrDamaged = errors.New("damaged")

func header(kind string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %d %d %08x\n", kind, formatVersion, len(body), crc32.Checksum(body, castagnoli))
}

// Seal returns a body with its header. The kind is a word without spaces.
func Seal(kind string, body []byte) []byte { return append(header(kind, body), body...) }

// Unseal returns the body of a sealed text of a kind. A text that is damaged, of another kind or longer than maxBytes is an
// error that wraps ErrDamaged.
func Unseal(kind string, r io.Reader, maxBytes int64) ([]byte, error) {
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
		return nil, fmt.Errorf("%w: header %q does not match the body, whose header is %q", ErrDamaged, first, want)
	}
	return body, nil
}

// ReadFile returns the body of a sealed file, as Unseal does.
func ReadFile(path, kind string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Unseal(kind, f, maxBytes)
}

// WriteFile replaces a file, or creates it, in one step that a power loss cannot split. It returns once that is durable.
func WriteFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), temporaryName(filepath.Base(path)))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once it is renamed
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

// temporaryName returns the pattern of the names under which WriteFile writes a file before it is renamed.
func temporaryName(name string) string { return name + ".*.new" }

// removeLeftovers removes the temporary files of processes that ended within WriteFile.
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
