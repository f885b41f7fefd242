package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/handover"
)

// listSyncTimeout is how long a successor waits for discovery before it serves with the list that it has. It
// must be ready within discovery.NotifyDeadline (6 s).
const listSyncTimeout = 3 * time.Second

// errNoDescriptor reports a client listener that cannot be passed to a successor.
var errNoDescriptor = errors.New("the listener for clients has no file descriptor to share with a successor")

// inheritState imports the predecessor's state, if there is one, and shares the limits with it from now on.
func (p *Proxy) inheritState() {
	if p.predecessor == nil {
		return
	}
	state := p.predecessor.State
	p.syncTimeout = min(p.syncTimeout, listSyncTimeout)
	p.loop.balancer.ImportRetryBudget(state.RetryBudgetAt(p.loop.clock.now()))
	p.loop.list.knownServers.Add(state.KnownServers...)
	p.addOtherProcesses(1)
}

// exportState returns the state for a successor, and shares the limits with it from now on.
func (p *Proxy) exportState() (handover.State, error) {
	exported := make(chan handover.State, 1)
	p.loop.post(func() {
		now := p.loop.clock.now()
		used := p.loop.balancer.ExportRetryBudget(now)
		exported <- handover.State{
			RetryBudget:  handover.RetryBudgetUsage{Requests: used.Requests, Retries: used.Retries},
			KnownServers: p.loop.list.knownServers.All(), Now: now, SharesExecutions: true, SharesList: true,
		}
	})
	select {
	case state := <-exported:
		p.addOtherProcesses(1)
		return state, nil
	case <-p.loop.done:
		return handover.State{}, ErrStopped
	}
}

// serve accepts clients until the listener is closed. If there is a predecessor, it first waits for a list
// from discovery, for at most listSyncTimeout; until then the predecessor accepts all clients.
func (p *Proxy) serve(ctx context.Context) error {
	if p.predecessor != nil && !p.awaitList(ctx) {
		return nil
	}
	if p.config.Managed {
		// If this fails, a successor must open its own listener, and some connections are reset.
		if err := p.startHandover(); err != nil {
			p.config.Logger.Error("handover to a successor not available", "error", err)
		}
	}
	if !p.frontend.IsHealthy() {
		p.config.Logger.Info("not ready", "reason", p.NotReadyReason())
	}
	if p.predecessor != nil {
		if err := p.predecessor.NotifyServing(); err != nil {
			p.config.Logger.Warn("could not notify the predecessor that this process is serving",
				"error", err)
		}
	}
	return p.frontend.Serve()
}

// awaitList waits for a list from discovery, for at most listSyncTimeout. It returns false if the context
// ended first.
func (p *Proxy) awaitList(ctx context.Context) bool {
	timeout := time.NewTimer(listSyncTimeout)
	defer timeout.Stop()
	select {
	case <-p.loop.list.synced:
	case <-timeout.C:
		p.config.Logger.Warn("endpoint list not synced, serving with the last known list",
			"duration", listSyncTimeout)
	case <-ctx.Done():
		return false
	}
	return true
}

// startHandover starts the server from which a successor takes over the client listener.
func (p *Proxy) startHandover() error {
	clientListener, ok := p.frontend.Listener.Listener.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	hooks := handover.Hooks{ExportState: p.exportState, SuccessorDisconnected: func() { p.addOtherProcesses(-1) },
		SuccessorServing: p.executedRequests, HeldList: p.exportList, Receiver: p.otherProcessReceiver()}
	s, err := handover.Start(p.config.StateDir, clientListener, hooks, p.config.Logger)
	if err != nil {
		return err
	}
	p.handover.Store(s)
	return nil
}

// executedRequests returns the hashes of the IDs of all requests that must not be executed again.
func (p *Proxy) executedRequests() []uint64 {
	all := make(chan []uint64, 1)
	p.loop.post(func() { all <- p.loop.executedRequests() })
	select {
	case ids := <-all:
		return ids
	case <-p.loop.done:
		return nil
	}
}

// otherProcessReceiver returns what takes the messages of another process of this proxy.
func (p *Proxy) otherProcessReceiver() handover.Receiver {
	return handover.Receiver{
		Executed:     func(e handover.Execution) { p.loop.post(func() { p.loop.handleExecution(e) }) },
		EndpointList: func(list discovery.HeldList) { p.listClient.AdoptList(p.loop.stopped, list) },
	}
}

// shareExecution tells the other processes of this proxy about a request. It does not block.
func (p *Proxy) shareExecution(e handover.Execution) {
	if p.predecessor != nil {
		p.predecessor.ShareExecution(e)
	}
	if s := p.handover.Load(); s != nil {
		s.ShareExecution(e)
	}
}

// exportList returns the complete endpoint list that requests are routed by, or nil if there is none yet.
func (p *Proxy) exportList() *discovery.HeldList {
	held := make(chan *discovery.HeldList, 1)
	p.loop.post(func() { held <- p.loop.list.held.export() })
	select {
	case list := <-held:
		return list
	case <-p.loop.done:
		return nil
	}
}

// notifyListChanged tells the other processes of this proxy that discovery has changed the endpoint list. It does
// not block.
func (p *Proxy) notifyListChanged() {
	if p.predecessor != nil {
		p.predecessor.NotifyListChanged()
	}
	if s := p.handover.Load(); s != nil {
		s.NotifyListChanged()
	}
}

// closeHandover closes the handover server, which tells a successor that this process has ended.
func (p *Proxy) closeHandover() {
	if s := p.handover.Load(); s != nil {
		s.Close()
	}
}

// successorServing reports whether a successor process accepts clients.
func (p *Proxy) successorServing() bool {
	s := p.handover.Load()
	return s != nil && s.SuccessorServing()
}

// addOtherProcesses adds n to the number of other running processes of this proxy: a predecessor, a
// successor. While there is one, each process has half of the limits.
func (p *Proxy) addOtherProcesses(n int32) {
	others := p.otherProcesses.Add(n)
	p.applyResourceShare(others > 0)
	if others == 0 {
		p.loop.post(func() { p.loop.balancer.HandleOtherProcessExit(p.loop.clock.now()) })
	}
}
