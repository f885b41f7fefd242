package hollow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fernlanding/internal/fleet/link"
	"fernlanding/internal/fleet/words"
	"fernlanding/logic"
)

const (
	meetEvery = 100 * time.Millisecond // as a real proxy's
	deafAfter = time.Second            // likewise
	tier      = "0"
)

// peersWord is what the link told, and when.
type peersWord struct {
	link.Snapshot
	at int64
}

// fleetPart is a proxy's part in its fleet, as internal/fleet has it.
type fleetPart struct {
	link  *link.Link
	words chan peersWord // the newest
	last  peersWord      // the loop's

	mu   sync.Mutex
	ages []float64
}

func join(f *Fleet, p Proxy, log *slog.Logger) (*fleetPart, error) {
	k, err := link.Open(link.Config{Name: p.Name, Zone: p.Zone, Tier: tier, Bind: p.Bind, Advertise: p.Advertise, Label: f.Label, Seeds: p.Seeds,
		Start: time.Now().UnixMilli(), Now: now, Log: log})
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
		case s := <-m.link.Peers():
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
	m.link.Say(words.Items(d.bal.Seen(at), d.zones))
	peers := logic.Peers{Living: 1, Near: 1, Alone: true}
	if w := &m.last; w.at != 0 && at-w.at <= deafAfter.Microseconds() {
		notices, _ := words.Notices(at, w.Others, d.zones)
		peers = logic.Peers{Living: w.Living, Near: w.Near, Alone: w.Alone, Notices: notices}
		ages := make([]float64, 0, len(w.Others))
		for i := range w.Others {
			if e := &w.Others[i]; !e.Gone && e.End() > at {
				ages = append(ages, float64(at-e.Made)/1000)
			}
		}
		m.mu.Lock()
		m.ages = ages
		m.mu.Unlock()
	}
	d.bal.Peers(at, d, peers)
}

func (m *fleetPart) figures() *FleetFigures {
	m.mu.Lock()
	ages := m.ages
	m.mu.Unlock()
	return fleetFigures(m.link.Figures(), ages)
}
