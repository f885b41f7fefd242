package state

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
)

// A snapshot's text is a head and a body:
//
//	roster-snapshot 1 LENGTH CRC32C\n
//	{"line":...}
//
// It is the same in the consensus's own snapshots, in what `roster snapshot save` writes and on the network, and is read
// by Read alone, so that no damage passes anywhere: each of its bytes is covered by the length, the checksum, or the
// head's exact form.

const (
	fileMagic = "roster-snapshot"
	fileForm  = 1
	// FileMost bounds what is read of a snapshot.
	FileMost = 16 << 20
	headMost = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is a snapshot that is not what was written.
var ErrDamaged = errors.New("damaged snapshot")

// Write writes an image as a snapshot.
func (i Image) Write(w io.Writer) error {
	body, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	head := fmt.Sprintf("%s %d %d %08x\n", fileMagic, fileForm, len(body), crc32.Checksum(body, castagnoli))
	if _, err := io.WriteString(w, head); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

// Read reads a snapshot whole, or says what is wrong with it.
func Read(r io.Reader) (Image, error) {
	var i Image
	data, err := io.ReadAll(io.LimitReader(r, FileMost+1))
	if err != nil {
		return i, fmt.Errorf("read a snapshot: %w", err)
	}
	if len(data) > FileMost {
		return i, fmt.Errorf("%w: over %d bytes", ErrDamaged, FileMost)
	}
	head, body, ok := bytes.Cut(data, []byte("\n"))
	if !ok || len(head) > headMost {
		return i, fmt.Errorf("%w: no head; it is no snapshot, or cut off", ErrDamaged)
	}
	words := bytes.Split(head, []byte(" "))
	if len(words) != 4 || string(words[0]) != fileMagic {
		return i, fmt.Errorf("%w: the head is not a snapshot's", ErrDamaged)
	}
	if string(words[1]) != strconv.Itoa(fileForm) {
		return i, fmt.Errorf("%w: form %q; this program reads %d", ErrDamaged, words[1], fileForm)
	}
	if string(words[2]) != strconv.Itoa(len(body)) {
		return i, fmt.Errorf("%w: %d bytes of %s are there", ErrDamaged, len(body), words[2])
	}
	sum := crc32.Checksum(body, castagnoli)
	if want := hex.EncodeToString([]byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}); string(words[3]) != want {
		return i, fmt.Errorf("%w: the checksum is %s, the head says %q", ErrDamaged, want, words[3])
	}
	if err := json.Unmarshal(body, &i); err != nil {
		return i, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := i.Check(); err != nil {
		return i, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return i, nil
}
