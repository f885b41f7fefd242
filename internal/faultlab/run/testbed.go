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
	termNoticeDelay    = 300 * time.Millisecond // new connections still arrive so long after SIGTERM
	maxKillDelay       = 3 * time.Second        // from SIGTERM to SIGKILL; less if all deadlines are shorter
	killSlack          = 700 * time.Millisecond // added to that time
	successorTimeout   = 6 * time.Second        // for a successor to be ready
	drainDuration      = 2 * time.Second        // from the start of draining until the server ends
	powerLossWindow    = 5 * time.Second        // a power loss may discard writes that are at most so old
	readyzPollInterval = 50 * time.Millisecond
	restartTimeout     = 20 * time.Second // for a restarted proxy to be ready
	callTimeout        = time.Second      // of requests to a proxy's management address
	zoneGroupPrefix    = "zone "          // prefix of the names of link groups of a zone's proxies
	maxServerName      = 64               // bytes
)

// testbed owns everything that a play runs: processes, servers, list and links.
type testbed struct {
	experiment      *experiment.Experiment
	plan            *plan.Plan
	proxyCommand    []string
	registryCommand []string // of a member of the list service
	log             *slog.Logger
	block           *addressBlock
	net             *link.Net
	ref             *referee.Referee
	catalog         *catalog.Catalog // replaces the list service; nil with the service
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
	addresses        map[string]string              // of servers, by link group and name of the server
	gossipMembers    map[netip.Addr]experiment.Node // by their own addresses
	serverLinks      int
	byzantineMembers int
	rng              *rand.Rand
	labErrors        []error
}

// linkGroup returns the name of the group of proxies that share their links to servers with a proxy.
func (bed *testbed) linkGroup(node experiment.Node) string {
	if bed.experiment.SharedLinks() {
		return zoneGroupPrefix + node.Zone
	}
	return node.Name
}

// delay returns the one-way delay between two zones; an empty zone is in every zone.
func (bed *testbed) delay(from, to string) time.Duration {
	if from == to || from == "" || to == "" {
		return experiment.Millis(bed.experiment.Network.LocalMs)
	}
	return experiment.Millis(bed.experiment.Network.CrossMs)
}

// build creates everything except the processes.
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

// addProxies adds the proxies, without processes, and the front that distributes connections over them.
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

// buildCatalog creates the catalog, which replaces the list service, with a link from each proxy.
func (bed *testbed) buildCatalog(entries []catalog.Entry) error {
	l := bed.experiment.List
	bed.catalog = catalog.New(catalog.Config{NotificationDelay: experiment.Millis(l.NotificationDelayMs),
		CallWork:     experiment.Millis(l.CallMs),
		EntryWork:    time.Duration(l.EntryUs * float64(time.Microsecond)),
		QueueTimeout: experiment.Millis(l.QueueTimeoutMs), SyncInterval: experiment.Millis(l.SyncIntervalMs),
		RetainedChanges: l.RetainedChanges, MaxWaitingCalls: l.MaxWaitingCalls, Seed: bed.plan.Seed,
		Address: bed.address,
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

// refereeConfig returns the configuration of an experiment's referee.
func refereeConfig(exp *experiment.Experiment) referee.Config {
	config := referee.Config{MaxAttempts: exp.Proxy.MaxAttempts, HedgingAllowed: exp.Proxy.Hedging,
		DrainGrace:    experiment.Millis(exp.Proxy.DrainGraceMs),
		DeadlineSlack: experiment.Millis(exp.Proxy.DeadlineSlackMs)}
	if exp.Proxy.Membership == "subscribe" {
		config.PollInterval = experiment.Millis(exp.Proxy.PollIntervalMs)
	}
	retryClasses := map[string]referee.RetryClass{"idempotent": referee.Idempotent,
		"deduplicated": referee.IdempotencyKey, "at_most_once": referee.NonIdempotent}
	for _, k := range exp.Classes {
		config.Classes = append(config.Classes, referee.Class{Name: k.Name,
			RetryClass: retryClasses[k.RetryClass], KeyScope: k.KeyScope,
			KeyWindow: experiment.Millis(k.KeyWindowMs)})
	}
	return config
}

// recordError records a failure of the lab itself, which makes the run void.
func (bed *testbed) recordError(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	bed.log.Error("the lab failed, so the run is void", "error", err)
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.labErrors = append(bed.labErrors, err)
}

// labError returns the recorded failures of the lab, joined.
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
