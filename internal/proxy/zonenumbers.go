package proxy

import (
	"merlinpick/balancer"
	"merlinpick/internal/discovery"
)

// zones numbers zones by name: first the settings' own, then others as they turn up.
type zoneNumbers map[string]int

func newZoneNumbers(names []string) zoneNumbers {
	z := zoneNumbers{}
	for i, n := range names {
		z[n] = i
	}
	return z
}

func (z zoneNumbers) number(name string) int {
	n, ok := z[name]
	if !ok {
		n = len(z)
		z[name] = n
	}
	return n
}

// servers turns entries into the module's. The starts that they tell are Unix times; see starts for the module's clock.
func (z zoneNumbers) toServers(entries []discovery.Endpoint, started func(discovery.Endpoint) int64) []balancer.Server {
	out := make([]balancer.Server, 0, len(entries))
	for _, e := range entries {
		s := balancer.Server{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Cell, CapacityHint: 1, StartTime: e.StartedAtMs * 1000,
			LocalStartTime: started(e)}
		switch e.Status {
		case discovery.StatusServing:
			s.State = balancer.ServerReady
		case discovery.StatusDraining:
			s.State = balancer.ServerDraining
		}
		if e.Weight != nil {
			s.CapacityHint = *e.Weight
		}
		out = append(out, s)
	}
	return out
}
