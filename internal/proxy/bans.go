package proxy

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/mgmt"
)

const (
	banPrefix = "ban-"
	banPoll   = 200 * time.Millisecond // a call at the other process of an upgrade binds this one within 1 s
	banApply  = 800 * time.Millisecond // for the loop to act on a call, whose answer is owed in 1 s
)

// banStore keeps the bans of a proxy, one empty file a server. The directory is the only truth: whatever
// process changes it, each reads it again. A file is made or removed whole, so two processes cannot lose each
// other's changes.
type banStore struct{ dir string }

func (s banStore) path(id string) string { return filepath.Join(s.dir, banPrefix+url.PathEscape(id)) }

func (s banStore) add(id string) error {
	f, err := os.OpenFile(s.path(id), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("keep the ban: %w", err)
	}
	err = errors.Join(f.Sync(), f.Close(), s.sync())
	if err != nil {
		return fmt.Errorf("keep the ban: %w", err)
	}
	return nil
}

func (s banStore) remove(id string) error {
	err := os.Remove(s.path(id))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("drop the ban: %w", err)
	}
	if err := s.sync(); err != nil {
		return fmt.Errorf("drop the ban: %w", err)
	}
	return nil
}

// sync makes a change of the directory durable.
func (s banStore) sync() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (s banStore) load() (map[string]bool, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, fmt.Errorf("read the bans: %w", err)
	}
	ids := map[string]bool{}
	for _, e := range entries {
		if name, ok := strings.CutPrefix(e.Name(), banPrefix); ok {
			if id, err := url.PathUnescape(name); err == nil {
				ids[id] = true
			}
		}
	}
	return ids, nil
}

// bans carries the calls on servers out: to the store, and from there to the loop.
type bans struct {
	store banStore
	loop  *loop
	mu    sync.Mutex // one reading of the store at a time, handed to the loop in order
}

// banNews is the whole set of bans; done is closed once they hold.
type banNews struct {
	ids  map[string]bool
	done chan struct{}
}

// openBans takes the bans that hold, before anything is sent.
func openBans(dir string, l *loop) (*bans, error) {
	b := &bans{store: banStore{dir}, loop: l}
	ids, err := b.store.load()
	if err != nil {
		return nil, err
	}
	l.ban(ids)
	return b, nil
}

// watch follows the store until the context ends: another process of this proxy may change it.
func (b *bans) watch(ctx context.Context) {
	tick := time.NewTicker(banPoll)
	defer tick.Stop()
	for failed := false; ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		err := b.apply()
		if err != nil && !failed { // once, not five times a second
			b.loop.log.Error("bans stand as they were", "error", err)
		}
		failed = err != nil
	}
}

// apply reads the store and returns once the loop acts on it.
func (b *bans) apply() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids, err := b.store.load()
	if err != nil {
		return err
	}
	n := banNews{ids: ids, done: make(chan struct{})}
	late := time.NewTimer(banApply)
	defer late.Stop()
	select {
	case b.loop.bans <- n:
	case <-b.loop.done:
		return nil // nothing is sent any more
	case <-late.C:
		return errors.New("the proxy did not act on the call in time")
	}
	select {
	case <-n.done:
		return nil
	case <-b.loop.done:
		return nil
	case <-late.C:
		return errors.New("the proxy did not act on the call in time")
	}
}

// known tells whether there may be a call on a server: a list has named it, or it is banned.
func (b *bans) known(id string) error {
	if b.loop.seen.has(id) {
		return nil
	}
	if _, err := os.Stat(b.store.path(id)); err == nil {
		return nil
	}
	return mgmt.ErrUnknown
}

func (b *bans) suspend(id string) error {
	if err := b.known(id); err != nil {
		return err
	}
	if err := b.store.add(id); err != nil {
		return err
	}
	return b.apply()
}

func (b *bans) resume(id string) error {
	if err := b.known(id); err != nil {
		return err
	}
	if err := b.store.remove(id); err != nil {
		return err
	}
	return b.apply()
}

// maxSeen bounds the names that are kept of servers that have left the list.
const maxSeen = 4096

// seen are the servers that some list has named.
type seen struct {
	mu    sync.Mutex
	at    map[string]int // when it was last named, in lists
	lists int
}

func newSeen() *seen { return &seen{at: map[string]int{}} }

// add notes the servers of a list. Where there are too many the ones not named for the longest go.
func (s *seen) add(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	for _, id := range ids {
		s.at[id] = s.lists
	}
	for len(s.at) > max(maxSeen, len(ids)) {
		oldest := s.lists
		for _, n := range s.at {
			oldest = min(oldest, n)
		}
		for id, n := range s.at {
			if n == oldest {
				delete(s.at, id)
			}
		}
	}
}

func (s *seen) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.at[id]
	return ok
}

func (s *seen) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.at))
	for id := range s.at {
		ids = append(ids, id)
	}
	return ids
}
