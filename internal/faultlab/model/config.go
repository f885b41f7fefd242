// Package model simulates a cluster in one process on one virtual clock: many balancer.Balancers, the servers
// that they send to, clients, the endpoint list, and the gossip between proxies. It uses no sockets, no
// goroutines and no real clock, and draws all randomness from one seed, so equal configurations give the same
// run, event for event (Result.Hash).
//
// The fault lab (cmd/merlinpick-faultlab) runs a few real processes in real time; the model runs hundreds of
// proxies through thousands of schedules of faults, and checks invariants after each event (check.go). It
// leaves out connections and handshakes, bodies, bytes on the wire, and the machine's load. Times are int64
// microseconds of the virtual clock, which starts at 0.
package model

import (
	"fmt"

	"merlinpick/balancer"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

// Class is a class of requests that clients send.
type Class struct {
	balancer.Class
	Share   float64 // of all requests, relative to the other classes
	WorkMin int64   // microseconds on a slot of speed 1; drawn uniformly up to WorkMax
	WorkMax int64
}

// Config determines a run. Durations are in microseconds.
type Config struct {
	Seed     uint64
	Duration int64
	Zones    int
	Regions  int // 1 or 2, of which each has half of the zones
	Proxies  int // in all zones, evenly
	Servers  int

	Rate    float64 // requests a second at all proxies, a Poisson process
	Skew    float64 // standard deviation of the logarithm of a proxy's share of them
	Classes []Class

	Slots                int
	Queue                int
	Speed                float64 // of a slot
	SlowStartMinCapacity float64 // as in balancer.Settings
	SlowStartDuration    int64
	OverloadMultiple     float64 // of its present capacity: a warming server that gets more for OverloadWindow fails
	OverloadWindow       int64

	ListAddDelay    int64 // until a proxy receives a started server
	ListRemoveDelay int64 // until a proxy receives an ended server's removal: the lease has to expire
	DialTimeout     int64 // of a connection that is not answered

	MaxClockOffset int64   // of a proxy's clock, either way
	MaxClockDrift  float64 // fraction by which it is fast or slow

	Cluster          bool    // proxies gossip
	Encoded          bool    // gossip passes state.Encode and state.Decode
	Loss             float64 // fraction of gossip packets that are lost
	ExtraLoadReports int     // that each proxy publishes in addition, to measure propagation

	Faults []Fault

	log    func(at int64, proxy, line string) // receives the balancers' events; may be nil
	seeded seededFault                        // that the checks must detect; for tests only
}

// Default returns a cluster of moderate size at less than two thirds of its capacity, with the classes of the lab's
// calm.toml.
func Default() Config {
	return Config{Seed: 1, Duration: 20 * sec, Zones: 3, Regions: 1, Proxies: 12, Servers: 18, Rate: 400, Skew: 0.5,
		Classes: []Class{
			{balancer.Class{Name: "once", LatencyObjective: 600 * ms, Deadline: 1600 * ms, PriorityWeight: 10,
				Idempotency: balancer.NonIdempotent},
				0.6, 40 * ms, 80 * ms},
			{balancer.Class{Name: "keyed", LatencyObjective: 800 * ms, Deadline: 2000 * ms, PriorityWeight: 3,
				Idempotency: balancer.IdempotentWithKey,
				DedupScope:  balancer.DedupScopeZone, DedupWindow: 3 * sec}, 0.25, 50 * ms, 90 * ms},
			{balancer.Class{Name: "safe", LatencyObjective: 400 * ms, Deadline: 1200 * ms, PriorityWeight: 1},
				0.15, 10 * ms, 30 * ms},
		},
		Slots: 2, Queue: 12, Speed: 1, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * sec,
		OverloadMultiple: 3, OverloadWindow: 2 * sec,
		ListAddDelay: 200 * ms, ListRemoveDelay: 3 * sec, DialTimeout: 300 * ms, MaxClockOffset: 100 * ms,
		MaxClockDrift: 0.01, Cluster: true}
}

// Capacity returns the capacity of warm servers in requests a second.
func (c *Config) Capacity() float64 {
	work, share := 0.0, 0.0
	for _, class := range c.Classes {
		work += class.Share * float64(class.WorkMin+class.WorkMax) / 2
		share += class.Share
	}
	return float64(c.Servers*c.Slots) * c.Speed * float64(sec) / (work / share)
}

func (c *Config) validate() error {
	for _, check := range []struct {
		invalid bool
		field   string
	}{
		{c.Duration <= 0, "Duration"}, {c.Zones < 1, "Zones"}, {c.Regions < 1 || c.Regions > 2, "Regions"},
		{c.Proxies < c.Zones, "Proxies"}, {c.Servers < c.Zones, "Servers"}, {c.Rate <= 0, "Rate"},
		{len(c.Classes) == 0, "Classes"}, {c.Slots < 1, "Slots"}, {c.Speed <= 0, "Speed"},
		{c.MaxClockDrift < 0 || c.MaxClockDrift > 0.1, "MaxClockDrift"}, {c.Loss < 0 || c.Loss > 1, "Loss"},
	} {
		if check.invalid {
			return &ConfigError{Field: check.field}
		}
	}
	for i := range c.Faults {
		if f := &c.Faults[i]; !f.valid(c) {
			return &ConfigError{Field: fmt.Sprintf("Faults[%d] (%s)", i, f.Kind)}
		}
	}
	return nil
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct{ Field string }

// Error returns a text that names the field.
func (e *ConfigError) Error() string { return "model: Config." + e.Field + ": out of range" }

// settings returns a proxy's settings.
func (c *Config) settings(ordinal, zone int) balancer.Settings {
	settings := balancer.Settings{Replicas: c.Proxies, ReplicaIndex: ordinal, Zone: zone, ZoneCount: c.Zones,
		MaxAttempts: 3, DrainGrace: 500 * ms,
		SlowStartMinCapacity: c.SlowStartMinCapacity, SlowStartDuration: c.SlowStartDuration,
		OverloadMultiple: c.OverloadMultiple, OverloadWindow: c.OverloadWindow}
	for _, class := range c.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	return settings
}
