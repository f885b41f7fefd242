package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
)

const diskFullRetryInterval = 200 * time.Millisecond

// errNotFound reports a key that was never set. Raft recognises it by this text.
var errNotFound = errors.New("not found")

// Set implements raft.StableStore. On a full disk it retries until the write succeeds: raft panics if it
// cannot store its term or vote, which would end all members if their disks are full at an election.
// Meanwhile the member grants no vote.
func (s *Store) Set(key, value []byte) error {
	for logged := false; ; {
		err := s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(stableBucket).Put(key, seal(key, value)) })
		if !isDiskFull(err) {
			if logged {
				s.logger.Info("disk no longer full: stopped waiting", "file", s.path, "error", err)
			}
			return err
		}
		if !logged {
			logged = true
			s.logger.Error("disk full: cannot store a term or vote, waiting", "file", s.path, "error", err)
		}
		time.Sleep(diskFullRetryInterval)
	}
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EDQUOT)
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
	value, err := s.Get(key)
	if err != nil {
		return 0, err
	}
	if len(value) != 8 {
		return 0, fmt.Errorf("%s: value of %q: %w: %d bytes", s.path, key, ErrDamaged, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}
