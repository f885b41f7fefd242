// Package service runs the registry under test: its members as real processes, the servers' registrations,
// and the connections of members with each other, with servers and with proxies. All connections run over
// package link, so that each can be cut alone. The package injects the faults of members but checks no rules:
// the referee and package linear do.
//
// A link with an address of its own leads to each member from every other member, from every zone's servers
// and from every proxy. Traffic between members and from servers is forwarded unread. In the answers to a
// proxy the servers' addresses are replaced by those at which this proxy reaches them, as the published
// protocol allows, and the referee records each update.
//
// A reader reads the current list throughout the run. Its reads and the registrations form a history that is
// checked for linearizability at the end.
package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
	"merlinpick/internal/registry/config"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/registrar"
)

const (
	callTimeout       = time.Second
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	refusalTimeout    = 3 * time.Second  // for a started member to refuse its directory
	checkTimeout      = 20 * time.Second // of the linearizability check, for each server
)

var (
	errNotReady  = errors.New("not all registry members were ready")
	errBadStatus = errors.New("registry member answered with an error")
)

// Proxy is a proxy that follows the list.
type Proxy struct{ Name, Zone string }

// Config configures a Service.
type Config struct {
	Members    int      // number of members
	Zones      []string // zones, assigned to the members in turn
	Proxies    []Proxy
	Command    []string // command that starts a member
	Lease      time.Duration
	Election   time.Duration // election timeout
	MaxListAge time.Duration
	Dir        string // parent of the members' directories
	LogDir     string
	Seed       uint64

	Net           *link.Net
	Referee       *referee.Referee
	Starter       *process.Starter
	Log           *slog.Logger
	Delay         func(from, to string) time.Duration // one-way delay between zones
	ServerAddress func(proxy, nodo string) string     // address at which a proxy reaches a server
	ProxyAddress  func(proxy, member int) string      // address at which a proxy reaches a member
	MemberAddress func(member, port int) string       // address that a member listens on
	PeerAddress   func(from, to, port int) string     // address at which a member reaches another
	ZoneAddress   func(zone, member, port int) string // address at which a zone's servers reach a member

	// IsHollow reports whether a server, by name, takes no requests; nil if there are no such servers.
	// Proxies see them as draining. If it is set, members export metrics, and the list is read every
	// hollowReadInterval.
	IsHollow func(nodo string) bool
}

// Ports that a member listens on.
const (
	listPort = 8500
	raftPort = 8600

	metricsPort = 9500
)

// Member is a member of the registry. It runs one process at a time.
type Member struct {
	Name, Zone      string
	index           int
	dir, configFile string

	mu            sync.Mutex
	process       *process.Process
	downFaults    int // number of active faults that keep it down
	suspendFaults int // number of active faults that keep its process suspended
}

// Service is a running registry.
type Service struct {
	config        Config
	log           *slog.Logger
	members       []*Member
	http          *http.Client
	history       *linear.History
	registrars    map[string]*registrar.Client // by the zone of the servers that use them
	registrations *registrations
	delays        *notificationDelays

	mu            sync.Mutex
	refusedStarts int // starts that members refused because of a damaged directory
	rng           *rand.Rand
}

// New writes the members' configuration files and creates all links. It starts no processes.
func New(cfg Config) (*Service, error) {
	s := &Service{config: cfg, log: cfg.Log, http: &http.Client{}, history: linear.New(),
		registrars: map[string]*registrar.Client{}, rng: rand.New(rand.NewPCG(cfg.Seed, 31)),
		delays: newNotificationDelays()}
	s.registrations = newRegistrations(s)
	for i := range cfg.Members {
		member := &Member{Name: fmt.Sprintf("r%d", i+1), Zone: cfg.Zones[i%len(cfg.Zones)], index: i,
			dir: filepath.Join(cfg.Dir, fmt.Sprintf("r%d", i+1))}
		member.configFile = member.dir + ".toml"
		s.members = append(s.members, member)
	}
	for _, member := range s.members {
		if err := s.configure(member); err != nil {
			return nil, err
		}
	}
	if err := errors.Join(s.linkMembers(), s.linkServers(), s.linkProxies()); err != nil {
		return nil, err
	}
	return s, nil
}

