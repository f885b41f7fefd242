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

// Mixed builds. A build without configurations skips the command that writes one and would diverge from the others. So
// the leader asks all members before each write. A member that does not answer is let pass if there is a configuration
// already, since all members supported them when the first was written; the first needs an answer from all. A member that
// is later downgraded to such a build is found at the next write, and refuses the snapshots of the others.

// capabilityTimeout bounds how long a write waits for a member that does not answer.
const capabilityTimeout = 500 * time.Millisecond

// IncompatibleMemberError is a member that keeps the cluster from writing configurations.
type IncompatibleMemberError struct {
	Member string
	Cause  error // why it did not answer; nil: its build has no configurations
}

// Error names the member and the remedy.
func (e *IncompatibleMemberError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("member %s has not told whether its build knows configurations, and the first one needs all: start it, "+
			"and put it again (%v)", e.Member, e.Cause)
	}
	return fmt.Sprintf("member %s runs a build without configurations: replace it, and put it again", e.Member)
}

// Unwrap returns the cause.
func (e *IncompatibleMemberError) Unwrap() error { return e.Cause }

// errInvalidJSON is a document that the caller has not brought into canonical form (settings.Canonical).
var errInvalidJSON = errors.New("the document is no JSON")

// SupportsConfigs returns an *IncompatibleMemberError unless the peer answers that its build has configurations.
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

func (n *Node) checkAllSupportConfigs(ctx context.Context) error {
	haveConfigs := len(n.configSnapshot().Configs) > 0
	errs := make([]error, len(n.cfg.Peers))
	var asking sync.WaitGroup
	for i, p := range n.cfg.Peers {
		asking.Go(func() { errs[i] = n.SupportsConfigs(ctx, p) })
	}
	asking.Wait()
	for _, err := range errs {
		var incompatible *IncompatibleMemberError
		if errors.As(err, &incompatible) && (incompatible.Cause == nil || !haveConfigs) {
			return incompatible
		}
	}
	return nil
}

// Configure writes a service's document if the service's newest version equals expected; otherwise the result is
// state.ResultConflict. The errors are those of Propose, and *IncompatibleMemberError.
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

// Configuration returns a service's configuration as this node has it, and the epoch of its version.
func (n *Node) Configuration(service string) (epoch string, c state.Configuration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok = n.state.Configuration(service)
	return n.state.Epoch(), c, ok
}

// configSnapshot is the configurations and the list's version alone.
func (n *Node) configSnapshot() state.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return state.Snapshot{Version: n.state.Version(), Configs: n.state.Configurations()}
}
