package run

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"merlinpick/internal/faultlab/byzantine"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
)

const firstByzantine = 400 // ordinal, above those of proxies

// runByzantineMembers has byzantine members join the gossip for the duration of a fault, one in each zone in turn.
func (t *timeline) runByzantineMembers(ctx context.Context, strike plan.Strike) error {
	if !t.experiment.Cluster.Enabled {
		return nil
	}
	zones := t.experiment.ZoneNames()
	victims := func() (out []byzantine.Target) {
		for _, turn := range strike.Turns {
			server := t.server(turn.Target)
			server.mu.Lock()
			out = append(out, byzantine.Target{Name: server.entry.Name, StartedAtMs: server.entry.Since})
			server.mu.Unlock()
		}
		return out
	}
	var errs []error
	for i := range strike.Fault.ByzantineMembers {
		zone := zones[i%len(zones)]
		l, err := t.joinByzantine(experiment.Node{Name: fmt.Sprintf("%s-liar%d.%d", zone, strike.N, i+1), Zone: zone}, victims)
		if err != nil {
			errs = append(errs, err)
			break
		}
		defer l.Leave()
	}
	if len(errs) == 0 {
		t.holdFault(ctx, strike, strike.At)
	}
	return errors.Join(errs...)
}

// joinByzantine has one byzantine member join, behind a relay of its own.
func (t *timeline) joinByzantine(node experiment.Node, victims func() []byzantine.Target) (*byzantine.Member, error) {
	t.mu.Lock()
	n := firstByzantine + t.byzantineMembers
	t.byzantineMembers++
	t.mu.Unlock()
	r, err := t.addRelay(node, n)
	if err != nil {
		return nil, err
	}
	bind := t.block.gossip(n, 0)
	if err := r.SetTarget(bind); err != nil {
		return nil, err
	}
	return byzantine.Join(byzantine.Config{Name: node.Name, Zone: node.Zone, Tier: strconv.Itoa(stage), Bind: bind, Advertise: r.Address(),
		Label: t.experiment.Cluster.Label, Seeds: t.gossipSeeds(node), Logger: t.log}, victims, t.experiment.ZoneNames())
}
