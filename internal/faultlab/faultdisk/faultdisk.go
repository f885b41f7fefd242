// Package faultdisk injects power losses and full disks into files: into in-memory files of stubs, and into
// the files of a real process after it was killed. It does not decide when a fault happens.
//
// Only data that a sync has confirmed is durable. Of data written later, any 512-byte block may have reached
// the disk or not, in any order: a lost block reads as zeros, or the file ends before it.
package faultdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// BlockSize is the size of a block that a disk writes atomically, in bytes.
const BlockSize = 512

// ErrFull is returned by a write to a full disk; it wraps ENOSPC.
var ErrFull = fmt.Errorf("write: %w", syscall.ENOSPC)

// File is a file in memory. Its methods are safe for concurrent use.
type File struct {
	mu     sync.Mutex
	data   []byte
	synced int // number of durable bytes
	full   bool
}

// Append writes b at the end of the file, or returns ErrFull and writes nothing.
func (f *File) Append(b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return ErrFull
	}
	f.data = append(f.data, b...)
	return nil
}

// Sync makes all data of the file durable.
func (f *File) Sync() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = len(f.data)
}

// SetFull makes writes fail with ErrFull, or succeed again.
func (f *File) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// Bytes returns a copy of the data.
func (f *File) Bytes() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]byte(nil), f.data...)
}

// Truncate cuts the file to n bytes, as a reader does that finds an incomplete tail. n must not exceed the
// length.
func (f *File) Truncate(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data, f.synced = f.data[:n], min(f.synced, n)
}

// PowerLoss loses a random part of the data that is not durable. What remains is durable.
func (f *File) PowerLoss(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = tear(f.data, f.synced, random)
	f.synced = len(f.data)
}

// tear returns the first synced bytes of data and a random part of the blocks after them: it cuts the data at
// a random position and zeroes each block before it with a probability of 1/4.
func tear(data []byte, synced int, random *rand.Rand) []byte {
	end := synced + random.IntN(len(data)-synced+1)
	out := append([]byte(nil), data[:end]...)
	for at := synced; at < end; {
		next := min(end, (at/BlockSize+1)*BlockSize)
		if random.IntN(4) == 0 {
			clear(out[at:next])
		}
		at = next
	}
	return out
}

// Tear applies a power loss to the files below a directory that have changed since a time, and returns their
// paths. Which data the process has synced is unknown here, so that more may be lost than on a real disk.
// Empty files are kept or removed at random; sockets are removed.
func Tear(dir string, since time.Time, random *rand.Rand) ([]string, error) {
	var changed []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		if !info.Mode().IsRegular() {
			return os.Remove(path)
		}
		if info.ModTime().Before(since) {
			return nil
		}
		changed = append(changed, path)
		return tearFile(path, info, random)
	})
	if err != nil {
		return changed, fmt.Errorf("simulate a power loss: %w", err)
	}
	return changed, nil
}

// tearFile applies a power loss to a file of which no data is known to be durable.
func tearFile(path string, info fs.FileInfo, random *rand.Rand) error {
	if info.Size() == 0 {
		if random.IntN(2) == 0 {
			return os.Remove(path)
		}
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, tear(data, 0, random), info.Mode().Perm())
}
