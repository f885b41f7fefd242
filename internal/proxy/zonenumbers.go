package proxy

import (
	"strconv"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
)

// zoneNumbers maps zone names to the numbers that the balancer uses for them: first the zones in the
// settings, then others in the order in which they are first seen. Only the loop uses it.
type zoneNumbers map[string]int

func newZoneNumbers(names []string) zoneNumbers {
	z := zoneNumbers{}
	for i, n := range names {
		z[n] = i
	}
	return z
}

// number returns the number of a zone, and assigns the next one if the zone is new.
func (z zoneNumbers) number(name string) int {
	n, ok := z[name]
	if !ok {
		n = len(z)
		z[name] = n
	}
	return n
}

// name returns the name of the zone with a number, or the number as text if there is none.
func (z zoneNumbers) name(number int) string {
	for name, n := range z {
		if n == number {
			return name
		}
	}
	return strconv.Itoa(number)
}

// toServers converts the entries of an endpoint list to servers for the balancer. startOf returns when the
// server of an entry started, on the loop's clock.
func (z zoneNumbers) toServers(entries []discovery.Endpoint, startOf func(discovery.Endpoint) int64) []balancer.Server {
	servers := make([]balancer.Server, 0, len(entries))
	for _, e := range entries {
		s := balancer.Server{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Cell, CapacityHint: 1, StartTime: e.StartedAtMs * 1000,
			LocalStartTime: startOf(e)}
		switch e.Status {
		case discovery.StatusServing:
			s.State = balancer.ServerReady
		case discovery.StatusDraining:
			s.State = balancer.ServerDraining
		}
		if e.Weight != nil {
			s.CapacityHint = *e.Weight
		}
		servers = append(servers, s)
	}
	return servers
}
