package proxy

import (
	"fernlanding/internal/discovery"
	"fernlanding/logic"
)

// zones numbers zones by name: first the settings' own, then others as they turn up.
type zones map[string]int

func newZones(names []string) zones {
	z := zones{}
	for i, n := range names {
		z[n] = i
	}
	return z
}

func (z zones) number(name string) int {
	n, ok := z[name]
	if !ok {
		n = len(z)
		z[name] = n
	}
	return n
}

// servers turns entries into the module's. The starts that they tell are Unix times; see starts for the module's clock.
func (z zones) servers(entries []discovery.Endpoint, started func(discovery.Endpoint) int64) []logic.Server {
	out := make([]logic.Server, 0, len(entries))
	for _, e := range entries {
		s := logic.Server{ID: e.Name, Zone: z.number(e.Zone), Cell: e.Group, Size: 1, Launched: e.SinceMs * 1000,
			Started: started(e)}
		switch e.Status {
		case discovery.Serving:
			s.State = logic.Ready
		case discovery.Draining:
			s.State = logic.Draining
		}
		if e.Weight != nil {
			s.Size = *e.Weight
		}
		out = append(out, s)
	}
	return out
}
