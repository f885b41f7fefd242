package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/registry/config"
)

// breakableLink relays connections between a member and the others. While it is broken, it closes all
// connections.
type breakableLink struct {
	mu          sync.Mutex
	broken      bool
	connections map[net.Conn]bool
}

func (b *breakableLink) track(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken {
		c.Close()
		return false
	}
	b.connections[c] = true
	return true
}

func (b *breakableLink) setBroken(broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = broken
	if broken {
		for c := range b.connections {
			c.Close()
		}
		clear(b.connections)
	}
}

// relayTo returns an address whose connections the link relays to addr.
func (b *breakableLink) relayTo(t *testing.T, addr string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { l.Close(); b.setBroken(true); all.Wait() })
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				if !b.track(c) {
					return
				}
				defer c.Close()
				out, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil || !b.track(out) {
					return
				}
				defer out.Close()
				back := make(chan struct{})
				go func() { defer close(back); _, _ = io.Copy(c, out); c.Close() }()
				_, _ = io.Copy(out, c)
				out.Close()
				<-back
			})
		}
	})
	return l.Addr().String()
}

// A partitioned member accepts no write, and its proxies move to other members in time to apply a change
// within the documented bound. After the partition it has what was written meanwhile.
func TestPartitionedMemberRejectsConfigWrites(t *testing.T) {
	links := []*breakableLink{{connections: map[net.Conn]bool{}}, {connections: map[net.Conn]bool{}},
		{connections: map[net.Conn]bool{}}}
	// Each member reaches each other one through the links of both.
	s := startCluster(t, 3, func(i int, f *config.File) {
		for j := range f.Members {
			if m := &f.Members[j]; i != j {
				m.Raft, m.List = links[i].relayTo(t, links[j].relayTo(t, m.Raft)),
					links[i].relayTo(t, links[j].relayTo(t, m.List))
			} else {
				f.RaftListen = m.Raft
			}
		}
	})
	all := newProxies(t, s, 6)
	for _, f := range all {
		f.start()
	}
	version, at := s.putConfig(t, 0, document("before"))
	awaitApplied(t, all, version, "before", at, waitTimeout)
	l := s.awaitLeader(t)
	links[l].setBroken(true)
	// Clients still reach it, and it leads until its leadership is checked.
	status, _, text, err := s.putConfigAt(l, version, document("lost"))
	if err != nil || status != 503 {
		t.Errorf("a write at the partitioned leader: %d %s, %v", status, text, err)
	}
	var confirmed int64
	waitFor(t, "the other members to accept a write", func() bool {
		status, v, _, err := s.putConfigAt((l+1)%3, version, document("after"))
		confirmed, at = v, time.Now()
		return err == nil && status == 200
	})
	t.Logf("applied by all proxies after %v", awaitApplied(t, all, confirmed, "after", at, appliedWithin))
	if text, err := get(t.Context(), time.Second, "http://"+s.addresses[l]+"/config/tarifas"); err == nil || !errors.Is(err, errRejected) {
		t.Errorf("the partitioned member answers %s, %v", text, err)
	}
	links[l].setBroken(false)
	s.awaitServing()
	if c := s.config(t, l); c.Version != confirmed || !bytes.Contains(c.Document, []byte("after")) {
		t.Errorf("after the partition the member has version %d instead of %d: %s", c.Version, confirmed,
			c.Document)
	}
}
