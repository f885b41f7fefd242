package raftnode

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const (
	maxPooledConnections = 3 // idle connections to each peer
	ioTimeout            = 5 * time.Second
)

// errAbstaining is the response to a candidate while this node abstains from elections.
var errAbstaining = errors.New("this member has lost its directory and does not vote yet")

// votingTransport is a raft transport that rejects election requests while the node abstains from elections.
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

// filter passes incoming requests on to Consumer, except for election requests while the node abstains.
func (v *votingTransport) filter() {
	for {
		select {
		case request := <-v.NetworkTransport.Consumer():
			if v.abstains.Load() && isElectionRequest(request.Command) {
				request.Respond(nil, errAbstaining)
				continue
			}
			select {
			case v.requests <- request:
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

// UnknownMemberError reports a member of the cluster that is missing from this node's configuration.
type UnknownMemberError struct{ Member string }

// Error returns the member and what the operator has to do.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("member %q is not in this member's configuration: add it there", e.Member)
}

// peerAddresses resolves members by name with this node's configuration, so that a member's address may
// change.
type peerAddresses []Peer

// ServerAddr implements raft.ServerAddressProvider.
func (a peerAddresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range a {
		if p.Name == string(id) {
			return raft.ServerAddress(p.Raft), nil
		}
	}
	return "", &UnknownMemberError{string(id)}
}

// streamLayer implements raft.StreamLayer over plain TCP.
type streamLayer struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// listen opens the address for raft's traffic: cfg.Listen, or else the node's own raft address in cfg.Peers.
func listen(cfg Config) (streamLayer, error) {
	address := cfg.Listen
	for _, p := range cfg.Peers {
		if p.Name == cfg.Name && address == "" {
			address = p.Raft
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return streamLayer{}, fmt.Errorf("listen for the other members: %w", err)
	}
	return streamLayer{l}, nil
}
