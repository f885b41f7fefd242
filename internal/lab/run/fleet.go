package run

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"fernlanding/internal/lab/catalog"
	"fernlanding/internal/lab/disk"
	"fernlanding/internal/lab/experiment"
	"fernlanding/internal/lab/link"
	"fernlanding/internal/lab/load"
	"fernlanding/internal/lab/nodo"
	"fernlanding/internal/lab/plan"
	"fernlanding/internal/lab/process"
	"fernlanding/internal/lab/referee"
	"fernlanding/internal/lab/result"
	"fernlanding/internal/lab/service"
	"fernlanding/internal/lab/wait"
)

const (
	stayAfterTerm   = 300 * time.Millisecond // new connections keep coming to a proxy that was told to end
	killAfter       = 3 * time.Second        // SIGKILL follows SIGTERM by the longest deadline, or this if it is longer
	killLeeway      = 700 * time.Millisecond
	successorWait   = 6 * time.Second // for a successor's yes
	drainTime       = 2 * time.Second // from a nodo's draining to its end
	tornBefore      = 5 * time.Second // a power loss may take what was written so long before it
	readyzPoll      = 50 * time.Millisecond
	reopenPatience  = 20 * time.Second // for a proxy that was started again to be admitted
	callPatience    = time.Second
	groupOfZone     = "zone " // a group of proxies that share their links
	longestNodoName = 64
)

// member is a proxy of the fleet, over all its processes.
type member struct {
	node    experiment.Node
	ordinal int
	zone    int
	listen  string
	list    string
	dir     string

	mu    sync.Mutex // of one fault at a time, and of what follows
	proc  *process.Process
	mgmt  string
	count int               // processes so far
	owed  []func(time.Time) // excuses that end when it serves again
	dead  int               // faults that keep it down

	all   sync.Mutex // of what follows
	run   []*process.Process
	stops int // faults that hold: stopped, disk full
	fulls int
}

func (m *member) processes() []*process.Process {
	m.all.Lock()
	defer m.all.Unlock()
	return slices.Clone(m.run)
}

// server is a nodo of the fleet, with what the list says of it.
type server struct {
	*nodo.Nodo
	mu     sync.Mutex
	node   experiment.Node
	cell   int
	entry  catalog.Entry
	downs  int          // faults that keep it down
	refuse func() error // ends the refusal of connections, if its process is down and its machine is not
}

// fleet is all that a play runs: it owns the processes, nodos, list and links, and carries faults out.
type fleet struct {
	exp     *experiment.Experiment
	plan    *plan.Plan
	command []string
	roster  []string // the list service's program
	log     *slog.Logger
	block   *block
	net     *link.Net
	ref     *referee.Referee
	list    *catalog.Catalog // the stand-in; nil with a service
	service *service.Service // nil with the stand-in
	front   *load.Front
	client  *load.Client
	starter *process.Starter
	work    string // directory of the proxies' own
	logs    string

	members map[string]*member
	order   []*member

	mu      sync.Mutex
	servers map[string]*server
	addrs   map[string]string // of each group and nodo
	links   int
	rng     *rand.Rand
	faults  []error
}

// group names the proxies that share their links to nodos.
func (f *fleet) group(node experiment.Node) string {
	if f.exp.SharedLinks() {
		return groupOfZone + node.Zone
	}
	return node.Name
}

func (f *fleet) delay(from, to string) time.Duration {
	if from == to || from == "" || to == "" {
		return experiment.Millis(f.exp.Network.LocalMs)
	}
	return experiment.Millis(f.exp.Network.CrossMs)
}

