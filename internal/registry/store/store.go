// Package store keeps a member's data on disk: raft's log and stable store in one bbolt file, with a checksum
// on each record that is verified at every read. It never repairs a file: it rejects a directory that lacks
// confirmed data.
//
// Power loss. bbolt writes new pages, syncs, then writes one of two meta pages and syncs, so that after an
// unconfirmed write the older meta page is still valid. A meta page with a wrong checksum beside a valid one
// is such a write: it is ignored, logged, and overwritten by the next write. Anything else is damage to
// confirmed data: a member that went on without entries or votes that it has confirmed could undo what the
// registry has acknowledged. Open then fails with ErrDamaged, names the file and what to do, and writes
// nothing.
//
// An identity file names the member to which the directory belongs. It is written after the log exists and
// before the member confirms anything, so that a missing or empty log beside an identity is damage, not a new
// member.
//
// raft-wal verifies records only when it recovers a segment's tail; raft-boltdb has no checksums.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"merlinpick/internal/atomicfile"
)

const (
	logFile      = "log.db"
	identityFile = "identity.json"
	lockTimeout  = 2 * time.Second // to wait for another process to release the file
)

var (
	logBucket    = []byte("log")
	stableBucket = []byte("words") // name in the file format, older than the variable's
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// Errors of a directory that cannot be used. They are wrapped with the file and with what the operator has to
// do.
var (
	ErrDamaged     = atomicfile.ErrDamaged // the directory does not hold what was written to it
	ErrWrongMember = errors.New("another member's directory")
	ErrInUse       = errors.New("in use by another process")
)

// recoveryHint ends the messages of errors that wrap ErrDamaged.
const recoveryHint = "; nothing was changed. If the other members serve, move the directory away and start this member " +
	"empty: they send it the list. If none does, start all empty and restore a snapshot"

func damagedError(path, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %w%s", path, ErrDamaged, fmt.Errorf(format, args...), recoveryHint)
}

func inUseError(path string) error {
	return fmt.Errorf("%s: %w; give this member a directory of its own", path, ErrInUse)
}

// Store implements raft.LogStore and raft.StableStore in a bbolt file.
type Store struct {
	db     *bolt.DB
	path   string
	logger *slog.Logger
}

// Open verifies and opens a member's directory, and creates it if it is missing. The argument snapshotIndex is
// the log index of raft's newest snapshot, 0 if there is none; the log may have no gap after it. Open reports
// empty if the directory held no data. The error wraps ErrDamaged, ErrWrongMember or ErrInUse if it is one of
// them.
func Open(dir, member string, snapshotIndex uint64, logger *slog.Logger) (s *Store, empty bool, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, false, fmt.Errorf("create the member's directory: %w", err)
	}
	identified, empty, err := verifyDir(dir, member, snapshotIndex, logger)
	if err != nil {
		return nil, false, err
	}
	path := filepath.Join(dir, logFile)
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, false, inUseError(path)
	}
	if err != nil {
		return nil, false, fmt.Errorf("open %s: %w", path, err)
	}
	err = createBuckets(db)
	if err == nil && !identified {
		err = writeIdentity(dir, member)
	}
	if err != nil {
		return nil, false, errors.Join(fmt.Errorf("prepare %s: %w", dir, err), db.Close())
	}
	return &Store{db: db, path: path, logger: logger}, empty, nil
}

func createBuckets(db *bolt.DB) error {
	return db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// Check verifies a member's directory as Open does, without changing it. It reports empty if the directory
// holds no data yet.
func Check(dir, member string, snapshotIndex uint64, logger *slog.Logger) (empty bool, err error) {
	_, empty, err = verifyDir(dir, member, snapshotIndex, logger)
	return empty, err
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// checksumBytes is the length of the CRC-32C before each record.
const checksumBytes = 4

// seal returns the value with its checksum before it. The checksum covers the key too, so that a record under
// another key is detected as damage.
func seal(key, value []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(value))
	binary.BigEndian.PutUint32(out, checksum(key, value))
	return append(out, value...)
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// unseal verifies the checksum of a sealed record and returns the value.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes || binary.BigEndian.Uint32(sealed) != checksum(key, sealed[checksumBytes:]) {
		return nil, fmt.Errorf("record %x: %w: its checksum is wrong", key, ErrDamaged)
	}
	return sealed[checksumBytes:], nil
}
