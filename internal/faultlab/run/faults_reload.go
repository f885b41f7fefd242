package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/misbehavingclient"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/sleep"
)

const (
	maxPause             = 150 * time.Millisecond // of a proxy
	pauseGap             = 100 * time.Millisecond // between two pauses
	misbehavingClientGap = 40 * time.Millisecond  // mean time between two misbehaving clients of a proxy
	reloadGap            = 150 * time.Millisecond // for the proxy to read a file; mean time between reloads
	// The platform sends no SIGHUP in a program's first second.
	firstReloadDelay     = time.Second
	brokenConfigFraction = 0.4 // fraction of the configuration files that are truncated before a SIGHUP
)

// reload replaces a proxy's configuration file and sends SIGHUP, several times in a row: either with the same
// content, or with a truncated file, after which the proxy must keep its configuration.
func (t *timeline) reload(ctx context.Context, proxy *proxyUnderTest, times int, r *rand.Rand) error {
	for range max(1, times) {
		proxy.mu.Lock()
		err := t.reloadOnce(proxy, r)
		proxy.mu.Unlock()
		if err != nil || !sleep.For(ctx, time.Duration(r.Int64N(int64(2*reloadGap)))) {
			return err
		}
	}
	return nil
}

// reloadOnce makes one reload, and restores the valid file.
func (t *timeline) reloadOnce(proxy *proxyUnderTest, r *rand.Rand) error {
	if proxy.process == nil || ended(proxy.process) || time.Since(proxy.startedAt) < firstReloadDelay {
		return nil
	}
	path := proxy.configFile
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", proxy.node.Name, err)
	}
	written := text
	if r.Float64() < brokenConfigFraction {
		written = text[:r.IntN(len(text)-1)]
	}
	if err := os.WriteFile(path+".new", written, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", proxy.node.Name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("configuration of %s: %w", proxy.node.Name, err)
	}
	if err := proxy.process.Signal(syscall.SIGHUP); err != nil && !ended(proxy.process) {
		return err
	}
	time.Sleep(reloadGap)                  // the proxy has read the file by then, or reads the restored one
	return os.WriteFile(path, text, 0o644) // a restart needs a valid file
}

// pauseRepeatedly stops a proxy for short random times.
func (t *timeline) pauseRepeatedly(ctx context.Context, planned plan.PlannedFault, proxy *proxyUnderTest,
	at time.Duration, r *rand.Rand) error {
	end := t.start.Add(at + planned.Duration)
	for time.Now().Before(end) {
		if err := t.addStopFaults(proxy, 1); err != nil {
			return err
		}
		sleep.For(ctx, time.Duration(r.Int64N(int64(maxPause))))
		if err := t.addStopFaults(proxy, -1); err != nil ||
			!sleep.For(ctx, time.Duration(r.Int64N(int64(2*pauseGap)))) {
			return err
		}
	}
	return nil
}

// runMisbehavingClients runs misbehaving clients against a proxy. It is a violation if one of them gets
// neither an error response nor a closed connection in time, unless the lab kept the proxy from responding.
func (t *timeline) runMisbehavingClients(ctx context.Context, planned plan.PlannedFault,
	proxy *proxyUnderTest, at time.Duration, r *rand.Rand) error {
	class := ""
	for _, k := range t.experiment.Classes {
		if k.RetryClass == "at_most_once" {
			class = k.Name
		}
	}
	running, stop := context.WithDeadline(ctx, t.start.Add(at+planned.Duration))
	defer stop()
	for sleep.For(running, time.Duration(r.Int64N(int64(2*misbehavingClientGap)))) {
		client := misbehavingclient.Draw(r, class)
		t.running.Go(func() {
			begun := time.Now()
			err := client.Run(ctx, proxy.listenAddress)
			if errors.Is(err, misbehavingclient.ErrUnanswered) {
				t.ref.RecordMisbehavingClient(proxy.node.Name, begun, time.Now(), err.Error())
			}
		})
	}
	return nil
}
