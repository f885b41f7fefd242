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
	// 10 datagrams of 1,400 bytes a second to each of 3 members are 42 KB/s at most; without news, only
	// renewals are sent. Half the shortest TTL, 1.5 s, is 15 gossip rounds: enough for 300 members at 30 %
	// packet loss.
	gossipInterval  = 100 * time.Millisecond
	gossipFanout    = 3
	gossipToDeadFor = 30 * time.Second // to dead members; heals short partitions without seeds

	// A dead member is detected after its next probe, the indirect probes and the suspicion timeout: 1 to 2 s
	// plus suspicionMultiplier*probeInterval*max(1, log10(n)), in total 4 s for 9 members, 5.5 s for 30 and
	// 7 s for 300. If few members confirm it, the suspicion lasts up to suspicionMaxMultiplier times as long,
	// in total 8 to 17 s.
	probeInterval          = 500 * time.Millisecond
	probeTimeout           = 250 * time.Millisecond // tolerates a process that is short of CPU time
	suspicionMultiplier    = 4
	suspicionMaxMultiplier = 3
	// A member that is short of CPU time slows its own probes by up to this factor, so that it does not
	// suspect others. With memberlist's default of 8 the probe interval would exceed isolationTimeout.
	maxAwareness = 3

	fullExchangeInterval = 5 * time.Second // memberlist lengthens it for more than 32 members
	streamTimeout        = 2 * time.Second // of each read and write on a TCP connection
	nameReclaimAfter     = 5 * time.Second // after this another address may take a dead member's name
	handoffQueueDepth    = 256             // messages waiting inside memberlist
	leaveTimeout         = 500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Name        string       // name of this proxy, unique in the cluster
	Zone        string       // zone of this proxy; may be empty
	Tier        string       // members of other tiers are rejected
	Bind        string       // IP and port, for UDP and TCP; with port 0 the kernel chooses one
	Advertise   string       // IP and port under which others reach it; empty: the bound address
	Label       string       // of the cluster; packets and streams with another label are rejected
	Seeds       []string     // addresses of members, possibly including this one
	StartedAtMs int64        // start of this process, Unix milliseconds
	StateDir    string       // directory of files that outlive the process; empty: none are written
	Now         func() int64 // microseconds of a monotonic clock, above 0
	Logger      *slog.Logger
}

// Check validates the configuration. The error is a *ConfigError that names the first invalid key.
func (cfg *Config) Check() error {
	_, _, err := cfg.addresses()
	return err
}

// addresses validates the configuration and returns its parsed addresses. advertise is the zero AddrPort if
// cfg.Advertise is empty.
func (cfg *Config) addresses() (bind, advertise netip.AddrPort, err error) {
	for _, required := range []struct{ key, value string }{{"name", cfg.Name}, {"label", cfg.Label}} {
		if required.value == "" || len(required.value) > maxNameBytes {
			return bind, advertise, &ConfigError{required.key, "it is missing or longer than 64 bytes",
				"set it to 1 to 64 bytes"}
		}
	}
	if len(cfg.Zone) > maxNameBytes || len(cfg.Tier) > maxNameBytes {
		return bind, advertise, &ConfigError{"zone", "its name is longer than 64 bytes",
			"use a shorter zone name"}
	}
	if bind, err = netip.ParseAddrPort(cfg.Bind); err != nil {
		return bind, advertise, &ConfigError{"bind", fmt.Sprintf("%q: %v", cfg.Bind, err),
			"set it to an IP address and a port, like 127.0.0.1:7946"}
	}
	if cfg.Advertise != "" {
		if advertise, err = parseReachable(cfg.Advertise); err != nil {
			return bind, advertise, &ConfigError{"advertise",
				fmt.Sprintf("%q is not an address that other members can reach", cfg.Advertise),
				"set it to the IP address and port under which the other members reach this one"}
		}
	} else if bind.Addr().IsUnspecified() {
		return bind, advertise, &ConfigError{"bind",
			"an address of all interfaces does not tell other members where to connect",
			"set it to one address, or set fleet.advertise too"}
	}
	for _, seed := range cfg.Seeds {
		if _, err := parseReachable(seed); err != nil {
			return bind, advertise, &ConfigError{"seeds",
				fmt.Sprintf("%q is not a valid member address", seed),
				"use IP addresses and ports, like 127.0.0.1:7946"}
		}
	}
	return bind, advertise, nil
}

// parseReachable parses an address. It rejects those that nobody can connect to: port 0 and unspecified IPs.
func parseReachable(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && (parsed.Port() == 0 || parsed.Addr().IsUnspecified()) {
		err = errUnreachable
	}
	return parsed, err
}

// memberlistConfig returns the configuration of memberlist for this node.
func (n *Node) memberlistConfig(advertise netip.AddrPort) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = n.cfg.Name, n.cfg.Label
	c.SkipInboundLabelCheck = true // network checks the label
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
