// Package service is the list service under test: its members as real processes, the links between them, between them
// and the servers, and between them and the proxies, all over package link, so that each can be cut alone.
//
// Members find each other under addresses of the lab's, one for each pair and direction; so do the servers of a zone, and
// each proxy. What passes between members and from servers goes through unread. A proxy's calls are read: its answers have
// the servers' addresses replaced by that proxy's own, as the published protocol allows, and the referee is told what the
// proxy is told.
//
// Beside them runs a reader that asks for current lists, and the servers' registrations; both go into a history that is
// checked at the end (package linear).
package service

import (
	"context"
	"encoding/json"
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
	callWait    = time.Second
	readyWait   = 20 * time.Second
	readyPoll   = 50 * time.Millisecond
	rejectDelay = 3 * time.Second // in which a member that is started says that it will not
	checkWait   = 20 * time.Second
)

// Proxy is a caller of the list.
type Proxy struct{ Name, Zone string }

// Config is what a service is.
type Config struct {
	Members  int
	Zones    []string // the members stand in them in turn
	Proxies  []Proxy
	Command  []string // the program
	Lease    time.Duration
	Election time.Duration
	Stale    time.Duration
	Dir      string // of the members' own
	Logs     string
	Seed     uint64

	Net     *link.Net
	Ref     *referee.Referee
	Starter *process.Starter
	Log     *slog.Logger
	Delay   func(from, to string) time.Duration
	Address func(proxy, nodo string) string     // where a proxy finds a server
	List    func(proxy, member int) string      // where it finds a member
	Own     func(member, port int) string       // a member's own address
	Between func(from, to, port int) string     // where a member finds another
	Near    func(zone, member, port int) string // where a zone's servers find a member

	// Hollow tells the servers by name that carry no calls; nil: none. Proxies are told that these drain. Then the members have
	// metrics too, and there is a look at the current list only each hollowReads.
	Hollow func(nodo string) bool
}

// Ports of a member.
const (
	listPort = 8500
	raftPort = 8600

	metricsPort = 9500
)

// Member is a member over all its processes.
type Member struct {
	Name, Zone string
	n          int
	dir, file  string

	mu    sync.Mutex
	proc  *process.Process
	dead  int // faults that keep it down
	stops int
}

// Service is the service.
type Service struct {
	cfg     Config
	log     *slog.Logger
	members []*Member
	http    *http.Client
	history *linear.History
	near    map[string]*registrar.Client // of each zone's servers
	servers *servers
	delays  *delays

	mu       sync.Mutex
	rejected int // starts that a member refused for its directory
	rng      *rand.Rand
}

