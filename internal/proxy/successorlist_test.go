package proxy

import (
	"fmt"
	"testing"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
)

// upgradeFixture is a proxy that is about to be replaced. Since its start discovery has told it that server "gone"
// is gone, and that servers "new" and "next" are there.
type upgradeFixture struct {
	gone, new, next *proxytest.Backend
	discovery       *fakeDiscovery
	out             *fakeDiscovery // another one, which is down
	state           string
	configured      string // list of the configuration: "gone" alone
	predecessor     *runningProxy
}

func startUpgrade(t *testing.T) *upgradeFixture {
	t.Helper()
	reply := proxytest.RespondWith(proxytest.OKResponse, true)
	f := &upgradeFixture{gone: proxytest.StartBackend(t, reply), new: proxytest.StartBackend(t, reply),
		next: proxytest.StartBackend(t, reply), discovery: startDiscovery(t), out: startDiscovery(t), state: t.TempDir()}
	f.out.refusing.Store(true)
	f.configured = listJSON(1, true, endpointJSON("gone", f.gone.Addr, discovery.StatusServing))
	f.predecessor = startProxyAt(t, f.discovery.addr, 400, f.configured, f.state)
	f.discovery.responses <- listJSON(2, false, endpointJSON("gone", f.gone.Addr, discovery.StatusDeleted),
		endpointJSON("new", f.new.Addr, discovery.StatusServing), endpointJSON("next", f.next.Addr, discovery.StatusServing))
	proxytest.WaitUntil(t, func() bool { return f.predecessor.handover.Load() != nil && f.predecessor.Metrics().ListedServers == 2 })
	return f
}

// replace starts a successor, ends the predecessor once the successor is ready, and sends requests to the successor.
func (f *upgradeFixture) replace(t *testing.T, discoveryAddr, configured string) (successor *runningProxy) {
	t.Helper()
	successor = startProxyAt(t, discoveryAddr, 400, configured, f.state)
	if successor.predecessor == nil {
		t.Fatal("the successor found no predecessor")
	}
	proxytest.WaitUntil(t, successor.Ready)
	f.endPredecessor(t)
	f.sendRequests(t, successor)
	return successor
}

func (f *upgradeFixture) endPredecessor(t *testing.T) {
	t.Helper()
	f.predecessor.stop()
	err := proxytest.Receive(t, "end of the predecessor", f.predecessor.done)
	f.predecessor.done <- err
	if err != nil {
		t.Error(err)
	}
}

func (f *upgradeFixture) sendRequests(t *testing.T, p *runningProxy) {
	t.Helper()
	for i := range 20 {
		if status := requestOnce(p.Addr(), proxytest.LookRequest(fmt.Sprint("after", i), 4000)); status != 200 {
			t.Errorf("request %d to the successor: got status %d, want 200", i, status)
		}
	}
}

// expectNothingSentTo checks that a server got no request.
func expectNothingSentTo(t *testing.T, name string, b *proxytest.Backend) {
	t.Helper()
	if n := b.Requests.Load(); n > 0 {
		t.Errorf("%d requests reached server %q, which discovery had told the proxy is gone or drains; want none", n, name)
	}
}

