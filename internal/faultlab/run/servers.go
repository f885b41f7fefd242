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

// server is a server of the fleet, with what the list says of it.
type server struct {
	*stubserver.Server
	mu     sync.Mutex
	node   experiment.Node
	cell   int
	entry  catalog.Entry
	downs  int          // faults that keep it down
	refuse func() error // ends the refusal of connections, if its process is down and its machine is not
}

// address is where a proxy finds a server.
func (f *fleet) address(proxy, name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addrs[f.group(f.members[proxy].node)+"/"+name]
}

// Job and Fell make the fleet the servers' world.
func (f *fleet) Job(id string) (stubserver.Job, bool) { return f.client.Job(id) }

// Fell takes a server down for good.
func (f *fleet) Fell(name string) {
	f.log.Warn("a cold nodo fell over", "nodo", name)
	f.note(f.down(f.server(name)))
}

func (f *fleet) server(name string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name]
}

// serversOf are the servers of a zone.
func (f *fleet) serversOf(zone string) (out []*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.node.Zone == zone {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.node.Name, b.node.Name) })
	return out
}

// zoneCells is how many cells the servers of a zone make up.
const zoneCells = 4

// cellOf is the cell of a server by its zone and its own number. Numbers of cells are unique within a tier, as on the platform.
func cellOf(zone, number int) int { return zone*zoneCells + number%zoneCells }

// addServer makes a server with a link from each group of proxies, and starts it.
func (f *fleet) addServer(n experiment.Node, cell int, at time.Time, cold bool) (*server, error) {
	if len(n.Name) > maxServerName {
		return nil, fmt.Errorf("nodo %s: replaced too often", n.Name)
	}
	c, number := f.exp.Servers, cell
	cell = cellOf(slices.Index(f.exp.ZoneNames(), n.Zone), number)
	s := &server{node: n, cell: cell, Server: stubserver.New(stubserver.Spec{Name: n.Name, Zone: n.Zone, Cell: cell,
		Speed: n.Group.Speed, Slots: n.Group.Slots, Queue: n.Group.Queue, MaxConns: c.MaxConns,
		ConnectDelay: experiment.Millis(c.ConnectMs), ConnectWork: experiment.Millis(c.ConnectWork),
		IdleClose: experiment.Millis(f.exp.Proxy.IdleMs), StartCapacity: c.StartCapacity, SlowStart: experiment.Millis(c.SlowStartMs),
		OverloadMultiple: c.OverloadMultiple, Fall: experiment.Millis(c.FallMs), Cancelling: c.Cancelling,
		Seed: f.plan.Seed + uint64(number)}, f, f.ref)}
	f.begin(s, at, cold)
	f.mu.Lock()
	f.servers[n.Name] = s
	f.mu.Unlock()
	seen := map[string]bool{}
	for _, m := range f.order {
		group := f.group(m.node)
		if seen[group] {
			continue
		}
		seen[group] = true
		f.mu.Lock()
		addr, err := f.block.server(f.links)
		f.links++
		f.addrs[group+"/"+n.Name] = addr
		f.mu.Unlock()
		if err != nil {
			return nil, err
		}
		ends := link.Ends{Kind: "nodo", From: m.node.Name, FromZone: m.node.Zone, To: n.Name, ToZone: n.Zone}
		if strings.HasPrefix(group, groupOfZone) {
			ends.From = ""
		}
		if _, err := f.net.Listen(ends, addr, f.delay(m.node.Zone, n.Zone), s.Serve); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// begin starts a server's process; a zero time is long ago.
func (f *fleet) begin(s *server, at time.Time, cold bool) {
	s.Start(at, cold)
	since := int64(0)
	if cold {
		since = at.UnixMilli()
	}
	s.mu.Lock()
	s.entry = catalog.Entry{Name: s.node.Name, Zone: s.node.Zone, Type: cmp.Or(s.node.Group.Kind, "lab"), Group: s.cell,
		Status: catalog.Serving, Since: since}
	s.mu.Unlock()
	f.ref.RecordServerState(s.node.Name, referee.ServerState{Zone: s.node.Zone, Cell: s.cell, Serving: true, Since: since}, at)
}

// tell tells the list what a server is now.
func (f *fleet) notify(s *server, status string) {
	s.mu.Lock()
	s.entry.Status = status
	e := s.entry
	s.mu.Unlock()
	f.ref.RecordServerState(e.Name, referee.ServerState{Zone: e.Zone, Cell: e.Group, Serving: status == catalog.Serving,
		Since: e.Since}, time.Now())
	f.change(e)
}

func to(name string) func(link.Ends) bool {
	return func(e link.Ends) bool { return e.Kind == "nodo" && e.To == name }
}

// down ends a server's process: connections are reset, new ones refused, and the list hears of it.
func (f *fleet) down(s *server) error {
	s.mu.Lock()
	s.downs++
	var err error
	if s.refuse == nil {
		s.refuse, err = f.net.Apply(to(s.node.Name), link.Effect{Refuse: true})
	}
	s.mu.Unlock()
	s.Stop()
	f.net.Reset(to(s.node.Name))
	f.notify(s, catalog.Deleted)
	return err
}

// vanish ends a server's machine: its links are silent already.
func (f *fleet) vanish(s *server) {
	s.mu.Lock()
	s.downs++
	s.mu.Unlock()
	s.Stop()
	f.notify(s, catalog.Deleted)
}

// up ends one of the faults that keep a server down; with the last its process starts again, cold.
func (f *fleet) up(s *server) error {
	s.mu.Lock()
	s.downs--
	down, end := s.downs > 0, s.refuse
	if !down {
		s.refuse = nil
	}
	s.mu.Unlock()
	if down {
		return nil
	}
	f.begin(s, time.Now(), true)
	var err error
	if end != nil {
		err = end()
	}
	f.notify(s, catalog.Serving)
	return err
}
