// Package durable is what all parts keep files by: a text that is whole or nothing, and a file that is replaced in one
// step. It stands alone, so that the proxy can use it without a library.
//
// A sealed text is a head and a body:
//
//	KIND 1 LENGTH CRC32C\n
//	body
//
// Each of its bytes is covered by the length, by the checksum or by the head's exact form, so that nothing that is cut,
// spoilt or grown passes.
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

// ErrDamaged is a text that is not what was sealed.
var ErrDamaged = errors.New("damaged")

func header(kind string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %d %d %08x\n", kind, formatVersion, len(body), crc32.Checksum(body, castagnoli))
}

// Seal puts a head before a body. The kind is a word without spaces.
func Seal(kind string, body []byte) []byte { return append(header(kind, body), body...) }

// Unseal reads a sealed text of a kind, of at most so many bytes, and gives its body.
func Unseal(kind string, r io.Reader, most int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		return nil, fmt.Errorf("%w: over %d bytes", ErrDamaged, most)
	}
	first, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || len(first) > maxHeaderBytes || !bytes.HasPrefix(first, []byte(kind+" ")) {
		return nil, fmt.Errorf("%w: it does not begin as a %s does", ErrDamaged, kind)
	}
	if !bytes.HasPrefix(first, fmt.Appendf(nil, "%s %d ", kind, formatVersion)) {
		return nil, fmt.Errorf("%w: %q is of a form that this program does not read", ErrDamaged, first)
	}
	if want := bytes.TrimSuffix(header(kind, body), []byte("\n")); !bytes.Equal(first, want) {
		return nil, fmt.Errorf("%w: what is there is %q, and the head says %q", ErrDamaged, want, first)
	}
	return body, nil
}

// temporary is the pattern of the names under which WriteFile writes a file before it renames it.
func temporaryName(name string) string { return name + ".*.new" }

// sweep removes what processes that died in WriteFile left of a file.
func removeLeftovers(path string) error {
	left, err := filepath.Glob(temporaryName(path))
	if err != nil {
		return err
	}
	var errs []error
	for _, l := range left {
		errs = append(errs, os.Remove(l))
	}
	return errors.Join(errs...)
}

// WriteFile puts a file in the place of another as one step that a power loss cannot split, and confirms it.
func WriteFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), temporaryName(filepath.Base(path)))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // nothing once it was renamed
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
