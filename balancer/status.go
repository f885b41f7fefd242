package balancer

import (
	"cmp"
	"slices"
)

// Condemned are the ready servers that get trials at most by the word of others.
func (b *Balancer) EjectedServers() (ids []string) {
	for _, s := range b.ready {
		if s.told < healthyScore {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Servers tells how many servers are listed, and how many of these are avoided: they are banned or, for their
// failures, get trials at most.
func (b *Balancer) ServerCounts() (listed, avoided int) {
	for _, s := range b.all {
		if b.banned[s.ID] || s.State == ServerReady && (s.damped || s.whole.score < healthyScore) {
			avoided++
		}
	}
	return len(b.all), avoided
}

// Refusals are how many requests were refused for each reason.
func (b *Balancer) Rejections() map[RejectReason]int64 {
	out := map[RejectReason]int64{}
	for why, n := range b.refusals {
		out[RejectReason(why)] = n
	}
	return out
}

// Rules are the settings in force, with the classes by the numbers that requests have for them.
func (b *Balancer) Settings() *Settings { return b.s }

// ZoneStates tells how each zone stands, in the order of their numbers; nothing before others were told or
// heard.
func (b *Balancer) ZoneStates(now int64) []ZoneState {
	var out []ZoneState
	for i := range b.zones {
		out = append(out, b.zones[i].state())
	}
	return out
}

// Damped are the servers that get their steady small share now, the longest so first.
func (b *Balancer) DampedServers(now int64) (out []DampedServer) {
	for _, s := range b.ready {
		if s.damped {
			out = append(out, DampedServer{s.ID, b.damper.records[s.ID].currentPenalty(now), s.since})
		}
	}
	slices.SortFunc(out, func(x, y DampedServer) int {
		return cmp.Or(cmp.Compare(x.DampedSince, y.DampedSince), cmp.Compare(x.Server, y.Server))
	})
	return out
}
