package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fernlanding/internal/bans"
	"fernlanding/internal/mgmt"
	"fernlanding/logic"
)

// zoneHands is what on-call staff did to zones, by name. All but named is the loop's.
type zoneHands struct {
	named   *bans.Names     // those of the settings and of lists
	count   int             // of zones when they were last named
	asked   map[string]bool // to be out: the union of this proxy's own and the fleet's
	drained map[string]bool // those that are out: all of these, unless that left no zone with backends
	kept    string          // the one that is not, then
}

func newZoneHands(z zones) zoneHands {
	h := zoneHands{named: bans.NewNames(), count: len(z)}
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
	l.bal.Drain(l.clock.now(), l, numbers)
	l.figs.servers(l.bal.Servers())
}

// lookZones shows how zones stand, and has those that were restored come back where nobody else moves them: without a
// fleet, or until its address is open.
func (l *loop) lookZones() {
	now := l.clock.now()
	returning := func(z logic.ZoneState) bool { return z.Standing == logic.Returning }
	if slices.ContainsFunc(l.bal.ZoneStates(now), returning) && (l.fleet == nil || !l.fleet.Figures().Open) {
		l.bal.Peers(now, l, logic.Peers{Living: 1, Near: 1, Alone: true})
	}
	l.showZones()
}

func (l *loop) showZones() {
	if !l.watched {
		return
	}
	states := map[int]logic.ZoneState{}
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
			s.Share = 1
		}
		if l.hands.drained[name] { // those that the settings do not have are no zones to the module
			s.Standing, s.Share = logic.Drained, 0
		}
		z := mgmt.Zone{Name: name, Standing: s.Standing, Share: s.Share, Epoch: s.Epoch, Reason: l.zoneReason(name, s)}
		shown.zones = append(shown.zones, shownZone{z, l.clock.time(s.Since), s.Since != 0})
	}
	slices.SortFunc(shown.zones, func(x, y shownZone) int { return cmp.Compare(x.Name, y.Name) })
	l.figs.showZones(shown)
}

// causes are the words of causes in what callers read.
var causes = [...]string{logic.NoCause: "bad", logic.Failing: "failing", logic.Silent: "silent", logic.Slow: "slow",
	logic.Crowded: "crowded"}

// zoneReason says why a zone stands as it does.
func (l *loop) zoneReason(name string, s logic.ZoneState) string {
	switch {
	case l.hands.drained[name]:
		return "drained by hand"
	case l.hands.kept == name:
		return "drained by hand, but no other zone has nodos that serve"
	case s.Calls == 0:
		return ""
	}
	return fmt.Sprintf("%.0f%% of %.0f calls %s, %d of %d copies call it bad", 100*s.Bad, s.Calls, causes[s.Cause], s.SayBad, s.Say)
}

// zonesShown is how zones stood when the loop last looked.
type zonesShown struct {
	told  bool // among the figures
	start time.Time
	zones []shownZone
}

type shownZone struct {
	mgmt.Zone
	since   time.Time
	changed bool
}

func (s *zonesShown) now() []mgmt.Zone {
	out := make([]mgmt.Zone, 0, len(s.zones))
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
func (p *Proxy) Zones() []mgmt.Zone {
	p.figs.mu.Lock()
	defer p.figs.mu.Unlock()
	return p.figs.zones.now()
}

// Drain has a zone get nothing new until Restore, as Suspend does a server. Its errors are those of bans.Bans.Drain.
func (p *Proxy) Drain(zone string) error { return p.bans.Drain(zone) }

// Restore has a zone come back by steps.
func (p *Proxy) Restore(zone string) error { return p.bans.Restore(zone) }

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
