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
	termNoticeDelay    = 300 * time.Millisecond // new connections keep coming to a proxy that was told to end
	minKillDelay       = 3 * time.Second        // SIGKILL follows SIGTERM by the longest deadline, or this if it is longer
	killSlack          = 700 * time.Millisecond
	successorTimeout   = 6 * time.Second // for a successor's yes
	drainDuration      = 2 * time.Second // from a server's draining to its end
	powerLossWindow    = 5 * time.Second // a power loss may take what was written so long before it
	readyzPollInterval = 50 * time.Millisecond
	readmitTimeout     = 20 * time.Second // for a proxy that was started again to be admitted
	callTimeout        = time.Second
	zoneGroupPrefix    = "zone " // a group of proxies that share their links
	maxServerName      = 64
)

// fleet is all that a play runs: it owns the processes, servers, list and links, and carries faults out.
type testbed struct {
	experiment      *experiment.Experiment
	plan            *plan.Plan
	proxyCommand    []string
	registryCommand []string // the list service's program
	log             *slog.Logger
	block           *addressBlock
	net             *link.Net
	ref             *referee.Referee
	catalog         *catalog.Catalog // the stand-in; nil with a service
	service         *service.Service // nil with the stand-in
	front           *load.Front
	client          *load.Client
	starter         *process.Starter
	workDir         string // directory of the proxies' own
	logDir          string

	hollowCommand   []string         // a hollow process's program
	hollow          []*hollowProcess // of proxies, then of servers
	hollowProcessOf map[string]*hollowProcess
	configs         configWrites

	proxies    map[string]*proxyUnderTest
	proxyOrder []*proxyUnderTest

	mu               sync.Mutex
	servers          map[string]*server
	addresses        map[string]string              // of each group and server
	gossipMembers    map[netip.Addr]experiment.Node // of the gossip, by their own addresses
	serverLinks      int
	byzantineMembers int
	rng              *rand.Rand
	labErrors        []error
}

// group names the proxies that share their links to servers.
func (bed *testbed) linkGroup(node experiment.Node) string {
	if bed.experiment.SharedLinks() {
		return zoneGroupPrefix + node.Zone
	}
	return node.Name
}

func (bed *testbed) delay(from, to string) time.Duration {
	if from == to || from == "" || to == "" {
		return experiment.Millis(bed.experiment.Network.LocalMs)
	}
	return experiment.Millis(bed.experiment.Network.CrossMs)
}

// build makes everything but the processes.
func (bed *testbed) build() error {
	bed.net = link.New(bed.plan.Seed)
	bed.ref = referee.New(refereeConfig(bed.experiment))
	bed.net.Watch(func(ends link.Ends, at time.Time) { bed.recordUnansweredSend(ends, at, false) })
	bed.proxies, bed.servers, bed.addresses = map[string]*proxyUnderTest{}, map[string]*server{}, map[string]string{}
	bed.gossipMembers = map[netip.Addr]experiment.Node{}
	bed.rng = bed.plan.Source("fleet")
	zones := bed.experiment.ZoneNames()
	var targets []load.Target
	for i, n := range bed.experiment.ProxyNodes() {
		proxy := &proxyUnderTest{node: n, ordinal: i, zone: slices.Index(zones, n.Zone), listenAddress: bed.block.proxy(i),
			listAddress: bed.block.list(i), dir: filepath.Join(bed.workDir, fmt.Sprint(i))}
		bed.proxies[n.Name] = proxy
		bed.proxyOrder = append(bed.proxyOrder, proxy)
		targets = append(targets, load.Target{Name: n.Name, Zone: n.Zone, Addr: proxy.listenAddress})
	}
	bed.front = load.NewFront(targets, bed.net, bed.delay, experiment.Millis(bed.experiment.Clients.NoticeMs),
		bed.experiment.Clients.OtherZones, zones, bed.plan.Source("front"))
	if err := bed.buildGossip(); err != nil {
		return err
	}
	bed.client = load.New(bed.experiment, bed.plan, bed.front, bed.ref)
	var entries []catalog.Entry
	for i, n := range bed.experiment.ServerNodes() {
		server, err := bed.addServer(n, i, time.Time{}, false)
		if err != nil {
			return err
		}
		entries = append(entries, server.entry)
	}
	l := bed.experiment.List
	if l.Members > 0 {
		if err := bed.buildService(); err != nil {
			return err
		}
		return bed.buildHollow()
	}
	bed.catalog = catalog.New(catalog.Config{Lag: experiment.Millis(l.LagMs), Call: experiment.Millis(l.CallMs),
		Line: time.Duration(l.LineUs * float64(time.Microsecond)), Wait: experiment.Millis(l.WaitMs),
		Sync: experiment.Millis(l.SyncMs), Retain: l.RetainN, Most: l.MaxEntries, Seed: bed.plan.Seed, Address: bed.address,
	}, bed.ref, entries)
	for _, proxy := range bed.proxyOrder {
		ends := link.Ends{Kind: "list", From: proxy.node.Name, FromZone: proxy.node.Zone, ToZone: l.Zone}
		name := proxy.node.Name
		if _, err := bed.net.Listen(ends, proxy.listAddress, bed.delay(proxy.node.Zone, l.Zone),
			func(c *link.Conn) { bed.catalog.Serve(name, c) }); err != nil {
			return err
		}
	}
	return nil
}

func refereeConfig(exp *experiment.Experiment) referee.Config {
	t := referee.Config{MaxAttempts: exp.Proxy.MaxAttempts, HedgingAllowed: exp.Proxy.SecondCopies,
		DrainGrace: experiment.Millis(exp.Proxy.DrainGraceMs), DeadlineSlack: experiment.Millis(exp.Proxy.SlackMs)}
	if exp.Proxy.Membership == "subscribe" {
		t.PollInterval = experiment.Millis(exp.Proxy.PollIntervalMs)
	}
	repeats := map[string]referee.RetryClass{"idempotent": referee.Idempotent, "deduplicated": referee.IdempotencyKey,
		"at_most_once": referee.NonIdempotent}
	for _, k := range exp.Classes {
		t.Classes = append(t.Classes, referee.Class{Name: k.Name, RetryClass: repeats[k.Repeat], KeyScope: k.Scope,
			KeyWindow: experiment.Millis(k.WindowMs)})
	}
	return t
}

// note keeps an error of the lab's own: the run then is void.
func (bed *testbed) recordError(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	bed.log.Error("the lab failed to do something", "error", err)
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.labErrors = append(bed.labErrors, err)
}

func (bed *testbed) labError() error {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return errors.Join(bed.labErrors...)
}

// end kills all processes and closes all links.
func (bed *testbed) close() {
	var ps []*process.Process
	for _, proxy := range bed.proxyOrder {
		ps = append(ps, proxy.processes()...)
	}
	for _, h := range bed.hollow {
		if h.process != nil {
			ps = append(ps, h.process)
		}
	}
	bed.recordError(process.KillAll(ps))
	if bed.net != nil {
		bed.net.Close()
	}
}
