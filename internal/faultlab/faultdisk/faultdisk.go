// Package faultdisk injects power loss into files: a file layer for stand-ins that loses, at a power loss, what was not
// synced, and the same done to the files of a real process after it was killed.
//
// Only what a sync confirmed is durable. Of later writes any 512-byte block may be on the disk or not, in any order: a
// lost block reads as zeros, or is the end of the file.
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

// Block is what a disk writes whole.
const BlockSize = 512

// ErrFull is a write to a full disk.
var ErrFull = fmt.Errorf("write: %w", syscall.ENOSPC)

// File is a stand-in's file.
type File struct {
	mu     sync.Mutex
	data   []byte
	synced int // bytes that a sync has confirmed
	full   bool
}

// Append writes at the end; a full disk takes none of it.
func (f *File) Append(b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return ErrFull
	}
	f.data = append(f.data, b...)
	return nil
}

// Sync confirms all that was written.
func (f *File) Sync() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = len(f.data)
}

// Full has writes fail, or succeed again.
func (f *File) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// Bytes is what the file holds.
func (f *File) Bytes() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]byte(nil), f.data...)
}

// Truncate cuts the file to n bytes, as its reader does with a torn tail.
func (f *File) Truncate(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data, f.synced = f.data[:n], min(f.synced, n)
}

// PowerLoss loses of what was not synced what r decides.
func (f *File) PowerLoss(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = tear(f.data, f.synced, r)
	f.synced = len(f.data)
}

// tear keeps the first bytes of data up to kept, and of the blocks behind them those that r lets live.
func tear(data []byte, kept int, r *rand.Rand) []byte {
	end := kept + r.IntN(len(data)-kept+1)
	out := append([]byte(nil), data[:end]...)
	for at := kept; at < end; {
		next := min(end, (at/BlockSize+1)*BlockSize)
		if r.IntN(4) == 0 {
			clear(out[at:next])
		}
		at = next
	}
	return out
}

// Tear does to the files below a directory what a power loss may do to those changed since a time: nobody outside a
// process can tell what it synced, so this may take more than a disk would. Files that a program has made but written
// nothing to are kept or removed. Sockets are removed, as they are no files. It names what it changed.
func Tear(dir string, since time.Time, r *rand.Rand) ([]string, error) {
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
		if info.Size() == 0 {
			if r.IntN(2) == 0 {
				return os.Remove(path)
			}
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, tear(data, 0, r), info.Mode().Perm())
	})
	if err != nil {
		return changed, fmt.Errorf("power loss: %w", err)
	}
	return changed, nil
}
