package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/faultdisk"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
)

// proxyUnderTest is a proxy, over all its processes.
type proxyUnderTest struct {
	node          experiment.Node
	ordinal       int
	zone          int
	listenAddress string
	listAddress   string
	dir           string
	relay         *link.Relay // of gossip; nil without a cluster

	mu                sync.Mutex // held during a fault; guards what follows
	process           *process.Process
	managementAddress string
	startedAt         time.Time         // of the latest process
	configFile        string            // path of the latest process's configuration
	starts            int               // number of processes so far
	excusedSpans      []func(time.Time) // called when the proxy serves again; each ends an excused span
	downFaults        int               // number of active faults that keep it down

	processesMu    sync.Mutex // guards what follows
	allProcesses   []*process.Process
	stopFaults     int // number of active faults that stop it
	diskFullFaults int // number of active faults that fill its disk
}

func (proxy *proxyUnderTest) processes() []*process.Process {
	proxy.processesMu.Lock()
	defer proxy.processesMu.Unlock()
	return slices.Clone(proxy.allProcesses)
}

// start starts a process of a proxy, with a list in its configuration. With keep, the process finds the files
// of its predecessor in its directory.
func (bed *testbed) start(proxy *proxyUnderTest, keep bool) error {
	if err := proxy.prepareDirs(keep); err != nil {
		return err
	}
	path, known, err := bed.writeConfigFile(proxy)
	if err != nil {
		return err
	}
	successor := proxy.process != nil && !ended(proxy.process)
	if successor {
		bed.ref.RecordInheritedList(proxy.node.Name, known, time.Now())
	} else {
		bed.ref.RecordProxyStart(proxy.node.Name, known, time.Now())
	}
	started, err := bed.starter.Start(process.Spec{Name: proxy.node.Name, Command: bed.proxyCommand,
		Env: append(os.Environ(), "LB_CONFIG="+path, "LB_NAME="+proxy.node.Name, "LB_LISTEN="+proxy.listenAddress,
			"LB_DISCOVERY="+proxy.listAddress, "LB_MGMT="+proxy.managementAddress, "TMPDIR="+proxy.tmpDir()),
		Log: filepath.Join(bed.logDir, proxy.node.Name+".log")})
	if err != nil {
		return err
	}
	proxy.process, proxy.startedAt, proxy.configFile = started, time.Now(), path
	go bed.watchForCrash(started)
	proxy.processesMu.Lock()
	defer proxy.processesMu.Unlock()
	proxy.allProcesses = append(proxy.allProcesses, started)
	if proxy.diskFullFaults > 0 {
		return started.SetDiskFull(true)
	}
	return nil
}

func (proxy *proxyUnderTest) tmpDir() string { return filepath.Join(proxy.dir, "tmp") }

// prepareDirs creates the proxy's directories. Without keep, it first removes their former contents.
func (proxy *proxyUnderTest) prepareDirs(keep bool) error {
	if !keep {
		if err := os.RemoveAll(proxy.dir); err != nil {
			return fmt.Errorf("directory of %s: %w", proxy.node.Name, err)
		}
	}
	if err := os.MkdirAll(proxy.tmpDir(), 0o755); err != nil {
		return fmt.Errorf("directory of %s: %w", proxy.node.Name, err)
	}
	return nil
}

// writeConfigFile writes the configuration file of the proxy's next process, and returns its path and the
// list in it. Each process has a file of its own, since a process may read its file after the next one has
// started.
func (bed *testbed) writeConfigFile(proxy *proxyUnderTest) (path string, known []referee.Entry, err error) {
	fraction := 1.0
	if bed.experiment.Proxy.KnownFraction != nil {
		fraction = *bed.experiment.Proxy.KnownFraction
	}
	bed.mu.Lock()
	seed := bed.rng.Uint64()
	bed.mu.Unlock()
	var list json.RawMessage
	if fraction > 0 {
		list, known = bed.initialList(proxy.node.Name, fraction, rand.New(rand.NewPCG(seed, 5)))
	}
	proxy.managementAddress = bed.block.mgmt(proxy.ordinal, proxy.starts)
	cluster, err := bed.gossipConfig(proxy)
	if err != nil {
		return "", nil, err
	}
	proxy.starts++
	text, err := proxyConfig(bed.experiment, proxy, startConfig{seed, bed.listMembers(proxy), list, cluster})
	if err != nil {
		return "", nil, err
	}
	path = filepath.Join(proxy.dir, fmt.Sprintf("config-%d.json", proxy.starts))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return "", nil, fmt.Errorf("configuration of %s: %w", proxy.node.Name, err)
	}
	return path, known, nil
}

// ended reports whether a process has ended.
func ended(p *process.Process) bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}

