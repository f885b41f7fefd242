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

// Builds side by side. A build from before configurations passes over the command that puts one, as it does over all that
// it does not know, and would come to hold another state than the others. So a put is taken only where no member runs
// such a build: before each, the leader asks all. One that does not answer passes if there is a configuration already,
// since all knew them when the first came; for the first, all have to answer. A member that is set back to such a build
// later is found at the next put, and does not read the others' snapshots (state.Read): it says so and ends.

// buildWait is how long a put waits to hear what the other members run: one that is stopped delays each put by so much.
const capabilityTimeout = 500 * time.Millisecond

// BuildError is a member that keeps the service from taking configurations.
type IncompatibleMemberError struct {
	Member string
	Cause  error // it did not answer; nil: its build does not know configurations
}

func (e *IncompatibleMemberError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("member %s has not told whether its build knows configurations, and the first one needs all: start it, "+
			"and put it again (%v)", e.Member, e.Cause)
	}
	return fmt.Sprintf("member %s runs a build without configurations: replace it, and put it again", e.Member)
}

func (e *IncompatibleMemberError) Unwrap() error { return e.Cause }

// errNoText is a document that cannot be: its caller has not put it into the form that is kept.
var errInvalidJSON = errors.New("a document that is no JSON")

// Knows tells whether a member's build knows configurations. This one's does.
func (m *Node) SupportsConfigs(ctx context.Context, p Peer) error {
	if p.Name == m.cfg.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, capabilityTimeout)
	defer cancel()
	switch s, err := m.peers.status(ctx, p); {
	case err != nil:
		return &IncompatibleMemberError{p.Name, err}
	case !s.SupportsConfigs:
		return &IncompatibleMemberError{p.Name, nil}
	}
	return nil
}

// allKnow asks all members.
func (m *Node) checkAllSupportConfigs(ctx context.Context) error {
	_, _, any := m.configurations()
	faults := make([]error, len(m.cfg.Peers))
	var asked sync.WaitGroup
	for i, p := range m.cfg.Peers {
		asked.Go(func() { faults[i] = m.SupportsConfigs(ctx, p) })
	}
	asked.Wait()
	for _, err := range faults {
		var fault *IncompatibleMemberError
		if errors.As(err, &fault) && (fault.Cause == nil || !any) {
			return fault
		}
	}
	return nil
}

// Configure puts a service's document after a version. Only the leader can. With ErrUnsure it may happen yet.
func (m *Node) Configure(ctx context.Context, service string, after int64, document json.RawMessage) (state.Result, error) {
	if !json.Valid(document) {
		return state.Result{}, errInvalidJSON
	}
	if !m.isLeader() {
		return state.Result{}, ErrNotLeader
	}
	if err := m.checkAllSupportConfigs(ctx); err != nil {
		return state.Result{}, err
	}
	m.configWrites.RLock()
	defer m.configWrites.RUnlock()
	return m.Propose(state.Command{Kind: state.CommandConfigure, Service: service, After: after, Document: document})
}

// Configuration is a service's configuration on this member, and the line that its version is of.
func (m *Node) Configuration(service string) (line string, c state.Configuration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok = m.state.Configuration(service)
	return m.state.Epoch(), c, ok
}

func (m *Node) configurations() (all []state.Configuration, newest int64, any bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := state.Snapshot{Version: m.state.Version(), Configs: m.state.Configurations()}
	return i.Configs, i.NewestVersion(), len(i.Configs) > 0
}

// Others are the members but for this one.
func (m *Node) Peers() []Peer {
	var out []Peer
	for _, p := range m.cfg.Peers {
		if p.Name != m.cfg.Name {
			out = append(out, p)
		}
	}
	return out
}

// Ask has another member answer a call of its address with JSON, of at most so many bytes.
func (m *Node) CallPeer(ctx context.Context, of Peer, path string, most int64, out any) error {
	return m.peers.get(ctx, of, path, most, out)
}
