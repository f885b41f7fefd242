// Package service runs the list service under test: its members as real processes, the servers' registrations, and the links of
// members with each other, with servers and with proxies, all over package link, so that each can be cut alone. It injects the
// faults of members, and never judges: the referee and package linear do.
//
// Each pair of members, zone and proxy has a link's address of its own. Traffic between members and from servers is forwarded
// unread. In the answers to a proxy the servers' addresses are replaced by that proxy's own, as the published protocol allows, and
// the referee records each update.
//
// A reader reads the current list all the time. Its reads and the registrations form a history that is checked at the end.
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
	refusalTimeout    = 3 * time.Second // for a started member to refuse its directory
	checkTimeout      = 20 * time.Second
)

var (
	errNotReady  = errors.New("the list service did not serve")
	errBadStatus = errors.New("member answered with an error")
)

// Proxy is a client of the list.
type Proxy struct{ Name, Zone string }

// Config describes a service.
type Config struct {
	Members    int
	Zones      []string // of the members in turn
	Proxies    []Proxy
	Command    []string // of a member
	Lease      time.Duration
	Election   time.Duration
	MaxListAge time.Duration
	Dir        string // parent of the members' directories
	LogDir     string
	Seed       uint64

	Net           *link.Net
	Referee       *referee.Referee
	Starter       *process.Starter
	Log           *slog.Logger
	Delay         func(from, to string) time.Duration
	ServerAddress func(proxy, nodo string) string     // at which a proxy reaches a server
	ProxyAddress  func(proxy, member int) string      // at which it reaches a member
	MemberAddress func(member, port int) string       // a member's own
	PeerAddress   func(from, to, port int) string     // at which a member reaches another
	ZoneAddress   func(zone, member, port int) string // at which a zone's servers reach a member

	// IsHollow reports whether a server, by name, takes no requests; nil: there are none. Proxies see such servers as draining. If set,
	// members export metrics, and the list is read each hollowReadInterval.
	IsHollow func(nodo string) bool
}

// Ports of a member's address.
const (
	listPort = 8500
	raftPort = 8600

	metricsPort = 9500
)

// Member is a member of the service, over all its processes.
type Member struct {
	Name, Zone      string
	index           int
	dir, configFile string

	mu         sync.Mutex
	process    *process.Process
	downFaults int // number of active faults that keep it down
	stopFaults int
}

// Service is a running list service.
type Service struct {
	config     Config
	log        *slog.Logger
	members    []*Member
	http       *http.Client
	history    *linear.History
	registrars map[string]*registrar.Client // by zone of the servers
	servers    *registrations
	delays     *notificationDelays

	mu       sync.Mutex
	rejected int // starts refused for a damaged directory
	rng      *rand.Rand
}

// New creates the members' configurations and all links, but no processes.
func New(cfg Config) (*Service, error) {
	s := &Service{config: cfg, log: cfg.Log, http: &http.Client{}, history: linear.New(),
		registrars: map[string]*registrar.Client{}, rng: rand.New(rand.NewPCG(cfg.Seed, 31)), delays: newDelays()}
	s.servers = newServers(s)
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

// Start starts all members, and waits until all serve.
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
	return fmt.Errorf("%w within %v: see its logs %s", errNotReady, readyTimeout, filepath.Join(s.config.LogDir, "r*.log"))
}

// Run reads lists until the context ends, and then ends the servers' registrations.
func (s *Service) Run(ctx context.Context) {
	s.readLists(ctx)
	s.servers.close()
}

// MemberAddresses are the addresses at which a proxy reaches the members.
func (s *Service) MemberAddresses(proxy int) (addrs []string) {
	for _, member := range s.members {
		addrs = append(addrs, s.config.ProxyAddress(proxy, member.index))
	}
	return addrs
}

func (s *Service) start(member *Member) error {
	p, err := s.config.Starter.Start(process.Spec{Name: member.Name, Command: append(slices.Clone(s.config.Command), "serve", "--config", member.configFile),
		Env: os.Environ(), Log: filepath.Join(s.config.LogDir, member.Name+".log")})
	if err != nil {
		return err
	}
	member.process = p
	return nil
}

func (s *Service) status(member *Member) (st raftnode.Status, err error) {
	err = s.get(member, "/v1/member", callTimeout, &st)
	return st, err
}

// get calls a member at its own address and decodes its JSON answer.
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