// build makes everything but the processes.
func (f *fleet) build() error {
	f.net = link.New(f.plan.Seed)
	f.ref = referee.New(terms(f.exp))
	f.members, f.servers, f.addrs = map[string]*member{}, map[string]*server{}, map[string]string{}
	f.rng = f.plan.Source("fleet")
	zones := f.exp.ZoneNames()
	var targets []load.Target
	for i, n := range f.exp.ProxyNodes() {
		m := &member{node: n, ordinal: i, zone: slices.Index(zones, n.Zone), listen: f.block.proxy(i),
			list: f.block.list(i), dir: filepath.Join(f.work, fmt.Sprint(i))}
		f.members[n.Name] = m
		f.order = append(f.order, m)
		targets = append(targets, load.Target{Name: n.Name, Zone: n.Zone, Addr: m.listen})
	}
	f.front = load.NewFront(targets, f.net, f.delay, experiment.Millis(f.exp.Clients.NoticeMs),
		f.exp.Clients.OtherZones, zones, f.plan.Source("front"))
	f.client = load.New(f.exp, f.plan, f.front, f.ref)
	var entries []catalog.Entry
	for i, n := range f.exp.NodoNodes() {
		s, err := f.addServer(n, i, time.Time{}, false)
		if err != nil {
			return err
		}
		entries = append(entries, s.entry)
	}
	l := f.exp.List
	if l.Members > 0 {
		return f.buildService()
	}
	f.list = catalog.New(catalog.Config{Lag: experiment.Millis(l.LagMs), Call: experiment.Millis(l.CallMs),
		Line: time.Duration(l.LineUs * float64(time.Microsecond)), Wait: experiment.Millis(l.WaitMs),
		Sync: experiment.Millis(l.SyncMs), Retain: l.RetainN, Most: l.MostN, Seed: f.plan.Seed, Address: f.address,
	}, f.ref, entries)
	for _, m := range f.order {
		ends := link.Ends{Kind: "list", From: m.node.Name, FromZone: m.node.Zone, ToZone: l.Zone}
		name := m.node.Name
		if _, err := f.net.Listen(ends, m.list, f.delay(m.node.Zone, l.Zone),
			func(c *link.Conn) { f.list.Serve(name, c) }); err != nil {
			return err
		}
	}
	return nil
}

// buildService makes the list service's members and links.
func (f *fleet) buildService() (err error) {
	l := f.exp.List
	var proxies []service.Proxy
	for _, m := range f.order {
		proxies = append(proxies, service.Proxy{Name: m.node.Name, Zone: m.node.Zone})
	}
	f.service, err = service.New(service.Config{Members: l.Members, Zones: f.exp.ZoneNames(), Proxies: proxies, Command: f.roster,
		Lease: experiment.Millis(l.LeaseMs), Election: experiment.Millis(l.ElectionMs), Stale: experiment.Millis(l.StaleMs),
		Dir: filepath.Join(f.work, "roster"), Logs: f.logs, Seed: f.plan.Seed, Net: f.net, Ref: f.ref, Starter: f.starter,
		Log: f.log, Delay: f.delay, Address: f.address, List: f.block.listMember, Own: f.block.member,
		Between: f.block.memberLink, Near: f.block.memberNear})
	return err
}

// startService starts the list service and has all nodos register.
func (f *fleet) startService(ctx context.Context) error {
	if f.service == nil {
		return nil
	}
	if err := f.service.Start(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.servers))
	f.mu.Unlock()
	var waits []func(context.Context) error
	for _, s := range all {
		waits = append(waits, f.service.Begin(serviceNodo(s.entry)))
	}
	patience, cancel := context.WithTimeout(ctx, experiment.Seconds(f.exp.Lab.ReadyWait))
	defer cancel()
	for _, registered := range waits {
		if err := registered(patience); err != nil {
			return fmt.Errorf("%w: %w", ErrEnvironment, err)
		}
	}
	return nil
}

func serviceNodo(e catalog.Entry) service.Nodo {
	return service.Nodo{Name: e.Name, Zone: e.Zone, Type: e.Type, Group: e.Group, Since: e.Since}
}

// change tells the list what a nodo is now. A nodo that dies tells nobody: its lease ends.
func (f *fleet) change(e catalog.Entry) {
	if f.service == nil {
		f.list.Change(e)
		return
	}
	switch e.Status {
	case catalog.Serving:
		f.service.Begin(serviceNodo(e))
	case catalog.Draining:
		f.service.Drain(e.Name)
	default:
		f.service.Die(e.Name)
	}
}

