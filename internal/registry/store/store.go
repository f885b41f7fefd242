// Package store is a member's disk: the consensus's log and its few words (term, vote) in one bbolt file, with a checksum
// on each record that is verified at every read, and a directory that is refused rather than guessed at.
//
// What power loss may do. bbolt writes new pages, syncs, then writes one of two meta pages and syncs: a write that was
// not confirmed leaves the older meta page in force. So a torn tail is a meta page whose checksum is wrong beside one
// that is right; it is ignored, logged, and overwritten by the next write. All else is damage to what was confirmed: a
// member that went on from less than it has promised others could undo what the service has acknowledged. Open then
// refuses with ErrDamaged, names the file and what to do, and writes nothing.
//
// A directory says whose it is in a file of its own (identity), made after the log and before anything is promised. A
// missing or empty log beside an identity is damage, not a new member.
//
// Rejected: raft-wal (its records are verified when a segment's tail is recovered, not at each read, and it brings etcd
// along); raft-boltdb (no checksums).
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"merlinpick/internal/atomicfile"
)

const (
	logFile               = "log.db"
	identityFile          = "identity.json"
	lockTimeout           = 2 * time.Second
	checksumBytes         = 4
	diskFullRetryInterval = 200 * time.Millisecond
)

// ErrDamaged is a directory that does not hold what was written to it.
var ErrDamaged = atomicfile.ErrDamaged

// ErrForeign is a directory of another member.
var ErrWrongMember = errors.New("another member's directory")

const recoveryHint = "; nothing was changed. If the other members serve, move the directory away and start this member " +
	"empty: they send it the list. If none does, start all empty and restore a snapshot"

var (
	logBucket    = []byte("log")
	stableBucket = []byte("words")
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// Identity says whose a directory is.
type Identity struct {
	Member   string `json:"member"`
	Checksum uint32 `json:"sum"` // CRC-32C of the member's name
}

// Store implements raft.LogStore and raft.StableStore.
type Store struct {
	db     *bolt.DB
	path   string
	logger *slog.Logger
}

// Open opens a member's directory, or makes it. Snapshot is the consensus's index of its newest snapshot, from which on
// the log has to be without a gap; 0 for none. Fresh tells that it held nothing.
func Open(dir, member string, snapshot uint64, log *slog.Logger) (s *Store, fresh bool, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, false, fmt.Errorf("directory of the member: %w", err)
	}
	known, empty, err := verifyDir(dir, member, snapshot, log)
	if err != nil {
		return nil, false, err
	}
	path := filepath.Join(dir, logFile)
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, false, fmt.Errorf("%s is in use by another process; give this member a directory of its own", path)
	}
	if err != nil {
		return nil, false, fmt.Errorf("open %s: %w", path, err)
	}
	s = &Store{db: db, path: path, logger: log}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && !known {
		err = atomicfile.WriteFile(filepath.Join(dir, identityFile), encodeIdentity(member))
	}
	if err != nil {
		db.Close()
		return nil, false, fmt.Errorf("prepare %s: %w", dir, err)
	}
	return s, empty, nil
}

// Check looks a member's directory over and changes nothing. Empty tells that it holds nothing yet.
func Check(dir, member string, snapshot uint64, log *slog.Logger) (empty bool, err error) {
	_, empty, err = verifyDir(dir, member, snapshot, log)
	return empty, err
}

func verifyDir(dir, member string, snapshot uint64, log *slog.Logger) (known, empty bool, err error) {
	if known, err = readIdentity(dir, member); err != nil {
		return false, false, err
	}
	path := filepath.Join(dir, logFile)
	if empty, err = verifyLog(path, known, snapshot, log); err != nil {
		return false, false, err
	}
	if !known && !empty {
		return false, false, fmt.Errorf("%s: %w: the log holds something, and %s is missing%s", path, ErrDamaged,
			identityFile, recoveryHint)
	}
	return known, empty, nil
}

func encodeIdentity(member string) []byte {
	text, err := json.Marshal(Identity{member, crc32.Checksum([]byte(member), castagnoli)})
	if err != nil {
		panic(err) // a string and a number
	}
	return append(text, '\n')
}