// linkMembers creates the links between the members.
func (s *Service) linkMembers() error {
	for _, member := range s.members {
		for _, peer := range s.members {
			if peer == member {
				continue
			}
			ends := link.Ends{Kind: "member", From: member.Name, FromZone: member.Zone, To: peer.Name, ToZone: peer.Zone}
			for _, port := range []int{listPort, raftPort} {
				address := s.config.PeerAddress(member.index, peer.index, port)
				if err := s.listen(ends, address, s.forwardBytes(s.config.MemberAddress(peer.index, port))); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// linkServers creates the links from each zone's servers to the members, and the registrars that use them.
func (s *Service) linkServers() error {
	for i, zone := range s.config.Zones {
		var addresses []string
		for _, member := range s.members {
			ends := link.Ends{Kind: "lease", FromZone: zone, To: member.Name, ToZone: member.Zone}
			address := s.config.ZoneAddress(i, member.index, listPort)
			if err := s.listen(ends, address, s.forwardBytes(s.config.MemberAddress(member.index, listPort))); err != nil {
				return err
			}
			addresses = append(addresses, address)
		}
		s.registrars[zone] = registrar.New(addresses)
	}
	return nil
}

// linkProxies creates the links from each proxy to the members.
func (s *Service) linkProxies() error {
	for i, proxy := range s.config.Proxies {
		for _, member := range s.members {
			ends := link.Ends{Kind: "list", From: proxy.Name, FromZone: proxy.Zone, To: member.Name, ToZone: member.Zone}
			relay := s.relayPolls(proxy.Name, s.config.MemberAddress(member.index, listPort))
			if err := s.listen(ends, s.config.ProxyAddress(i, member.index), relay); err != nil {
				return err
			}
		}
	}
	return nil
}

// listen creates a link that listens at addr.
func (s *Service) listen(ends link.Ends, addr string, accept func(*link.Conn)) error {
	_, err := s.config.Net.Listen(ends, addr, s.config.Delay(ends.FromZone, ends.ToZone), accept)
	return err
}

// configure writes a member's configuration file.
func (s *Service) configure(member *Member) error {
	f := config.Default()
	f.Name, f.Dir, f.Listen, f.MetricsAddress = member.Name, member.dir, s.config.MemberAddress(member.index, listPort), ""
	if s.config.IsHollow != nil {
		f.MetricsAddress = s.config.MemberAddress(member.index, metricsPort)
	}
	f.ElectionTimeoutMs, f.MaxListAgeMs = int(s.config.Election.Milliseconds()), int(s.config.MaxListAge.Milliseconds())
	for _, peer := range s.members {
		at := func(port int) string {
			if peer == member {
				return s.config.MemberAddress(member.index, port)
			}
			return s.config.PeerAddress(member.index, peer.index, port)
		}
		f.Members = append(f.Members, config.Member{Name: peer.Name, Raft: at(raftPort), List: at(listPort)})
	}
	if err := os.MkdirAll(s.config.Dir, 0o755); err != nil {
		return err
	}
	out, err := os.Create(member.configFile)
	if err != nil {
		return err
	}
	defer out.Close()
	return toml.NewEncoder(out).Encode(f)
}

// Start starts all members and waits until all are serving. The error wraps errNotReady after readyTimeout.
func (s *Service) Start(ctx context.Context) error {
	for _, member := range s.members {
		member.mu.Lock()
		err := s.start(member)
		member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && sleep.For(ctx, readyPollInterval); {
		n := 0
		for _, member := range s.members {
			if st, err := s.status(member); err == nil && st.Serving {
				n++
			}
		}
		if n == len(s.members) {
			return nil
		}
	}
	return fmt.Errorf("%w within %v: see their logs %s", errNotReady, readyTimeout,
		filepath.Join(s.config.LogDir, "r*.log"))
}

// Run reads the list until the context ends, and then stops the servers' registrations.
func (s *Service) Run(ctx context.Context) {
	s.readLists(ctx)
	s.registrations.close()
}

// MemberAddresses returns the addresses at which a proxy, by index, reaches the members.
func (s *Service) MemberAddresses(proxy int) (addrs []string) {
	for _, member := range s.members {
		addrs = append(addrs, s.config.ProxyAddress(proxy, member.index))
	}
	return addrs
}

// start starts a member's process. The member's lock must be held.
func (s *Service) start(member *Member) error {
	p, err := s.config.Starter.Start(process.Spec{Name: member.Name, Command: append(slices.Clone(s.config.Command), "serve", "--config", member.configFile),
		Env: os.Environ(), Log: filepath.Join(s.config.LogDir, member.Name+".log")})
	if err != nil {
		return err
	}
	member.process = p
	return nil
}

// status reads a member's status.
func (s *Service) status(member *Member) (st raftnode.Status, err error) {
	err = s.get(member, "/v1/member", callTimeout, &st)
	return st, err
}

// get calls a member at the address that it listens on and decodes its JSON answer into out.
func (s *Service) get(member *Member, path string, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.config.MemberAddress(member.index, listPort)+path, nil)
	if err != nil {
		return err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s of %s: %s", errBadStatus, path, member.Name, resp.Status)
	}
	return json.Unmarshal(text, out)
}