// known is the list as a proxy is told it at its start.
func (f *fleet) known(proxy string, part float64, r *rand.Rand) (json.RawMessage, []referee.Entry) {
	if f.service != nil {
		return f.service.Snapshot(proxy, func() bool { return r.Float64() < part })
	}
	return f.list.Snapshot(proxy, part, r)
}

// runList serves the list until the context ends.
func (f *fleet) runList(ctx context.Context) {
	if f.service != nil {
		f.service.Run(ctx)
		return
	}
	f.list.Run(ctx)
}

// listReport is what a list service leaves; what is wrong with it is a broken rule.
func (f *fleet) listReport(rec *referee.Record) (*result.List, error) {
	if f.service == nil {
		return nil, nil
	}
	r, err := f.service.End()
	if wrong := r.Wrong(); wrong != "" {
		rec.Broken["list"]++
		rec.Violations = append(rec.Violations, referee.Violation{Rule: "list", At: time.Now(), Text: wrong})
	}
	return &result.List{Checked: r.History.Calls, Told: r.Delays, Lacks: r.Lacks, Refused: r.Refused}, err
}

func terms(e *experiment.Experiment) referee.Terms {
	t := referee.Terms{TryLimit: e.Proxy.TryLimit, SecondCopies: e.Proxy.SecondCopies,
		DrainGrace: experiment.Millis(e.Proxy.DrainGraceMs), Slack: experiment.Millis(e.Proxy.SlackMs)}
	if e.Proxy.Membership == "subscribe" {
		t.AskEvery = experiment.Millis(e.Proxy.AskEveryMs)
	}
	repeats := map[string]referee.Repeat{"idempotent": referee.Safe, "deduplicated": referee.Keyed,
		"at_most_once": referee.Unsafe}
	for _, k := range e.Classes {
		t.Classes = append(t.Classes, referee.Class{Name: k.Name, Repeat: repeats[k.Repeat], Scope: k.Scope,
			Window: experiment.Millis(k.WindowMs)})
	}
	return t
}

// address is where a proxy finds a nodo.
func (f *fleet) address(proxy, name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addrs[f.group(f.members[proxy].node)+"/"+name]
}

// Job and Fell make the fleet the nodos' world.
func (f *fleet) Job(id string) (nodo.Job, bool) { return f.client.Job(id) }

// Fell takes a nodo down for good.
func (f *fleet) Fell(name string) {
	f.log.Warn("a cold nodo fell over", "nodo", name)
	f.note(f.down(f.server(name)))
}

func (f *fleet) server(name string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name]
}

// serversOf are the nodos of a zone.
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

// addServer makes a nodo with a link from each group of proxies, and starts it.
func (f *fleet) addServer(n experiment.Node, cell int, at time.Time, cold bool) (*server, error) {
	if len(n.Name) > longestNodoName {
		return nil, fmt.Errorf("nodo %s: replaced too often", n.Name)
	}
	c := f.exp.Nodos
	s := &server{node: n, cell: cell % 4, Nodo: nodo.New(nodo.Spec{Name: n.Name, Zone: n.Zone, Cell: cell % 4,
		Speed: n.Group.Speed, Slots: n.Group.Slots, Queue: n.Group.Queue, MaxConns: c.MaxConns,
		ConnectDelay: experiment.Millis(c.ConnectMs), ConnectWork: experiment.Millis(c.ConnectWork),
		IdleClose: experiment.Millis(f.exp.Proxy.IdleMs), StartCapacity: c.StartCapacity, Cold: experiment.Millis(c.ColdMs),
		TipMultiple: c.TipMultiple, Fall: experiment.Millis(c.FallMs), Cancelling: c.Cancelling,
		Seed: f.plan.Seed + uint64(cell)}, f, f.ref)}
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
		addr, err := f.block.nodo(f.links)
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

// begin starts a nodo's process; a zero time is long ago.
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
	f.ref.State(s.node.Name, s.node.Zone, s.cell, true, since, at)
}

