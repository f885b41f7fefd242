package run

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/catalog"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/stubserver"
)

// server is a stub server with its entry in the list, over all its processes.
type server struct {
	*stubserver.Server
	mu         sync.Mutex
	node       experiment.Node
	cell       int
	entry      catalog.Entry
	downFaults int          // number of active faults that keep it down
	endRefusal func() error // ends the refusal of connections while only its process is down
}

// address returns the address at which a proxy reaches a server.
func (bed *testbed) address(proxy, name string) string {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.addresses[bed.linkGroup(bed.proxies[proxy].node)+"/"+name]
}

// Job returns the work of a request; false if its ID is unknown. It and OverloadFailed implement
// stubserver.Lab.
func (bed *testbed) Job(id string) (stubserver.Job, bool) { return bed.client.Job(id) }

// OverloadFailed takes down, for the rest of the play, a server that failed under overload.
func (bed *testbed) OverloadFailed(name string) {
	bed.log.Warn("server failed under overload", "endpoint", name)
	bed.recordError(bed.takeDown(bed.server(name)))
}

func (bed *testbed) server(name string) *server {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return bed.servers[name]
}

// serversInZone returns the servers of a zone, sorted by name.
func (bed *testbed) serversInZone(zone string) (out []*server) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, server := range bed.servers {
		if server.node.Zone == zone {
			out = append(out, server)
		}
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.node.Name, b.node.Name) })
	return out
}

// zoneCells is the number of cells in a zone.
const zoneCells = 4

// cellOf returns the cell of a server, from the index of its zone and its own number. Cells are numbered
// within a tier.
func cellOf(zone, number int) int { return zone*zoneCells + number%zoneCells }

// addServer creates a server with a link from each link group, and starts it at a time, with slow start if
// cold.
func (bed *testbed) addServer(n experiment.Node, cell int, at time.Time, cold bool) (*server, error) {
	if len(n.Name) > maxServerName {
		return nil, fmt.Errorf("%w: the name of nodo %s is too long, configure fewer replacements",
			errTooLarge, n.Name)
	}
	c, number := bed.experiment.Servers, cell
	cell = cellOf(slices.Index(bed.experiment.ZoneNames(), n.Zone), number)
	server := &server{node: n, cell: cell, Server: stubserver.New(stubserver.Spec{Name: n.Name, Zone: n.Zone, Cell: cell,
		Speed: n.Group.Speed, Slots: n.Group.Slots, Queue: n.Group.Queue, MaxConnections: c.MaxConnections,
		ConnectDelay: experiment.Millis(c.ConnectMs), ConnectWork: experiment.Millis(c.ConnectWork),
		IdleTimeout: experiment.Millis(bed.experiment.Proxy.IdleTimeoutMs), StartCapacity: c.StartCapacity, SlowStart: experiment.Millis(c.SlowStartMs),
		OverloadMultiple: c.OverloadMultiple, OverloadWindow: experiment.Millis(c.OverloadFailureMs), CancelsWork: c.CancelsWork,
		Seed: bed.plan.Seed + uint64(number)}, bed, bed.ref)}
	bed.startServer(server, at, cold)
	bed.mu.Lock()
	bed.servers[n.Name] = server
	bed.mu.Unlock()
	seen := map[string]bool{}
	for _, proxy := range bed.proxyOrder {
		group := bed.linkGroup(proxy.node)
		if seen[group] {
			continue
		}
		seen[group] = true
		bed.mu.Lock()
		addr, err := bed.block.server(bed.serverLinks)
		bed.serverLinks++
		bed.addresses[group+"/"+n.Name] = addr
		bed.mu.Unlock()
		if err != nil {
			return nil, err
		}
		ends := link.Ends{Kind: "nodo", From: proxy.node.Name, FromZone: proxy.node.Zone, To: n.Name, ToZone: n.Zone}
		if strings.HasPrefix(group, zoneGroupPrefix) {
			ends.From = ""
		}
		if _, err := bed.net.Listen(ends, addr, bed.delay(proxy.node.Zone, n.Zone), server.Serve); err != nil {
			return nil, err
		}
	}
	return server, nil
}

// startServer starts a server's process, with slow start from the given time if cold. A zero time stands for
// a start long ago.
func (bed *testbed) startServer(server *server, at time.Time, cold bool) {
	server.Start(at, cold)
	since := int64(0)
	if cold {
		since = at.UnixMilli()
	}
	server.mu.Lock()
	server.entry = catalog.Entry{Name: server.node.Name, Zone: server.node.Zone, Type: cmp.Or(server.node.Group.Kind, "lab"), Group: server.cell,
		Status: catalog.Serving, Since: since}
	server.mu.Unlock()
	bed.ref.RecordServerState(server.node.Name,
		referee.ServerState{Zone: server.node.Zone, Cell: server.cell, Serving: true, Since: since}, at)
}

// setStatus records a server's status and announces it to the list.
func (bed *testbed) setStatus(server *server, status string) {
	server.mu.Lock()
	server.entry.Status = status
	entry := server.entry
	server.mu.Unlock()
	bed.ref.RecordServerState(entry.Name, referee.ServerState{Zone: entry.Zone, Cell: entry.Group, Serving: status == catalog.Serving,
		Since: entry.Since}, time.Now())
	bed.announce(entry)
}

// linksToServer returns a function that matches the links from proxies to a server.
func linksToServer(name string) func(link.Ends) bool {
	return func(ends link.Ends) bool { return ends.Kind == "nodo" && ends.To == name }
}

// takeDown ends a server's process: its connections are reset, new ones are refused, and the list is
// notified.
func (bed *testbed) takeDown(server *server) error {
	server.mu.Lock()
	server.downFaults++
	var err error
	if server.endRefusal == nil {
		server.endRefusal, err = bed.net.Apply(linksToServer(server.node.Name), link.Effect{Refuse: true})
	}
	server.mu.Unlock()
	server.Stop()
	bed.net.Reset(linksToServer(server.node.Name))
	bed.setStatus(server, catalog.Deleted)
	return err
}

// takeDownSilently ends a server with its machine. The caller has silenced its links, so nothing is reset or
// refused.
func (bed *testbed) takeDownSilently(server *server) {
	server.mu.Lock()
	server.downFaults++
	server.mu.Unlock()
	server.Stop()
	bed.setStatus(server, catalog.Deleted)
}

// bringUp ends one of the faults that keep a server down. With the last one, the server's process starts
// again, with slow start.
func (bed *testbed) bringUp(server *server) error {
	server.mu.Lock()
	server.downFaults--
	down, end := server.downFaults > 0, server.endRefusal
	if !down {
		server.endRefusal = nil
	}
	server.mu.Unlock()
	if down {
		return nil
	}
	bed.startServer(server, time.Now(), true)
	var err error
	if end != nil {
		err = end()
	}
	bed.setStatus(server, catalog.Serving)
	return err
}
