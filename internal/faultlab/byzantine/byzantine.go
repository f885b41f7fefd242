// Package byzantine is a cluster member that publishes false reports: that healthy servers and zones are unhealthy. It
// joins by the program's own transport, so its messages are well formed and only their content is wrong. It never runs in
// service.
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
	publishInterval = 500 * time.Millisecond // well under the shortest TTL of the reports
	claimedCalls    = 1000                   // evidence of each report
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
	StartedAtMs int64 // as in the endpoint list, else the report does not count for that server
}

// Member is a member that publishes false reports.
type Member struct {
	node *transport.Node
	stop context.CancelFunc
	done sync.WaitGroup
}

// Join joins a cluster and reports, until Leave, that all targets and all zones but its own fail. The error wraps one of
// transport.Open.
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

// Leave leaves the cluster. What was published expires by its TTL.
func (m *Member) Leave() {
	m.stop()
	m.done.Wait()
}

// FalseReports returns the reports of a byzantine member in a zone, with the most evidence that a report can have.
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
