package proxy

import (
	"strconv"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
)

// zoneNumbers are the balancer's numbers of zones by name: first the settings' own, then others as they turn up. The loop
// owns it.
type zoneNumbers map[string]int

func newZoneNumbers(names []string) zoneNumbers {
	z := zoneNumbers{}
	for i, n := range names {
		z[n] = i
	}
	return z
}

// number gives a zone its number, a new one if it has none.
func (z zoneNumbers) number(name string) int {
	n, ok := z[name]
	if !ok {
		n = len(z)
		z[name] = n
	}
	return n
}

// name is the name of a zone by its number, or the number itself where no zone has it.
func (z zoneNumbers) name(number int) string {
	for name, n := range z {
		if n == number {
			return name
		}
	}
	return strconv.Itoa(number)
}

// toServers turns entries of an endpoint list into the balancer's servers. startOf returns when one started on the loop's clock.
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