// tell tells the list what a nodo is now.
func (f *fleet) tell(s *server, status string) {
	s.mu.Lock()
	s.entry.Status = status
	e := s.entry
	s.mu.Unlock()
	f.ref.State(e.Name, e.Zone, e.Group, status == catalog.Serving, e.Since, time.Now())
	f.change(e)
}

func to(name string) func(link.Ends) bool {
	return func(e link.Ends) bool { return e.Kind == "nodo" && e.To == name }
}

// down ends a nodo's process: connections are reset, new ones refused, and the list hears of it.
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
	f.tell(s, catalog.Deleted)
	return err
}

// vanish ends a nodo's machine: its links are silent already.
func (f *fleet) vanish(s *server) {
	s.mu.Lock()
	s.downs++
	s.mu.Unlock()
	s.Stop()
	f.tell(s, catalog.Deleted)
}

// up ends one of the faults that keep a nodo down; with the last its process starts again, cold.
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
	f.tell(s, catalog.Serving)
	return err
}

// start starts a process of a proxy. From nothing, it knows the list as its configuration has it; as a successor it
// shares the predecessor's directory.
func (f *fleet) start(m *member, keep bool) error {
	tmp := filepath.Join(m.dir, "tmp")
	if !keep {
		if err := os.RemoveAll(m.dir); err != nil {
			return fmt.Errorf("directory of %s: %w", m.node.Name, err)
		}
	}
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return fmt.Errorf("directory of %s: %w", m.node.Name, err)
	}
	part := 1.0
	if f.exp.Proxy.KnownPart != nil {
		part = *f.exp.Proxy.KnownPart
	}
	f.mu.Lock()
	seed := f.rng.Uint64()
	knows := rand.New(rand.NewPCG(seed, 5))
	f.mu.Unlock()
	var known json.RawMessage
	var told []referee.Entry
	if part > 0 {
		known, told = f.known(m.node.Name, part, knows)
	}
	m.mgmt = f.block.mgmt(m.ordinal, m.count)
	m.count++
	text, err := configuration(f.exp, m, seed, m.mgmt, f.listMembers(m), known)
	if err != nil {
		return err
	}
	path := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", m.node.Name, err)
	}
	successor := m.proc != nil && !over(m.proc)
	if !successor {
		f.ref.Started(m.node.Name, told, time.Now())
	}
	p, err := f.starter.Start(process.Spec{Name: m.node.Name, Command: f.command, Env: append(os.Environ(), "LB_CONFIG="+path,
		"LB_NAME="+m.node.Name, "LB_LISTEN="+m.listen, "LB_DISCOVERY="+m.list, "LB_MGMT="+m.mgmt, "TMPDIR="+tmp),
		Log: filepath.Join(f.logs, m.node.Name+".log")}, f.log)
	if err != nil {
		return err
	}
	m.proc = p
	go f.mourn(p)
	m.all.Lock()
	defer m.all.Unlock()
	m.run = append(m.run, p)
	if m.fulls > 0 {
		return p.DiskFull(true)
	}
	return nil
}

// listMembers are where a proxy finds the members of the list service; nil with the stand-in.
func (f *fleet) listMembers(m *member) []string {
	if f.service == nil {
		return nil
	}
	return f.service.Lists(m.ordinal)
}

func over(p *process.Process) bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}

// mourn counts a process that ends without having been told to.
func (f *fleet) mourn(p *process.Process) {
	<-p.Ended()
	if p.Crashed() {
		f.log.Error("a proxy crashed", "proxy", p.Name, "error", p.Err())
		f.ref.Count(func(t *referee.Tally) { t.Crashed++ })
	}
}

// note keeps an error of the lab's own: the run then is void.
func (f *fleet) note(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	f.log.Error("the lab failed to do something", "error", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, err)
}

func (f *fleet) failed() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.faults...)
}

