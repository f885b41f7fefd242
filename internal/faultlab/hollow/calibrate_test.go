package hollow_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/result"
)

// freePorts returns two ports that are free on 127.0.0.1. They are assumed to be free on other loopback
// addresses.
func freePorts(t *testing.T) (ports [2]int) {
	t.Helper()
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// readUsage returns the traffic of a process's proxies so far, and the metrics of its cluster members.
func readUsage(links *link.Net, p *hollow.Process, from string, proxies int) (s result.Usage,
	fleet []*hollow.ClusterMetrics) {
	links.EachTraffic(func(e link.Ends, t link.Traffic) {
		if e.From == from {
			s.BytesIn, s.BytesOut, s.Calls = t.ToDialer, t.FromDialer, t.Chunks
		}
	})
	for _, x := range p.Metrics(false).Proxies {
		if x.Cluster != nil {
			fleet = append(fleet, x.Cluster)
		}
	}
	s.InstanceTime = time.Duration(proxies) * time.Second
	return s, fleet
}

// TestCalibrationDetectsSkippedWork checks that the calibration accepts hollow proxies that do the same work
// as the proxies that they are compared with, and rejects proxies that skip the watch or the gossip.
func TestCalibrationDetectsSkippedWork(t *testing.T) {
	const proxies, nodos = 3, 12
	within := func(factor string) experiment.Expect {
		least, most := 0.5, 2.0
		return experiment.Expect{Metric: "control.all.factor." + factor, Min: &least, Max: &most}
	}
	for _, test := range []struct {
		name string
		held map[string]bool // whether each factor is in range; without a watch there is no gossip to check
	}{
		{"sound", map[string]bool{"calls": true, "in": true, "gossip_in": true}},
		{"watch", map[string]bool{"calls": false, "in": false}},
		{"fleet", map[string]bool{"calls": true, "in": true, "gossip_in": false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fault := hollow.NoFault
			switch test.name {
			case "watch":
				fault = hollow.SkipsWatch
			case "fleet":
				fault = hollow.SkipsGossip
			}
			own, _, _ := hollow.StartRegistry(t)
			links := link.New(1)
			t.Cleanup(links.Close)
			process := func(name, label string, port int) hollow.Config {
				addr := fmt.Sprintf("127.0.0.1:%d", port)
				if _, err := links.Listen(link.Ends{Kind: "list", From: name}, addr, 0, func(c *link.Conn) { _ = link.Forward(c, own, nil) }); err != nil {
					t.Fatal(err)
				}
				c := hollow.TestConfig(addr, proxies, 0)
				c.Cluster = &hollow.Cluster{Label: label}
				for i := range c.Proxies {
					c.Proxies[i].Name = name + c.Proxies[i].Name
					c.Proxies[i].Bind = fmt.Sprintf("127.0.0.%d:%d", i+2, port)
					c.Proxies[i].Seeds = []string{fmt.Sprintf("127.0.0.2:%d", port)}
				}
				return c
			}
			base := freePorts(t)
			real := hollow.StartSeeded(t, process("real", "a", base[0]), hollow.NoFault)
			checked := hollow.StartSeeded(t, process("hollow", "b", base[1]), fault)
			hollow.Eventually(t, "both processes to be ready", func() bool {
				return real.NotReadyReason()+checked.NotReadyReason() == ""
			})
			read := func() *result.Sample {
				r := &result.Sample{TakenAt: time.Now(), Roles: map[string]result.Usage{}}
				r.Roles["real"], r.RealGossip = readUsage(links, real, "real", proxies)
				r.Roles["proxy"], r.Gossip = readUsage(links, checked, "hollow", proxies)
				return r
			}
			c := &result.Control{Phases: []result.PhaseSamples{{Before: read()}}}
			nodo := hollow.StartSeeded(t, hollow.TestConfig(own, 0, nodos), hollow.NoFault)
			hollow.Eventually(t, "the servers to be registered",
				func() bool { return nodo.NotReadyReason() == "" })
			// After 10000 bytes each, the members have exchanged entries.
			hollow.Eventually(t, "10000 bytes of gossip at each member", func() bool {
				for i, x := range real.Metrics(false).Proxies {
					if x.Cluster.BytesIn-c.Phases[0].Before.RealGossip[i].BytesIn < 10000 {
						return false
					}
				}
				return true
			})
			after := read()
			for role, s := range after.Roles {
				s.InstanceTime *= 2
				after.Roles[role] = s
			}
			c.Phases[0].After = after
			e := &experiment.Experiment{Seconds: 10, Phases: []experiment.Phase{{Name: "all", From: 1, To: 9}}}
			f := c.Metrics(e, time.Now())
			for factor, want := range test.held {
				x := within(factor)
				v, ok := f[x.Metric]
				if !ok {
					v = -1 // as in a run, for a metric without a value
				}
				if held, text := x.Check(v); held != want {
					t.Errorf("factor %s is in range: %v, want %v; value %v, check: %s",
						factor, held, want, v, text)
				}
			}
		})
	}
}