// identify reads whose the directory is; false if nobody's yet.
func readIdentity(dir, member string) (bool, error) {
	path := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("whose the directory is: %w", err)
	}
	var id Identity
	if err := json.Unmarshal(text, &id); err != nil || id.Checksum != crc32.Checksum([]byte(id.Member), castagnoli) {
		return false, fmt.Errorf("%s: %w%s", path, ErrDamaged, recoveryHint)
	}
	if id.Member != member {
		return false, fmt.Errorf("%s: %w: %q's, and this is %q; set name or dir", path, ErrWrongMember, id.Member, member)
	}
	return true, nil
}

// inspect looks a log over without changing it: that the file is as long as its newest meta page says, that its pages
// hang together, and that each record is what was written. Empty tells that nothing was promised in it.
func verifyLog(path string, known bool, snapshot uint64, log *slog.Logger) (empty bool, err error) {
	damaged := func(format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s%s", path, ErrDamaged, fmt.Sprintf(format, args...), recoveryHint)
	}
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		if known {
			return false, damaged("the log is missing or empty, and the directory has been a member's")
		}
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("look at the log: %w", err)
	}
	if err := verifyMetaPages(path, info.Size(), log); err != nil {
		if !known { // a start that was cut off before anything was promised
			return false, fmt.Errorf("%s: a first start was cut off: %w; remove the file", path, err)
		}
		return false, damaged("%v", err)
	}
	// Pages have no checksums: one that points astray may be outside the mapping.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = damaged("a page makes no sense: %v", r)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: true, PreLoadFreelist: false})
	if errors.Is(err, berrors.ErrTimeout) {
		return false, fmt.Errorf("%s is in use by another process; give this member a directory of its own", path)
	}
	if err != nil {
		return false, damaged("%v", err)
	}
	defer db.Close()
	empty = true
	err = db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{logBucket, stableBucket} {
			b := tx.Bucket(name)
			if b == nil {
				if known {
					return fmt.Errorf("no %s in it", name)
				}
				continue
			}
			last := snapshot
			if err := b.ForEach(func(k, v []byte) error {
				empty = false
				if _, err := unseal(k, v); err != nil {
					return err
				}
				if string(name) != string(logBucket) {
					return nil
				}
				i := binary.BigEndian.Uint64(k)
				if i <= snapshot { // a restore leaves a gap before its snapshot
					return nil
				}
				if i != last+1 {
					return fmt.Errorf("entry %d follows %d", i, last)
				}
				last = i
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, damaged("%v", err)
	}
	return empty, nil
}

// The meta pages, by bbolt's file format 2.
const (
	metaMagic            = 0xED0CDAED
	pageHeaderBytes      = 16 // of a page
	metaBytes            = 64
	metaChecksummedBytes = 56
	maxPageBytes         = 1 << 16
	minPageBytes         = 512
	metaVersion          = 2
)

// checkMeta finds the newest meta page that is whole, and has the file be as long as that says.
func verifyMetaPages(path string, size int64, log *slog.Logger) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	type meta struct{ pageSize, pages, tx uint64 }
	read := func(at int64) (m meta, ok bool) {
		b := make([]byte, pageHeaderBytes+metaBytes)
		if _, err := io.ReadFull(io.NewSectionReader(f, at, int64(len(b))), b); err != nil {
			return m, false
		}
		b = b[pageHeaderBytes:]
		sum := fnv.New64a()
		_, _ = sum.Write(b[:metaChecksummedBytes])
		le := binary.LittleEndian
		if le.Uint32(b) != metaMagic || le.Uint32(b[4:]) != metaVersion || le.Uint64(b[metaChecksummedBytes:]) != sum.Sum64() {
			return m, false
		}
		return meta{uint64(le.Uint32(b[8:])), le.Uint64(b[40:]), le.Uint64(b[48:])}, true
	}
	first, ok := read(0)
	second, okay := meta{}, false
	if ok {
		second, okay = read(int64(first.pageSize))
	} else {
		for at := int64(minPageBytes); at <= maxPageBytes && !okay; at *= 2 {
			second, okay = read(at)
		}
	}
	if !ok && !okay {
		return errors.New("neither of its two meta pages is whole")
	}
	if !ok || !okay {
		log.Warn("unconfirmed last write to the log discarded", "file", path)
	}
	if okay && (!ok || second.tx > first.tx) {
		first = second
	}
	if want := int64(first.pages * first.pageSize); size < want {
		return fmt.Errorf("%d bytes of %d are there", size, want)
	}
	return nil
}

