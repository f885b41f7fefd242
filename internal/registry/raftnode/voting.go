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
	peerPollInterval = 200 * time.Millisecond
	waitLogInterval  = 5 * time.Second
)

var errAbstaining = errors.New("this member has lost its directory and does not vote yet")

// voice is the transport of a member that may have to abstain: it answers no candidate then.
type votingTransport struct {
	*raft.NetworkTransport
	abstains atomic.Bool
	requests chan raft.RPC
	done     chan struct{}
}

func newVotingTransport(t *raft.NetworkTransport, abstain bool) *votingTransport {
	v := &votingTransport{NetworkTransport: t, requests: make(chan raft.RPC), done: make(chan struct{})}
	v.abstains.Store(abstain)
	go v.filter()
	return v
}

// Consumer implements raft.Transport.
func (v *votingTransport) Consumer() <-chan raft.RPC { return v.requests }

// Close implements raft.WithClose.
func (v *votingTransport) Close() error {
	err := v.NetworkTransport.Close()
	select {
	case <-v.done:
	default:
		close(v.done)
	}
	return err
}

func (v *votingTransport) filter() {
	for {
		select {
		case call := <-v.NetworkTransport.Consumer():
			if v.abstains.Load() && isElectionRequest(call.Command) {
				call.Respond(nil, errAbstaining)
				continue
			}
			select {
			case v.requests <- call:
			case <-v.done:
				return
			}
		case <-v.done:
			return
		}
	}
}

func isElectionRequest(command any) bool {
	switch command.(type) {
	case *raft.RequestVoteRequest, *raft.RequestPreVoteRequest, *raft.TimeoutNowRequest:
		return true
	}
	return false
}

// abstains tells whether this member has to abstain from elections. One with an empty directory waits until all others
// have told what they hold, since one that is not asked may be the one that knows.
func (m *Node) mustAbstain(ctx context.Context, fresh bool) (bool, error) {
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
				m.logger.Warn("this member's directory is empty and the service is not: it abstains until it has caught up",
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
		if time.Since(told) > waitLogInterval {
			told = time.Now()
			var missing []string
			for _, p := range m.cfg.Peers {
				if p.Name != m.cfg.Name && !empty[p.Name] {
					missing = append(missing, p.Name+" at "+p.API)
				}
			}
			m.logger.Warn("a new service begins when all its members are there", "missing", strings.Join(missing, ", "))
		}
		select {
		case <-time.After(peerPollInterval):
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// Waiting is the status of a member that has not opened yet.
func WaitingStatus(name string) Status {
	return Status{Name: name, Role: "joining", AgeMs: -1, Empty: true, SupportsConfigs: true}
}
