// Package model plays a whole fleet in one process on one virtual clock: many logic.Balancers, the nodos that they
// send to, clients, the list, and the gossip between proxies. There are no sockets, no goroutines and no clock of the
// machine; all chance comes from one seed, so the same Config gives the same run, event for event (Result.Sum).
//
// It stands beside the fault lab (cmd/merlinpick-faultlab), which plays few real processes at the pace of the machine: the model
// plays hundreds of proxies through thousands of schedules of faults, and checks after each event what must always
// hold (check.go). What it leaves out: connections and their handshakes, bodies, bytes on the wire, the machine's own
// load. All times are microseconds of the virtual clock, which begins at 0.
package model

import (
	"fmt"

	"merlinpick/balancer"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

// Class is a class of requests as clients send it.
type Class struct {
	balancer.Class
	Share   float64 // of all requests, in proportion to the other classes'
	WorkMin int64   // on a slot of speed 1; drawn evenly between the two
	WorkMax int64
}

// Config is all that a run depends on.
type Config struct {
	Seed     uint64
	Duration int64 // the run's length
	Zones    int
	Regions  int // 1 or 2: the zones' first half is in one, the rest in the other
	Proxies  int // over all zones, spread evenly
	Servers  int

	Rate    float64 // requests a second over all proxies, Poisson
	Skew    float64 // standard deviation of the logarithm of a proxy's part of them
	Classes []Class

	Slots                int
	Queue                int
	Speed                float64 // of a slot
	SlowStartMinCapacity float64 // as logic.Settings
	SlowStartDuration    int64
	OverloadMultiple     float64 // of its present capacity: a cold nodo that is sent more for Fall falls over
	OverloadWindow       int64

	ListAddDelay    int64 // until a proxy hears of a nodo that has started
	ListRemoveDelay int64 // of one that has ended: its lease has to run out
	DialTimeout     int64 // until a connection that nobody answers is given up

	MaxClockOffset int64   // a proxy's clock is off by up to this, either way
	MaxClockDrift  float64 // and runs fast or slow by up to this part

	Cluster          bool    // proxies tell each other what they see
	Encoded          bool    // through the packets of view.Encode and view.Decode, instead of entry by entry
	Loss             float64 // part of gossip packets that is lost all the time
	ExtraLoadReports int     // summaries that each proxy tells beside, anew all the time: what spreads is looked at, not why

	Faults []Fault

	log    func(at int64, proxy, line string) // takes what proxies tell on-call staff; may be nil
	seeded seededFault                        // a fault in the fleet's own rules, which the checks must find; tests only
}

// Default is a fleet of a moderate size under two thirds of what it can take: classes as in the lab's calm.toml.
func Default() Config {
	return Config{Seed: 1, Duration: 20 * sec, Zones: 3, Regions: 1, Proxies: 12, Servers: 18, Rate: 400, Skew: 0.5,
		Classes: []Class{
			{balancer.Class{Name: "once", LatencyObjective: 600 * ms, Deadline: 1600 * ms, PriorityWeight: 10, Idempotency: balancer.NonIdempotent},
				0.6, 40 * ms, 80 * ms},
			{balancer.Class{Name: "keyed", LatencyObjective: 800 * ms, Deadline: 2000 * ms, PriorityWeight: 3, Idempotency: balancer.IdempotentWithKey,
				DedupScope: balancer.DedupScopeZone, DedupWindow: 3 * sec}, 0.25, 50 * ms, 90 * ms},
			{balancer.Class{Name: "safe", LatencyObjective: 400 * ms, Deadline: 1200 * ms, PriorityWeight: 1}, 0.15, 10 * ms, 30 * ms},
		},
		Slots: 2, Queue: 12, Speed: 1, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * sec, OverloadMultiple: 3, OverloadWindow: 2 * sec,
		ListAddDelay: 200 * ms, ListRemoveDelay: 3 * sec, DialTimeout: 300 * ms, MaxClockOffset: 100 * ms, MaxClockDrift: 0.01, Cluster: true}
}

// Capacity is what the nodos can take when warm, in requests a second.
func (c *Config) Capacity() float64 {
	work, share := 0.0, 0.0
	for _, k := range c.Classes {
		work += k.Share * float64(k.WorkMin+k.WorkMax) / 2
		share += k.Share
	}
	return float64(c.Servers*c.Slots) * c.Speed * float64(sec) / (work / share)
}

func (c *Config) validate() error {
	for _, x := range []struct {
		bad   bool
		field string
	}{
		{c.Duration <= 0, "Span"}, {c.Zones < 1, "Zones"}, {c.Regions < 1 || c.Regions > 2, "Regions"},
		{c.Proxies < c.Zones, "Proxies"}, {c.Servers < c.Zones, "Nodos"}, {c.Rate <= 0, "Rate"},
		{len(c.Classes) == 0, "Classes"}, {c.Slots < 1, "Slots"}, {c.Speed <= 0, "Speed"},
		{c.MaxClockDrift < 0 || c.MaxClockDrift > 0.1, "ClockDrift"}, {c.Loss < 0 || c.Loss > 1, "Loss"},
	} {
		if x.bad {
			return &ConfigError{Field: x.field}
		}
	}
	for i := range c.Faults {
		if f := &c.Faults[i]; !f.valid(c) {
			return &ConfigError{Field: fmt.Sprintf("Faults[%d] (%s)", i, f.Kind)}
		}
	}
	return nil
}

// ConfigError names the field of a Config that no run can be made of.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "model: Config." + e.Field + ": out of range" }

// settings is what a proxy is told.
func (c *Config) settings(ordinal, zone int) balancer.Settings {
	s := balancer.Settings{Replicas: c.Proxies, ReplicaIndex: ordinal, Zone: zone, ZoneCount: c.Zones, MaxAttempts: 3,
		DrainGrace: 500 * ms, SlowStartMinCapacity: c.SlowStartMinCapacity, SlowStartDuration: c.SlowStartDuration,
		OverloadMultiple: c.OverloadMultiple, OverloadWindow: c.OverloadWindow}
	for _, k := range c.Classes {
		s.Classes = append(s.Classes, k.Class)
	}
	return s
}
