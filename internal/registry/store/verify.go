package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// verifyDir checks a member's directory without changing it. It reports identified if the directory has the
// member's identity file, and empty if its log and stable store hold no record.
func verifyDir(dir, member string, snapshotIndex uint64, logger *slog.Logger) (identified, empty bool, err error) {
	if identified, err = readIdentity(dir, member); err != nil {
		return false, false, err
	}
	path := filepath.Join(dir, logFile)
	if empty, err = verifyLog(path, identified, snapshotIndex, logger); err != nil {
		return false, false, err
	}
	if !identified && !empty {
		return false, false, damagedError(path, "the log holds records, but %s is missing", identityFile)
	}
	return identified, empty, nil
}

// verifyLog checks a log file without changing it: that it is as long as its newest meta page says, that its
// pages can be read, and that each record has the right checksum.
func verifyLog(path string, identified bool, snapshotIndex uint64, logger *slog.Logger) (empty bool, err error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		if identified {
			return false, damagedError(path, "the log is missing or empty, but the directory has an identity")
		}
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("verify the log: %w", err)
	}
	if err := verifyMetaPages(path, info.Size(), logger); err != nil {
		if !identified { // the member's first start ended before it confirmed anything
			return false, fmt.Errorf("%s: the member's first start was interrupted: %w; remove the file",
				path, err)
		}
		return false, damagedError(path, "%w", err)
	}
	return verifyPages(path, identified, snapshotIndex)
}

// verifyPages verifies every record of the file, and reports empty if there is none.
func verifyPages(path string, identified bool, snapshotIndex uint64) (empty bool, err error) {
	// bbolt's pages have no checksums: a damaged page may point outside the mapped file, which faults.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = damagedError(path, "a page cannot be read: %v", r)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: true, PreLoadFreelist: false})
	if errors.Is(err, berrors.ErrTimeout) {
		return false, inUseError(path)
	}
	if err != nil {
		return false, damagedError(path, "%w", err)
	}
	defer db.Close()
	empty = true
	err = db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket} {
			bucket := tx.Bucket(name)
			if bucket == nil && identified {
				return &missingBucketError{string(name)}
			}
			if bucket == nil {
				continue
			}
			if key, _ := bucket.Cursor().First(); key != nil {
				empty = false
			}
			if err := verifyRecords(bucket); err != nil {
				return err
			}
		}
		if log := tx.Bucket(logBucket); log != nil {
			return verifyIndexes(log, snapshotIndex)
		}
		return nil
	})
	if err != nil {
		return false, damagedError(path, "%w", err)
	}
	return empty, nil
}

func verifyRecords(bucket *bolt.Bucket) error {
	return bucket.ForEach(func(key, sealed []byte) error {
		_, err := unseal(key, sealed)
		return err
	})
}

// verifyIndexes checks that the log has no gap after the snapshot. Before the snapshot there may be a gap,
// which a restore leaves.
func verifyIndexes(log *bolt.Bucket, snapshotIndex uint64) error {
	last := snapshotIndex
	return log.ForEach(func(key, _ []byte) error {
		index := binary.BigEndian.Uint64(key)
		if index <= snapshotIndex {
			return nil
		}
		if index != last+1 {
			return &gapError{after: last, next: index}
		}
		last = index
		return nil
	})
}

// missingBucketError reports that the log file of an identified directory lacks one of its bbolt buckets.
type missingBucketError struct{ bucket string }

func (e *missingBucketError) Error() string { return "bucket " + e.bucket + " is missing" }

// gapError reports that entries are missing in the log or between the snapshot and the log. after is the index
// of the entry or snapshot before the gap, next that of the first entry after it.
type gapError struct{ after, next uint64 }

func (e *gapError) Error() string { return fmt.Sprintf("log entry %d follows %d", e.next, e.after) }

// truncatedError reports a log file that is shorter than its newest meta page says. Sizes are in bytes.
type truncatedError struct{ size, want int64 }

func (e *truncatedError) Error() string {
	return fmt.Sprintf("the file has %d bytes; its newest meta page requires %d", e.size, e.want)
}

var errNoMetaPage = errors.New("neither of the file's two meta pages is valid")

// Constants of bbolt's file format, version 2. Sizes are in bytes.
const (
	metaMagic   = 0xED0CDAED
	metaVersion = 2

	pageHeaderBytes      = 16
	metaBytes            = 64
	metaChecksummedBytes = 56
	minPageBytes         = 512
	maxPageBytes         = 1 << 16
)

// metaPage holds the page size, the number of pages and the transaction of a bbolt meta page.
type metaPage struct{ pageBytes, pages, transaction uint64 }

// readMetaPage reads the meta page at an offset in bytes. It returns false if the page is invalid.
func readMetaPage(file io.ReaderAt, offset int64) (page metaPage, ok bool) {
	text := make([]byte, pageHeaderBytes+metaBytes)
	if _, err := io.ReadFull(io.NewSectionReader(file, offset, int64(len(text))), text); err != nil {
		return page, false
	}
	text = text[pageHeaderBytes:]
	sum := fnv.New64a()
	_, _ = sum.Write(text[:metaChecksummedBytes])
	order := binary.LittleEndian
	if order.Uint32(text) != metaMagic || order.Uint32(text[4:]) != metaVersion ||
		order.Uint64(text[metaChecksummedBytes:]) != sum.Sum64() {
		return page, false
	}
	return metaPage{uint64(order.Uint32(text[8:])), order.Uint64(text[40:]), order.Uint64(text[48:])}, true
}

// verifyMetaPages checks that the file is as long as its newest valid meta page says.
func verifyMetaPages(path string, size int64, logger *slog.Logger) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	first, firstOK := readMetaPage(file, 0)
	var second metaPage
	secondOK := false
	if firstOK {
		second, secondOK = readMetaPage(file, int64(first.pageBytes))
	} else {
		for offset := int64(minPageBytes); offset <= maxPageBytes && !secondOK; offset *= 2 {
			second, secondOK = readMetaPage(file, offset)
		}
	}
	if !firstOK && !secondOK {
		return errNoMetaPage
	}
	if !firstOK || !secondOK {
		logger.Warn("one meta page of the log is invalid: the other one is used", "file", path)
	}
	newest := first
	if secondOK && (!firstOK || second.transaction > first.transaction) {
		newest = second
	}
	if want := int64(newest.pages * newest.pageBytes); size < want {
		return &truncatedError{size, want}
	}
	return nil
}
