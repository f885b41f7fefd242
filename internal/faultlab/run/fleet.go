package run

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/catalog"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/load"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/service"
)

const (
	stayAfterTerm  = 300 * time.Millisecond // new connections keep coming to a proxy that was told to end
	killAfter      = 3 * time.Second        // SIGKILL follows SIGTERM by the longest deadline, or this if it is longer
	killLeeway     = 700 * time.Millisecond
	successorWait  = 6 * time.Second // for a successor's yes
	drainTime      = 2 * time.Second // from a server's draining to its end
	tornBefore     = 5 * time.Second // a power loss may take what was written so long before it
	readyzPoll     = 50 * time.Millisecond
	reopenPatience = 20 * time.Second // for a proxy that was started again to be admitted
	callPatience   = time.Second
	groupOfZone    = "zone " // a group of proxies that share their links
	maxServerName  = 64
)

// fleet is all that a play runs: it owns the processes, servers, list and links, and carries faults out.
type fleet struct {
	exp      *experiment.Experiment
	plan     *plan.Plan
	command  []string
	registry []string // the list service's program
	log      *slog.Logger
	block    *block
	net      *link.Net
	ref      *referee.Referee
	list     *catalog.Catalog // the stand-in; nil with a service
	service  *service.Service // nil with the stand-in
	front    *load.Front
	client   *load.Client
	starter  *process.Starter
	work     string // directory of the proxies' own
	logs     string

	self     []string         // a hollow process's program
	hollow   []*hollowProcess // of proxies, then of servers
	hollowOf map[string]*hollowProcess
	configs  configs

	members map[string]*member
	order   []*member

	mu       sync.Mutex
	servers  map[string]*server
	addrs    map[string]string              // of each group and server
	speakers map[netip.Addr]experiment.Node // of the gossip, by their own addresses
	links    int
	liars    int
	rng      *rand.Rand
	faults   []error
}

// group names the proxies that share their links to servers.
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
	f.net.Watch(func(e link.Ends, at time.Time) { f.recordUnansweredSend(e, at, false) })
	f.members, f.servers, f.addrs = map[string]*member{}, map[string]*server{}, map[string]string{}
	f.speakers = map[netip.Addr]experiment.Node{}
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
	if err := f.buildGossip(); err != nil {
		return err
	}
	f.client = load.New(f.exp, f.plan, f.front, f.ref)
	var entries []catalog.Entry
	for i, n := range f.exp.ServerNodes() {
		s, err := f.addServer(n, i, time.Time{}, false)
		if err != nil {
			return err
		}
		entries = append(entries, s.entry)
	}
	l := f.exp.List
	if l.Members > 0 {
		if err := f.buildService(); err != nil {
			return err
		}
		return f.buildHollow()
	}
	f.list = catalog.New(catalog.Config{Lag: experiment.Millis(l.LagMs), Call: experiment.Millis(l.CallMs),
		Line: time.Duration(l.LineUs * float64(time.Microsecond)), Wait: experiment.Millis(l.WaitMs),
		Sync: experiment.Millis(l.SyncMs), Retain: l.RetainN, Most: l.MaxEntries, Seed: f.plan.Seed, Address: f.address,
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

func terms(e *experiment.Experiment) referee.Config {
	t := referee.Config{MaxAttempts: e.Proxy.MaxAttempts, HedgingAllowed: e.Proxy.SecondCopies,
		DrainGrace: experiment.Millis(e.Proxy.DrainGraceMs), DeadlineSlack: experiment.Millis(e.Proxy.SlackMs)}
	if e.Proxy.Membership == "subscribe" {
		t.PollInterval = experiment.Millis(e.Proxy.PollIntervalMs)
	}
	repeats := map[string]referee.RetryClass{"idempotent": referee.Idempotent, "deduplicated": referee.IdempotencyKey,
		"at_most_once": referee.NonIdempotent}
	for _, k := range e.Classes {
		t.Classes = append(t.Classes, referee.Class{Name: k.Name, RetryClass: repeats[k.Repeat], KeyScope: k.Scope,
			KeyWindow: experiment.Millis(k.WindowMs)})
	}
	return t
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

// end kills all processes and closes all links.
func (f *fleet) end() {
	var ps []*process.Process
	for _, m := range f.order {
		ps = append(ps, m.processes()...)
	}
	for _, h := range f.hollow {
		if h.proc != nil {
			ps = append(ps, h.proc)
		}
	}
	f.note(process.KillAll(ps))
	if f.net != nil {
		f.net.Close()
	}
}
