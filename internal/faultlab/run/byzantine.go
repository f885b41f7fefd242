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

const firstByzantineOrdinal = 400 // ordinal of the first byzantine member, above those of proxies

// runByzantineMembers runs byzantine members of the cluster for the duration of a fault, distributed over the
// zones in turn. They report the fault's targets, and all zones but their own, as unhealthy.
func (t *timeline) runByzantineMembers(ctx context.Context, planned plan.PlannedFault) error {
	if !t.experiment.Cluster.Enabled {
		return nil
	}
	zones := t.experiment.ZoneNames()
	reportedServers := func() (out []byzantine.Target) {
		for _, target := range planned.Targets {
			server := t.server(target.Name)
			server.mu.Lock()
			out = append(out, byzantine.Target{Name: server.entry.Name, StartedAtMs: server.entry.Since})
			server.mu.Unlock()
		}
		return out
	}
	var errs []error
	for i := range planned.Fault.ByzantineMembers {
		zone := zones[i%len(zones)]
		member, err := t.joinByzantine(experiment.Node{
			Name: fmt.Sprintf("%s-liar%d.%d", zone, planned.Number, i+1), Zone: zone}, reportedServers)
		if err != nil {
			errs = append(errs, err)
			break
		}
		defer member.Leave()
	}
	if len(errs) == 0 {
		t.waitForFaultEnd(ctx, planned, planned.At)
	}
	return errors.Join(errs...)
}

// joinByzantine starts a byzantine member with a relay of its own.
func (t *timeline) joinByzantine(node experiment.Node, reportedServers func() []byzantine.Target) (
	*byzantine.Member, error) {
	t.mu.Lock()
	n := firstByzantineOrdinal + t.byzantineMembers
	t.byzantineMembers++
	t.mu.Unlock()
	relay, err := t.addRelay(node, n)
	if err != nil {
		return nil, err
	}
	bind := t.block.gossip(n, 0)
	if err := relay.SetTarget(bind); err != nil {
		return nil, err
	}
	return byzantine.Join(byzantine.Config{Name: node.Name, Zone: node.Zone, Tier: strconv.Itoa(tierIndex),
		Bind: bind, Advertise: relay.Address(), Label: t.experiment.Cluster.Label,
		Seeds: t.gossipSeeds(node), Logger: t.log}, reportedServers, t.experiment.ZoneNames())
}