// kill kills proxies in one instant, and excuses them until each serves again.
func (f *fleet) kill(ms []*member) error {
	ms = slices.Clone(ms)
	slices.SortFunc(ms, func(a, b *member) int { return cmp.Compare(a.ordinal, b.ordinal) }) // one order of locks
	var ps []*process.Process
	for _, m := range ms {
		m.mu.Lock()
		defer m.mu.Unlock()
		ps = append(ps, m.processes()...)
	}
	at := time.Now()
	for _, m := range ms {
		m.owed = append(m.owed, f.ref.Excuse(m.node.Name, at))
		m.dead++
	}
	return process.KillAll(slices.DeleteFunc(ps, over))
}

// longest is how long a planned restart waits for SIGKILL.
func (f *fleet) longest() time.Duration {
	most := time.Duration(0)
	for _, k := range f.exp.Classes {
		most = max(most, experiment.Millis(k.GiveUpMs))
	}
	return min(most, killAfter) + killLeeway
}

// restart is a planned restart, with a time in between in which there is no process.
func (f *fleet) restart(ctx context.Context, m *member, away time.Duration, keep bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc == nil || over(m.proc) {
		return nil
	}
	old := m.proc
	bar := time.AfterFunc(stayAfterTerm, func() { f.front.Bar(m.node.Name) })
	clean, err := old.End(f.longest())
	bar.Stop()
	f.front.Bar(m.node.Name)
	if err != nil {
		return err
	}
	if !clean {
		f.log.Warn("a proxy did not end by itself after SIGTERM", "proxy", m.node.Name, "error", old.Err())
	}
	defer f.front.Expect(m.node.Name)
	if !wait.For(ctx, away) {
		return nil
	}
	return f.start(m, keep)
}

// upgrade replaces the process by the on-call page.
func (f *fleet) upgrade(ctx context.Context, m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.proc
	if old == nil || over(old) {
		return nil
	}
	if err := f.start(m, true); err != nil {
		return err
	}
	if !f.awaitYes(ctx, m, successorWait) {
		f.log.Error("a successor did not say yes", "proxy", m.node.Name)
		f.ref.Count(func(t *referee.Tally) { t.Crashed++ })
	}
	_, err := old.End(f.longest())
	return err
}

func (f *fleet) awaitYes(ctx context.Context, m *member, patience time.Duration) bool {
	client := http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); time.Now().Before(end) && wait.For(ctx, readyzPoll); {
		resp, err := client.Get("http://" + m.mgmt + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// powerLoss kills a proxy and loses what its files got last.
func (f *fleet) powerLoss(m *member) error {
	if err := f.kill([]*member{m}); err != nil {
		return err
	}
	f.mu.Lock()
	r := rand.New(rand.NewPCG(f.plan.Seed, f.rng.Uint64()))
	f.mu.Unlock()
	torn, err := disk.Tear(filepath.Join(m.dir, "tmp"), time.Now().Add(-tornBefore), r)
	f.log.Info("power lost", "proxy", m.node.Name, "files", len(torn))
	return err
}

// again starts a killed proxy again, unless another fault keeps it down. It is excused until it says that it serves.
func (f *fleet) again(ctx context.Context, m *member, keep bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead--; m.dead > 0 {
		return nil
	}
	if err := f.start(m, keep); err != nil {
		return err
	}
	if !f.awaitYes(ctx, m, reopenPatience) && ctx.Err() == nil {
		f.log.Error("a proxy did not serve again after its start", "proxy", m.node.Name, "waited", reopenPatience)
		f.ref.Count(func(t *referee.Tally) { t.Crashed++ })
	}
	for _, end := range m.owed {
		end(time.Now())
	}
	m.owed = nil
	return nil
}

// end kills all processes and closes all links.
func (f *fleet) end() {
	var ps []*process.Process
	for _, m := range f.order {
		ps = append(ps, m.processes()...)
	}
	f.note(process.KillAll(ps))
	if f.net != nil {
		f.net.Close()
	}
}
