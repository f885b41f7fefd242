// Package byzantine implements a cluster member that publishes false reports: that healthy servers and zones
// are unhealthy. It uses the product's own transport, so that its messages are well formed and only their
// content is wrong. It is used in the lab only.
package byzantine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/state"
	"merlinpick/internal/cluster/transport"
)

const (
	publishInterval = 500 * time.Millisecond // well below the shortest TTL of a report
	claimedCalls    = 1000                   // number of calls on which each report claims to be based
)

// Config configures a Member.
type Config struct {
	Name, Zone, Tier string
	Bind, Advertise  string // IP and port
	Label            string // of the cluster
	Seeds            []string
	Logger           *slog.Logger
}

// Target is a server that is reported as unhealthy.
type Target struct {
	Name        string
	StartedAtMs int64 // must be that of the endpoint list, or else members ignore the report
}

// Member is a member that publishes false reports.
type Member struct {
	node *transport.Node
	stop context.CancelFunc
	done sync.WaitGroup
}

// Join joins a cluster and reports, until Leave, that all targets and all zones except its own are unhealthy.
// The error wraps that of transport.Open.
func Join(cfg Config, targets func() []Target, zones []string) (*Member, error) {
	started := time.Now()
	node, err := transport.Open(transport.Config{
		Name: cfg.Name, Zone: cfg.Zone, Tier: cfg.Tier, Bind: cfg.Bind, Advertise: cfg.Advertise, Label: cfg.Label,
		Seeds: cfg.Seeds, StartedAtMs: started.UnixMilli(), Logger: cfg.Logger,
		Now: func() int64 { return time.Since(started).Microseconds() },
	})
	if err != nil {
		return nil, fmt.Errorf("byzantine member %s: %w", cfg.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{node: node, stop: stop}
	m.done.Go(func() { node.Run(ctx) })
	m.done.Go(func() {
		ticker := time.NewTicker(publishInterval)
		defer ticker.Stop()
		for {
			node.Publish(FalseReports(cfg.Zone, targets(), zones))
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return m, nil
}

// Leave leaves the cluster. Reports that were published expire by their TTL.
func (m *Member) Leave() {
	m.stop()
	m.done.Wait()
}

// FalseReports returns the reports of a byzantine member in a zone: that all targets and all other zones
// fail. Each carries the strongest evidence that a report can have: claimedCalls calls, all of them failed.
func FalseReports(zone string, targets []Target, zones []string) []state.Observation {
	body := state.Body{Fault: adapter.WireFault(balancer.FaultErrors), Calls: claimedCalls, BadFraction: 1}
	var reports []state.Observation
	for _, target := range targets {
		reports = append(reports, state.Observation{Kind: state.ServerUnhealthy, Subject: target.Name,
			SubjectStartMs: target.StartedAtMs, Body: body})
	}
	for _, other := range zones {
		if other != zone {
			reports = append(reports, state.Observation{Kind: state.ZoneUnhealthy, Subject: other, Body: body})
		}
	}
	return reports
}