// watchForCrash waits for the end of a process, and counts it as a crash if the lab did not end it by
// SIGTERM or SIGKILL.
func (bed *testbed) watchForCrash(p *process.Process) {
	<-p.Ended()
	if p.Crashed() {
		bed.log.Error("proxy crashed", "proxy", p.Name, "error", p.Err())
		bed.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
}

// kill kills proxies at the same time. The referee excuses each until it serves again.
func (bed *testbed) kill(proxies []*proxyUnderTest) error {
	proxies = slices.Clone(proxies)
	// All callers lock in this order.
	slices.SortFunc(proxies, func(a, b *proxyUnderTest) int { return cmp.Compare(a.ordinal, b.ordinal) })
	var running []*process.Process
	for _, proxy := range proxies {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		running = append(running, proxy.processes()...)
	}
	at := time.Now()
	for _, proxy := range proxies {
		proxy.excusedSpans = append(proxy.excusedSpans, bed.ref.BeginExcusedSpan(proxy.node.Name, at))
		proxy.downFaults++
	}
	return process.KillAll(slices.DeleteFunc(running, ended))
}

// killDelay returns the time from SIGTERM to SIGKILL in a planned restart.
func (bed *testbed) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, k := range bed.experiment.Classes {
		longest = max(longest, experiment.Millis(k.DeadlineMs))
	}
	return min(longest, maxKillDelay) + killSlack
}

// restart makes a planned restart: SIGTERM, the given signals, SIGKILL after the kill delay, and a new
// process after the downtime.
func (bed *testbed) restart(ctx context.Context, proxy *proxyUnderTest, signals []delayedSignal,
	downtime time.Duration, keep bool) error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.process == nil || ended(proxy.process) {
		return nil
	}
	old := proxy.process
	notice := time.AfterFunc(termNoticeDelay, func() { bed.front.Block(proxy.node.Name) })
	go sendSignals(old, signals)
	clean, err := old.Terminate(bed.killDelay())
	notice.Stop()
	bed.front.Block(proxy.node.Name)
	if err != nil {
		return err
	}
	if !clean {
		bed.log.Warn("proxy did not exit after SIGTERM and was killed", "proxy", proxy.node.Name,
			"error", old.Err())
	}
	defer bed.front.Unblock(proxy.node.Name)
	if !sleep.For(ctx, downtime) {
		return nil
	}
	return bed.start(proxy, keep)
}

// upgrade replaces the process as the on-call page describes: it starts a successor, waits until that is
// ready, and ends the predecessor.
func (bed *testbed) upgrade(ctx context.Context, proxy *proxyUnderTest) error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	old := proxy.process
	if old == nil || ended(old) {
		return nil
	}
	if err := bed.start(proxy, true); err != nil {
		return err
	}
	if !bed.awaitReady(ctx, proxy, successorTimeout) {
		bed.log.Error("successor of a proxy did not become ready", "proxy", proxy.node.Name)
		bed.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
	_, err := old.Terminate(bed.killDelay())
	return err
}

// awaitReady reports whether the proxy's latest process becomes ready within the timeout.
func (bed *testbed) awaitReady(ctx context.Context, proxy *proxyUnderTest, timeout time.Duration) bool {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end) && sleep.For(ctx, readyzPollInterval); {
		resp, err := client.Get("http://" + proxy.managementAddress + "/v1/readyz")
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

// powerLoss kills a proxy and discards part of the recent writes to its files.
func (bed *testbed) powerLoss(proxy *proxyUnderTest) error {
	if err := bed.kill([]*proxyUnderTest{proxy}); err != nil {
		return err
	}
	bed.mu.Lock()
	r := rand.New(rand.NewPCG(bed.plan.Seed, bed.rng.Uint64()))
	bed.mu.Unlock()
	tornFiles, err := faultdisk.Tear(filepath.Join(proxy.dir, "tmp"), time.Now().Add(-powerLossWindow), r)
	bed.log.Info("proxy lost power", "proxy", proxy.node.Name, "files", len(tornFiles))
	return err
}

// startAgain starts a killed proxy again, unless another fault keeps it down. The proxy stays excused until
// it is ready.
func (bed *testbed) startAgain(ctx context.Context, proxy *proxyUnderTest, keep bool) error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.downFaults--; proxy.downFaults > 0 {
		return nil
	}
	if err := bed.start(proxy, keep); err != nil {
		return err
	}
	if !bed.awaitReady(ctx, proxy, restartTimeout) && ctx.Err() == nil {
		bed.log.Error("restarted proxy did not become ready", "proxy", proxy.node.Name,
			"duration", restartTimeout)
		bed.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
	for _, end := range proxy.excusedSpans {
		end(time.Now())
	}
	proxy.excusedSpans = nil
	return nil
}