// New makes all but the processes.
func New(cfg Config) (*Service, error) {
	s := &Service{cfg: cfg, log: cfg.Log, http: &http.Client{}, history: linear.New(),
		near: map[string]*registrar.Client{}, rng: rand.New(rand.NewPCG(cfg.Seed, 31)), delays: newDelays()}
	s.servers = newServers(s)
	for i := range cfg.Members {
		m := &Member{Name: fmt.Sprintf("r%d", i+1), Zone: cfg.Zones[i%len(cfg.Zones)], n: i,
			dir: filepath.Join(cfg.Dir, fmt.Sprintf("r%d", i+1))}
		m.file = m.dir + ".toml"
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		if err := s.configure(m); err != nil {
			return nil, err
		}
		for _, o := range s.members {
			if o == m {
				continue
			}
			ends := link.Ends{Kind: "member", From: m.Name, FromZone: m.Zone, To: o.Name, ToZone: o.Zone}
			for _, port := range []int{listPort, raftPort} {
				if err := s.listen(ends, cfg.Between(m.n, o.n, port), s.pass(cfg.Own(o.n, port))); err != nil {
					return nil, err
				}
			}
		}
	}
	for z, zone := range cfg.Zones {
		var addrs []string
		for _, m := range s.members {
			ends := link.Ends{Kind: "lease", FromZone: zone, To: m.Name, ToZone: m.Zone}
			addr := cfg.Near(z, m.n, listPort)
			if err := s.listen(ends, addr, s.pass(cfg.Own(m.n, listPort))); err != nil {
				return nil, err
			}
			addrs = append(addrs, addr)
		}
		s.near[zone] = registrar.New(addrs)
	}
	for p, proxy := range cfg.Proxies {
		for _, m := range s.members {
			ends := link.Ends{Kind: "list", From: proxy.Name, FromZone: proxy.Zone, To: m.Name, ToZone: m.Zone}
			if err := s.listen(ends, cfg.List(p, m.n), s.tell(proxy.Name, cfg.Own(m.n, listPort))); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *Service) listen(ends link.Ends, addr string, accept func(*link.Conn)) error {
	_, err := s.cfg.Net.Listen(ends, addr, s.cfg.Delay(ends.FromZone, ends.ToZone), accept)
	return err
}

// configure writes a member's configuration.
func (s *Service) configure(m *Member) error {
	f := config.Default()
	f.Name, f.Dir, f.Listen, f.MetricsAddress = m.Name, m.dir, s.cfg.Own(m.n, listPort), ""
	if s.cfg.Hollow != nil {
		f.MetricsAddress = s.cfg.Own(m.n, metricsPort)
	}
	f.ElectionTimeoutMs, f.MaxListAgeMs = int(s.cfg.Election.Milliseconds()), int(s.cfg.Stale.Milliseconds())
	for _, o := range s.members {
		at := func(port int) string {
			if o == m {
				return s.cfg.Own(m.n, port)
			}
			return s.cfg.Between(m.n, o.n, port)
		}
		f.Members = append(f.Members, config.Member{Name: o.Name, Raft: at(raftPort), List: at(listPort)})
	}
	if err := os.MkdirAll(s.cfg.Dir, 0o755); err != nil {
		return err
	}
	out, err := os.Create(m.file)
	if err != nil {
		return err
	}
	defer out.Close()
	return toml.NewEncoder(out).Encode(f)
}

// Start starts all members, and waits until one leads.
func (s *Service) Start(ctx context.Context) error {
	for _, m := range s.members {
		m.mu.Lock()
		err := s.start(m)
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyWait); time.Now().Before(end) && sleep.For(ctx, readyPoll); {
		n := 0
		for _, m := range s.members {
			if st, err := s.status(m); err == nil && st.Serving {
				n++
			}
		}
		if n == len(s.members) {
			return nil
		}
	}
	return fmt.Errorf("the list service did not serve within %v; its logs are %s", readyWait, filepath.Join(s.cfg.Logs, "r*.log"))
}

// Run has the reader read until the context ends, and then ends servers' calls.
func (s *Service) Run(ctx context.Context) {
	s.read(ctx)
	s.servers.close()
}

// Lists are where a proxy finds the members.
func (s *Service) Lists(proxy int) (addrs []string) {
	for _, m := range s.members {
		addrs = append(addrs, s.cfg.List(proxy, m.n))
	}
	return addrs
}

func (s *Service) start(m *Member) error {
	p, err := s.cfg.Starter.Start(process.Spec{Name: m.Name, Command: append(slices.Clone(s.cfg.Command), "serve", "--config", m.file),
		Env: os.Environ(), Log: filepath.Join(s.cfg.Logs, m.Name+".log")}, s.log)
	if err != nil {
		return err
	}
	m.proc = p
	return nil
}

func (s *Service) status(m *Member) (st raftnode.Status, err error) {
	err = s.get(m, "/v1/member", callWait, &st)
	return st, err
}

// get asks a member at its own address.
func (s *Service) get(m *Member, path string, patience time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cfg.Own(m.n, listPort)+path, nil)
	if err != nil {
		return err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s: %s", path, m.Name, resp.Status)
	}
	return json.Unmarshal(text, out)
}