// TestSuccessorStartsFromPredecessorsList guards against requests to servers that are gone after an upgrade while
// discovery is down: the successor used the list of its configuration, not the one that its predecessor was told.
// A higher version of the configuration's list counts only within one source, and as long as discovery does not begin
// to count anew.
func TestSuccessorStartsFromPredecessorsList(t *testing.T) {
	t.Run("same list in the configuration", func(t *testing.T) {
		f := startUpgrade(t)
		f.discovery.refusing.Store(true)
		f.replace(t, f.discovery.addr, f.configured)
		expectNothingSentTo(t, "gone", f.gone)
	})
	t.Run("higher version in the configuration, of another source", func(t *testing.T) {
		f := startUpgrade(t)
		f.replace(t, f.out.addr, listJSON(100, true, endpointJSON("gone", f.gone.Addr, discovery.StatusServing)))
		expectNothingSentTo(t, "gone", f.gone)
	})
	t.Run("higher version in the configuration, and discovery counts anew", func(t *testing.T) {
		f := startUpgrade(t)
		f.discovery.responses <- listJSON(1, false) // a lower version: the whole list is requested
		f.discovery.responses <- listJSON(1, true, endpointJSON("new", f.new.Addr, discovery.StatusServing))
		proxytest.WaitUntil(t, func() bool { return f.predecessor.Metrics().ListedServers == 1 })
		f.discovery.refusing.Store(true)
		f.replace(t, f.discovery.addr, listJSON(2, true, endpointJSON("gone", f.gone.Addr, discovery.StatusServing)))
		expectNothingSentTo(t, "gone", f.gone)
	})
	t.Run("newer list in the configuration", func(t *testing.T) {
		f := startUpgrade(t)
		f.discovery.refusing.Store(true)
		f.replace(t, f.discovery.addr, listJSON(3, true, endpointJSON("next", f.next.Addr, discovery.StatusServing)))
		expectNothingSentTo(t, "new", f.new)
	})
	t.Run("no list in the configuration", func(t *testing.T) {
		f := startUpgrade(t)
		f.replace(t, f.out.addr, "")
		expectNothingSentTo(t, "gone", f.gone)
	})
	t.Run("of a successor before", func(t *testing.T) { // it has got the list from its predecessor alone
		f := startUpgrade(t)
		f.predecessor = f.replace(t, f.out.addr, f.configured)
		f.replace(t, f.out.addr, f.configured)
		expectNothingSentTo(t, "gone", f.gone)
	})
}

// TestNewsDuringUpgradeReachSuccessor guards against requests to a server that drains, of which discovery has told
// the predecessor alone, after the successor had connected.
func TestNewsDuringUpgradeReachSuccessor(t *testing.T) {
	f := startUpgrade(t)
	successor := startProxyAt(t, f.out.addr, 400, f.configured, f.state)
	f.discovery.responses <- listJSON(3, false, endpointJSON("new", f.new.Addr, discovery.StatusDeleted))
	proxytest.WaitUntil(t, func() bool {
		return f.predecessor.Metrics().ListedServers == 1 && successor.Metrics().ListedServers == 1
	})
	proxytest.WaitUntil(t, successor.Ready)
	f.endPredecessor(t)
	f.sendRequests(t, successor)
	expectNothingSentTo(t, "gone", f.gone)
	expectNothingSentTo(t, "new", f.new)
}

// TestNewsDuringUpgradeReachPredecessor guards against requests of the predecessor to servers that are gone, of which
// discovery has told the successor alone.
func TestNewsDuringUpgradeReachPredecessor(t *testing.T) {
	reply := proxytest.RespondWith(proxytest.OKResponse, true)
	gone, new := proxytest.StartBackend(t, reply), proxytest.StartBackend(t, reply)
	silent, answering, state := startDiscovery(t), startDiscovery(t), t.TempDir()
	configured := listJSON(1, true, endpointJSON("gone", gone.Addr, discovery.StatusServing),
		endpointJSON("draining", gone.Addr, discovery.StatusServing))
	predecessor := startProxyAt(t, silent.addr, 400, configured, state)
	proxytest.WaitUntil(t, func() bool { return predecessor.handover.Load() != nil })
	kept := connect(t, predecessor)

	successor := startProxyAt(t, answering.addr, 400, configured, state)
	answering.responses <- listJSON(7, true, endpointJSON("new", new.Addr, discovery.StatusServing))
	for _, p := range []*runningProxy{successor, predecessor} {
		proxytest.WaitUntil(t, func() bool { return p.Metrics().ListedServers == 1 })
	}
	for i := range 20 {
		kept.Send(t, proxytest.LookRequest(fmt.Sprint("kept", i), 4000))
		if response, _ := kept.ReadResponse(t); response.StatusCode != 200 {
			t.Errorf("request %d to the predecessor: got %s, want 200", i, response.Status)
		}
	}
	expectNothingSentTo(t, "gone", gone)
}
