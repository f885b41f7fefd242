package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
)

// zoneHands is what on-call staff did to zones, by name. All but named is the loop's.
type zoneHands struct {
	named   *override.NameSet // those of the settings and of lists
	count   int               // of zones when they were last named
	asked   map[string]bool   // to be out: the union of this proxy's own and the fleet's
	drained map[string]bool   // those that are out: all of these, unless that left no zone with backends
	kept    string            // the one that is not, then
}

func newZoneHands(z zones) zoneHands {
	h := zoneHands{named: override.NewNameSet(), count: len(z)}
	h.named.Add(slices.Collect(maps.Keys(z))...)
	return h
}

// nameZones allows calls on zones that have turned up.
func (l *loop) nameZones() {
	if len(l.zones) != l.hands.count {
		l.hands.count = len(l.zones)
		l.hands.named.Add(slices.Collect(maps.Keys(l.zones))...)
	}
	l.showZones()
}

// drain has those zones out that are to be. A call that would leave no zone with backends is refused; but calls at two
// proxies, or a list, may lead there. Then the first of them by name stays in, the same at every proxy.
func (l *loop) drain() {
	if len(l.hands.asked)+len(l.hands.drained) == 0 {
		return
	}
	out, kept := maps.Clone(l.hands.asked), ""
	serving := slices.Sorted(maps.Keys(l.pool.servingZones()))
	if len(serving) > 0 && !slices.ContainsFunc(serving, func(z string) bool { return !out[z] }) {
		kept = serving[0]
		delete(out, kept)
	}
	if kept != l.hands.kept && kept != "" {
		l.log.Error("a drained zone stays in, as no other has nodos that serve; restore another", "zone", kept)
	}
	l.hands.kept = kept
	if maps.Equal(out, l.hands.drained) {
		return
	}
	l.log.Info("zones drained", "zones", slices.Sorted(maps.Keys(out)))
	l.hands.drained = out
	numbers := map[int]bool{}
	for zone := range out {
		numbers[l.zones.number(zone)] = true
	}
	l.pool.drain(out)
	l.bal.SetDrainedZones(l.clock.now(), l, numbers)
	l.figs.servers(l.bal.ServerCounts())
}

// lookZones shows how zones stand, and has those that were restored come back where nobody else moves them: without a
// fleet, or until its address is open.
func (l *loop) lookZones() {
	now := l.clock.now()
	returning := func(z balancer.ZoneState) bool { return z.Phase == balancer.ZoneRecovering }
	if slices.ContainsFunc(l.bal.ZoneStates(now), returning) && (l.fleet == nil || !l.fleet.Metrics().Open) {
		l.bal.HandlePeerReports(now, l, balancer.PeerReports{LiveReplicas: 1, LiveReplicasInZone: 1, Isolated: true})
	}
	l.showZones()
}

func (l *loop) showZones() {
	if !l.watched {
		return
	}
	states := map[int]balancer.ZoneState{}
	for _, z := range l.bal.ZoneStates(l.clock.now()) {
		states[z.Zone] = z
	}
	shown := zonesShown{told: l.fleet != nil || len(l.hands.asked) > 0, start: l.clock.start}
	for name, n := range l.zones {
		if name == "" {
			continue
		}
		s, ok := states[n]
		if !ok {
			s.WeightFraction = 1
		}
		if l.hands.drained[name] { // those that the settings do not have are no zones to the module
			s.Phase, s.WeightFraction = balancer.ZoneDrained, 0
		}
		z := management.Zone{Name: name, Phase: s.Phase, WeightFraction: s.WeightFraction, Transitions: s.Transitions, Reason: l.zoneReason(name, s)}
		shown.zones = append(shown.zones, shownZone{z, l.clock.time(s.ChangedAt), s.ChangedAt != 0})
	}
	slices.SortFunc(shown.zones, func(x, y shownZone) int { return cmp.Compare(x.Name, y.Name) })
	l.figs.showZones(shown)
}

// causes are the words of causes in what callers read.
var causes = [...]string{balancer.NoFault: "bad", balancer.FaultErrors: "failing", balancer.FaultUnresponsive: "silent", balancer.FaultSlow: "slow",
	balancer.FaultSaturated: "crowded"}

// zoneReason says why a zone stands as it does.
func (l *loop) zoneReason(name string, s balancer.ZoneState) string {
	switch {
	case l.hands.drained[name]:
		return "drained by hand"
	case l.hands.kept == name:
		return "drained by hand, but no other zone has nodos that serve"
	case s.Calls == 0:
		return ""
	}
	return fmt.Sprintf("%.0f%% of %.0f calls %s, %d of %d copies call it bad", 100*s.BadFraction, s.Calls, causes[s.Fault], s.UnhealthyVotes, s.ReportingReplicas)
}

// zonesShown is how zones stood when the loop last looked.
type zonesShown struct {
	told  bool // among the figures
	start time.Time
	zones []shownZone
}

type shownZone struct {
	management.Zone
	since   time.Time
	changed bool
}

func (s *zonesShown) now() []management.Zone {
	out := make([]management.Zone, 0, len(s.zones))
	for _, z := range s.zones {
		if !z.changed {
			z.since = s.start
		}
		z.Since = max(0, time.Since(z.since))
		out = append(out, z.Zone)
	}
	return out
}

func (f *figures) showZones(s zonesShown) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = s
}

// Zones tells how each zone stands, by name.
func (p *Proxy) Zones() []management.Zone {
	p.figs.mu.Lock()
	defer p.figs.mu.Unlock()
	return p.figs.zones.now()
}

// Drain has a zone get nothing new until Restore, as Suspend does a server. Its errors are those of bans.Bans.Drain.
func (p *Proxy) DrainZone(zone string) error { return p.bans.DrainZone(zone) }

// Restore has a zone come back by steps.
func (p *Proxy) RestoreZone(zone string) error { return p.bans.RestoreZone(zone) }

// drain has these zones and no others get nothing: idle connections there are closed.
func (p *backends) drain(zones map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outs = zones
	p.sift()
}

// sift finds out anew which backends get something. The caller has the lock.
func (p *backends) sift() {
	for name, b := range p.byName {
		if ready := b.serving && !p.banned[name] && !p.outs[b.zone]; ready != b.ready {
			b.ready = ready
			p.turn(b)
		}
	}
}

// servingZones are the zones with backends that serve by the list, drained or banned ones too.
func (p *backends) servingZones() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := map[string]bool{}
	for _, b := range p.byName {
		if b.serving {
			zones[b.zone] = true
		}
	}
	return zones
}
