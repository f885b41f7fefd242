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
	termNoticeDelay    = 300 * time.Millisecond // new connections keep coming after SIGTERM
	minKillDelay       = 3 * time.Second        // SIGKILL follows SIGTERM by the longest deadline, at least this
	killSlack          = 700 * time.Millisecond
	successorTimeout   = 6 * time.Second // for a successor to be ready
	drainDuration      = 2 * time.Second // from draining until the server ends
	powerLossWindow    = 5 * time.Second // a power loss may lose what was written so long before it
	readyzPollInterval = 50 * time.Millisecond
	readmitTimeout     = 20 * time.Second // for a restarted proxy to be ready
	callTimeout        = time.Second
	zoneGroupPrefix    = "zone " // names a group of proxies that share their links
	maxServerName      = 64
)

// testbed is everything that a play runs: it owns the processes, servers, list and links, and injects the
// faults.
type testbed struct {
	experiment      *experiment.Experiment
	plan            *plan.Plan
	proxyCommand    []string
	registryCommand []string // of a member of the list service
	log             *slog.Logger
	block           *addressBlock
	net             *link.Net
	ref             *referee.Referee
	catalog         *catalog.Catalog // stands in for the list service; nil with a service
	service         *service.Service // nil with the catalog
	front           *load.Front
	client          *load.Client
	starter         *process.Starter
	workDir         string // directory of the processes
	logDir          string

	hollowCommand   []string         // of a hollow process
	hollow          []*hollowProcess // those with proxies, then those with servers
	hollowProcessOf map[string]*hollowProcess
	configs         configWrites

	proxies    map[string]*proxyUnderTest
	proxyOrder []*proxyUnderTest

	mu               sync.Mutex
	servers          map[string]*server
	addresses        map[string]string              // of each link group and server
	gossipMembers    map[netip.Addr]experiment.Node // by their own addresses
	serverLinks      int
	byzantineMembers int
	rng              *rand.Rand
	labErrors        []error
}

// linkGroup names the proxies that share their links to servers.
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

// build creates everything but the processes.
func (bed *testbed) build() error {
	bed.net = link.New(bed.plan.Seed)
	bed.ref = referee.New(refereeConfig(bed.experiment))
	bed.net.WatchCuts(func(ends link.Ends, at time.Time) { bed.recordUnansweredSend(ends, at, false) })
	bed.proxies, bed.servers, bed.addresses = map[string]*proxyUnderTest{}, map[string]*server{}, map[string]string{}
	bed.gossipMembers = map[netip.Addr]experiment.Node{}
	bed.rng = bed.plan.Source("fleet")
	bed.addProxies()
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
	if bed.experiment.List.Members == 0 {
		return bed.buildCatalog(entries)
	}
	if err := bed.buildService(); err != nil {
		return err
	}
	return bed.buildHollow()
}

// addProxies adds the proxies, without processes, and the front before them.
func (bed *testbed) addProxies() {
	zones := bed.experiment.ZoneNames()
	var targets []load.Target
	for i, n := range bed.experiment.ProxyNodes() {
		proxy := &proxyUnderTest{node: n, ordinal: i, zone: slices.Index(zones, n.Zone), listenAddress: bed.block.proxy(i),
			listAddress: bed.block.list(i), dir: filepath.Join(bed.workDir, fmt.Sprint(i))}
		bed.proxies[n.Name] = proxy
		bed.proxyOrder = append(bed.proxyOrder, proxy)
		targets = append(targets, load.Target{Name: n.Name, Zone: n.Zone, Address: proxy.listenAddress})
	}
	clients := bed.experiment.Clients
	bed.front = load.NewFront(load.FrontConfig{Targets: targets, Net: bed.net, Delay: bed.delay,
		FailureDetection: experiment.Millis(clients.FailureDetectionMs), OtherZones: clients.OtherZones, Zones: zones,
		Random: bed.plan.Source("front")})
}

// buildCatalog creates the catalog, which stands in for the list service, with a link from each proxy.
func (bed *testbed) buildCatalog(entries []catalog.Entry) error {
	l := bed.experiment.List
	bed.catalog = catalog.New(catalog.Config{NotificationDelay: experiment.Millis(l.NotificationDelayMs), CallWork: experiment.Millis(l.CallMs),
		EntryWork: time.Duration(l.EntryUs * float64(time.Microsecond)), QueueTimeout: experiment.Millis(l.QueueTimeoutMs),
		SyncInterval: experiment.Millis(l.SyncIntervalMs), RetainedChanges: l.RetainedChanges, MaxWaitingCalls: l.MaxWaitingCalls, Seed: bed.plan.Seed, Address: bed.address,
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
	t := referee.Config{MaxAttempts: exp.Proxy.MaxAttempts, HedgingAllowed: exp.Proxy.Hedging,
		DrainGrace: experiment.Millis(exp.Proxy.DrainGraceMs), DeadlineSlack: experiment.Millis(exp.Proxy.DeadlineSlackMs)}
	if exp.Proxy.Membership == "subscribe" {
		t.PollInterval = experiment.Millis(exp.Proxy.PollIntervalMs)
	}
	repeats := map[string]referee.RetryClass{"idempotent": referee.Idempotent, "deduplicated": referee.IdempotencyKey,
		"at_most_once": referee.NonIdempotent}
	for _, k := range exp.Classes {
		t.Classes = append(t.Classes, referee.Class{Name: k.Name, RetryClass: repeats[k.RetryClass], KeyScope: k.KeyScope,
			KeyWindow: experiment.Millis(k.KeyWindowMs)})
	}
	return t
}

// recordError records a failure of the lab itself, which makes the run void.
func (bed *testbed) recordError(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	bed.log.Error("lab failed", "error", err)
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.labErrors = append(bed.labErrors, err)
}

func (bed *testbed) labError() error {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return errors.Join(bed.labErrors...)
}

// close kills all processes and closes all links.
func (bed *testbed) close() {
	var processes []*process.Process
	for _, proxy := range bed.proxyOrder {
		processes = append(processes, proxy.processes()...)
	}
	for _, h := range bed.hollow {
		if h.process != nil {
			processes = append(processes, h.process)
		}
	}
	bed.recordError(process.KillAll(processes))
	if bed.net != nil {
		bed.net.Close()
	}
}
