package raftnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"merlinpick/internal/registry/state"
)

// Mixed builds. A build without configurations skips the command that writes one, and its state would diverge
// from the others'. So the leader asks all members before each write whether their build supports
// configurations. The first write needs an answer from every member. Later writes go on without the members
// that do not answer, since all members supported configurations when the first one was written. A member
// that is downgraded to such a build afterwards is detected at the next write, and rejects the snapshots of
// the others.

// capabilityTimeout is the longest time that a write waits for a member that does not answer.
const capabilityTimeout = 500 * time.Millisecond

// IncompatibleMemberError reports a member that prevents the cluster from writing configurations.
type IncompatibleMemberError struct {
	Member string
	Cause  error // why the member did not answer; nil: its build does not support configurations
}

// Error returns the member, the cause and what the operator has to do.
func (e *IncompatibleMemberError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("member %s has not told whether its build knows configurations, and the first one needs all: start it, "+
			"and put it again (%v)", e.Member, e.Cause)
	}
	return fmt.Sprintf("member %s runs a build without configurations: replace it, and put it again", e.Member)
}

// Unwrap returns Cause, which may be nil.
func (e *IncompatibleMemberError) Unwrap() error { return e.Cause }

// errInvalidJSON reports a document that is not JSON. Callers have to pass documents in canonical form
// (settings.Canonical).
var errInvalidJSON = errors.New("the document is not valid JSON")

// SupportsConfigs returns an *IncompatibleMemberError unless the peer answers that its build supports
// configurations.
func (n *Node) SupportsConfigs(ctx context.Context, p Peer) error {
	if p.Name == n.cfg.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, capabilityTimeout)
	defer cancel()
	switch status, err := n.peers.status(ctx, p); {
	case err != nil:
		return &IncompatibleMemberError{p.Name, err}
	case !status.SupportsConfigs:
		return &IncompatibleMemberError{p.Name, nil}
	}
	return nil
}

// checkAllSupportConfigs returns an *IncompatibleMemberError if a member prevents a write of a configuration.
func (n *Node) checkAllSupportConfigs(ctx context.Context) error {
	haveConfigs := len(n.configSnapshot().Configs) > 0
	errs := make([]error, len(n.cfg.Peers))
	var wg sync.WaitGroup
	for i, p := range n.cfg.Peers {
		wg.Go(func() { errs[i] = n.SupportsConfigs(ctx, p) })
	}
	wg.Wait()
	for _, err := range errs {
		var incompatible *IncompatibleMemberError
		if errors.As(err, &incompatible) && (incompatible.Cause == nil || !haveConfigs) {
			return incompatible
		}
	}
	return nil
}

// Configure writes a service's document if the service's newest version equals expected; otherwise the result
// code is state.ResultConflict. It fails with the errors of Propose and with *IncompatibleMemberError.
func (n *Node) Configure(ctx context.Context, service string, expected int64, document json.RawMessage) (state.Result, error) {
	if !json.Valid(document) {
		return state.Result{}, errInvalidJSON
	}
	if !n.isLeader() {
		return state.Result{}, ErrNotLeader
	}
	if err := n.checkAllSupportConfigs(ctx); err != nil {
		return state.Result{}, err
	}
	n.configWrites.RLock()
	defer n.configWrites.RUnlock()
	return n.Propose(state.Command{Kind: state.CommandConfigure, Service: service, After: expected, Document: document})
}

// Configuration returns this node's copy of a service's configuration, and the epoch of its version.
func (n *Node) Configuration(service string) (epoch string, c state.Configuration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok = n.state.Configuration(service)
	return n.state.Epoch(), c, ok
}

// configSnapshot returns a snapshot that holds only the list's version and the configurations.
func (n *Node) configSnapshot() state.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return state.Snapshot{Version: n.state.Version(), Configs: n.state.Configurations()}
}
