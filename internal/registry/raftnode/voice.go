package raftnode

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// abstainKey is the word that a member's disk keeps while it abstains.
var abstainKey = []byte("Abstains")

const (
	askAgain  = 200 * time.Millisecond
	tellAgain = 5 * time.Second
)

var errAbstains = errors.New("this member has lost its directory and does not vote yet")

// voice is the transport of a member that may have to abstain: it answers no candidate then.
type voice struct {
	*raft.NetworkTransport
	abstains atomic.Bool
	calls    chan raft.RPC
	done     chan struct{}
}

func newVoice(t *raft.NetworkTransport, abstain bool) *voice {
	v := &voice{NetworkTransport: t, calls: make(chan raft.RPC), done: make(chan struct{})}
	v.abstains.Store(abstain)
	go v.pass()
	return v
}

// Consumer implements raft.Transport.
func (v *voice) Consumer() <-chan raft.RPC { return v.calls }

// Close implements raft.WithClose.
func (v *voice) Close() error {
	err := v.NetworkTransport.Close()
	select {
	case <-v.done:
	default:
		close(v.done)
	}
	return err
}

func (v *voice) pass() {
	for {
		select {
		case call := <-v.NetworkTransport.Consumer():
			if v.abstains.Load() && isCandidates(call.Command) {
				call.Respond(nil, errAbstains)
				continue
			}
			select {
			case v.calls <- call:
			case <-v.done:
				return
			}
		case <-v.done:
			return
		}
	}
}

func isCandidates(command any) bool {
	switch command.(type) {
	case *raft.RequestVoteRequest, *raft.RequestPreVoteRequest, *raft.TimeoutNowRequest:
		return true
	}
	return false
}

// abstains tells whether this member has to abstain from elections. One with an empty directory waits until all others
// have told what they hold, since one that is not asked may be the one that knows.
func (m *Node) abstains(ctx context.Context, fresh bool) (bool, error) {
	if !fresh {
		v, err := m.store.Get(abstainKey)
		return err == nil && len(v) == 1 && v[0] == 1, nil // never set: it never had to
	}
	empty := map[string]bool{} // those that have told so
	told := time.Now()
	for {
		for _, p := range m.cfg.Peers {
			if p.Name == m.cfg.Name {
				continue
			}
			s, err := m.peers.status(ctx, p)
			if err != nil {
				delete(empty, p.Name)
				continue
			}
			if !s.Empty {
				m.log.Warn("this member's directory is empty and the service is not: it abstains until it has caught up",
					"other", p.Name)
				if err := m.store.Set(abstainKey, []byte{1}); err != nil {
					return false, fmt.Errorf("note that it abstains: %w", err)
				}
				return true, nil
			}
			empty[p.Name] = true
		}
		if len(empty) == len(m.cfg.Peers)-1 {
			return false, nil
		}
		if time.Since(told) > tellAgain {
			told = time.Now()
			var missing []string
			for _, p := range m.cfg.Peers {
				if p.Name != m.cfg.Name && !empty[p.Name] {
					missing = append(missing, p.Name+" at "+p.API)
				}
			}
			m.log.Warn("a new service begins when all its members are there", "missing", strings.Join(missing, ", "))
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// Waiting is the status of a member that has not opened yet.
func WaitingStatus(name string) Status {
	return Status{Name: name, Role: "joining", AgeMs: -1, Empty: true, Configs: true}
}
