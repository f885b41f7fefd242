package transport

import (
	"fmt"
	"log"
	"log/slog"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"

	"merlinpick/internal/cluster/queue"
)

// Parameters of memberlist.
const (
	// 10 datagrams of 1,400 bytes a second to each of 3 members: 42 KB/s at most; with nothing new, renewals alone. Half
	// the shortest TTL, 1.5 s, is 15 rounds: enough for 300 members at 30 % loss.
	gossipInterval  = 100 * time.Millisecond
	gossipFanout    = 3
	gossipToDeadFor = 30 * time.Second // repairs short partitions without seeds

	// A dead member is detected by its next probe, the indirect probes and the suspicion: 1 to 2 s plus
	// suspicionMultiplier*probeInterval*max(1, log10(n)), which is 4 s for 9 members, 5.5 s for 30 and 7 s for 300; with
	// few members to confirm it, up to suspicionMaxMultiplier times the suspicion, 8 to 17 s.
	probeInterval          = 500 * time.Millisecond
	probeTimeout           = 250 * time.Millisecond // leaves room for a starved process
	suspicionMultiplier    = 4
	suspicionMaxMultiplier = 3
	// A starved member slows its own probes by up to this factor, so that it does not suspect others. The library's
	// default of 8 would exceed isolationTimeout.
	maxAwareness = 3

	fullExchangeInterval = 5 * time.Second // memberlist stretches it beyond 32 members
	streamTimeout        = 2 * time.Second // for each read and write
	nameReclaimAfter     = 5 * time.Second // a dead member's name may be taken by another address
	handoffQueueDepth    = 256             // messages that wait within memberlist
	leaveTimeout         = 500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Name        string       // of this proxy; unique in the cluster
	Zone        string       // may be empty
	Tier        string       // members of other tiers are rejected
	Bind        string       // IP and port, for UDP and TCP; port 0: any
	Advertise   string       // IP and port under which others reach it; empty: as bound
	Label       string       // of the cluster: packets and streams with another one are rejected
	Seeds       []string     // members' addresses; this one's own may be among them
	StartedAtMs int64        // of this process, Unix milliseconds
	StateDir    string       // of files that outlive the process; empty: none are written
	Now         func() int64 // microseconds of a monotonic clock, above 0
	Logger      *slog.Logger
}

// Check validates the configuration. The error is a *ConfigError for the first key that is invalid.
func (cfg *Config) Check() error {
	_, _, err := cfg.addresses()
	return err
}

// addresses validates the configuration and returns its parsed addresses; advertise is invalid where none is set.
func (cfg *Config) addresses() (bind, advertise netip.AddrPort, err error) {
	for _, required := range []struct{ key, value string }{{"name", cfg.Name}, {"label", cfg.Label}} {
		if required.value == "" || len(required.value) > maxNameBytes {
			return bind, advertise, &ConfigError{required.key, "missing, or over 64 bytes", "set it to 1 to 64 bytes"}
		}
	}
	if len(cfg.Zone) > maxNameBytes || len(cfg.Tier) > maxNameBytes {
		return bind, advertise, &ConfigError{"zone", "its name is over 64 bytes", "use a shorter zone name"}
	}
	if bind, err = netip.ParseAddrPort(cfg.Bind); err != nil {
		return bind, advertise, &ConfigError{"bind", fmt.Sprintf("%q: %v", cfg.Bind, err),
			"set it to an IP address and a port, like 127.0.0.1:7946"}
	}
	if cfg.Advertise != "" {
		if advertise, err = parseReachable(cfg.Advertise); err != nil {
			return bind, advertise, &ConfigError{"advertise",
				fmt.Sprintf("%q is not an address that others can reach", cfg.Advertise),
				"set it to the IP address and port under which the other members reach this one"}
		}
	} else if bind.Addr().IsUnspecified() {
		return bind, advertise, &ConfigError{"bind", "with an address of all interfaces others do not know where to connect",
			"set it to one address, or set fleet.advertise too"}
	}
	for _, seed := range cfg.Seeds {
		if _, err := parseReachable(seed); err != nil {
			return bind, advertise, &ConfigError{"seeds", fmt.Sprintf("%q is not a member's address", seed),
				"use IP addresses and ports, like 127.0.0.1:7946"}
		}
	}
	return bind, advertise, nil
}

// parseReachable parses an address that can be connected to.
func parseReachable(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
		err = errUnreachable
	}
	return parsed, err
}

func (n *Node) memberlistConfig(advertise netip.AddrPort) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = n.cfg.Name, n.cfg.Label
	c.SkipInboundLabelCheck = true // network checks it
	c.Transport = n.network
	c.BindAddr, c.BindPort = n.network.bound.IP.String(), n.network.bound.Port
	if advertise.IsValid() {
		c.AdvertiseAddr, c.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	}
	c.Logger = log.New(logWriter{n.cfg.Logger, newLogLimiter()}, "", 0)
	c.Delegate = delegate{n}
	c.Events, c.Alive, c.Conflict = n.members, n.members, n.members
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipInterval, gossipFanout, gossipToDeadFor
	c.ProbeInterval, c.ProbeTimeout, c.AwarenessMaxMultiplier = probeInterval, probeTimeout, maxAwareness
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMultiplier, suspicionMaxMultiplier
	c.RetransmitMult = queue.RetransmitMultiplier
	c.PushPullInterval, c.TCPTimeout, c.DeadNodeReclaimTime = fullExchangeInterval, streamTimeout, nameReclaimAfter
	c.UDPBufferSize, c.HandoffQueueDepth = maxDatagramBytes, handoffQueueDepth
	c.EnableCompression = false // costs more CPU than the bandwidth is worth
	return c
}
