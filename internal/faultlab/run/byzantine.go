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

const firstByzantine = 400 // of the ordinals: above those of proxies

// lie has byzantine members join the gossip for a fault's time, one in each zone in turn.
func (t *timeline) lie(ctx context.Context, s plan.Strike) error {
	if !t.exp.Cluster.On {
		return nil
	}
	zones := t.exp.ZoneNames()
	victims := func() (out []byzantine.Target) {
		for _, turn := range s.Turns {
			srv := t.server(turn.Target)
			srv.mu.Lock()
			out = append(out, byzantine.Target{Name: srv.entry.Name, StartedAtMs: srv.entry.Since})
			srv.mu.Unlock()
		}
		return out
	}
	var errs []error
	for i := range s.Fault.Liars {
		zone := zones[i%len(zones)]
		l, err := t.join(experiment.Node{Name: fmt.Sprintf("%s-liar%d.%d", zone, s.N, i+1), Zone: zone}, victims)
		if err != nil {
			errs = append(errs, err)
			break
		}
		defer l.Leave()
	}
	if len(errs) == 0 {
		t.hold(ctx, s, s.At)
	}
	return errors.Join(errs...)
}

// join has one byzantine member join, behind a relay of its own.
func (t *timeline) join(node experiment.Node, victims func() []byzantine.Target) (*byzantine.Member, error) {
	t.mu.Lock()
	n := firstByzantine + t.liars
	t.liars++
	t.mu.Unlock()
	r, err := t.relay(node, n)
	if err != nil {
		return nil, err
	}
	bind := t.block.gossip(n, 0)
	if err := r.To(bind); err != nil {
		return nil, err
	}
	return byzantine.Join(byzantine.Config{Name: node.Name, Zone: node.Zone, Tier: strconv.Itoa(stage), Bind: bind, Advertise: r.Addr(),
		Label: t.exp.Cluster.Label, Seeds: t.seeds(node), Logger: t.log}, victims, t.exp.ZoneNames())
}
