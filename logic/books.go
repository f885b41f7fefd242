package logic

import (
	"fmt"
	"math"
	"slices"
)

// The data that verdicts and zones are decided by. This file keeps books; it decides nothing.

// evidence counts calls and how many of them were bad. Both fade, with time and with each further call, so that
// the part is that of the latest: it must also tell of a zone that calls have begun to avoid.
type evidence struct {
	calls, bad float64 // as of last
	last       int64
	cause      Cause // of the latest that was bad
	badAt      int64 // when that was
}

// add takes the end of a call: NoCause for one that was answered.
func (e *evidence) add(now, span int64, most float64, cause Cause) {
	keep := math.Exp(-float64(now-e.last) / float64(span))
	keep *= min(1, (most-1)/max(keep*e.calls, 1))
	e.calls, e.bad, e.last = e.calls*keep+1, e.bad*keep, now
	if cause != NoCause {
		e.bad, e.cause, e.badAt = e.bad+1, cause, now
	}
}

// amend takes back that a call was bad: it was answered after all.
func (e *evidence) amend() { e.bad = max(0, e.bad-1) }

func (e *evidence) part() float64 { return e.bad / max(e.calls, 1e-9) }

// verdict is what copies say of a server: how many call it bad or well, on what evidence and when.
type verdict struct {
	bad, well int
	others    int // of bad
	calls     float64
	at        int64
}

// zone is how another zone, or home, stands as seen from home.
type zone struct {
	ZoneState
	fresh, long evidence // this copy's own
	step        int      // of Returning
	flaps       int      // times that it was left lately
	left        int64    // when it was last left
	trial       int64    // when this copy may next try it
	said        int64    // when its last log line was written
	sum         zoneSum
}

// zoneSum is the evidence of all copies of this zone on another.
type zoneSum struct {
	calls, bad float64
	say, against,
	slow int // copies with evidence, those of them that call it bad, and those that find it slow
	cause   Cause
	servers int       // ready servers of it that a copy of this zone calls bad
	ready   int       // its ready servers
	shares  []float64 // what each of the other copies gives it
}

// zone is the state of a zone, nil of one that the settings have not or before others were told or heard.
func (b *Balancer) zone(i int) *zone {
	if i < 0 || i >= len(b.zones) {
		return nil
	}
	return &b.zones[i]
}

// open opens the books that are needed to tell others and to hear them.
func (b *Balancer) open() {
	if len(b.zones) == b.s.Zones {
		return
	}
	b.zones = make([]zone, b.s.Zones)
	for i := range b.zones {
		b.zones[i].ZoneState = ZoneState{Zone: i, Share: 1}
		if b.drained[i] {
			b.zones[i].Standing, b.zones[i].Share = Drained, 0
		}
	}
	b.relist()
}

// notices are those of others and this copy's own, that those that hear each other decide by the same.
func (b *Balancer) notices(yield func(Notice) bool) {
	for _, list := range [][]Notice{b.tells, b.peers.Notices} {
		for _, n := range list {
			if !yield(n) {
				return
			}
		}
	}
}

// sumServers gathers the verdicts of all copies on each server.
func (b *Balancer) sumServers(counts func(Notice) bool, most float64) {
	for _, s := range b.all {
		s.verdict = verdict{}
	}
	for n := range b.notices {
		s := b.byID[n.Server]
		if n.Kind != ServerBad && n.Kind != ServerWell || s == nil || s.Launched != n.Launched || !counts(n) {
			continue
		}
		v := &s.verdict
		if n.Kind == ServerWell {
			v.well++
			continue
		}
		v.bad++
		v.others += int(partOf(n.Observer != ""))
		v.calls += max(0, min(n.Calls, most)) * max(0, min(n.Bad, 1))
		v.at = max(v.at, n.At)
	}
}

// sumZones gathers the evidence of the copies of this zone on each zone.
func (b *Balancer) sumZones(least, most float64) {
	bad := map[string]bool{}
	for i := range b.zones {
		b.zones[i].sum = zoneSum{}
	}
	for _, s := range b.ready {
		if z := b.zone(s.Zone); z != nil {
			z.sum.ready++
		}
	}
	for n := range b.notices {
		if n.Zone != b.s.Zone {
			continue
		}
		if s := b.byID[n.Server]; n.Kind == ServerBad && s != nil && s.State == Ready && s.Launched == n.Launched {
			if z := b.zone(s.Zone); z != nil && !bad[n.Server] {
				bad[n.Server] = true
				z.sum.servers++
			}
		}
		of := b.zone(n.Of)
		if n.Kind != ZoneBad && n.Kind != ZoneWell || of == nil {
			continue
		}
		z := &of.sum
		if n.Observer != "" {
			z.shares = append(z.shares, n.Value)
		}
		if !(n.Calls >= least) {
			continue
		}
		calls := min(n.Calls, most)
		z.calls, z.bad, z.say = z.calls+calls, z.bad+calls*max(0, min(n.Bad, 1)), z.say+1
		if n.Kind == ZoneBad {
			z.against++
			z.cause = max(z.cause, n.Cause)
		} else if n.Cause == Slow {
			z.slow++
		}
	}
	for i := range b.zones {
		slices.Sort(b.zones[i].sum.shares)
	}
}

func (z *zoneSum) part() float64 { return z.bad / max(z.calls, 1e-9) }

// stand puts a zone in a standing and tells on-call staff, of a zone at most twice a second.
func (b *Balancer) stand(now int64, h Host, z *zone, to Standing, share float64) {
	from := z.Standing
	z.Standing, z.Share, z.Since, z.Cause = to, share, now, z.sum.cause
	if from == to {
		return
	}
	z.Epoch++
	if now-z.said < second/2 && z.said != 0 {
		return
	}
	z.said = now
	h.Log(fmt.Sprintf("zone %d as seen from zone %d: %v, before %v; gets %.2f of its fair part; %.0f%% of %.0f calls "+
		"%v, %d of %d copies of this zone call it bad; change %d", z.Zone, b.s.Zone, to, from, share, 100*z.sum.part(),
		z.sum.calls, z.sum.cause, z.sum.against, z.sum.say, z.Epoch))
}

// ZoneStates tells how each zone stands, in the order of their numbers; nothing before others were told or heard.
func (b *Balancer) ZoneStates(now int64) []ZoneState {
	var out []ZoneState
	for i := range b.zones {
		z := &b.zones[i]
		s := z.ZoneState
		s.Calls, s.Bad, s.Say, s.SayBad = z.sum.calls, z.sum.part(), z.sum.say, z.sum.against
		out = append(out, s)
	}
	return out
}

// String names a standing for log lines and figures.
func (s Standing) String() string {
	names := []string{"well", "pressed", "leaving", "away", "returning", "drained"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("standing %d", int(s))
	}
	return names[s]
}

// String names a cause for log lines and figures.
func (c Cause) String() string {
	names := []string{"bad", "failing", "silent", "slow", "crowded"}
	if c < 0 || int(c) >= len(names) {
		return fmt.Sprintf("cause %d", int(c))
	}
	return names[c]
}
