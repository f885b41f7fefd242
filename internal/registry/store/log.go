package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
)

// logRecord is the encoding of a log entry in the file.
type logRecord struct {
	Term         uint64       `json:"t"`
	Type         raft.LogType `json:"y"`
	Data         []byte       `json:"d,omitempty"`
	Extensions   []byte       `json:"x,omitempty"`
	AppendedAtNs int64        `json:"a,omitempty"` // Unix time in ns; 0: not known
}

// indexKey returns the key of a log entry, or the value of a number in the stable store.
func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// FirstIndex implements raft.LogStore.
func (s *Store) FirstIndex() (uint64, error) { return s.boundaryIndex((*bolt.Cursor).First) }

// LastIndex implements raft.LogStore.
func (s *Store) LastIndex() (uint64, error) { return s.boundaryIndex((*bolt.Cursor).Last) }

// boundaryIndex returns the index of the entry to which boundary moves a cursor, 0 if the log is empty.
func (s *Store) boundaryIndex(boundary func(*bolt.Cursor) (key, value []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if key, _ := boundary(tx.Bucket(logBucket).Cursor()); key != nil {
			index = binary.BigEndian.Uint64(key)
		}
		return nil
	})
	return index, err
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
func (s *Store) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore. It stores and syncs all entries, or none.
func (s *Store) StoreLogs(entries []*raft.Log) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(logBucket)
		bucket.FillPercent = 1 // keys are only appended
		for _, entry := range entries {
			r := logRecord{Term: entry.Term, Type: entry.Type, Data: entry.Data, Extensions: entry.Extensions}
			if !entry.AppendedAt.IsZero() {
				r.AppendedAtNs = entry.AppendedAt.UnixNano()
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			key := indexKey(entry.Index)
			if err := bucket.Put(key, seal(key, text)); err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange implements raft.LogStore.
func (s *Store) DeleteRange(first, last uint64) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		cursor := tx.Bucket(logBucket).Cursor()
		seek := func() []byte {
			key, _ := cursor.Seek(indexKey(first))
			return key
		}
		for key := seek(); key != nil && binary.BigEndian.Uint64(key) <= last; key = seek() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}