// seal puts a record's checksum before it. The key is in it: a record that turns up elsewhere is damage too.
func seal(key, value []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(value))
	binary.BigEndian.PutUint32(out, checksum(key, value))
	return append(out, value...)
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes || binary.BigEndian.Uint32(sealed) != checksum(key, sealed[checksumBytes:]) {
		return nil, fmt.Errorf("record %x: %w: its checksum is wrong", key, ErrDamaged)
	}
	return sealed[checksumBytes:], nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// FirstIndex implements raft.LogStore.
func (s *Store) FirstIndex() (uint64, error) { return s.boundaryIndex((*bolt.Cursor).First) }

// LastIndex implements raft.LogStore.
func (s *Store) LastIndex() (uint64, error) { return s.boundaryIndex((*bolt.Cursor).Last) }

func (s *Store) boundaryIndex(end func(*bolt.Cursor) (k, v []byte)) (i uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if k, _ := end(tx.Bucket(logBucket).Cursor()); k != nil {
			i = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return i, err
}

// record is a log entry as the file has it.
type logRecord struct {
	Term         uint64       `json:"t"`
	Type         raft.LogType `json:"y"`
	Data         []byte       `json:"d,omitempty"`
	Extensions   []byte       `json:"x,omitempty"`
	AppendedAtNs int64        `json:"a,omitempty"` // Unix ns
}

// GetLog implements raft.LogStore.
func (s *Store) GetLog(index uint64, out *raft.Log) error {
	return s.db.View(func(tx *bolt.Tx) error {
		key := indexKey(index)
		sealed := tx.Bucket(logBucket).Get(key)
		if sealed == nil {
			return raft.ErrLogNotFound
		}
		text, err := unseal(key, sealed)
		if err != nil {
			return fmt.Errorf("%s: %w", s.path, err)
		}
		var r logRecord
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s: record %d: %w: %w", s.path, index, ErrDamaged, err)
		}
		*out = raft.Log{Index: index, Term: r.Term, Type: r.Type, Data: r.Data, Extensions: r.Extensions}
		if r.AppendedAtNs != 0 {
			out.AppendedAt = time.Unix(0, r.AppendedAtNs)
		}
		return nil
	})
}

// StoreLog implements raft.LogStore.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore: all of them or none, synced.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(logBucket)
		b.FillPercent = 1 // keys only grow
		for _, l := range logs {
			r := logRecord{Term: l.Term, Type: l.Type, Data: l.Data, Extensions: l.Extensions}
			if !l.AppendedAt.IsZero() {
				r.AppendedAtNs = l.AppendedAt.UnixNano()
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			key := indexKey(l.Index)
			if err := b.Put(key, seal(key, text)); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange implements raft.LogStore.
func (s *Store) DeleteRange(first, last uint64) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.Seek(indexKey(first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(indexKey(first)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// errNotFound has the text by which the consensus knows a word that was never set.
var errNotFound = errors.New("not found")

// Set implements raft.StableStore. The consensus gives up its process if a term or vote cannot be kept, and that of all
// members if all disks are full at an election. So this waits, until the process ends if need be, for a disk that takes it,
// and the member is mute meanwhile.
func (s *Store) Set(key, value []byte) error {
	for told := false; ; {
		err := s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(stableBucket).Put(key, seal(key, value)) })
		if err == nil || !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EFBIG) && !errors.Is(err, syscall.EDQUOT) {
			if told {
				s.logger.Info("disk accepts writes again", "file", s.path, "error", err)
			}
			return err
		}
		if !told {
			told = true
			s.logger.Error("disk full: abstaining from elections", "file", s.path, "error", err)
		}
		time.Sleep(diskFullRetryInterval)
	}
}

// Get implements raft.StableStore.
func (s *Store) Get(key []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		sealed := tx.Bucket(stableBucket).Get(key)
		if sealed == nil {
			return errNotFound
		}
		text, err := unseal(key, sealed)
		if err != nil {
			return fmt.Errorf("%s: %w", s.path, err)
		}
		value = append([]byte(nil), text...)
		return nil
	})
	return value, err
}

// SetUint64 implements raft.StableStore.
func (s *Store) SetUint64(key []byte, v uint64) error { return s.Set(key, indexKey(v)) }

// GetUint64 implements raft.StableStore.
func (s *Store) GetUint64(key []byte) (uint64, error) {
	v, err := s.Get(key)
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%s: word %q: %w: %d bytes", s.path, key, ErrDamaged, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}
