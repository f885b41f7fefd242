package hollow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/adapter"
	"merlinpick/internal/cluster/transport"
)

const (
	meetEvery = 100 * time.Millisecond // as a real proxy's
	deafAfter = time.Second            // likewise
	tier      = "0"
)

// peersWord is what the link told, and when.
type peersWord struct {
	transport.Snapshot
	at int64
}

// fleetPart is a proxy's part in its fleet, as internal/cluster has it.
type fleetPart struct {
	link  *transport.Node
	words chan peersWord // the newest
	last  peersWord      // the loop's

	mu   sync.Mutex
	ages []float64
}

func join(f *Fleet, p Proxy, log *slog.Logger) (*fleetPart, error) {
	k, err := transport.Open(transport.Config{Name: p.Name, Zone: p.Zone, Tier: tier, Bind: p.Bind, Advertise: p.Advertise, Label: f.Label, Seeds: p.Seeds,
		StartedAtMs: time.Now().UnixMilli(), Now: now, Logger: log})
	if err != nil {
		return nil, err
	}
	return &fleetPart{link: k, words: make(chan peersWord, 1)}, nil
}

func (m *fleetPart) run(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.link.Run(ctx)
	}()
	for {
		select {
		case s := <-m.link.Snapshots():
			select {
			case <-m.words:
			default:
			}
			m.words <- peersWord{s, now()}
		case <-ended:
			return
		}
	}
}

// meet has the fleet and the module hear of each other.
func (m *fleetPart) meet(d *decider) {
	at := now()
	m.link.Publish(adapter.ToObservations(d.bal.Reports(at), d.zones))
	peers := balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true}
	if w := &m.last; w.at != 0 && at-w.at <= deafAfter.Microseconds() {
		notices, _ := adapter.ToReports(at, w.PeerEntries, d.zones)
		peers = balancer.PeerReports{LiveReplicas: w.LiveMembers, LiveReplicasInZone: w.LiveMembersInZone, Isolated: w.Isolated, Reports: notices}
		ages := make([]float64, 0, len(w.PeerEntries))
		for i := range w.PeerEntries {
			if e := &w.PeerEntries[i]; !e.Withdrawn && e.ExpiresAt() > at {
				ages = append(ages, float64(at-e.ObservedAt)/1000)
			}
		}
		m.mu.Lock()
		m.ages = ages
		m.mu.Unlock()
	}
	d.bal.HandlePeerReports(at, d, peers)
}

func (m *fleetPart) figures() *FleetFigures {
	m.mu.Lock()
	ages := m.ages
	m.mu.Unlock()
	return fleetFigures(m.link.Metrics(), ages)
}
